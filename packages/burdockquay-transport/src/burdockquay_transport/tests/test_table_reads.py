"""Rate of reads of the head revision by all processes together."""

import random

import pytest

from burdockquay_coordination import next_read_delay
from burdockquay_transport import PlatformSettings, SlotSettings
from burdockquay_transport.slot import Slot

URL = "http://127.0.0.1:1"


def mean_delay(slot):
    settings, rng = slot.settings, random.Random(1)
    delays = [
        next_read_delay(
            settings.poll_interval_s, settings.table_read_budget, slot._count_processes(), rng
        )
        for _ in range(2000)
    ]
    return sum(delays) / len(delays)


@pytest.mark.parametrize(("entries", "subset"), [(3, 9), (1900, 144)])
def test_all_processes_together_keep_to_the_read_budget(entries, subset):
    """If each slot read independently, thousands of slots would use up the reads of the table.

    Requests that run at most once would be refused, although the table works.
    """
    slots = 3 * entries
    platform = PlatformSettings(URL, URL, URL)
    settings = SlotSettings("s", "d", "0" * 32, platform, group="g", upstream_url=URL)
    slot = Slot(settings)
    slot._connected_peers = lambda: range(entries * subset // slots)
    entry_reads = entries * settings.table_read_budget / (entries + slots)
    slot_reads = slots / mean_delay(slot)
    assert entry_reads + slot_reads <= settings.table_read_budget


def test_a_slot_without_entries_reads_at_every_interval():
    platform = PlatformSettings(URL, URL, URL)
    settings = SlotSettings("s", "d", "0" * 32, platform, group="g", upstream_url=URL)
    slot = Slot(settings)
    slot._connected_peers = list
    assert mean_delay(slot) == pytest.approx(settings.poll_interval_s, rel=0.05)
