"""A store that comes back from a copy under load, beside an outage that loses nothing.

Forwarders in one event loop serve calls while the store goes away and comes back from a copy some
seconds old. The copy lacks a configuration and the word of an upstream that it leaves; a key is
withdrawn after the return, and a quarter of the processes reach the store later than the others.
They tell each other of the store's tables in memory, so that no connections between them and no
list of members are part of the figures. Callers do not repeat. The last line is one JSON object,
with the figures of the drill with the most forwarders and the faults of all.
"""

from __future__ import annotations

import multiprocessing
from concurrent.futures import ProcessPoolExecutor

import attrs
from _era_play import EraOutcome, play_era
from _report import print_load_average, print_result, print_table

FEEDS = (4, 30, 100)
AT_ONCE = 3
"""Plays at once, each in a process of its own."""

FAULTS = ("keys_late", "config_back", "leaving_late")


def main() -> None:
    plays = [(feeds, new_era) for new_era in (True, False) for feeds in reversed(FEEDS)]
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(AT_ONCE, spawn) as pool:
        outcomes: list[EraOutcome] = list(pool.map(play_era, *zip(*plays, strict=True)))
    found = {play: attrs.asdict(outcome) for play, outcome in zip(plays, outcomes, strict=True)}
    header = ["feeds", *found[plays[0]]]
    for new_era, title in ((True, "Return from a copy"), (False, "Outage that loses nothing")):
        rows = [(feeds, *found[feeds, new_era].values()) for feeds in FEEDS]
        print_table(title, header, rows)
    print_load_average()
    result = found[FEEDS[-1], True]
    result |= {name: sum(figures[name] for figures in found.values()) for name in FAULTS}
    result |= {f"outage_{name}": found[FEEDS[-1], False][name] for name in ("calls", "kib_told")}
    print_result(result)


if __name__ == "__main__":
    main()
