"""How entries and slots receive and keep their configuration."""

import attrs
import logbook

from burdockquay_state import (
    ClassRecord,
    ClassRecordV1,
    OrganisationRecord,
    RouteRecord,
    RouteRecordV1,
    known_schemas,
)

from ._deployment import RECORDS, chat_body, put_records, until

OLD_RELEASE = known_schemas() - {("class", 2), ("route", 2)}
DRAFT = next(item for item in RECORDS if item.kind == "class" and item.name == "draft")
CHAT = next(item for item in RECORDS if item.kind == "route" and item.name == "chat")


async def put(log, records):
    row = (await log.get(records[0].kind, records[0].name)).ok()
    accepted = await log.put(records, "test", row.entry.revision, 0.0)
    return accepted.unwrap().revision


async def test_entries_of_the_old_and_the_new_release_serve_side_by_side(deployment):
    """A release with new record schemas is rolled out entry by entry.

    While records contain both schemas, both entries serve callers. If an operator omits the old
    schema too early, the old entry keeps its last configuration and logs that.
    """
    async with deployment(engines=1, entries=0) as running:
        old_class = ClassRecordV1("draft", 10, 2.0, 5.0)
        old_route = RouteRecordV1("chat", "draft", "drafting", path_prefix="/v1/")
        await put(running.log, [old_class, DRAFT])
        both = await put(running.log, [old_route, CHAT])
        old = await running.add_entry("old", known_schemas=OLD_RELEASE)
        new = await running.add_entry("new")
        await until(lambda: running.is_connected(old) and running.is_connected(new))
        await until(lambda: old.snapshot.revision == new.snapshot.revision == both)
        assert isinstance(old.snapshot.routes["chat"], RouteRecord)
        assert isinstance(old.snapshot.classes["draft"], ClassRecord)
        with logbook.TestHandler().applicationbound() as handler:
            later = await put(running.log, [attrs.evolve(DRAFT, priority=20)])
            await until(lambda: old.snapshot.revision == new.snapshot.revision == later)
        assert any("record_schema_unknown" in line for line in handler.formatted_records)
        assert old.snapshot.classes["draft"].priority == 10
        assert new.snapshot.classes["draft"].priority == 20
        for entry in range(2):
            async with running.post("/v1/chat/completions", chat_body(), entry) as response:
                assert response.status == 200


async def test_entry_that_starts_while_the_table_is_down_gets_configuration_from_peers(deployment):
    """An entry is started while the table is down, so it cannot read the configuration.

    It would serve no requests until the table recovers; the slots send it the configuration.
    """
    async with deployment(engines=2) as running:
        first = running.entries[0]
        latest = await put_records(running.log, [OrganisationRecord("late", "00" * 8, ["ab" * 32])])
        slots = running.slots
        await until(lambda: all(slot.describe()["revision"] == latest for slot in slots))
        read_table = running.platform.table
        running.platform.table = None  # every read of the table fails from now on
        second = await running.add_entry("second")
        await until(lambda: second.ready)
        assert second.snapshot == first.snapshot
        running.platform.table = read_table
