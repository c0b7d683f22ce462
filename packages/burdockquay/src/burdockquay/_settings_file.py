"""Reader of settings files, which are JSON with comments; reports all faults of a file together."""

from __future__ import annotations

import re
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType, SimpleNamespace
from typing import Any, get_args, get_type_hints

import attrs
import jsonc
from result import Err, Ok, Result

from burdockquay_state import describe_unknown, find_faults

from ._settings_roles import find_combination_faults, role_settings
from ._settings_source import MAX_FILE_BYTES, SettingsSource, blank_comments

SECRET_KEYS = frozenset({"peer_key"})
"""Keys whose values are never shown in messages."""

RENAMED_KEYS: Mapping[str, str] = MappingProxyType({})
"""Old key path to new key path; an old key is accepted with a warning for one release."""


@attrs.frozen
class SettingsFault:
    """A fault in a settings file.

    Parameters
    ----------
    file : str
    line : int or None
        Counted from 1; None if it is unknown, for example for a missing key.
    key : str
        Path of the key, such as ``platform.table_url``; empty for the file as a whole.
    message : str
        Expected and actual value.
    """

    file: str
    line: int | None
    key: str
    message: str

    def __str__(self) -> str:
        location = self.file if self.line is None else f"{self.file}:{self.line}"
        return ": ".join(part for part in (location, self.key, self.message) if part)


@attrs.frozen
class LoadedSettings:
    """Valid settings.

    Parameters
    ----------
    settings : object
        Instance of the settings class of the role.
    renamed : tuple of SettingsFault
        Deprecated key names in the file, which the operator should change.
    """

    settings: Any
    renamed: tuple[SettingsFault, ...] = ()


def load_settings(
    source: SettingsSource | str | Path, role: str, renamed: Mapping[str, str] = RENAMED_KEYS
) -> Result[LoadedSettings, list[SettingsFault]]:
    """Return the settings in a file, or all its faults.

    Parameters
    ----------
    source : SettingsSource, str or Path
        Path of the file, or a source that may have read it already.
    role : str
        ``"entry"``, ``"slot"`` or ``"forwarder"``.
    renamed : mapping of str to str
        Old key path to new key path.

    Returns
    -------
    Result of LoadedSettings, list of SettingsFault

    Raises
    ------
    UnknownNameError
        If there is no such role.
    """
    cls = role_settings.get(role)()
    if not isinstance(source, SettingsSource):
        source = SettingsSource(str(source))
    text = _read_text(source)
    if text.is_err():
        return Err([SettingsFault(source.path, None, "", text.err())])
    return _Reader(source.path, blank_comments(text.ok()), renamed).read(cls, role)


def _read_text(source: SettingsSource) -> Result[str, str]:
    try:
        content = source.read()
    except OSError as error:
        return Err(f"cannot be read: {error.strerror or error}")
    if len(content) > MAX_FILE_BYTES:
        return Err(f"expected at most {MAX_FILE_BYTES} bytes, got more")
    try:
        return Ok(content.decode("utf-8-sig"))
    except UnicodeDecodeError as error:
        return Err(f"expected UTF-8, got byte {content[error.start]:#04x} at {error.start}")


class _DuplicateKeys(dict):
    """JSON object with its duplicate keys, of which the parser would silently keep the last."""

    duplicates: tuple[str, ...] = ()


def _make_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    names = [name for name, _ in pairs]
    result = _DuplicateKeys(pairs)
    result.duplicates = tuple(sorted({name for name in names if names.count(name) > 1}))
    return result


