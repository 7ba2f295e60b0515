"""Set sockets so that a silent peer is noticed."""

from __future__ import annotations

import socket
import struct

# A connection can fall silent without a reset; without these the caller of a
# request on it would wait until the request's own deadline, and a stream that
# waits for its next event would never end. Milliseconds and seconds: noticed
# within about two seconds, and no probe while bytes flow.
USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


def watch_peer(sock: socket.socket) -> None:
    """Have the kernel end a connection whose peer no longer answers."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for option, value in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def reset_on_close(sock: socket.socket) -> None:
    """Have the close of a connection reset it instead of ending it."""
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
