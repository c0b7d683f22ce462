"""Measure the contribution of each mechanism of the forwarder to the score of simulated days.

``python scripts/ablate.py --bench PROGRAM --copy FOLDER --site FILE --day NAME`` runs each day with
every mechanism enabled, and once with each one disabled, in clones of the repository. It prints a
table of the score lost without each mechanism, and a JSON object as its last line.

The bench is any program that executes ``run SITE DAY --no-cpu --why TEXT [--seed N]`` in a
repository and writes a JSON file to ``journal/`` there. The first of its ``days`` contains the
score of the day as ``G``, the share of requests that were served as ``served``, and the violated
rules as ``rules``.
"""

from __future__ import annotations

import argparse
import json
import re
import subprocess
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs

from burdockquay_coordination.forwarding import Mechanism

TEMPLATE = Path("deploy/forwarder.jsonc")

ALL = "all"
"""Name of the row in which every mechanism is enabled."""


@attrs.frozen
class DayRun:
    """One run of a day.

    Parameters
    ----------
    off : str
        The disabled mechanism, ``ALL`` for none.
    site : str
        Path of the site file.
    day : str
    seed : int or None
        None for the seed of the day.
    """

    off: str
    site: str
    day: str
    seed: int | None


@attrs.frozen
class Outcome:
    """Result of one run.

    Parameters
    ----------
    play : DayRun
    worth : float
        Score of the day.
    served : float
        Share of the requests that were served.
    rules : tuple of str
        Violated rules.
    """

    play: DayRun
    worth: float
    served: float
    rules: tuple[str, ...]


def disable_mechanism(template: str, mechanism: str) -> str:
    """Return the text of a settings template with a mechanism disabled.

    Examples
    --------
    >>> print(disable_mechanism('{\\n  "log_level": "INFO",\\n}', "fetches"))
    {
      "mechanisms_off": ["fetches"],
      "log_level": "INFO",
    }
    """
    line = f'  "mechanisms_off": ["{mechanism}"],\n  "log_level"'
    changed, count = re.subn(r'  "log_level"', line, template, count=1)
    if not count:
        raise ValueError("the settings template has no line with log_level")
    return changed


def clone_repository(off: str, folder: Path) -> Path:
    """Return a clone of the repository with a mechanism disabled."""
    copy = folder / off
    if not copy.exists():
        subprocess.run(["git", "clone", "-q", ".", str(copy)], check=True)
    template = copy / TEMPLATE
    source = TEMPLATE.read_text()
    template.write_text(source if off == ALL else disable_mechanism(source, off))
    return copy


def run_day(bench: Path, copy: Path, play: DayRun) -> Outcome:
    """Run one day and return its result."""
    before = set((copy / "journal").glob("*.json"))
    command = [
        str(bench),
        "run",
        play.site,
        play.day,
        "--no-cpu",
        "--why",
        f"trial: {play.off} off",
    ]
    if play.seed is not None:
        command += ["--seed", str(play.seed)]
    subprocess.run(command, cwd=copy, check=True, capture_output=True)
    (entry,) = set((copy / "journal").glob("*.json")) - before
    day = json.loads(entry.read_text())["days"][0]
    return Outcome(play, day["G"], day["served"], tuple(day["rules"]))


def run_row(bench: Path, folder: Path, off: str, runs: list[DayRun]) -> list[Outcome]:
    """Run all days with one mechanism disabled."""
    copy = clone_repository(off, folder)
    return [run_day(bench, copy, play) for play in runs]


def list_runs(options: argparse.Namespace, off: str) -> Iterator[DayRun]:
    """Yield the runs of one row."""
    for site in options.site:
        for day in options.day:
            for seed in options.seed or [None]:
                yield DayRun(off, str(Path(site).resolve()), day, seed)


def print_table(rows: dict[str, list[Outcome]]) -> None:
    """Print score, share served and score lost against the first row, for each row."""
    base = rows[ALL]
    for off, outcomes in rows.items():
        worth = sum(item.worth for item in outcomes) / len(outcomes)
        served = sum(item.served for item in outcomes) / len(outcomes)
        lost = sum(b.worth - o.worth for b, o in zip(base, outcomes, strict=True)) / len(base)
        each = " ".join(f"{item.worth:.3f}" for item in outcomes)
        broken = ",".join(sorted({rule for item in outcomes for rule in item.rules}))
        print(f"{off:16} {worth:.4f} served {served:.4f} lost {lost:+.4f}  {each} {broken}")


def main() -> None:
    """Run all rows and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", type=Path, required=True)
    parser.add_argument("--copy", type=Path, required=True, help="folder for the clones")
    parser.add_argument("--site", action="append", required=True)
    parser.add_argument("--day", action="append", required=True)
    parser.add_argument("--seed", action="append", type=int)
    parser.add_argument("--off", action="append", choices=[str(item) for item in Mechanism])
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    bench = options.bench.resolve()
    names = [ALL, *(options.off or map(str, Mechanism))]
    with ThreadPoolExecutor(options.jobs) as pool:
        futures = {
            off: pool.submit(run_row, bench, options.copy, off, list(list_runs(options, off)))
            for off in names
        }
        rows = {off: future.result() for off, future in futures.items()}
    print_table(rows)
    figures = {off: [attrs.asdict(item) for item in outcomes] for off, outcomes in rows.items()}
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
