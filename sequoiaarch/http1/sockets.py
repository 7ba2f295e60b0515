"""Set the TCP options of connections."""

from __future__ import annotations

import array
import fcntl
import socket
import struct
import termios

# A peer can vanish without a reset. These timeouts close such a connection within
# about two seconds, instead of at the deadline of its request. A stream that waits for
# its next event would never end. No probe is sent while data flows.
USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


def detect_dead_peer(sock: socket.socket) -> None:
    """Disable Nagle's algorithm and let the kernel close connections to dead peers."""
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


def undelivered_bytes(sock: socket.socket) -> int:
    """Return how many written bytes the peer has not acknowledged; 0 if unknown."""
    size = array.array("i", [0])
    try:
        fcntl.ioctl(sock, termios.TIOCOUTQ, size)
    except OSError:
        return 0
    return size[0]


def reset_on_close(sock: socket.socket) -> None:
    """Make a close send a reset (RST) instead of an orderly end (FIN)."""
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
