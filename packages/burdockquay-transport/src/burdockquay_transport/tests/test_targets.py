"""When an entry chooses its slots anew."""

import attrs

from burdockquay_state import VmState

from ._deployment import until


async def test_slots_are_chosen_anew_only_when_the_list_or_a_connection_has_changed(deployment):
    """Every second an entry would look through thousands of slots to choose the same ones.

    If it looked too rarely instead, requests would wait for slots that are gone.
    """
    async with deployment(engines=2) as running:
        (entry,) = running.entries
        entries = list(running.platform.vms.values())
        await until(lambda: all(link.connected for link in entry._links.values()))
        chosen = []
        choose = entry._choose_targets
        entry._choose_targets = lambda: chosen.append(1) or choose()

        def count(listed):
            chosen.clear()
            for _ in range(3):
                entry._apply_vm_list(list(listed))
            return len(chosen)

        count(entries)
        assert count(entries) == 0

        leaving = [attrs.evolve(item, state=VmState.LEAVING) for item in entries[:1]]
        assert count([*leaving, *entries[1:]]) > 0

        count(entries)
        await until(lambda: len(entry._links) == 2)
        await until(lambda: all(link.connected for link in entry._links.values()))
        count(entries)
        assert count(entries) == 0
        # An aborted slot may still say that it leaves, is then chosen no more, and all is steady.
        await running.slots[0].close()
        await until(lambda: not all(link.connected for link in entry._links.values()))
        assert count(entries) == 3
