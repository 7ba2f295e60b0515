"""Assign the shares of a workspace's limit to hosts."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import xxhash

from ..ids import DataCentre, HostName, Workspace
from .sliding_window import SHARES

Hosts = Mapping[DataCentre, Sequence[HostName]]


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


def _score(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode())
