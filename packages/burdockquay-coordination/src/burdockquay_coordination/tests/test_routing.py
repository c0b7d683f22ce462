import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockquay_coordination import RouteTable, authenticate, classes_of_group, make_key_digest
from burdockquay_protocol import ErrorKind
from burdockquay_state import ANY, ClassRecord, OrganisationRecord, RouteRecord, Snapshot

SALT = "ab" * 16


def make_snapshot(*routes):
    return Snapshot(routes={route.name: route for route in routes})


@pytest.fixture
def keys():
    organisation = OrganisationRecord(
        "north.parish",
        SALT,
        [make_key_digest(SALT, "north.parish.old"), make_key_digest(SALT, "north.parish.new")],
    )
    return Snapshot(organisations={organisation.name: organisation})


@pytest.mark.parametrize("key", ["north.parish.old", "north.parish.new"])
def test_each_valid_key_names_its_organisation(keys, key):
    assert authenticate(keys, key).ok().name == "north.parish"


@pytest.mark.parametrize(
    "key",
    ["", ".", "north.parish", "north.parish.", "north.parish.x", "south.old", "north.parish.old "],
)
def test_other_keys_are_rejected_with_the_same_text(keys, key):
    error = authenticate(keys, key).err()
    assert error.kind is ErrorKind.UNAUTHENTICATED
    assert error.detail == authenticate(keys, "nobody.secret").err().detail


some_organisation = st.sampled_from([ANY, "north", "south"])
some_model = st.sampled_from([ANY, "m1", "m2"])
some_class = st.sampled_from([ANY, "c1"])
some_prefix = st.sampled_from(["/", "/v1", "/v1/chat", "/services/x", "/services/xy"])
some_path = st.sampled_from(["/", "/v1/chat/completions", "/services/xyz", "/v", ""])

routes = st.lists(
    st.builds(
        RouteRecord,
        name=st.sampled_from("abcdefgh"),
        class_name=st.just("c"),
        group=st.just("g"),
        precedence=st.integers(0, 2),
        organisation=some_organisation,
        path_prefix=some_prefix,
        model=some_model,
        service_class=some_class,
    ),
    max_size=8,
    unique_by=lambda route: route.name,
)


@given(
    routes,
    st.sampled_from(["north", "west"]),
    some_path,
    st.sampled_from(["m1", "m3", ""]),
    st.sampled_from(["c1", ""]),
)
def test_the_index_agrees_with_a_search_through_all_routes(
    records, organisation, path, model, service_class
):
    def matches(route, wanted_model):
        return (
            route.organisation in (ANY, organisation)
            and route.model in (ANY, wanted_model)
            and route.service_class in (ANY, service_class)
            and path.startswith(route.path_prefix)
        )

    found = RouteTable(make_snapshot(*records)).match(organisation, path, model, service_class)
    hits = [route for route in records if matches(route, model)]
    if hits:
        assert found.ok() == min(hits, key=lambda route: (-route.precedence, route.name))
        return
    other_model = any(matches(route, route.model) for route in records)
    expected = ErrorKind.UNKNOWN_MODEL if other_model and model else ErrorKind.NOT_FOUND
    assert found.err().kind is expected


def test_class_reserves_places_only_in_groups_of_its_routes():
    """Classes are served by different groups of upstreams.

    If places were reserved in both groups, half of a group would stay idle for requests that never
    arrive.
    """
    hold = ClassRecord("hold", 100, 0.1, 0.1, 4.0, protected=True, reserved_places=2)
    snapshot = Snapshot(
        classes={"hold": hold},
        routes={"r": RouteRecord("r", class_name="hold", group="booking")},
    )
    assert classes_of_group(snapshot, "booking")["hold"] == hold
    assert classes_of_group(snapshot, "drafting")["hold"].reserved_places == 0
