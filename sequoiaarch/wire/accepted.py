"""Bound the connections that a socket accepts from processes nobody vouches for."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable

import logbook
import zmq
import zmq.asyncio
from zmq.utils.monitor import recv_monitor_message

log = logbook.Logger("wire")

MAX_CONNECTIONS = 1024
# Seconds between two log lines about refused connections.
LOG_INTERVAL = 1.0


class AcceptedConnections:
    """Shut down accepted connections of a ROUTER socket above a limit.

    Those whose address is not `known` make room first, the oldest before others.
    """

    def __init__(self, *, router: zmq.asyncio.Socket, limit: int) -> None:
        self.limit = limit
        self.known: Callable[[str], bool] = lambda address: False
        # Connections that were shut down.
        self.refused = 0
        self._router = router
        self._monitor = router.get_monitor_socket(
            zmq.EVENT_ACCEPTED | zmq.EVENT_DISCONNECTED | zmq.EVENT_CLOSED
        )
        # Remote addresses by descriptor, the oldest connection first.
        self._remotes: dict[int, str] = {}
        self._logged_at = 0.0

    def __len__(self) -> int:
        return len(self._remotes)

    async def run(self) -> None:
        """Follow the connections for ever."""
        while True:
            message = await recv_monitor_message(self._monitor)
            descriptor = int(message["value"])
            if message["event"] != zmq.EVENT_ACCEPTED:
                self._remotes.pop(descriptor, None)
                continue
            self._remotes.pop(descriptor, None)
            self._remotes[descriptor] = _remote_address(descriptor)
            if len(self._remotes) > self.limit:
                self._shut_down(self._least_missed(descriptor))

    def close(self) -> None:
        """Stop following the connections."""
        if not self._router.closed:
            self._router.disable_monitor()

    def _least_missed(self, newest: int) -> int:
        unknown = (
            descriptor
            for descriptor, remote in self._remotes.items()
            if not self.known(remote)
        )
        return next(unknown, newest)

    def _shut_down(self, descriptor: int) -> None:
        remote = self._remotes.pop(descriptor)
        self.refused += 1
        now = asyncio.get_running_loop().time()
        if now >= self._logged_at + LOG_INTERVAL:
            self._logged_at = now
            log.warning(
                "Connection from {} is shut down, the limit is {}; {} so far.",
                remote,
                self.limit,
                self.refused,
            )
        # ZeroMQ owns the descriptor and closes it. If it has been closed and used again
        # meanwhile, it most likely belongs to a connection from another address.
        if remote and _remote_address(descriptor) == remote:
            with contextlib.suppress(OSError), _duplicate(descriptor) as duplicate:
                duplicate.shutdown(socket.SHUT_RDWR)


def _remote_address(descriptor: int) -> str:
    """Return the IP address of a connection's peer; empty if it has left."""
    try:
        with _duplicate(descriptor) as duplicate:
            return str(duplicate.getpeername()[0])
    except OSError:
        return ""


def _duplicate(descriptor: int) -> socket.socket:
    """Return a socket for a copy of a descriptor; raises OSError if it is none."""
    copy = os.dup(descriptor)
    try:
        return socket.socket(fileno=copy)
    except OSError:
        os.close(copy)
        raise
