"""Admission control: whether an entry accepts a request or rejects it early."""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs
from result import Err, Ok, Result

from burdockquay_protocol import ErrorKind, RequestError
from burdockquay_state import ClassRecord, OrganisationRecord, PolicyRecord

from ._organisation_use import OrganisationUse
from ._queues import QueuePolicy
from ._token_bucket import TokenBucket

START_RATE_TIME_CONSTANT_S = 5.0
"""Time constant of the start rate of a class, seconds."""
MIN_RETRY_AFTER_S = 0.1
"""Smallest ``retry_after_s`` sent to a rejected caller, seconds."""
BURST_S = 1.0
"""Burst that an organisation may send at once, in seconds of its rate."""


@attrs.define
class _StartRate:
    """Exponentially decayed count of the starts of one class since its queue was last empty."""

    since: float
    counted: float = 0.0
    at: float = 0.0

    def add(self, now: float) -> None:
        self.counted = self._decayed(now) + 1.0
        self.at = now

    def per_second(self, now: float) -> float:
        elapsed = max(now - self.since, 1e-6)
        observed_s = START_RATE_TIME_CONSTANT_S * -math.expm1(-elapsed / START_RATE_TIME_CONSTANT_S)
        return (self._decayed(now) + 1.0) / observed_s

    def _decayed(self, now: float) -> float:
        return self.counted * math.exp(-max(0.0, now - self.at) / START_RATE_TIME_CONSTANT_S)


@attrs.define
class _Account:
    bucket: TokenBucket
    outstanding: int = 0


