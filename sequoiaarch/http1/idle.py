"""Reuse HTTP/1.1 connections between exchanges."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Hashable
from typing import Generic, TypeVar

from .client import ClientConnection

Key = TypeVar("Key", bound=Hashable)


class IdleConnections(Generic[Key]):
    """Pool of idle connections by key; the last one returned is reused first."""

    def __init__(self, *, max_idle: int | None = None) -> None:
        self._max_idle = max_idle
        self._connections: dict[Key, list[ClientConnection]] = defaultdict(list)

    def acquire(self, key: Key) -> ClientConnection | None:
        """Remove and return a usable connection, or None if there is none."""
        idle = self._connections[key]
        while idle:
            connection = idle.pop()
            if _usable(connection):
                return connection
            connection.abort()
        return None

    def release(self, key: Key, connection: ClientConnection, limit: float) -> None:
        """Keep a reusable connection for up to `limit` seconds; reset any other."""
        if not connection.finish():
            return
        idle = self._connections[key]
        if limit <= 0 or (self._max_idle is not None and len(idle) >= self._max_idle):
            connection.abort()
            return
        connection.idle_deadline = asyncio.get_running_loop().time() + limit
        idle.append(connection)

    def close_expired(self) -> None:
        """Close connections that have expired or are unusable."""
        for key, connections in list(self._connections.items()):
            usable = [connection for connection in connections if _usable(connection)]
            for connection in connections:
                if connection not in usable:
                    connection.abort()
            if usable:
                self._connections[key] = usable
            else:
                del self._connections[key]

    def discard(self, key: Key) -> None:
        """Close the idle connections of a key."""
        for connection in self._connections.pop(key, []):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._connections.values():
            for connection in connections:
                connection.abort()
        self._connections.clear()


def _usable(connection: ClientConnection) -> bool:
    return (
        connection.usable
        and asyncio.get_running_loop().time() < connection.idle_deadline
    )
