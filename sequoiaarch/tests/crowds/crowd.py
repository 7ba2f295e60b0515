"""Run a crowd of clients in a process of its own, until its input is closed.

The first line of the input describes the crowd.
"""

from __future__ import annotations

import base64
import contextlib
import errno
import selectors
import socket
import sys
import time
from collections import deque

import msgspec

# Limits of a crowd, in case its parent fails to end it.
MAX_SECONDS = 120.0
MAX_BYTES = 4 * 1024**3
# Connections that are opened for each turn of the loop, until all are open, and the
# pause after it, in seconds.
OPENED_AT_ONCE = 16
TURN_SECONDS = 0.01
WRITE_BYTES = 64 * 1024
READ_BYTES = 64 * 1024


class Crowd(msgspec.Struct, kw_only=True):
    """Describe a crowd; bytes are in base64.

    Each connection sends `opening` and then `repeated` again and again. Clients read
    nothing unless `reads`; with `resets` a connection is reset after its opening.
    Connections that the server closes are opened again.
    """

    host: str
    port: int
    connections: int
    opening: str = ""
    repeated: str = ""
    reads: bool = False
    resets: bool = False
    receive_buffer: int = 4096

    @classmethod
    def of(
        cls,
        address: tuple[str, int],
        connections: int,
        *,
        opening: bytes = b"",
        repeated: bytes = b"",
        reads: bool = False,
        resets: bool = False,
    ) -> Crowd:
        """Return a crowd that sends some bytes to an address."""
        return cls(
            host=address[0],
            port=address[1],
            connections=connections,
            opening=base64.b64encode(opening).decode(),
            repeated=base64.b64encode(repeated).decode(),
            reads=reads,
            resets=resets,
        )


class _Client:
    """One connection and what it still sends."""

    def __init__(self, crowd: Crowd, opening: bytes, repeated: bytes) -> None:
        self._opening = memoryview(opening)
        self._repeated = memoryview(repeated)
        self._resets = crowd.resets
        self._reads = crowd.reads
        self._rest = self._opening
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, crowd.receive_buffer)
        self.sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.sock.connect((crowd.host, crowd.port))

    @property
    def sends(self) -> bool:
        """Return whether there is more to send."""
        return bool(self._rest) or bool(self._repeated)

    def write(self) -> int:
        """Send as much as the socket takes; return the number of bytes."""
        if not self._rest:
            self._rest = self._repeated
        if not self._rest:
            return 0
        sent = self.sock.send(self._rest[:WRITE_BYTES])
        self._rest = self._rest[sent:]
        if self._resets and not self._rest:
            self.reset()
            raise ConnectionResetError
        return sent

    def read(self) -> None:
        """Drop what arrived if the client reads; raise OSError at the end."""
        if self._reads:
            if not self.sock.recv(READ_BYTES):
                raise ConnectionResetError
        elif not self.sock.recv(1, socket.MSG_PEEK):
            raise ConnectionResetError

    def reset(self) -> None:
        """Reset the connection."""
        linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.sock.close()


def play(crowd: Crowd) -> None:
    """Keep the connections of a crowd open until the input is closed."""
    opening = base64.b64decode(crowd.opening)
    repeated = base64.b64decode(crowd.repeated)
    selector = selectors.DefaultSelector()
    selector.register(sys.stdin, selectors.EVENT_READ)
    waiting = deque(range(crowd.connections))
    sent = 0
    opened = 0
    told = False
    ends_at = time.monotonic() + MAX_SECONDS
    while time.monotonic() < ends_at and sent < MAX_BYTES:
        for _ in range(min(OPENED_AT_ONCE, len(waiting))):
            waiting.popleft()
            try:
                client = _Client(crowd, opening, repeated)
            except OSError:
                waiting.append(0)
                break
            events = selectors.EVENT_READ if crowd.reads else 0
            events |= selectors.EVENT_WRITE if client.sends else 0
            opened += 1
            # A client that does nothing still notices that it was closed.
            selector.register(client.sock, events or selectors.EVENT_READ, client)
        if opened >= crowd.connections and not told:
            told = True
            print("open", flush=True)
        for key, events in selector.select(TURN_SECONDS):
            if key.data is None:
                return
            client = key.data
            try:
                if events & selectors.EVENT_READ:
                    client.read()
                    if not crowd.reads:
                        selector.modify(client.sock, selectors.EVENT_WRITE, client)
                if events & selectors.EVENT_WRITE:
                    sent += client.write()
                    if not client.sends:
                        selector.modify(client.sock, selectors.EVENT_READ, client)
            except BlockingIOError:
                continue
            except OSError as error:
                if error.errno == errno.EINPROGRESS:
                    continue
                selector.unregister(key.fileobj)
                client.sock.close()
                waiting.append(0)
        time.sleep(TURN_SECONDS)


if __name__ == "__main__":
    play(msgspec.json.decode(sys.stdin.readline(), type=Crowd))
