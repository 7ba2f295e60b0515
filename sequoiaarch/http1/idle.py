"""Keep connections between exchanges."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Hashable
from typing import Generic, TypeVar

from .client import ClientConnection

Key = TypeVar("Key", bound=Hashable)


class IdleConnections(Generic[Key]):
    """Hold idle links by key, each up to a time; the newest is used first."""

    def __init__(self, *, most: int | None = None) -> None:
        self._most = most
        self._links: dict[Key, list[ClientConnection]] = defaultdict(list)

    def take(self, key: Key) -> ClientConnection | None:
        """Return a usable link, if there is one."""
        kept = self._links[key]
        while kept:
            link = kept.pop()
            if _usable(link):
                return link
            link.abort()
        return None

    def give_back(self, key: Key, link: ClientConnection, limit: float) -> None:
        """Keep a link whose exchange was complete for `limit` seconds, or close it."""
        if not link.finish():
            return
        kept = self._links[key]
        if limit <= 0 or (self._most is not None and len(kept) >= self._most):
            link.abort()
            return
        link.idle_until = asyncio.get_running_loop().time() + limit
        kept.append(link)

    def sweep(self) -> None:
        """Close links that were idle for too long."""
        for key, links in list(self._links.items()):
            usable = [link for link in links if _usable(link)]
            for link in links:
                if link not in usable:
                    link.abort()
            if usable:
                self._links[key] = usable
            else:
                del self._links[key]

    def forget(self, key: Key) -> None:
        """Close the links of one key."""
        for link in self._links.pop(key, []):
            link.abort()

    def close(self) -> None:
        """Close all links."""
        for links in self._links.values():
            for link in links:
                link.abort()
        self._links.clear()


def _usable(link: ClientConnection) -> bool:
    return link.usable and asyncio.get_running_loop().time() < link.idle_until
