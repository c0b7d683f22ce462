"""Measures what each mechanism of the forwarder is worth, with a bench that plays days.

``python scripts/ablate.py --bench PROGRAM --copy FOLDER --site FILE --day NAME`` plays each day
with every mechanism, and once with each one turned off, in a clone of the repository. It prints a
table of the worth lost without each mechanism, and a JSON object as its last line.

The bench is any program that plays ``run SITE DAY --seed N --no-cpu`` in a repository and leaves a
JSON file there in ``journal/``, whose ``days`` hold the worth of each as ``G``.
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
"""Name of the row in which every mechanism is on."""


@attrs.frozen
class Play:
    """One day to be played.

    Parameters
    ----------
    off : str
        The mechanism that is off, ``ALL`` for none.
    site : str
        Path of the site file.
    day : str
    seed : int or None
        None for the day's own.
    """

    off: str
    site: str
    day: str
    seed: int | None


@attrs.frozen
class Outcome:
    """What a day was worth.

    Parameters
    ----------
    play : Play
    worth : float
    served : float
        Share of the requests.
    rules : tuple of str
        Rules that were broken.
    """

    play: Play
    worth: float
    served: float
    rules: tuple[str, ...]


def turn_off(template: str, mechanism: str) -> str:
    """Return the text of a settings template with a mechanism turned off.

    Examples
    --------
    >>> print(turn_off('{\\n  "log_level": "INFO",\\n}', "fetches"))
    {
      "mechanisms_off": ["fetches"],
      "log_level": "INFO",
    }
    """
    line = f'  "mechanisms_off": ["{mechanism}"],\n  "log_level"'
    changed, count = re.subn(r'  "log_level"', line, template, count=1)
    if not count:
        raise ValueError("the template has no line for the log level")
    return changed


def clone(off: str, folder: Path) -> Path:
    """Return a clone of the repository in which a mechanism is off."""
    copy = folder / off
    if not copy.exists():
        subprocess.run(["git", "clone", "-q", ".", str(copy)], check=True)
    template = copy / TEMPLATE
    source = TEMPLATE.read_text()
    template.write_text(source if off == ALL else turn_off(source, off))
    return copy


def play_day(bench: Path, copy: Path, play: Play) -> Outcome:
    """Play one day and return what it was worth."""
    before = set((copy / "journal").glob("*.json"))
    words = [str(bench), "run", play.site, play.day, "--no-cpu", "--why", f"trial: {play.off} off"]
    if play.seed is not None:
        words += ["--seed", str(play.seed)]
    subprocess.run(words, cwd=copy, check=True, capture_output=True)
    (entry,) = set((copy / "journal").glob("*.json")) - before
    day = json.loads(entry.read_text())["days"][0]
    return Outcome(play, day["G"], day["served"], tuple(day["rules"]))


def play_row(bench: Path, folder: Path, off: str, plays: list[Play]) -> list[Outcome]:
    """Play all days with one mechanism off."""
    copy = clone(off, folder)
    return [play_day(bench, copy, play) for play in plays]


def list_plays(options: argparse.Namespace, off: str) -> Iterator[Play]:
    """Return the days of one row."""
    for site in options.site:
        for day in options.day:
            for seed in options.seed or [None]:
                yield Play(off, str(Path(site).resolve()), day, seed)


def print_table(rows: dict[str, list[Outcome]]) -> None:
    """Print worth and share served of each row, as differences from the first one."""
    base = rows[ALL]
    for off, outcomes in rows.items():
        worth = sum(item.worth for item in outcomes) / len(outcomes)
        served = sum(item.served for item in outcomes) / len(outcomes)
        lost = sum(b.worth - o.worth for b, o in zip(base, outcomes, strict=True)) / len(base)
        each = " ".join(f"{item.worth:.3f}" for item in outcomes)
        broken = ",".join(sorted({rule for item in outcomes for rule in item.rules}))
        print(f"{off:16} {worth:.4f} served {served:.4f} lost {lost:+.4f}  {each} {broken}")


def main() -> None:
    """Play the table."""
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
            off: pool.submit(play_row, bench, options.copy, off, list(list_plays(options, off)))
            for off in names
        }
        rows = {off: future.result() for off, future in futures.items()}
    print_table(rows)
    figures = {off: [attrs.asdict(item) for item in outcomes] for off, outcomes in rows.items()}
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