class AdmissionController:
    """Admission controller of an entry.

    It rejects requests that exceed a limit or would wait longer than the patience of their class.

    Notes
    -----
    The expected wait is the number of requests that would be dispatched before the new one, divided
    by the recent rate at which requests of the class start. The rate is measured from the time at
    which the queue was last empty: an idle class has no rate, and its first burst must not be
    rejected because of that. One more start than observed is assumed, so that a class is admitted
    until there is evidence.

    A lower class is served more slowly, so it is rejected before a higher one. A protected class is
    never rejected because of the estimate; only its organisation's limits and its patience in the
    queue apply. Rejecting it could free capacity for lower classes only.
    """

    def __init__(self) -> None:
        self._classes: Mapping[str, ClassRecord] = {}
        self._organisations: Mapping[str, OrganisationRecord] = {}
        self._weights: dict[str, float] = {}
        self._shedding = True
        self._accounts: dict[str, _Account] = {}
        self._rates: dict[str, _StartRate] = {}
        self._use = OrganisationUse()

    def configure(
        self,
        classes: Mapping[str, ClassRecord],
        organisations: Mapping[str, OrganisationRecord],
        policy: PolicyRecord,
        now: float,
    ) -> None:
        """Apply new records; requests admitted earlier still count as outstanding."""
        self._classes = classes
        self._organisations = organisations
        self._weights = {name: item.weight for name, item in organisations.items()}
        self._shedding = policy.shedding
        for name in list(self._accounts):
            record = organisations.get(name)
            if record is not None:
                bucket = self._accounts[name].bucket
                bucket.rate, bucket.burst = record.requests_per_s, _burst(record)
            elif not self._accounts[name].outstanding:
                del self._accounts[name]
        self._rates = {name: rate for name, rate in self._rates.items() if name in classes}

    def admit(
        self, organisation: str, class_name: str, queue: QueuePolicy, now: float
    ) -> Result[None, RequestError]:
        """Admit a request, or return why it is rejected and when to retry.

        Returns
        -------
        Result of None or RequestError
            ``ORGANISATION_LIMIT`` or ``OVERLOADED`` with ``retry_after_s``. After Ok the request
            counts as outstanding until :meth:`finished`.
        """
        refusal = (
            self._over_limit(organisation, now)
            or self._overloaded(organisation, class_name, queue, now)
            or self._over_share(organisation, class_name, queue, now)
        )
        if refusal is not None:
            return Err(refusal)
        account = self._account(organisation)
        if account is not None:
            account.bucket.take(now)
            account.outstanding += 1
        return Ok(None)

    def started(self, class_name: str, waited_s: float, now: float) -> None:
        """Record that a queued request of the class was sent to a slot."""
        rate = self._rates.setdefault(class_name, _StartRate(since=now - waited_s))
        rate.add(now)

    def charge(self, organisation: str, tokens: float, now: float) -> None:
        """Record tokens generated for an organisation, in any class."""
        self._use.charge(organisation, tokens, now)

    def finished(self, organisation: str, class_name: str, now: float) -> None:
        """Record that an admitted request has ended, with any outcome."""
        account = self._accounts.get(organisation)
        if account is None:
            return
        account.outstanding = max(0, account.outstanding - 1)
        if not account.outstanding and organisation not in self._organisations:
            del self._accounts[organisation]

    def expected_wait_s(
        self, organisation: str, class_name: str, queue: QueuePolicy, now: float
    ) -> float:
        """Estimate how long a new request would wait in the queue, seconds."""
        ahead = queue.ahead(class_name, organisation)
        if not ahead:
            self._rates[class_name] = _StartRate(since=now, at=now)
            return 0.0
        rate = self._rates.setdefault(class_name, _StartRate(since=now, at=now))
        return ahead / rate.per_second(now)

    def _account(self, organisation: str) -> _Account | None:
        record = self._organisations.get(organisation)
        if organisation not in self._accounts and record is not None:
            bucket = TokenBucket(record.requests_per_s, _burst(record))
            self._accounts[organisation] = _Account(bucket)
        return self._accounts.get(organisation)

    def _over_limit(self, organisation: str, now: float) -> RequestError | None:
        account = self._account(organisation)
        record = self._organisations.get(organisation)
        if account is None or record is None:
            return None
        if account.outstanding >= record.outstanding:
            detail = f"expected at most {record.outstanding} requests at a time"
            return RequestError(ErrorKind.ORGANISATION_LIMIT, detail)
        wait_s = account.bucket.wait_s(now)
        if wait_s > 0:
            detail = f"expected at most {record.requests_per_s} requests a second"
            retry_after_s = max(wait_s, MIN_RETRY_AFTER_S)
            return RequestError(ErrorKind.ORGANISATION_LIMIT, detail, retry_after_s=retry_after_s)
        return None

    def _overloaded(
        self, organisation: str, class_name: str, queue: QueuePolicy, now: float
    ) -> RequestError | None:
        record = self._classes.get(class_name)
        expected_s = self.expected_wait_s(organisation, class_name, queue, now)
        if record is None or record.protected or not self._shedding:
            return None
        if expected_s <= record.patience_s:
            return None
        detail = f"expected wait {expected_s:.1f} s, class {class_name} waits {record.patience_s} s"
        retry_after_s = max(expected_s - record.patience_s, MIN_RETRY_AFTER_S)
        return RequestError(ErrorKind.OVERLOADED, detail, retry_after_s=retry_after_s)

    def _over_share(
        self, organisation: str, class_name: str, queue: QueuePolicy, now: float
    ) -> RequestError | None:
        """Reject unprotected work of an organisation that uses far more than its weighted share.

        Within a class the queue divides by weight. But an organisation that floods a higher class
        takes the capacity of everyone else's lower classes, whose requests would then be rejected.
        It is rejected only while other requests wait, so that no capacity is left idle.
        """
        record = self._classes.get(class_name)
        if record is None or record.protected or not self._shedding or not len(queue):
            return None
        if not self._use.is_over(organisation, self._weights, now):
            return None
        detail = f"organisation {organisation} uses more than its share while others wait"
        return RequestError(ErrorKind.OVERLOADED, detail)


def _burst(record: OrganisationRecord) -> float:
    return max(1.0, record.requests_per_s * BURST_S)
