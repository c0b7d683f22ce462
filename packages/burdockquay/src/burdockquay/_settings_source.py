"""Unparsed content of a settings file.

This module is imported before all others by a process that has to listen early, and therefore has
few imports itself.
"""

from __future__ import annotations

import json
import re
from typing import Any

MAX_FILE_BYTES = 1 << 20
"""Maximum size of a settings file, bytes."""

_STRING_OR_COMMENT = re.compile(r'"(?:\\.|[^"\\\n])*"|//[^\n]*|/\*.*?\*/', re.DOTALL)


class SettingsSource:
    """Settings file that is read at most once, since it may be a pipe.

    Parameters
    ----------
    path : str
    """

    def __init__(self, path: str):
        self.path = path
        self._content: bytes | None = None

    def read(self) -> bytes:
        """Return the content, cut to one byte more than the maximum if the file is too large.

        Raises
        ------
        OSError
            If the file cannot be read.
        """
        if self._content is None:
            with open(self.path, "rb") as file:
                self._content = file.read(MAX_FILE_BYTES + 1)
        return self._content

    def peek(self, key: str) -> Any:
        """Return the value of a top-level key, or None if it is missing or the file is invalid.

        Faults of the file are reported later, once the modules that check it have been imported.
        """
        try:
            values = json.loads(blank_comments(self.read().decode("utf-8-sig")))
        except (OSError, ValueError, RecursionError):
            return None
        return values.get(key) if isinstance(values, dict) else None


def blank_comments(text: str) -> str:
    """Replace comments by spaces, so that line numbers in messages match the file."""

    def blank(match: re.Match) -> str:
        found = match.group()
        return found if found.startswith('"') else re.sub(r"[^\n]", " ", found)

    return _STRING_OR_COMMENT.sub(blank, text)
