"""Choice of the slots that an entry connects to."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from burdockquay_state import VmEntry


def choose_subset(own_vm: str, members: Sequence[VmEntry], size: int) -> list[VmEntry]:
    """Choose the members that a process connects to, spread evenly over the failure domains.

    Parameters
    ----------
    own_vm : str
        Name of the VM of the connecting process.
    members : sequence of VmEntry
    size : int

    Returns
    -------
    list of VmEntry
        ``size`` members, or all if there are fewer, sorted by name.

    Notes
    -----
    Rendezvous hashing: each pair of process and member has a fixed score, and the members with the
    highest scores are chosen. Adding or removing a member changes at most the choices that include
    it. To spread over failure domains the members are ranked within their domain, and members of a
    better rank are chosen before those of a worse one. If the last rank does not fit completely,
    the domains with the best scores for this process are first, so that no domain is favoured by
    all processes.

    References
    ----------
    D. G. Thaler and C. V. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
    """
    domains: dict[str, list[VmEntry]] = {}
    for member in members:
        domains.setdefault(member.failure_domain, []).append(member)
    ranked: list[tuple[int, int, VmEntry]] = []
    for domain, residents in domains.items():
        residents.sort(key=lambda member: (-_score(own_vm, member.vm), member.vm))
        domain_score = _score(own_vm, f"domain {domain}")
        for rank, member in enumerate(residents):
            ranked.append((rank, -domain_score, member))
    ranked.sort(key=lambda item: item[:2])
    return sorted((member for _, _, member in ranked[:size]), key=lambda member: member.vm)


def _score(own_vm: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{own_vm}\n{name}".encode())
