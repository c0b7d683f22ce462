"""The sub-commands ``burdockquay status`` and ``burdockquay usage``, which are read-only."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from typing import Any

import aiohttp
import attrs
from result import Err, Ok, Result

from burdockquay_state import RecordLog, TableError, VmEntry

from ._output import ExitCode, format_time, print_error, print_json, print_table
from ._platform_options import DEFAULT_PLATFORM, PlatformOptions, connect_platform
from ._record_command import Json
from ._usage import UsageTotals

_MAX_CONCURRENT_REQUESTS = 50
_MAX_PAGE_BYTES = 1 << 22


@attrs.frozen
class ProcessAnswer:
    """Answer of a process to a request for its status or usage.

    Parameters
    ----------
    entry : VmEntry
        Entry of the process in the VM list.
    page : dict or None
        JSON object that it answered with; None if there is no valid answer.
    problem : str
        Why there is no valid answer; empty if there is one.
    """

    entry: VmEntry
    page: dict[str, Any] | None
    problem: str = ""


@attrs.frozen
class Survey:
    """Answers of the platform and of the processes.

    Parameters
    ----------
    head : Result of int, TableError
        Revision of the record log.
    vms : Result of list of VmEntry, TableError
    answers : list of ProcessAnswer
        One for each process of the requested roles in the VM list.
    """

    head: Result[int, TableError]
    vms: Result[list[VmEntry], TableError]
    answers: list[ProcessAnswer]

    @property
    def complete(self) -> bool:
        """Whether the platform and all processes answered."""
        answered = all(not answer.problem for answer in self.answers)
        return answered and isinstance(self.head, Ok) and isinstance(self.vms, Ok)

    def problems(self) -> list[str]:
        """Return one line for each missing answer."""
        lines = []
        for what, result in (("table service", self.head), ("VM list", self.vms)):
            if isinstance(result, Err):
                error = result.err_value
                lines.append(f"{what}: {error.kind.value}: {error.detail}")
        lines += [f"{part.entry.vm}: {part.problem}" for part in self.answers if part.problem]
        return lines


def status(*, as_json: Json = False, platform: PlatformOptions = DEFAULT_PLATFORM) -> int:
    """Show for each process the revision in force, its members and the health of the table.

    Also lists the evacuated failure domains and the suspicions in quarantine. Reads the table, the
    VM list and the read-only HTTP endpoints of the processes. Exit code 6 means that the platform
    or a process did not answer.
    """
    survey = asyncio.run(_survey(platform, "/status", ("entry", "slot")))
    if as_json:
        print_json(_describe(survey))
    else:
        _print_status(survey)
    return _report_problems(survey)


def usage(*, as_json: Json = False, platform: PlatformOptions = DEFAULT_PLATFORM) -> int:
    """Show generated tokens, wasted tokens and refusals by organisation, summed over all entries.

    The counts start at zero when an entry starts. Exit code 6 means that the platform or an entry
    did not answer.
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
    return _report_problems(survey)


async def _survey(options: PlatformOptions, path: str, roles: Iterable[str]) -> Survey:
    async with connect_platform(options) as platform:
        head, vms = await asyncio.gather(RecordLog(platform.table).head(), platform.vms.list())
    listed = [entry for entry in vms.ok() or () if entry.role in roles]
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)
    timeout = aiohttp.ClientTimeout(total=options.timeout_s)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        answers = await asyncio.gather(*(_ask(session, semaphore, entry, path) for entry in listed))
    return Survey(head, vms, list(answers))


async def _ask(
    session: aiohttp.ClientSession, semaphore: asyncio.Semaphore, entry: VmEntry, path: str
) -> ProcessAnswer:
    host = f"[{entry.host}]" if ":" in entry.host else entry.host
    url = f"http://{host}:{entry.status_port}{path}"
    try:
        async with semaphore, session.get(url) as response:
            content = await response.content.read(_MAX_PAGE_BYTES)
            if response.status != 200:
                return ProcessAnswer(entry, None, f"{url} answered {response.status}")
            page = json.loads(content)
    except TimeoutError:
        return ProcessAnswer(entry, None, f"{url} did not answer in time")
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return ProcessAnswer(entry, None, f"{url} cannot be read: {error}")
    if not isinstance(page, dict):
        return ProcessAnswer(entry, None, f"{url}: expected an object, got {page!r:.80}")
    # The VM list may be out of date: another VM may have been given the address since.
    answered_by = page.get("vm", entry.vm)
    if answered_by != entry.vm:
        return ProcessAnswer(entry, None, f"{url} is answered by {answered_by}")
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
    for line in _evacuation_lines(survey):
        print(line)
    digests = _quarantine(survey)
    print(f"quarantine: {len(digests)} suspicion(s)")
    for digest, crashes in sorted(digests.items()):
        print(f"  {digest}  crashes {crashes}")


def _status_row(answer: ProcessAnswer, head: int | None) -> tuple[Any, ...]:
    entry, page = answer.entry, answer.page
    listed_columns = (entry.vm, entry.role, entry.failure_domain, entry.state.value)
    if page is None:
        return (*listed_columns, "?", "no answer", "?", "?")
    revision = page.get("revision", "?")
    behind = " (behind)" if head is not None and revision != "?" and revision < head else ""
    members = page.get("members", [])
    connected = sum(1 for member in members if member.get("connected"))
    leaving = sum(1 for member in members if member.get("leaving"))
    members_text = f"{connected}/{len(members)}" + (f", {leaving} leaving" if leaving else "")
    state = "leaving" if page.get("leaving") else "running"
    table = "healthy" if page.get("table", {}).get("healthy") else "unavailable"
    return (*listed_columns, f"{revision}{behind}", state, members_text, table)


def _evacuation_lines(survey: Survey) -> list[str]:
    """Return a line for each evacuated domain: since when, and at how many processes in force."""
    pages = [answer.page for answer in survey.answers if answer.page is not None]
    known: dict[str, list[float]] = {}
    for page in pages:
        for item in page.get("evacuations", []):
            known.setdefault(str(item.get("domain")), []).append(float(item.get("since", 0.0)))
    return [
        f"evacuated: {domain} since {format_time(min(times))}, in force at {len(times)} of "
        f"{len(pages)} process(es)"
        for domain, times in sorted(known.items())
    ]


def _quarantine(survey: Survey) -> dict[str, int]:
    found: dict[str, int] = {}
    for answer in survey.answers:
        for item in (answer.page or {}).get("quarantine", []):
            digest = str(item.get("digest"))
            found[digest] = max(found.get(digest, 0), int(item.get("crashes", 0)))
    return found


def _report_problems(survey: Survey) -> int:
    for line in survey.problems():
        print_error(line)
    return ExitCode.DONE if survey.complete else ExitCode.INCOMPLETE
