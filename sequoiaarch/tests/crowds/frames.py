"""Bytes that several crowds send."""

from __future__ import annotations

# Field of a head in HTTP.
CHUNKED = b"Transfer-Encoding: chunked\r\n"
# ZMTP 3.0: the greeting of a client, its READY command as a DEALER, and the head of a
# message of 1 GiB.
GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0") + bytes(32)
_SOCKET_TYPE = b"\x0bSocket-Type" + (6).to_bytes(4, "big") + b"DEALER"
_READY = b"\x05READY" + _SOCKET_TYPE
READY_COMMAND = b"\x04" + bytes([len(_READY)]) + _READY
LONG_FRAME = b"\x02" + (1 << 30).to_bytes(8, "big")
