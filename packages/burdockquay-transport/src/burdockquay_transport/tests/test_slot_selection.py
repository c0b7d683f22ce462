"""When an entry repeats the choice of its slots."""

import attrs

from burdockquay_state import VmState

from ._deployment import until


async def test_slots_are_chosen_again_only_after_a_change_of_the_list_or_a_connection(deployment):
    """Otherwise an entry would evaluate thousands of slots every second to choose the same ones.

    If it chose too rarely, requests would wait for slots that are no longer available.
    """
    async with deployment(engines=2) as running:
        (entry,) = running.entries
        entries = list(running.platform.vms.values())
        await until(lambda: all(link.connected for link in entry._links.values()))
        choices = []
        choose = entry._choose_targets
        entry._choose_targets = lambda: choices.append(1) or choose()

        def count(listed):
            choices.clear()
            for _ in range(3):
                entry._apply_vm_list(list(listed))
            return len(choices)

        count(entries)
        assert count(entries) == 0

        leaving = [attrs.evolve(item, state=VmState.LEAVING) for item in entries[:1]]
        assert count([*leaving, *entries[1:]]) > 0

        count(entries)
        await until(lambda: len(entry._links) == 2)
        await until(lambda: all(link.connected for link in entry._links.values()))
        count(entries)
        assert count(entries) == 0
        # A closed slot may still report that it drains; it is then not chosen, and the connections
        # are stable.
        await running.slots[0].close()
        await until(lambda: not all(link.connected for link in entry._links.values()))
        assert count(entries) == 3