class _Reader:
    """Reader of one settings file, which collects the faults.

    Parameters
    ----------
    file : str
        Path of the file, for messages.
    text : str
        Content of the file with its comments blanked.
    renamed : mapping of str to str
        Old key path to new key path.
    """

    def __init__(self, file: str, text: str, renamed: Mapping[str, str]):
        self.file = file
        self.text = text
        self.renamed = renamed
        self._faults: list[SettingsFault] = []
        self._renames: list[SettingsFault] = []

    def read(self, cls: type, role: str) -> Result[LoadedSettings, list[SettingsFault]]:
        if not self.text.strip():
            return Err([SettingsFault(self.file, None, "", "expected an object, got nothing")])
        try:
            values = jsonc.loads(self.text, object_pairs_hook=_make_object)
        except (ValueError, RecursionError) as error:
            line = getattr(error, "lineno", None)
            reason = getattr(error, "msg", str(error))
            return Err([SettingsFault(self.file, line, "", f"expected JSON: {reason}")])
        settings = self._build(cls, values, "")
        if settings is not None:
            self._check_combinations(settings, role)
        if self._faults:
            return Err(self._faults)
        return Ok(LoadedSettings(settings, tuple(self._renames)))

    def _build(self, cls: type, values: Any, path: str) -> Any:
        """Return an instance of ``cls``, or None if ``values`` has any fault."""
        if not isinstance(values, dict):
            self._add_fault(path, f"expected an object, got {values!r}")
            return None
        fault_count = len(self._faults)
        for name in values.duplicates:
            self._add_fault(_join(path, name), "expected once, got twice")
        values = self._rename(values, path)
        fields = {field.name: field for field in attrs.fields(cls)}
        self._check_names(values, fields, path)
        types = get_type_hints(cls)
        accepted = {
            name: self._read_value(cls, name, types[name], value, path)
            for name, value in values.items()
            if name in fields
        }
        return cls(**accepted) if len(self._faults) == fault_count else None

    def _rename(self, values: dict[str, Any], path: str) -> dict[str, Any]:
        result = {}
        for name, value in values.items():
            new = self.renamed.get(_join(path, name))
            if new is None:
                result[name] = value
                continue
            self._renames.append(self._make_fault(_join(path, name), f"is now named {new!r}"))
            new_name = new.rpartition(".")[2]
            if new_name in values:
                self._add_fault(_join(path, name), f"given together with its new name {new!r}")
            result[new_name] = value
        return result

    def _check_names(
        self, values: dict[str, Any], fields: Mapping[str, attrs.Attribute], path: str
    ) -> None:
        for name in values:
            if name not in fields:
                self._add_fault(_join(path, name), describe_unknown("key", name, fields))
        for name, field in fields.items():
            if name not in values and field.default is attrs.NOTHING:
                self._add_fault(_join(path, name), "expected a value, the key is missing")

    def _read_value(self, cls: type, name: str, kind: Any, value: Any, path: str) -> Any:
        nested = next((one for one in (kind, *get_args(kind)) if attrs.has(one)), None)
        if nested is not None:
            return self._build(nested, value, _join(path, name))
        constraints = {name: cls._constraints[name]}
        for fault in find_faults(constraints, SimpleNamespace(**{name: value})):
            self._add_fault(_join(path, name), _redact(name, fault.removeprefix(f"{name}: ")))
        return value

    def _check_combinations(self, settings: Any, role: str) -> None:
        for key, message in find_combination_faults(settings, role):
            self._add_fault(key, message)

    def _add_fault(self, key: str, message: str) -> None:
        self._faults.append(self._make_fault(key, message))

    def _make_fault(self, key: str, message: str) -> SettingsFault:
        return SettingsFault(self.file, self._find_line(key), key, message)

    def _find_line(self, key: str) -> int | None:
        """Return the line of a key, or None unless its last part occurs on exactly one line."""
        name = re.escape(key.rpartition(".")[2])
        found = list(re.finditer(rf'"{name}"\s*:', self.text))
        lines = {self.text.count("\n", 0, match.start()) + 1 for match in found}
        return lines.pop() if len(lines) == 1 else None


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _redact(name: str, fault: str) -> str:
    if name not in SECRET_KEYS:
        return fault
    return fault.partition(", got ")[0] + ", got a value that is not shown"
