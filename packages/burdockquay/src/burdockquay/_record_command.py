"""The sub-command ``burdockquay record``, with which operators read and change records."""

from __future__ import annotations

import asyncio
import getpass
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Annotated, Any

import attrs
from cyclopts import App, Parameter
from result import Err, Ok, Result

from burdockquay_state import (
    Accepted,
    FieldChange,
    LogRow,
    PutRefusal,
    RecordChange,
    RecordFault,
    RecordLog,
    RefusalKind,
    TableError,
    diff_bodies,
)

from ._output import ExitCode, format_time, print_error, print_json, print_table
from ._platform_options import DEFAULT_PLATFORM, PlatformOptions, connect_platform
from ._record_documents import (
    MAX_INPUT_BYTES,
    group_documents,
    read_documents,
    show_documents,
    write_documents,
)

record_app = App(name="record", help="Read and change the records that configure the system.")

_REFUSAL_CODES = {
    RefusalKind.INVALID: ExitCode.FAULTS,
    RefusalKind.CHANGED: ExitCode.CHANGED,
    RefusalKind.UNAVAILABLE: ExitCode.UNAVAILABLE,
    RefusalKind.CONTENDED: ExitCode.UNAVAILABLE,
    RefusalKind.UNKNOWN: ExitCode.UNKNOWN,
}

Author = Annotated[str, Parameter(env_var="BURDOCKQUAY_AUTHOR")]
Json = Annotated[bool, Parameter(name="--json")]


@record_app.command
def check(file: Path = Path("-")) -> int:
    """Check records without access to the table; ``put --dry-run`` checks against the table too.

    Parameters
    ----------
    file
        JSON with comments; ``-`` reads from standard input.
    """
    read = _read_changes(file, None)
    if isinstance(read, Err):
        return _print_faults(read.err_value)
    print(f"{len(read.ok_value)} record(s) are sound")
    return ExitCode.DONE


@record_app.command
def put(
    file: Path = Path("-"),
    *,
    expected_revision: int | None = None,
    author: Author = "",
    dry_run: bool = False,
    as_json: Json = False,
    platform: PlatformOptions = DEFAULT_PLATFORM,
) -> int:
    """Write the records of a file to the table, all or none.

    Parameters
    ----------
    file
        JSON with comments: an object or a list of objects with kind, name, schema, revision and
        body; ``-`` reads from standard input. All schema versions of a record must be given
        together; a version that is left out is removed from the table.
    expected_revision
        Revision of the record that you read, for a file with one record that does not state it.
        If neither gives a revision, the record must not exist yet.
    author
        Author name in the log; defaults to the name of the user.
    dry_run
        Check everything against the table, but write nothing.
    as_json
        Print JSON.
    """
    read = _read_changes(file, expected_revision)
    if isinstance(read, Err):
        return _print_faults(read.err_value)
    return _change(platform, read.ok_value, author, dry_run, as_json)


@record_app.command
def withdraw(
    kind: str,
    name: str,
    *,
    expected_revision: int,
    author: Author = "",
    dry_run: bool = False,
    as_json: Json = False,
    platform: PlatformOptions = DEFAULT_PLATFORM,
) -> int:
    """Withdraw a record that no other record refers to.

    Parameters
    ----------
    kind, name
        The record.
    expected_revision
        Revision of the record that you read.
    author
        Author name in the log; defaults to the name of the user.
    dry_run
        Check everything against the table, but write nothing.
    as_json
        Print JSON.
    """
    change = RecordChange(kind, name, {}, expected_revision)
    return _change(platform, [change], author, dry_run, as_json)


@record_app.command
def get(kind: str, name: str, *, platform: PlatformOptions = DEFAULT_PLATFORM) -> int:
    """Print a record with its current revision, as JSON that ``put`` accepts."""

    def show(row: LogRow | None) -> int:
        if row is None or row.withdrawn:
            return _print_missing(kind, name)
        print(write_documents([row]))
        return ExitCode.DONE

    return _read(platform, lambda log: log.get(kind, name), show)


@record_app.command(name="list")
def list_records(
    kind: str = "", *, as_json: Json = False, platform: PlatformOptions = DEFAULT_PLATFORM
) -> int:
    """List the records in force, of one kind or of all."""

    def show(rows: Sequence[LogRow]) -> int:
        if as_json:
            print_json(show_documents(rows))
        else:
            _print_rows(rows)
        return ExitCode.DONE

    return _read(platform, lambda log: log.list(kind), show)


@record_app.command
def history(
    kind: str,
    name: str,
    *,
    limit: int = 100,
    as_json: Json = False,
    platform: PlatformOptions = DEFAULT_PLATFORM,
) -> int:
    """List the changes of a record, latest first."""

    def show(rows: Sequence[LogRow]) -> int:
        if not rows:
            return _print_missing(kind, name)
        if as_json:
            print_json([_describe_row(row) for row in rows])
        else:
            _print_rows(rows)
        return ExitCode.DONE

    return _read(platform, lambda log: log.history(kind, name, limit), show)


