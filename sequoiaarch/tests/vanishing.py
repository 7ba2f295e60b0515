"""Make the peer of a connection vanish without a sign."""

from __future__ import annotations

import array
import socket
import struct

# linux/asm-generic/socket.h
SO_ATTACH_FILTER = 26
# Classic BPF: return 0, so that no packet reaches the socket.
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)


def vanish(sock: socket.socket) -> None:
    """Let the kernel drop all packets to a socket, so that it answers none."""
    program = array.array("B", DROP_ALL)
    address, _ = program.buffer_info()
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HP", 1, address))
