"""The sub-commands ``burdockquay status`` and ``burdockquay usage``; they only read."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from typing import Any

import aiohttp
import attrs
from result import Err, Ok, Result

from burdockquay_state import RecordLog, TableError, VmEntry

from ._output import ExitCode, print_error, print_json, print_table
from ._platform_options import DEFAULT_PLATFORM, PlatformOptions, connect_platform
from ._record_command import Json
from ._usage import UsageTotals

_AT_ONCE = 50
_PAGE_LIMIT_BYTES = 1 << 22


@attrs.frozen
class ProcessAnswer:
    """What a process says of itself.

    Parameters
    ----------
    entry : VmEntry
        Its line in the VM list.
    page : dict or None
        What it answered; None if it did not.
    problem : str
        Why there is no answer, or why it is not to be trusted.
    """

    entry: VmEntry
    page: dict[str, Any] | None
    problem: str = ""


@attrs.frozen
class Survey:
    """What the platform and the processes answered.

    Parameters
    ----------
    head : Result of int, TableError
        Revision of the record log.
    vms : Result of list of VmEntry, TableError
    answers : list of ProcessAnswer
        One for each VM of the list.
    """

    head: Result[int, TableError]
    vms: Result[list[VmEntry], TableError]
    answers: list[ProcessAnswer]

    @property
    def complete(self) -> bool:
        """Whether everybody answered."""
        answered = all(not answer.problem for answer in self.answers)
        return answered and isinstance(self.head, Ok) and isinstance(self.vms, Ok)

    def problems(self) -> list[str]:
        """Return a line for each part that is missing."""
        lines = []
        for what, result in (("table service", self.head), ("VM list", self.vms)):
            if isinstance(result, Err):
                error = result.err_value
                lines.append(f"{what}: {error.kind.value}: {error.detail}")
        lines += [f"{part.entry.vm}: {part.problem}" for part in self.answers if part.problem]
        return lines


def status(*, as_json: Json = False, platform: PlatformOptions = DEFAULT_PLATFORM) -> int:
    """Show the revision in force by process, members, quarantine and the health of the table.

    Reads the table, the VM list and the read-only HTTP of the processes. Exit status 6 says that
    somebody did not answer.
    """
    survey = asyncio.run(_survey(platform, "/status", ("entry", "slot")))
    if as_json:
        print_json(_describe(survey))
    else:
        _print_status(survey)
    return _end(survey)


def usage(*, as_json: Json = False, platform: PlatformOptions = DEFAULT_PLATFORM) -> int:
    """Show tokens, wasted tokens and refusals by organisation, summed over all entries.

    The counts begin with the start of each entry. Exit status 6 says that an entry did not answer.
    """
    survey = asyncio.run(_survey(platform, "/usage", ("entry",)))
    totals = UsageTotals()
    for answer in survey.answers:
        if answer.page is not None:
            totals.add(answer.page)
    if as_json:
        print_json({**totals.describe(), "problems": survey.problems()})
    else:
        totals.print()
    return _end(survey)


async def _survey(options: PlatformOptions, path: str, roles: Iterable[str]) -> Survey:
    async with connect_platform(options) as platform:
        head, vms = await asyncio.gather(RecordLog(platform.table).head(), platform.vms.list())
    listed = [entry for entry in vms.ok() or () if entry.role in roles]
    gate = asyncio.Semaphore(_AT_ONCE)
    timeout = aiohttp.ClientTimeout(total=options.timeout_s)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        answers = await asyncio.gather(*(_ask(session, gate, entry, path) for entry in listed))
    return Survey(head, vms, list(answers))


async def _ask(
    session: aiohttp.ClientSession, gate: asyncio.Semaphore, entry: VmEntry, path: str
) -> ProcessAnswer:
    host = f"[{entry.host}]" if ":" in entry.host else entry.host
    url = f"http://{host}:{entry.status_port}{path}"
    try:
        async with gate, session.get(url) as response:
            content = await response.content.read(_PAGE_LIMIT_BYTES)
            if response.status != 200:
                return ProcessAnswer(entry, None, f"{url} answered {response.status}")
            page = json.loads(content)
    except TimeoutError:
        return ProcessAnswer(entry, None, f"{url} did not answer in time")
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return ProcessAnswer(entry, None, f"{url} cannot be read: {error}")
    if not isinstance(page, dict):
        return ProcessAnswer(entry, None, f"{url}: expected an object, got {page!r:.80}")
    # The list lags: another VM may have got the address.
    other = page.get("vm", entry.vm)
    if other != entry.vm:
        return ProcessAnswer(entry, None, f"{url} is answered by {other}")
    return ProcessAnswer(entry, page)


def _describe(survey: Survey) -> dict[str, Any]:
    return {
        "head": survey.head.ok(),
        "processes": [
            {"vm": answer.entry.vm, "listed": answer.entry.state.value, "status": answer.page}
            for answer in survey.answers
        ],
        "problems": survey.problems(),
    }


def _print_status(survey: Survey) -> None:
    head = survey.head.ok()
    print(f"head revision: {'unknown' if head is None else head}")
    header = ("VM", "ROLE", "DOMAIN", "LISTED", "REVISION", "STATE", "MEMBERS", "TABLE")
    print_table(header, [_status_row(answer, head) for answer in survey.answers])
    digests = _quarantine(survey)
    print(f"quarantine: {len(digests)} suspicion(s)")
    for digest, crashes in sorted(digests.items()):
        print(f"  {digest}  crashes {crashes}")


def _status_row(answer: ProcessAnswer, head: int | None) -> tuple[Any, ...]:
    entry, page = answer.entry, answer.page
    start = (entry.vm, entry.role, entry.failure_domain, entry.state.value)
    if page is None:
        return (*start, "?", "no answer", "?", "?")
    revision = page.get("revision", "?")
    behind = " (behind)" if head is not None and revision != "?" and revision < head else ""
    members = page.get("members", [])
    connected = sum(1 for member in members if member.get("connected"))
    leaving = sum(1 for member in members if member.get("leaving"))
    shown = f"{connected}/{len(members)}" + (f", {leaving} leaving" if leaving else "")
    state = "leaving" if page.get("leaving") else "running"
    table = "healthy" if page.get("table", {}).get("healthy") else "unavailable"
    return (*start, f"{revision}{behind}", state, shown, table)


def _quarantine(survey: Survey) -> dict[str, int]:
    found: dict[str, int] = {}
    for answer in survey.answers:
        for item in (answer.page or {}).get("quarantine", []):
            digest = str(item.get("digest"))
            found[digest] = max(found.get(digest, 0), int(item.get("crashes", 0)))
    return found


def _end(survey: Survey) -> int:
    for line in survey.problems():
        print_error(line)
    return ExitCode.DONE if survey.complete else ExitCode.INCOMPLETE
