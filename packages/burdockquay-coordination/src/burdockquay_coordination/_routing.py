"""Authentication of a request, and the route record that applies to it."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterator

import attrs
from result import Err, Ok, Result

from burdockquay_protocol import ErrorKind, RequestError
from burdockquay_state import ANY, ClassRecord, OrganisationRecord, RouteRecord, Snapshot

_UNKNOWN_ORGANISATION = OrganisationRecord("unknown", "0" * 32, ["0" * 64])
"""Compared against if the organisation does not exist, so that both cases take equal time."""


def make_key_digest(salt_hex: str, api_key: str) -> str:
    """Return the digest of an API key that an organisation record stores.

    Parameters
    ----------
    salt_hex : str
        The salt in hexadecimal.
    api_key : str
        The complete key, ``<organisation>.<secret>``.

    Returns
    -------
    str
        Hexadecimal SHA-256 over the salt's bytes and the key in UTF-8.
    """
    salt = bytes.fromhex(salt_hex)
    return hashlib.sha256(salt + api_key.encode("utf-8", "surrogatepass")).hexdigest()


def authenticate(snapshot: Snapshot, api_key: str) -> Result[OrganisationRecord, RequestError]:
    """Return the organisation that an API key belongs to.

    Returns
    -------
    Result of OrganisationRecord or RequestError
        ``UNAUTHENTICATED``, with the same text whether the organisation or its secret is wrong.

    Notes
    -----
    All digests are compared in constant time, and against a dummy record if the organisation is
    unknown. Otherwise the response time would reveal which names exist and how much of a digest
    matches.
    """
    name, _, secret = api_key.rpartition(".")
    known = snapshot.organisations.get(name)
    record = known or _UNKNOWN_ORGANISATION
    digest = make_key_digest(record.key_salt, api_key)
    matches = [hmac.compare_digest(digest, valid) for valid in record.key_digests]
    if known is None or not secret or not any(matches):
        detail = "expected a valid API key of the form <organisation>.<secret>"
        return Err(RequestError(ErrorKind.UNAUTHENTICATED, detail))
    return Ok(known)


@attrs.define
class _RouteGroup:
    """Routes whose conditions differ only in the path: the best one of each path prefix."""

    by_prefix: dict[str, RouteRecord] = attrs.field(factory=dict)
    lengths: list[int] = attrs.field(factory=list)

    def add(self, route: RouteRecord) -> None:
        self.by_prefix.setdefault(route.path_prefix, route)
        length = len(route.path_prefix)
        if length not in self.lengths:
            self.lengths.append(length)

    def matches(self, path: str) -> Iterator[RouteRecord]:
        for length in self.lengths:
            route = self.by_prefix.get(path[:length])
            if route is not None:
                yield route


class RouteTable:
    """Index of the route records of a configuration.

    Parameters
    ----------
    snapshot : Snapshot

    Notes
    -----
    Of the matching routes the one with the largest precedence applies; ties are broken by the name
    that sorts first. Routes are grouped by organisation, model and service class, where each is a
    value or any. A request searches at most eight groups and in each looks up one prefix of its
    path for every length of path prefix in the group. So the time depends on the number of
    different lengths, not on the number of routes.
    """

    def __init__(self, snapshot: Snapshot):
        self._groups: dict[tuple[str, str, str], _RouteGroup] = {}
        self._any_model: dict[tuple[str, str], _RouteGroup] = {}
        for route in sorted(snapshot.routes.values(), key=_rank):
            key = (route.organisation, route.model, route.service_class)
            self._groups.setdefault(key, _RouteGroup()).add(route)
            rest = (route.organisation, route.service_class)
            self._any_model.setdefault(rest, _RouteGroup()).add(route)

    def match(
        self, organisation: str, path: str, model: str, service_class: str
    ) -> Result[RouteRecord, RequestError]:
        """Return the route that applies to a request.

        Parameters
        ----------
        organisation, path : str
        model : str
            Empty for plain services.
        service_class : str
            Value of the header ``X-Service-Class``; empty if it is missing.

        Returns
        -------
        Result of RouteRecord or RequestError
            ``UNKNOWN_MODEL`` if a route would match another model, else ``NOT_FOUND``.
        """
        found = [
            route
            for one in (organisation, ANY)
            for two in (model, ANY)
            for three in (service_class, ANY)
            for route in self._routes(self._groups.get((one, two, three)), path)
        ]
        if found:
            return Ok(min(found, key=_rank))
        if model and self._matches_other_model(organisation, path, service_class):
            detail = f"expected a model that a route names, got {model!r}"
            return Err(RequestError(ErrorKind.UNKNOWN_MODEL, detail))
        detail = f"expected a path that a route of {organisation!r} names, got {path!r}"
        return Err(RequestError(ErrorKind.NOT_FOUND, detail))

    def _matches_other_model(self, organisation: str, path: str, service_class: str) -> bool:
        return any(
            True
            for one in (organisation, ANY)
            for two in (service_class, ANY)
            for _ in self._routes(self._any_model.get((one, two)), path)
        )

    @staticmethod
    def _routes(route_group: _RouteGroup | None, path: str) -> Iterator[RouteRecord]:
        return route_group.matches(path) if route_group else iter(())


def classes_of_group(snapshot: Snapshot, group: str) -> dict[str, ClassRecord]:
    """Return the class records that apply to the upstreams of one group.

    Notes
    -----
    A class that no route sends to the group has no requests there. Places reserved for it would
    stay empty forever, so it reserves none.
    """
    routed = {route.class_name for route in snapshot.routes.values() if route.group == group}
    return {
        name: record if name in routed else attrs.evolve(record, reserved_places=0)
        for name, record in snapshot.classes.items()
    }


def _rank(route: RouteRecord) -> tuple[int, str]:
    return -route.precedence, route.name
