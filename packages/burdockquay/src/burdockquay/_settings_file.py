"""Settings files of the daemons: JSON with comments, checked as a whole."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from types import MappingProxyType, SimpleNamespace
from typing import Any, get_type_hints

import attrs
import jsonc
from result import Err, Ok, Result

from burdockquay_state import (
    Registry,
    describe_unknown,
    find_faults,
    object_stores,
    table_services,
    vm_lists,
)
from burdockquay_transport import EntrySettings, PlatformSettings, SlotSettings
from burdockquay_transport.forwarding import (
    ForwarderSettings,
    forwarding_platforms,
    load_adapters,
)

MAX_FILE_BYTES = 1 << 20
"""Largest settings file that is read, bytes."""

SECRET_KEYS = frozenset({"peer_key"})
"""Keys whose value no message shows."""

RENAMED: Mapping[str, str] = MappingProxyType({})
"""Old key path to new one; an old one is taken, with a warning, for one release."""

settings_classes: Registry[type] = Registry("role")
settings_classes.register("entry")(EntrySettings)
settings_classes.register("slot")(SlotSettings)
settings_classes.register("forwarder")(ForwarderSettings)

AnySettings = EntrySettings | SlotSettings | ForwarderSettings


@attrs.frozen
class SettingsFault:
    """One thing wrong with a settings file.

    Parameters
    ----------
    file : str
    line : int or None
        From 1; None where it is not known, as for a key that is missing.
    key : str
        Path of the key, such as ``platform.table_url``; empty for the file as a whole.
    message : str
        What was expected and what was got.
    """

    file: str
    line: int | None
    key: str
    message: str

    def __str__(self) -> str:
        place = self.file if self.line is None else f"{self.file}:{self.line}"
        return ": ".join(part for part in (place, self.key, self.message) if part)


@attrs.frozen
class LoadedSettings:
    """Settings without fault.

    Parameters
    ----------
    settings : EntrySettings, SlotSettings or ForwarderSettings
    renamed : tuple of SettingsFault
        Old names in use, which the operator should change.
    """

    settings: AnySettings
    renamed: tuple[SettingsFault, ...] = ()


def load_settings(
    path: str | Path, role: str, renamed: Mapping[str, str] = RENAMED
) -> Result[LoadedSettings, list[SettingsFault]]:
    """Return the settings in a file, or everything that is wrong with it.

    Parameters
    ----------
    path : str or Path
    role : str
        ``"entry"``, ``"slot"`` or ``"forwarder"``.
    renamed : mapping of str to str
        Old key path to new one.

    Returns
    -------
    Result of LoadedSettings, list of SettingsFault

    Raises
    ------
    UnknownNameError
        If there is no such role.
    """
    cls = settings_classes.get(role)
    text = _read_text(Path(path))
    if text.is_err():
        return Err([SettingsFault(str(path), None, "", text.err())])
    return _Reader(str(path), _blank_comments(text.ok()), renamed).read(cls)


def _read_text(path: Path) -> Result[str, str]:
    try:
        with path.open("rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        return Err(f"cannot be read: {error.strerror or error}")
    if len(content) > MAX_FILE_BYTES:
        return Err(f"expected at most {MAX_FILE_BYTES} bytes, got more")
    try:
        return Ok(content.decode("utf-8-sig"))
    except UnicodeDecodeError as error:
        return Err(f"expected UTF-8, got byte {content[error.start]:#04x} at {error.start}")


_STRING_OR_COMMENT = re.compile(r'"(?:\\.|[^"\\\n])*"|//[^\n]*|/\*.*?\*/', re.DOTALL)


def _blank_comments(text: str) -> str:
    """Replace comments by spaces, so that line numbers in messages are those of the file."""

    def blank(match: re.Match) -> str:
        found = match.group()
        return found if found.startswith('"') else re.sub(r"[^\n]", " ", found)

    return _STRING_OR_COMMENT.sub(blank, text)


class _DuplicateKeys(dict):
    """An object in which a key stands twice; the parser alone would keep the last in silence."""

    duplicates: tuple[str, ...] = ()


def _collect(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    names = [name for name, _ in pairs]
    result = _DuplicateKeys(pairs)
    result.duplicates = tuple(sorted({name for name in names if names.count(name) > 1}))
    return result


class _Reader:
    """Reads one file and gathers its faults.

    Parameters
    ----------
    file : str
    text : str
        Without comments.
    renamed : mapping of str to str
    """

    def __init__(self, file: str, text: str, renamed: Mapping[str, str]):
        self.file = file
        self.text = text
        self.renamed = renamed
        self._faults: list[SettingsFault] = []
        self._renames: list[SettingsFault] = []

    def read(self, cls: type) -> Result[LoadedSettings, list[SettingsFault]]:
        if not self.text.strip():
            return Err([SettingsFault(self.file, None, "", "expected an object, got nothing")])
        try:
            values = jsonc.loads(self.text, object_pairs_hook=_collect)
        except (ValueError, RecursionError) as error:
            line = getattr(error, "lineno", None)
            words = getattr(error, "msg", str(error))
            return Err([SettingsFault(self.file, line, "", f"expected JSON: {words}")])
        settings = self._build(cls, values, "")
        if settings is not None:
            self._check_combinations(settings)
        if self._faults:
            return Err(self._faults)
        return Ok(LoadedSettings(settings, tuple(self._renames)))

    def _build(self, cls: type, values: Any, path: str) -> Any:
        """Return an instance of ``cls``, or None if anything in ``values`` is wrong."""
        if not isinstance(values, dict):
            self._fault(path, f"expected an object, got {values!r}")
            return None
        before = len(self._faults)
        for name in values.duplicates:
            self._fault(_join(path, name), "expected once, got twice")
        values = self._rename(values, path)
        fields = {field.name: field for field in attrs.fields(cls)}
        self._check_names(values, fields, path)
        types = get_type_hints(cls)
        accepted = {
            name: self._read_value(cls, name, types[name], value, path)
            for name, value in values.items()
            if name in fields
        }
        return cls(**accepted) if len(self._faults) == before else None

    def _rename(self, values: dict[str, Any], path: str) -> dict[str, Any]:
        result = {}
        for name, value in values.items():
            new = self.renamed.get(_join(path, name))
            if new is None:
                result[name] = value
                continue
            self._renames.append(self._at(_join(path, name), f"is now named {new!r}"))
            new_name = new.rpartition(".")[2]
            if new_name in values:
                self._fault(_join(path, name), f"given beside its new name {new!r}")
            result[new_name] = value
        return result

    def _check_names(
        self, values: dict[str, Any], fields: Mapping[str, attrs.Attribute], path: str
    ) -> None:
        for name in values:
            if name not in fields:
                self._fault(_join(path, name), describe_unknown("key", name, fields))
        for name, field in fields.items():
            if name not in values and field.default is attrs.NOTHING:
                self._fault(_join(path, name), "expected a value, the key is missing")

    def _read_value(self, cls: type, name: str, kind: Any, value: Any, path: str) -> Any:
        if attrs.has(kind):
            return self._build(kind, value, _join(path, name))
        constraints = {name: cls._constraints[name]}
        for fault in find_faults(constraints, SimpleNamespace(**{name: value})):
            self._fault(_join(path, name), _hide(name, fault.removeprefix(f"{name}: ")))
        return value

    def _check_combinations(self, settings: Any) -> None:
        for key, message in find_combination_faults(settings):
            self._fault(key, message)

    def _fault(self, key: str, message: str) -> None:
        self._faults.append(self._at(key, message))

    def _at(self, key: str, message: str) -> SettingsFault:
        return SettingsFault(self.file, self._find_line(key), key, message)

    def _find_line(self, key: str) -> int | None:
        """Return the line of a key, None unless its last name stands on one line only."""
        name = re.escape(key.rpartition(".")[2])
        found = list(re.finditer(rf'"{name}"\s*:', self.text))
        lines = {self.text.count("\n", 0, match.start()) + 1 for match in found}
        return lines.pop() if len(lines) == 1 else None


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _hide(name: str, fault: str) -> str:
    if name not in SECRET_KEYS:
        return fault
    return fault.partition(", got ")[0] + ", got a value that is not shown"


_ADAPTERS: dict[str, Registry] = {
    "table": table_services,
    "objects": object_stores,
    "vms": vm_lists,
}

Fault = tuple[str, str]
"""Key path and message."""


def find_combination_faults(settings: AnySettings) -> Iterator[Fault]:
    """Yield what is wrong with settings whose single values are all accepted."""
    for check in _COMBINATIONS[type(settings)]:
        yield from check(settings)


def _find_adapter_faults(settings: EntrySettings | SlotSettings) -> Iterator[Fault]:
    # Importing it registers the adapters of the package, of which a forwarder needs none.
    import burdockquay_transport._platform_http  # noqa: F401

    platform: PlatformSettings = settings.platform
    for name, registry in _ADAPTERS.items():
        chosen = getattr(platform, name)
        if chosen not in registry:
            yield f"platform.{name}", describe_unknown(registry.what, chosen, registry)


def _find_deadline_faults(settings: EntrySettings) -> Iterator[Fault]:
    if settings.default_deadline_s > settings.max_deadline_s:
        yield (
            "default_deadline_s",
            f"expected at most max_deadline_s, {settings.max_deadline_s}, "
            f"got {settings.default_deadline_s}",
        )


def _find_flush_faults(settings: SlotSettings) -> Iterator[Fault]:
    if settings.flush_interval_s > settings.status_interval_s:
        yield (
            "flush_interval_s",
            f"expected at most status_interval_s, {settings.status_interval_s}, "
            f"got {settings.flush_interval_s}",
        )


def _find_forwarding_faults(settings: ForwarderSettings) -> Iterator[Fault]:
    for position, package in enumerate(settings.adapters):
        try:
            load_adapters([package])
        except ImportError as error:
            yield f"adapters[{position}]", f"cannot be imported: {error}"
            return
    chosen = settings.platform.adapter
    if chosen not in forwarding_platforms:
        message = describe_unknown(forwarding_platforms.what, chosen, forwarding_platforms)
        yield "platform.adapter", message


_COMBINATIONS: dict[type, list[Callable[[Any], Iterator[Fault]]]] = {
    EntrySettings: [_find_adapter_faults, _find_deadline_faults],
    SlotSettings: [_find_adapter_faults, _find_flush_faults],
    ForwarderSettings: [_find_forwarding_faults],
}
