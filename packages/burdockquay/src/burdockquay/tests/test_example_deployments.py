"""Tests that the example deployments are accepted and route requests as their comments say."""

from pathlib import Path

import pytest

from burdockquay._record_documents import group_documents, read_documents
from burdockquay_coordination import ConfigurationHolder, RouteTable, authenticate
from burdockquay_state import MemoryTable, RecordLog

DEPLOYMENTS = Path(__file__).parents[5] / "examples" / "deployments"
CHAT = "/v1/chat/completions"


async def load(name):
    documents = read_documents((DEPLOYMENTS / f"{name}.jsonc").read_text()).unwrap()
    log = RecordLog(MemoryTable())
    (await log.commit(group_documents(documents).unwrap(), "test", 0.0)).unwrap()
    holder = ConfigurationHolder()
    assert not holder.apply((await log.read_all()).unwrap(), 0.0).faults
    return holder.snapshot


@pytest.mark.parametrize(
    ("name", "path", "model", "service_class", "expected"),
    [
        ("dala", "/services/billing/charges", "", "", "charge-confirmation"),
        ("dala", CHAT, "order-desk", "pause-request", "pause-request"),
        ("dala", CHAT, "advisor", "renewal-summary", "renewal-summary"),
        ("dala", CHAT, "advisor", "", "dosage-question"),
        ("dala", CHAT, "advisor", "charge-confirmation", "dosage-question"),
        ("klidne", "/services/booking/holds", "", "", "slot-hold"),
        ("klidne", "/services/booking/hearses", "", "", "hearse-confirmation"),
        ("klidne", CHAT, "drafting", "ceremony-plan", "ceremony-plan"),
        ("klidne", CHAT, "drafting", "", "eulogy-draft"),
    ],
)
async def test_request_is_routed_to_the_class_that_the_comments_name(
    name, path, model, service_class, expected
):
    snapshot = await load(name)
    route = RouteTable(snapshot).match("anyone", path, model, service_class).unwrap()
    assert route.class_name == expected
    effect = path.startswith("/services")
    assert (route.idempotent, route.requires_key) == (not effect, effect)
    assert snapshot.classes[expected].protected or not effect


@pytest.mark.parametrize("name", ["dala", "klidne"])
async def test_keys_in_the_comments_are_valid_and_others_are_not(name):
    snapshot = await load(name)
    for organisation in snapshot.organisations:
        found = authenticate(snapshot, f"{organisation}.change-me")
        assert found.unwrap().name == organisation
        assert authenticate(snapshot, f"{organisation}.changed").is_err()