@record_app.command
def diff(
    kind: str,
    name: str,
    *,
    revision: int | None = None,
    as_json: Json = False,
    platform: PlatformOptions = DEFAULT_PLATFORM,
) -> int:
    """Print the differences that a change made to a record.

    Parameters
    ----------
    kind, name
        The record.
    revision
        Revision of the change; defaults to the latest one.
    as_json
        Print JSON.
    """

    def show(rows: Sequence[LogRow]) -> int:
        at = next((i for i, row in enumerate(rows) if revision in (None, row.entry.revision)), None)
        if at is None:
            return _print_missing(kind, name)
        before = rows[at + 1].entry.bodies if at + 1 < len(rows) else {}
        _print_changes(diff_bodies(before, rows[at].entry.bodies), as_json)
        return ExitCode.DONE

    return _read(platform, lambda log: log.history(kind, name, sys.maxsize), show)


def _read_changes(
    file: Path, expected_revision: int | None
) -> Result[list[RecordChange], list[RecordFault]]:
    try:
        content = sys.stdin.buffer.read() if str(file) == "-" else file.read_bytes()
        text = content.decode()
    except (OSError, UnicodeDecodeError) as error:
        return Err([RecordFault(str(file), "", "a readable UTF-8 file", str(error))])
    if len(content) > MAX_INPUT_BYTES:
        got = f"{len(content)} bytes"
        return Err([RecordFault(str(file), "", f"at most {MAX_INPUT_BYTES} bytes", got)])
    read = read_documents(text).and_then(group_documents)
    if isinstance(read, Err) or expected_revision is None:
        return read
    if len(read.ok_value) > 1:
        got = f"{len(read.ok_value)} records"
        return Err([RecordFault(str(file), "", "one record with --expected-revision", got)])
    return Ok([attrs.evolve(read.ok_value[0], expected_revision=expected_revision)])


def _change(
    options: PlatformOptions,
    changes: Sequence[RecordChange],
    author: str,
    dry_run: bool,
    as_json: bool,
) -> int:
    author = author or _user_name()

    async def commit() -> Result[Accepted, PutRefusal]:
        async with connect_platform(options) as platform:
            return await RecordLog(platform.table).commit(changes, author, time.time(), dry_run)

    result = asyncio.run(commit())
    if isinstance(result, Err):
        return _print_refusal(result.err_value, as_json)
    _print_accepted(result.ok_value, as_json)
    return ExitCode.DONE


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        # A container may run under a user without a name; the empty author is then reported as a
        # fault.
        return ""


def _read(
    options: PlatformOptions,
    query_log: Callable[[RecordLog], Awaitable[Result[Any, TableError]]],
    show: Callable[[Any], int],
) -> int:
    async def run() -> Result[Any, TableError]:
        async with connect_platform(options) as platform:
            return await query_log(RecordLog(platform.table))

    result = asyncio.run(run())
    if isinstance(result, Err):
        error = result.err_value
        print_error(f"table service at {options.table_url}: {error.kind.value}: {error.detail}")
        return ExitCode.UNAVAILABLE
    return show(result.ok_value)


def _print_accepted(accepted: Accepted, as_json: bool) -> None:
    if as_json:
        print_json({**attrs.asdict(accepted)})
        return
    _print_changes(accepted.changes, False)
    if accepted.dry_run:
        print("dry run: would be accepted; nothing was written")
        return
    confirmation_note = (
        " (the confirmation was lost; found by reading back)" if accepted.confirmed_late else ""
    )
    print(f"accepted at revision {accepted.revision}{confirmation_note}")


def _print_refusal(refusal: PutRefusal, as_json: bool) -> int:
    code = _REFUSAL_CODES[refusal.kind]
    if as_json:
        fields = attrs.asdict(refusal, value_serializer=_plain_value)
        print_json(fields)
        return code
    print_error(f"refused ({refusal.kind.value}): {refusal.detail}")
    for fault in refusal.faults:
        print_error(f"  {fault}")
    winner = refusal.winner
    if winner is not None:
        what = "withdrew it" if winner.withdrawn else f"put it at revision {winner.revision}"
        print_error(f"  {winner.author} {what} at {format_time(winner.at)}:")
        for change in winner.changes:
            print_error(f"    {change}")
    return code


def _plain_value(_: Any, __: Any, value: Any) -> Any:
    return value.value if isinstance(value, RefusalKind) else value


def _print_faults(faults: Sequence[RecordFault]) -> int:
    for fault in faults:
        print_error(fault)
    print_error(f"{len(faults)} fault(s); nothing was written")
    return ExitCode.FAULTS


def _print_missing(kind: str, name: str) -> int:
    print_error(f"{kind}/{name}: no such record or revision in the log")
    return ExitCode.NOT_FOUND


def _print_changes(changes: Sequence[FieldChange], as_json: bool) -> None:
    if as_json:
        print_json([attrs.asdict(change) for change in changes])
        return
    for change in changes:
        print(change)


def _describe_row(row: LogRow) -> dict[str, Any]:
    entry = row.entry
    return {
        "revision": entry.revision,
        "kind": entry.kind,
        "name": entry.name,
        "schemas": sorted(entry.bodies),
        "withdrawn": row.withdrawn,
        "author": entry.author,
        "at": entry.at,
    }


def _print_rows(rows: Sequence[LogRow]) -> None:
    header = ("REVISION", "RECORD", "SCHEMAS", "AUTHOR", "AT")
    print_table(
        header,
        (
            (
                row.entry.revision,
                f"{row.entry.kind}/{row.entry.name}",
                ",".join(map(str, sorted(row.entry.bodies))) or "withdrawn",
                row.entry.author,
                format_time(row.entry.at),
            )
            for row in rows
        ),
    )
