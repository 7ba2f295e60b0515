"""Send HTTP/1.1 requests to a target and read its responses."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import cast

import h11

from ..reply_timeout import reply_timeout
from .memory import HeldBytes
from .messages import (
    ExchangeError,
    ExchangeFault,
    Headers,
    RequestMessage,
    ResponseHead,
)
from .peer_monitor import PeerMonitor

MAX_INCOMPLETE_BYTES = 64 * 1024
# Interim responses (1xx) before the response; each request asks for none.
MAX_INTERIM_RESPONSES = 8
# Bytes read ahead of the reader before reading from the target stops.
READ_BUFFER_BYTES = 64 * 1024
# Bytes of a read buffer: for events, and for the rest of longer responses, also while
# memory is scarce. A response whose caller doesn't read is held with at least one read.
READ_BYTES = 4 * 1024
LONG_READ_BYTES = 64 * 1024
SCARCE_READ_BYTES = 16 * 1024
# Bytes passed to the parser at once; other tasks run after each full piece. A response
# that piled up while its caller didn't read would otherwise block the event loop.
PARSE_BYTES = 16 * 1024


class ClientConnection(asyncio.BufferedProtocol):
    """Client side of one HTTP/1.1 connection, with one exchange at a time.

    Bytes that arrive while no request is open belong to no response, so the
    connection is then reset.
    """

    def __init__(self) -> None:
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_INCOMPLETE_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._monitor: PeerMonitor | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._request: h11.Request | None = None
        self._received = bytearray()
        self._read_into = bytearray()
        self._read_filled = False
        # Bytes passed to the parser since it last needed more.
        self._parsing = 0
        self._held: HeldBytes | None = None
        self._counted = 0
        self._eof = False
        self._error: Exception | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._sent = False
        # Event loop time at which an idle connection is closed.
        self.idle_deadline = 0.0
        # Called when the peer closes or resets the connection.
        self.on_lost: Callable[[], None] | None = None

    @property
    def _scarce(self) -> bool:
        return self._held is not None and self._held.memory.scarce

    @property
    def usable(self) -> bool:
        """Return whether another request may be sent."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and not self._eof
            and self._error is None
            and not self._received
            and self._http.our_state is h11.IDLE
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable detection of a dead peer."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        self._monitor = PeerMonitor(sock=sock, lost=self._peer_lost)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return a buffer for the next read."""
        size = READ_BYTES
        if self._read_filled:
            size = SCARCE_READ_BYTES if self._scarce else LONG_READ_BYTES
        self._read_into = bytearray(size)
        return self._read_into

    def buffer_updated(self, nbytes: int) -> None:
        """Keep the bytes read; reset the connection if no request is open."""
        self._read_filled = nbytes == len(self._read_into)
        del self._read_into[nbytes:]
        self._received += self._read_into
        self._read_into = bytearray()
        if self._request is None and self._transport is not None:
            self._transport.abort()
        read_ahead = 0 if self._scarce else READ_BUFFER_BYTES
        if len(self._received) > read_ahead and self._transport is not None:
            self._transport.pause_reading()
        self.count_buffers()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Record that the target has closed its sending side."""
        self._eof = True
        self._wake_reader()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss of the connection and wake waiting tasks."""
        if exc is not None or not self._eof:
            self._error = self._error or exc or ConnectionResetError("closed")
        self._transport = None
        if self._monitor is not None:
            self._monitor.stop()
        self._writable.set()
        self._wake_reader()
        if self.on_lost is not None:
            self.on_lost()

    def pause_writing(self) -> None:
        """Block senders while the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock senders."""
        self._writable.set()
        self.count_buffers()

    def count_for(self, held: HeldBytes | None) -> None:
        """Count the buffers for a caller connection from now on, or for none."""
        if self._held is not None:
            self._held.add(-self._counted)
            if self in self._held.buffers:
                self._held.buffers.remove(self)
        self._counted = 0
        self._held = held
        if held is not None:
            held.buffers.append(self)
            self.count_buffers()

    def count_buffers(self) -> None:
        """Update the number of bytes counted for the buffers."""
        if self._held is None:
            return
        size = len(self._received) + self._parsing
        if self._transport is not None:
            size += self._transport.get_write_buffer_size()
        change = size - self._counted
        if change:
            self._counted = size
            self._held.add(change)

    async def send(self, message: RequestMessage) -> None:
        """Send a complete request; raise ExchangeError if the connection is closed."""
        self._sent = False
        headers = [*message.headers]
        if message.body or message.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"Content-Length", str(len(message.body)).encode()))
        self._request = h11.Request(
            method=message.method, target=message.target, headers=headers
        )
        data = self._http.send(self._request) or b""
        if message.body:
            data += self._http.send(h11.Data(data=message.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        transport = self._transport
        if transport is None or transport.is_closing():
            raise ExchangeError(ExchangeFault.RESET, "before the request", sent=False)
        self._sent = True
        transport.write(data)
        if self._monitor is not None:
            self._monitor.watch()
        # The transport keeps its own copy of what the socket didn't accept.
        del data
        self.count_buffers()
        await self._writable.wait()

    async def read_head(self) -> ResponseHead:
        """Return the status and headers of the response; raise ExchangeError."""
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ExchangeError(ExchangeFault.GARBLED, "no status line", sent=True)
            headers: Headers = list(event.headers.raw_items())
            return ResponseHead(
                status=event.status_code, reason=bytes(event.reason), headers=headers
            )
        reason = "too many interim responses"
        raise ExchangeError(ExchangeFault.GARBLED, reason, sent=True)

    async def read_body_part(self) -> bytes | None:
        """Return the next bytes of the body, None at its end; raise ExchangeError."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ExchangeError(ExchangeFault.GARBLED, "unexpected event", sent=True)

    async def skip_response(self, limit: int) -> int:
        """Discard a response to an earlier request and expect the next one.

        A target may send a duplicate response late. Passing it on would give a
        caller the answer to another caller's request. Returns the number of bytes
        discarded; raises ExchangeError if they exceed `limit`.
        """
        skipped = 0
        while (part := await self.read_body_part()) is not None:
            skipped += len(part)
            if skipped > limit:
                raise ExchangeError(
                    ExchangeFault.GARBLED, "too many additional bytes", sent=True
                )
        remaining = bytes(self._http.trailing_data[0])
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_INCOMPLETE_BYTES
        )
        self._parsing = 0
        assert self._request is not None
        stub = h11.Request(
            method=self._request.method,
            target=self._request.target,
            headers=[(b"Host", b"awaited")],
        )
        self._http.send(stub)
        self._http.send(h11.EndOfMessage())
        self._received[:0] = remaining
        return skipped

    def finish(self) -> bool:
        """End an exchange; return whether the connection is reusable, else reset it."""
        if (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and not self._received
        ):
            self._http.start_next_cycle()
            self._request = None
            self.count_for(None)
            if self.usable:
                return True
        self.abort()
        return False

    def abort(self) -> None:
        """Reset the connection, so that the target stops working on the request."""
        self.on_lost = None
        self.count_for(None)
        if self._transport is not None:
            self._transport.abort()

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                fault = ExchangeFault.TRUNCATED if self._eof else ExchangeFault.GARBLED
                raise ExchangeError(fault, str(error), sent=self._sent) from None
            if event is h11.NEED_DATA:
                await self._feed_parser()
                continue
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise ExchangeError(ExchangeFault.TRUNCATED, "closed", sent=self._sent)
            return cast(h11.Event, event)

    async def _feed_parser(self) -> None:
        """Wait for received bytes and feed them to the parser."""
        full_piece = self._parsing >= PARSE_BYTES
        self._parsing = 0
        self.count_buffers()
        if full_piece:
            await asyncio.sleep(0)
        while not self._received:
            if self._error is not None:
                raise ExchangeError(
                    ExchangeFault.RESET, str(self._error), sent=self._sent
                )
            if self._eof:
                self._http.receive_data(b"")
                return
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        data = bytes(self._received[:PARSE_BYTES])
        del self._received[:PARSE_BYTES]
        self._parsing = len(data)
        self._http.receive_data(data)
        if not self._received and self._transport is not None:
            self._transport.resume_reading()

    def _peer_lost(self, reason: str) -> None:
        self._error = TimeoutError(errno.ETIMEDOUT, reason)
        self.abort()

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def connect(address: tuple[str, int], *, timeout: float) -> ClientConnection:
    """Connect within `timeout` seconds; raise ExchangeError on failure."""
    loop = asyncio.get_running_loop()
    try:
        async with reply_timeout(timeout):
            _, connection = await loop.create_connection(ClientConnection, *address)
    except TimeoutError:
        raise ExchangeError(ExchangeFault.TIMEOUT, "connecting", sent=False) from None
    except OSError as error:
        raise ExchangeError(ExchangeFault.REFUSED, str(error), sent=False) from None
    return connection
