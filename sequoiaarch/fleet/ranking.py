"""Rank hosts by rendezvous hashing, with the same result in every process."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Generic, TypeVar

import xxhash

from ..ids import HostName
from .claims import slot_name

Key = TypeVar("Key")
Ranking = TypeVar("Ranking")

# Number of different scores.
SCORES = 2**32
# Hosts with at least this fraction of the largest capacity count as large.
LARGE_FRACTION = 0.5


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


def known_weights(capacities: Mapping[HostName, float]) -> Mapping[HostName, float]:
    """Return the capacities as weights; empty if they are equal or one is unknown.

    Older builds register no capacity and rank without weights, so all must.
    """
    smallest = min(capacities.values(), default=0.0)
    if smallest <= 0 or smallest == max(capacities.values()):
        return {}
    return capacities


def ranked(
    name: str, hosts: Iterable[HostName], weights: Mapping[HostName, float]
) -> list[HostName]:
    """Return the hosts by rank for a name, without weights by score alone.

    A host ranks first with a probability proportional to its weight, and a change of
    its weight does not change the order of the others.
    """
    if not weights:
        return sorted(hosts, key=lambda host: score(name, host), reverse=True)

    def rank(host: HostName) -> tuple[float, HostName]:
        # Exponentially distributed with the weight as its rate: the probability that
        # it is the smallest of all is the host's part of the sum of the weights.
        uniform = (score(name, host) + 0.5) / SCORES
        return -math.log(uniform) / weights[host], host

    return sorted(hosts, key=rank)


def ranked_by_size(
    name: str, hosts: Iterable[HostName], weights: Mapping[HostName, float]
) -> list[HostName]:
    """Return the hosts by rank for a name, but the large ones before all others.

    The others follow in the same way, the largest of them first.
    """
    remaining = ranked(name, hosts, weights)
    if not weights:
        return remaining
    ranking: list[HostName] = []
    while remaining:
        limit = LARGE_FRACTION * max(weights[host] for host in remaining)
        ranking += [host for host in remaining if weights[host] >= limit]
        remaining = [host for host in remaining if weights[host] < limit]
    return ranking


class RankingCache(Generic[Key, Ranking]):
    """Cache rankings until the registrations change."""

    def __init__(
        self, *, rank: Callable[[Key], Ranking], version: Callable[[], int]
    ) -> None:
        self._rank = rank
        self._version = version
        self._ranked_version: int | None = None
        self._rankings: dict[Key, Ranking] = {}

    def get(self, key: Key) -> Ranking:
        """Return the ranking for a key."""
        version = self._version()
        if version != self._ranked_version:
            self._rankings.clear()
            self._ranked_version = version
        ranking = self._rankings.get(key)
        if ranking is None:
            ranking = self._rankings[key] = self._rank(key)
        return ranking


class SlotRanking:
    """Cache the ranking of a data centre's hosts for each program slot.

    Every turn needs a ranking, which changes only when hosts start or stop.
    """

    def __init__(
        self,
        *,
        own: HostName,
        hosts: Callable[[], list[HostName]],
        weights: Callable[[], Mapping[HostName, float]],
        version: Callable[[], int],
    ) -> None:
        """Rank by `weights` of this host and the others; empty: without weights."""
        self._own = own
        self._hosts = hosts
        self._weights = weights
        self._cache = RankingCache(rank=self._rank, version=version)

    def hosts_for(self, slot: int) -> Sequence[HostName]:
        """Return this host and its neighbours, ranked for a slot."""
        return self._cache.get(slot)

    def _rank(self, slot: int) -> list[HostName]:
        return ranked(slot_name(slot), [self._own, *self._hosts()], self._weights())
