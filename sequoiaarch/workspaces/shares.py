"""Assign the shares of a workspace's limit to hosts."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import xxhash

from ..ids import DataCentre, HostName, Workspace
from .sliding_window import SHARES

Hosts = Mapping[DataCentre, Sequence[HostName]]

# How long to remember when a share moved: longer than any window. Seconds.
KEEP_SECONDS = 60.0


class ShareOwners:
    """Assign shares to hosts by rendezvous hashing, alike in every process.

    The shares of a workspace go to hosts of different data centres: most callers
    have an owner nearby, and the loss of a data centre costs one share.
    """

    def __init__(
        self, *, hosts: Callable[[], Hosts], version: Callable[[], int]
    ) -> None:
        self._hosts = hosts
        self._version = version
        self._cached_version: int | None = None
        self._cached: dict[Workspace, tuple[HostName, ...]] = {}

    def of(self, workspace: Workspace) -> tuple[HostName, ...]:
        """Return the owner of each share, in order; empty if no host is known."""
        version = self._version()
        if version != self._cached_version:
            self._cached.clear()
            self._cached_version = version
        owners = self._cached.get(workspace)
        if owners is None:
            owners = self._cached[workspace] = self._assign(workspace)
        return owners

    def _assign(self, workspace: Workspace) -> tuple[HostName, ...]:
        hosts = self._hosts()
        centres = sorted(centre for centre in hosts if hosts[centre])
        if not centres:
            return ()
        offset = _score(workspace)
        owners = []
        for share in range(SHARES):
            centre = centres[(offset + share) % len(centres)]
            name = f"{workspace}/{share}"
            owner = max(hosts[centre], key=lambda host: _score(f"{name}/{host}"))
            owners.append(owner)
        return tuple(owners)


class MovedShares:
    """Delay shares that moved between running hosts.

    The number of data centres decides which of them has which share. When it changes,
    the previous owner of a share may act on its older view of the hosts for a lease.
    """

    def __init__(
        self,
        *,
        own: HostName,
        wait: float,
        registered: Callable[[HostName], bool],
        clock: Callable[[], float],
    ) -> None:
        """Store how many seconds to wait for the views of other hosts."""
        self._own = own
        self._wait = wait
        self._registered = registered
        self._clock = clock
        # Earlier owners, with the time until which they may act.
        self._earlier: list[tuple[float, ShareOwners]] = []

    def hosts_changed(self, before: Hosts, after: Hosts) -> None:
        """Remember the owners of before if the set of data centres changed."""
        if before.keys() == after.keys():
            return
        now = self._clock()
        self._earlier = [
            entry for entry in self._earlier if now < entry[0] + KEEP_SECONDS
        ]
        owners = ShareOwners(hosts=lambda: before, version=lambda: 0)
        self._earlier.append((now + self._wait, owners))

    def owned_from(self, workspace: Workspace, share: int) -> float:
        """Return the time from which no earlier owner of a share may act."""
        times = [
            until
            for until, owners in self._earlier
            if self._may_act(owners.of(workspace)[share : share + 1])
        ]
        return max(times, default=float("-inf"))

    def _may_act(self, earlier: Sequence[HostName]) -> bool:
        """Return whether an earlier owner is another host that has not left."""
        return any(host != self._own and self._registered(host) for host in earlier)


def _score(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode())
