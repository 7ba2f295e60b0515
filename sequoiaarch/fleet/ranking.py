"""Rank hosts by rendezvous hashing, with the same result in every process."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import xxhash

from ..ids import HostName
from .claims import slot_name


def score(name: str, host: HostName) -> int:
    """Return the rendezvous score of a host for a name; the highest ranks first."""
    return xxhash.xxh32_intdigest(f"{name}/{host}".encode())


def rank_of(own: HostName, name: str, hosts: Iterable[HostName]) -> int:
    """Return the rank of this host for a name, counted from 0."""
    own_score = score(name, own)
    return sum(score(name, host) > own_score for host in hosts)


def ranks_first(own: HostName, name: str, hosts: Iterable[HostName]) -> bool:
    """Return whether this host ranks first for a name.

    Stops at the first host with a higher score, so it computes few scores on average.
    """
    own_score = score(name, own)
    return not any(score(name, host) > own_score for host in hosts)


class SlotRanking:
    """Cache the ranking of a data centre's hosts for each program slot.

    Every turn needs a ranking, which changes only when hosts start or stop.
    """

    def __init__(
        self,
        *,
        own: HostName,
        hosts: Callable[[], list[HostName]],
        version: Callable[[], int],
    ) -> None:
        self._own = own
        self._hosts = hosts
        self._version = version
        self._ranked_version: int | None = None
        self._rankings: dict[int, list[HostName]] = {}

    def hosts_for(self, slot: int) -> list[HostName]:
        """Return this host and its neighbours, ranked for a slot."""
        version = self._version()
        if version != self._ranked_version:
            self._rankings.clear()
            self._ranked_version = version
        ranking = self._rankings.get(slot)
        if ranking is None:
            name = slot_name(slot)
            hosts = [self._own, *self._hosts()]
            ranking = sorted(hosts, key=lambda host: score(name, host), reverse=True)
            self._rankings[slot] = ranking
        return ranking
