"""Set the TCP options of connections, and read what the kernel knows of them."""

from __future__ import annotations

import array
import contextlib
import fcntl
import os
import socket
import struct
import termios

import msgspec

# A peer can vanish without a reset. An idle connection to it is closed after two
# seconds: a stream that waits for its next event would never end.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 1
# Milliseconds, for network stacks that do not report acknowledgements. Others are not
# given this option: it also closes connections whose peer keeps its window closed for
# as long, though it acknowledges every probe.
USER_TIMEOUT_MS = 2000
# Linux 6.15 and later: the longest time between two retransmissions or window probes,
# in milliseconds. By default the kernel doubles the time up to two minutes.
TCP_RTO_MAX_MS = 44
MAX_PROBE_INTERVAL_MS = 1000
DEFAULT_RTO_MAX_MS = 120_000
# `struct tcp_info` of linux/tcp.h, and its state of an open connection.
ESTABLISHED = 1
TCP_INFO_BYTES = 148
PROBES_OFFSET = 3
UNACKED_OFFSET = 24
LAST_ACK_OFFSET = 56
SEGMENTS_IN_OFFSET = 140
NOT_SENT_OFFSET = 144
# Bytes that are read and dropped before a close, and how often.
UNREAD_BYTES = 64 * 1024
MAX_UNREAD_READS = 64
# The default of net.core.wmem_max, above which the kernel ignores the rest of a size.
MAX_SEND_BUFFER_BYTES = 212_992


class Acknowledgements(msgspec.Struct, frozen=True, kw_only=True):
    """What the kernel knows of a peer's acknowledgements.

    `data_awaited` tells whether data was sent that the peer has not acknowledged,
    `unsent` whether data waits for its window. `probes` is the number of probes without
    an answer since the last one, `silence` the time since then, in seconds.
    """

    data_awaited: bool
    probes: int
    unsent: bool
    silence: float


def detect_dead_peer(sock: socket.socket) -> bool:
    """Disable Nagle's algorithm and let the kernel close idle dead connections.

    Return whether the kernel reports acknowledgements. Otherwise it closes all
    connections whose peer takes nothing for `USER_TIMEOUT_MS`.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for option, value in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    if read_acknowledgements(sock) is None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        return False
    return True


def read_acknowledgements(sock: socket.socket) -> Acknowledgements | None:
    """Return what the kernel knows of a connected peer; None if it does not tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < TCP_INFO_BYTES or not _number(info, SEGMENTS_IN_OFFSET):
        return None
    return Acknowledgements(
        data_awaited=bool(_number(info, UNACKED_OFFSET)),
        probes=info[PROBES_OFFSET],
        unsent=bool(_number(info, NOT_SENT_OFFSET)),
        silence=_number(info, LAST_ACK_OFFSET) / 1000,
    )


def peer_has_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset a connection; False if unknown.

    The kernel knows it while received bytes are unread, which hide it from reads.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return False
    return bool(info) and info[0] not in (0, ESTABLISHED)


def unread_bytes(sock: socket.socket) -> int:
    """Return how many received bytes were not read; 0 if unknown."""
    return _queued(sock, termios.FIONREAD)


def undelivered_bytes(sock: socket.socket) -> int:
    """Return how many written bytes the peer has not acknowledged; 0 if unknown."""
    return _queued(sock, termios.TIOCOUTQ)


def _queued(sock: socket.socket, request: int) -> int:
    size = array.array("i", [0])
    try:
        fcntl.ioctl(sock, request, size)
    except OSError:
        return 0
    return size[0]


def reset_on_close(sock: socket.socket) -> None:
    """Make a close send a reset (RST) instead of an orderly end (FIN)."""
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def deliver_after_close(sock: socket.socket) -> None:
    """Let the kernel deliver after the close what was written before it.

    A close resets the connection if received bytes were not read, and the kernel gives
    a closed connection up early if the time between probes is limited.
    """
    with contextlib.suppress(OSError):
        for _ in range(MAX_UNREAD_READS):
            if not os.read(sock.fileno(), UNREAD_BYTES):
                break
    limit_probe_interval(sock, limited=False)


def extend_send_buffer(sock: socket.socket, size: int) -> None:
    """Let the kernel take `size` bytes more, as far as its usual limit allows."""
    # The kernel reports twice the size that was set.
    present = sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) // 2
    extended = min(present + size, MAX_SEND_BUFFER_BYTES)
    if extended > present:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, extended)


def limit_probe_interval(sock: socket.socket, *, limited: bool) -> bool:
    """Let the kernel probe a closed window at least once a second, or as by default.

    The limit also holds for retransmissions, so it must not be set while data is on
    its way. Return False if the kernel is too old to know it.
    """
    milliseconds = MAX_PROBE_INTERVAL_MS if limited else DEFAULT_RTO_MAX_MS
    try:
        sock.setsockopt(socket.IPPROTO_TCP, TCP_RTO_MAX_MS, milliseconds)
    except OSError:
        return False
    return True


def _number(info: bytes, offset: int) -> int:
    (number,) = struct.unpack_from("=I", info, offset)
    return int(number)
