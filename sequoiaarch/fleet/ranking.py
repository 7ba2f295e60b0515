"""Rank hosts for names by rendezvous, alike in every process."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import xxhash

from ..ids import HostName
from .claims import slot_name


def score(name: str, host: HostName) -> int:
    """Return the rank of a host for a name; the highest one comes first."""
    return xxhash.xxh32_intdigest(f"{name}/{host}".encode())


def rank_of(own: HostName, name: str, hosts: Iterable[HostName]) -> int:
    """Return how many hosts come before the own one for a name."""
    own_score = score(name, own)
    return sum(score(name, host) > own_score for host in hosts)


def ranks_first(own: HostName, name: str, hosts: Iterable[HostName]) -> bool:
    """Return whether no host comes before the own one for a name.

    Of many hosts few have to be looked at: each comes before the own one as
    likely as not.
    """
    own_score = score(name, own)
    return not any(score(name, host) > own_score for host in hosts)


class SlotRanking:
    """Keep the order of a data centre's hosts for each slot of programs.

    Each turn asks for it. With 108 hosts in a data centre that were 108 ranks a
    turn; the order changes only when hosts start and stop.
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
        self._seen: int | None = None
        self._orders: dict[int, list[HostName]] = {}

    def hosts_for(self, slot: int) -> list[HostName]:
        """Return this host and its neighbours, the first one for a slot first."""
        version = self._version()
        if version != self._seen:
            self._orders.clear()
            self._seen = version
        found = self._orders.get(slot)
        if found is None:
            name = slot_name(slot)
            hosts = [self._own, *self._hosts()]
            found = sorted(hosts, key=lambda host: score(name, host), reverse=True)
            self._orders[slot] = found
        return found
