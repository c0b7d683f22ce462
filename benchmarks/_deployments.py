"""The two measured deployments, with their classes, groups and demand."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any

import attrs
from _harness import Cluster
from _records import class_route, organisation_record

from burdockquay_standins import EngineParameters
from burdockquay_state import ClassRecord, GroupRecord, PolicyRecord

MODEL = "standin"
LARGE_WEIGHT = 5.0
LARGE_ORGANISATIONS = 3
BASELINE_PATIENCE_S = 60.0
BASELINE_POLICY = PolicyRecord(
    binding="slot_queue",
    queue="fifo",
    placement="random",
    preemption=False,
    reserve=False,
    shedding=False,
)


@attrs.frozen
class EngineGroup:
    """A group of identical engines.

    Parameters
    ----------
    name : str
    count : int
        Number of engines.
    engine : EngineParameters
    """

    name: str
    count: int
    engine: EngineParameters

    @property
    def tokens_per_s(self) -> float:
        """Tokens generated per second with every place in use."""
        engine = self.engine
        step_s = engine.base_step_s + engine.per_running_s * engine.places
        return self.count * engine.places / step_s


@attrs.frozen
class Demand:
    """Offered load of one class.

    Parameters
    ----------
    class_name, group : str
    load : float
        Offered tokens as a multiple of the group's capacity.
    max_tokens : int
        Limit on the length of one answer.
    patience_s : float
        Time after which a caller disconnects if its answer is not complete, seconds.
    """

    class_name: str
    group: str
    load: float
    max_tokens: int
    patience_s: float


@attrs.frozen
class Deployment:
    """A customer's engines, classes, organisations and demand.

    Parameters
    ----------
    name : str
    domains : tuple of str
    entries : int
    groups : tuple of EngineGroup
    classes : mapping of str to ClassRecord
    demand : tuple of Demand
    organisations : mapping of str to float
        Weight by organisation, which is also its share of the offered load.
    """

    name: str
    domains: tuple[str, ...]
    entries: int
    groups: tuple[EngineGroup, ...]
    classes: Mapping[str, ClassRecord]
    demand: tuple[Demand, ...]
    organisations: Mapping[str, float]

    def group(self, name: str) -> EngineGroup:
        """Return the group with a name."""
        return next(group for group in self.groups if group.name == name)

    def records(self) -> list[Any]:
        """Return all records of the deployment."""
        groups = [
            GroupRecord(name=group.name, models=[MODEL], places=group.engine.places)
            for group in self.groups
        ]
        organisations = [
            organisation_record(name, weight=weight) for name, weight in self.organisations.items()
        ]
        routes = [class_route(demand.class_name, demand.group) for demand in self.demand]
        return [PolicyRecord(), *self.classes.values(), *groups, *organisations, *routes]

    def baseline_records(self) -> list[Any]:
        """Return the records of the baseline: first in, first out, on randomly chosen engines.

        Validation rejects a protected class when both reservation and preemption are off, so no
        class is protected. No request is refused for its waiting time either: each runs in order
        if its caller is still connected.
        """
        classes = [
            attrs.evolve(item, protected=False, patience_s=BASELINE_PATIENCE_S)
            for item in self.classes.values()
        ]
        return [BASELINE_POLICY, *classes]

    async def start(self, cluster: Cluster) -> None:
        """Start every process and wait until all are ready."""
        await cluster.start_platform()
        await cluster.put_records(self.records())
        entries = (
            cluster.start_entry(f"{self.name}-entry-{number}", self._domain(number))
            for number in range(self.entries)
        )
        groups = (self._start_group(cluster, group) for group in self.groups)
        await asyncio.gather(*groups, *entries)
        await cluster.wait_ready()

    async def _start_group(self, cluster: Cluster, group: EngineGroup) -> None:
        await asyncio.gather(
            *(self._start_engine(cluster, group, number) for number in range(group.count))
        )

    async def _start_engine(self, cluster: Cluster, group: EngineGroup, number: int) -> None:
        name = f"{group.name}-{number}"
        engine = await cluster.start_engine(group.engine, f"engine-{name}")
        await cluster.start_slot(f"slot-{name}", group.name, self._domain(number), engine.url)

    def _domain(self, number: int) -> str:
        return self.domains[number % len(self.domains)]


def _organisations(prefix: str, count: int = 10) -> dict[str, float]:
    return {
        f"{prefix}-{number}": LARGE_WEIGHT if number <= LARGE_ORGANISATIONS else 1.0
        for number in range(1, count + 1)
    }


def _protected(name: str, priority: int, share: float, reserved_places: int = 1) -> ClassRecord:
    return ClassRecord(
        name=name,
        priority=priority,
        first_token_target_s=0.25,
        between_tokens_target_s=0.05,
        patience_s=5.0,
        share=share,
        protected=True,
        preemptible=False,
        reserved_places=reserved_places,
    )


def _routine(name: str, priority: int, share: float) -> ClassRecord:
    return ClassRecord(
        name=name,
        priority=priority,
        first_token_target_s=1.5,
        between_tokens_target_s=0.1,
        patience_s=1.5,
        share=share,
    )


def _by_name(*classes: ClassRecord) -> dict[str, ClassRecord]:
    return {item.name: item for item in classes}


def dala(engine: EngineParameters) -> Deployment:
    """Return a subscription platform at its weekly peak: 9 advisor and 4 order-desk engines."""
    return Deployment(
        name="dala",
        domains=("medeu", "bostandyk", "auezov", "turksib"),
        entries=2,
        groups=(EngineGroup("advisor", 9, engine), EngineGroup("order-desk", 4, engine)),
        classes=_by_name(
            _protected("charge", 100, 0.3),
            _routine("seasonal", 20, 0.1),
            _routine("dosage", 40, 0.3),
            _routine("renewal", 10, 0.15),
        ),
        demand=(
            Demand("charge", "order-desk", 0.4, 32, 10.0),
            Demand("seasonal", "order-desk", 2.1, 160, 4.0),
            Demand("dosage", "advisor", 0.8, 160, 4.0),
            Demand("renewal", "advisor", 1.7, 160, 4.0),
        ),
        organisations=_organisations("seller"),
    )


def klidne(engine: EngineParameters) -> Deployment:
    """Return a funeral booking service at a peak: 6 drafting and 3 booking-desk engines."""
    return Deployment(
        name="klidne",
        domains=("praha-hall", "plzen-hall", "kolin-hall"),
        entries=2,
        groups=(EngineGroup("drafting", 6, engine), EngineGroup("booking-desk", 3, engine)),
        classes=_by_name(
            _protected("hearse", 110, 0.15),
            _protected("hold", 100, 0.15),
            _routine("plan", 20, 0.1),
            _routine("ceremony", 40, 0.3),
            _routine("eulogy", 10, 0.15),
        ),
        demand=(
            Demand("hearse", "booking-desk", 0.2, 32, 10.0),
            Demand("hold", "booking-desk", 0.2, 32, 10.0),
            Demand("plan", "booking-desk", 2.1, 160, 4.0),
            Demand("ceremony", "drafting", 0.8, 160, 4.0),
            Demand("eulogy", "drafting", 1.7, 160, 4.0),
        ),
        organisations=_organisations("parish"),
    )
