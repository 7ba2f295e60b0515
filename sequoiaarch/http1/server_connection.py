"""Serve the requests of one accepted HTTP/1.1 connection."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, cast

import h11
import logbook
import msgspec

from .admission import STALL_TIMEOUT, ConnectionState, OpenConnections, TurnQueue
from .delivery import Delivery, EndedBy, UndeliveredResponse
from .memory import HeldBytes, HeldMemory
from .messages import Headers, RequestMessage, ResponseHead, find_header
from .peer_monitor import PeerMonitor
from .sockets import (
    deliver_after_close,
    extend_send_buffer,
    peer_has_closed,
    reset_on_close,
    undelivered_bytes,
    unread_bytes,
)

log = logbook.Logger("http")

# Bytes that are read at once: of heads, and of bodies or what is discarded. Reading
# stops until the parser has taken them. What a client sends ahead of its open request
# is left to the kernel after one read.
HEAD_READ_BYTES = 4 * 1024
READ_BYTES = 64 * 1024
# Bytes passed to the parser at once.
PARSE_BYTES = 16 * 1024
# Events of the parser after which other connections go first. Each costs the same,
# whether it is a chunk of one byte or a whole head.
EVENTS_AT_ONCE = 32
# Lines of a head after which others go first, and which it may have. Each takes 2.5 us.
MANY_HEAD_LINES = 64
MAX_HEADER_FIELDS = 512
# Bytes that a client may leave unread of its answers before its next request is read,
# and seconds between checks.
UNTAKEN_BYTES = 8 * 1024
UNTAKEN_INTERVAL = 0.05
# Seconds between looks at a client that has sent ahead and isn't read.
PAUSED_INTERVAL = 0.25
# Unsent bytes above which a response waits, in addition to the kernel's buffer.
UNSENT_BYTES = 16 * 1024
# Bytes of a response body that are written at once. The transport copies what the
# socket doesn't accept, so a whole body would be held twice.
WRITE_BYTES = 64 * 1024
# Seconds for a client to close its side after the last response, or to send anything.
CLOSE_TIMEOUT = 1.0
# Seconds after which to retry a request for which there is no memory. Most open
# requests end sooner.
MEMORY_RETRY_AFTER = 1.0
# Reasons for which a connection ends.
STOPPED = "the server stopped"
LEFT_TO_KERNEL = "closed in order, the kernel delivers the rest"


class ServerLimits(msgspec.Struct, kw_only=True):
    """Limits of a server; sizes in bytes, times in seconds.

    `header_bytes` and `body_bytes` limit one request, `held_bytes` the bodies
    of all open requests together, `links` the number of connections, `requests` the
    number of open requests.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0
    held_bytes: int = 64 * 1024 * 1024
    links: int = 4096
    requests: int = 4096


class _RequestRejected(Exception):
    """Raised for a request that is rejected with a status before it is handled."""

    def __init__(
        self, status: int, reason: str, retry_after: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.retry_after = retry_after


class ClientGone(Exception):
    """Raised when the client has closed its connection."""


class ResponseWriter:
    """Write the response to one request."""

    def __init__(self, *, connection: ServerConnection, http: h11.Connection) -> None:
        self._connection = connection
        self._http = http
        self.started = False
        self.ended = False
        self.status = 0

    @property
    def held(self) -> HeldBytes:
        """Return the count of bytes held for the connection."""
        return self._connection.held

    @property
    def delivery(self) -> Delivery:
        """Return how far the client has taken the response."""
        return self._connection.delivery

    @property
    def closed_for_memory(self) -> bool:
        """Return whether the connection was closed at the memory limit."""
        return self._connection.closed_for_memory

    async def send_response(
        self,
        status: int,
        headers: Headers,
        body: bytes | bytearray,
        reason: bytes = b"",
    ) -> None:
        """Send a complete response with its length."""
        length = (b"Content-Length", str(len(body)).encode())
        head = ResponseHead(status=status, reason=reason, headers=[*headers, length])
        data = self._encode_head(head)
        rest = memoryview(body)
        while rest:
            part = cast(bytes, rest[:WRITE_BYTES])
            data += self._http.send(h11.Data(data=part)) or b""
            rest = rest[WRITE_BYTES:]
            if rest:
                await self._connection.write(data)
                data = b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self.ended = True
        await self._connection.write(data)

    async def start(self, head: ResponseHead) -> None:
        """Send the status and headers of a response whose body follows."""
        await self._connection.write(self._encode_head(head))

    async def send_part(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._connection.write(self._http.send(h11.Data(data=data)) or b"")

    async def end(self) -> None:
        """Complete the response."""
        data = self._http.send(h11.EndOfMessage()) or b""
        self.ended = True
        await self._connection.write(data)

    def abort(self, reason: str) -> None:
        """Reset the connection, so that the response is not taken for complete."""
        self._connection.abort(reason)

    def _encode_head(self, head: ResponseHead) -> bytes:
        self.started = True
        self.status = head.status
        headers = list(head.headers)
        if self._connection.closing:
            headers.append((b"Connection", b"close"))
        response = h11.Response(
            status_code=head.status, reason=head.reason, headers=headers
        )
        return self._http.send(response) or b""


Handler = Callable[[RequestMessage, ResponseWriter], Coroutine[Any, Any, None]]


class ServerState(Protocol):
    """State that all connections of a server share."""

    handle: Handler
    limits: ServerLimits
    connections: set[ServerConnection]
    open: OpenConnections
    turns: TurnQueue
    open_requests: int
    requests_refused: int
    heads_refused: int
    stopping: bool
    held_bytes: int
    memory: HeldMemory
    on_undelivered: Callable[[UndeliveredResponse], None]


# Received bytes are copied from here at once, so one buffer serves all connections.
_READ_BUFFER = memoryview(bytearray(READ_BYTES))


class ServerConnection(asyncio.BufferedProtocol):
    """Server side of one connection, with the task that serves its requests."""

    def __init__(self, *, server: ServerState) -> None:
        self._server = server
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._monitor: PeerMonitor | None = None
        self._received = bytearray()
        self._in_parser = 0
        self._head_lines = 0
        self._events = 0
        self._reading_body = False
        self._paused: asyncio.TimerHandle | None = None
        self._unread = 0
        self._discarding = False
        self._discarded = 0
        self._changed = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._client_gone = False
        self._request_open = False
        self._body_bytes = 0
        self.held = HeldBytes(memory=server.memory, close=self._close_for_memory)
        self.held.buffers.append(self)
        self.closed_for_memory = False
        self._counted_unsent = 0
        self._counted_received = 0
        self._task: asyncio.Task[None] | None = None
        self._handling: asyncio.Task[None] | None = None
        self.delivery = Delivery()

    @property
    def closing(self) -> bool:
        """Return whether the connection closes after the current response."""
        return self._server.stopping

    @property
    def busy(self) -> bool:
        """Return whether a request is being received or handled."""
        return self._request_open or bool(self._received)

    @property
    def undelivered(self) -> int:
        """Return how many written bytes the client has not taken."""
        transport = self._transport
        if transport is None or transport.get_extra_info("socket").fileno() < 0:
            return 0
        kernel = undelivered_bytes(transport.get_extra_info("socket"))
        return transport.get_write_buffer_size() + kernel

    def is_delivering(self) -> bool:
        """Return whether a stop waits until the client has taken the rest.

        A client that has taken nothing for `STALL_TIMEOUT` does not count: whether it
        reads slowly or not at all can't be told, and the kernel goes on to deliver.
        """
        undelivered = self._observe_delivery()
        now = asyncio.get_running_loop().time()
        return undelivered > 0 and self.delivery.stalled(now) < STALL_TIMEOUT

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=UNSENT_BYTES)
        self._monitor = PeerMonitor(
            sock=transport.get_extra_info("socket"),
            lost=self.abort,
            checked=self._observe_delivery,
        )
        self._server.connections.add(self)
        if not self._server.open.admit(self, limit=self._server.limits.links):
            self.abort("all connections are busy")
            return
        self._task = asyncio.create_task(self._run())

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        if self._reading_body or self._discarding:
            return _READ_BUFFER
        return _READ_BUFFER[:HEAD_READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Keep the bytes read, and read no more until they are parsed."""
        self._changed.set()
        if self._discarding:
            self._discarded += nbytes
            limits = self._server.limits
            if self._discarded > limits.header_bytes + limits.body_bytes:
                self.abort("the client went on to send after its last response")
            return
        self._received += _READ_BUFFER[:nbytes]
        self._pause_reading()
        self._count_received()

    def evict(self, state: ConnectionState) -> None:
        """Reset the connection to make room for others."""
        self.abort(f"too many connections, this one was {state.value}")

    @property
    def stalled(self) -> float:
        """Return the seconds for which the client has taken nothing of its answer."""
        return self.delivery.stalled(asyncio.get_running_loop().time())

    def _enter(self, state: ConnectionState) -> None:
        if self._transport is not None:
            self._server.open.enter(self, state)

    def _pause_reading(self) -> None:
        if self._paused is None and self._transport is not None:
            self._transport.pause_reading()
            loop = asyncio.get_running_loop()
            self._paused = loop.call_later(PAUSED_INTERVAL, self._check_paused)

    def _resume_reading(self) -> None:
        if self._paused is not None:
            self._paused.cancel()
            self._paused = None
            self._unread = 0
        if self._transport is not None:
            self._transport.resume_reading()

    def _check_paused(self) -> None:
        """Notice that a client has left, though what it sent is not read."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        sock = transport.get_extra_info("socket")
        loop = asyncio.get_running_loop()
        self._paused = loop.call_later(PAUSED_INTERVAL, self._check_paused)
        self._unread = unread_bytes(sock)
        self._count_received()
        if peer_has_closed(sock):
            self.eof_received()
        elif self._unread and self._server.memory.full:
            self._close_for_memory()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed by the client."""
        self.delivery.end(EndedBy.CLIENT, "the client closed its side")
        self._handle_client_gone()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handling of the open request."""
        if exc is not None:
            self.delivery.end_with(exc)
        self._report_undelivered()
        if self._monitor is not None:
            self._monitor.stop()
        if self._paused is not None:
            self._paused.cancel()
        self._transport = None
        self._server.connections.discard(self)
        self._server.open.remove(self)
        self.held.release()
        self._writable.set()
        self._handle_client_gone()

    def _report_undelivered(self) -> None:
        """Report the open request, or the last one if it was not delivered."""
        undelivered = self._observe_delivery()
        if undelivered or self._handling is not None:
            now = asyncio.get_running_loop().time()
            self._server.on_undelivered(self.delivery.undelivered_response(now))

    def _observe_delivery(self) -> int:
        """Record and return how many written bytes the client has not taken."""
        undelivered = self.undelivered
        self.delivery.observe(undelivered, asyncio.get_running_loop().time())
        return undelivered

    def pause_writing(self) -> None:
        """Block writers while the write buffer is full."""
        self._writable.clear()
        self._enter(ConnectionState.BLOCKED)

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._writable.set()
        self.count_buffers()
        if self._handling is not None:
            self._enter(ConnectionState.HANDLING)

    def count_buffers(self) -> None:
        """Update the number of bytes counted for the buffers."""
        if self._transport is None:
            return
        size = self._transport.get_write_buffer_size()
        change = size - self._counted_unsent
        if change:
            self._counted_unsent = size
            self.held.add(change)

    def _count_received(self) -> None:
        size = len(self._received) + self._in_parser + self._unread
        change = size - self._counted_received
        if change:
            self._counted_received = size
            self.held.add_request(change)

    async def write(self, data: bytes) -> None:
        """Send bytes and wait while the write buffer is full; raise ClientGone."""
        if self._transport is None or self._client_gone:
            raise ClientGone
        if data:
            self._transport.write(data)
            self._watch_peer()
            self.delivery.wrote(len(data), asyncio.get_running_loop().time())
            self.count_buffers()
        await self._writable.wait()

    def _watch_peer(self) -> None:
        if self._monitor is not None:
            self._monitor.watch()

    def abort(self, reason: str) -> None:
        """Reset the connection, so that no response on it looks complete."""
        self.delivery.end(EndedBy.SERVER, reason)
        if self._transport is not None:
            reset_on_close(self._transport.get_extra_info("socket"))
            self._transport.abort()

    def hand_over(self) -> None:
        """Let the kernel take the unsent rest of a whole response."""
        transport = self._transport
        incomplete = self._http.our_state in (h11.SEND_RESPONSE, h11.SEND_BODY)
        if transport is None or transport.is_closing() or incomplete:
            return
        if size := transport.get_write_buffer_size():
            extend_send_buffer(transport.get_extra_info("socket"), size)

    def finish(self) -> None:
        """Close the connection; the kernel delivers a whole response that it holds."""
        if self.busy:
            self.abort(STOPPED)
        else:
            self._close_in_order()

    def _close_in_order(self) -> None:
        """Close the connection, or reset it if not all bytes were passed on."""
        transport = self._transport
        if transport is None:
            return
        if transport.get_write_buffer_size():
            self.abort(STOPPED)
            return
        self.delivery.end(EndedBy.SERVER, LEFT_TO_KERNEL)
        deliver_after_close(transport.get_extra_info("socket"))
        transport.abort()

    def _close_for_memory(self) -> None:
        self.closed_for_memory = True
        self.abort("the memory limit")

    def close_idle(self) -> None:
        """Close the connection unless a request is open or a response on its way."""
        if not self.busy and not self.undelivered and self._transport is not None:
            self._transport.close()

    def _handle_client_gone(self) -> None:
        self._client_gone = True
        self._changed.set()
        if self._handling is not None:
            self._handling.cancel()

    async def _run(self) -> None:
        try:
            while await self._serve_request():
                self._http.start_next_cycle()
        except _RequestRejected as error:
            await self._reject(error)
        except (ClientGone, h11.LocalProtocolError) as error:
            log.debug("connection closed: {}", type(error).__name__)
        except Exception:
            log.exception("unexpected error while serving a connection")
        finally:
            self._release_body()
            await self._close()

    async def _serve_request(self) -> bool:
        """Serve one request; return whether another may follow."""
        message = await self._read_request()
        if message is None or self._has_left():
            return False
        self.delivery.begin()
        self._enter(ConnectionState.HANDLING)
        self._server.open_requests += 1
        writer = ResponseWriter(connection=self, http=self._http)
        self._handling = asyncio.create_task(self._server.handle(message, writer))
        try:
            await self._handling
        except asyncio.CancelledError:
            if self._client_gone:
                return False
            raise
        finally:
            self._handling = None
            self._server.open_requests -= 1
            self._request_open = False
            self.held.request = ""
            self._release_body()
        if not writer.ended:
            self.abort("the response was broken off")
            return False
        return self._http.our_state is h11.DONE and not self.closing

    def _has_left(self) -> bool:
        """Return whether the client has left, which a read may not have shown yet."""
        transport = self._transport
        return transport is None or peer_has_closed(transport.get_extra_info("socket"))

    async def _read_request(self) -> RequestMessage | None:
        limits = self._server.limits
        if not await self._wait_for_request(limits.idle_timeout):
            return None
        self._request_open = True
        self._enter(ConnectionState.RECEIVING)
        try:
            async with asyncio.timeout(limits.header_timeout):
                head = await self._next_event()
        except TimeoutError:
            raise _RequestRejected(
                408, "request headers were not received in time"
            ) from None
        if not isinstance(head, h11.Request):
            return None
        _check_framing(head)
        self._check_place(limits)
        self._check_declared_body(head, limits)
        self._reading_body = True
        try:
            body = await self._read_body(limits)
        finally:
            self._reading_body = False
        # A request that is still received takes no place, as it may never end.
        self._check_place(limits)
        self._in_parser = len(self._http.trailing_data[0])
        if not self._in_parser and not self._received:
            self._resume_reading()
        self._count_received()
        return RequestMessage(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=list(head.headers.raw_items()),
            body=body,
        )

    def _check_place(self, limits: ServerLimits) -> None:
        """Reject a request if too many others are handled."""
        if self._server.open_requests >= limits.requests:
            self._server.requests_refused += 1
            raise _RequestRejected(
                503, "too many requests are open", MEMORY_RETRY_AFTER
            )

    async def _wait_for_request(self, timeout: float) -> bool:
        if not await self._wait_until_read(timeout):
            return False
        self._head_lines = 0
        if self._in_parser or self._received:
            await self._server.turns.wait()
            return not self._client_gone
        if self.delivery.responses:
            self._enter(ConnectionState.WAITING)
        try:
            async with asyncio.timeout(timeout):
                while not self._received and not self._client_gone:
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return False
        return not self._client_gone

    async def _wait_until_read(self, timeout: float) -> bool:
        """Wait until the client has read most of its answers; return False if not.

        Its next request needs no answer before, and would only add to the unread ones.
        """
        blocked = False
        while self._observe_delivery() > UNTAKEN_BYTES:
            if not blocked:
                blocked = True
                self._enter(ConnectionState.BLOCKED)
            if self.delivery.stalled(asyncio.get_running_loop().time()) >= timeout:
                self.abort("the client read nothing for the idle timeout")
            if self._client_gone or self._transport is None:
                return False
            await asyncio.sleep(UNTAKEN_INTERVAL)
        return True

    async def _read_body(self, limits: ServerLimits) -> bytes:
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self.write(self._http.send(interim) or b"")
        parts = bytearray()
        while True:
            try:
                async with asyncio.timeout(limits.idle_timeout):
                    event = await self._next_event()
            except TimeoutError:
                raise _RequestRejected(
                    408, "request body was not received in time"
                ) from None
            if isinstance(event, h11.EndOfMessage):
                return bytes(parts)
            if not isinstance(event, h11.Data):
                raise ClientGone
            parts += event.data
            if len(parts) > limits.body_bytes:
                raise _RequestRejected(413, "request body is too large")
            if not self._count_body(len(event.data), limits):
                raise _body_rejected()

    def _check_declared_body(self, head: h11.Request, limits: ServerLimits) -> None:
        """Reject a request at once if its body can't be held."""
        length = find_header(list(head.headers), b"content-length")
        size = int(length) if length is not None else 0
        if not size or size > limits.body_bytes:
            return
        if not self._fits(size, limits):
            raise _body_rejected()

    def _fits(self, size: int, limits: ServerLimits) -> bool:
        bodies = self._server.held_bytes + size
        return bodies <= limits.held_bytes and self._server.memory.fits(size)

    def _count_body(self, size: int, limits: ServerLimits) -> bool:
        """Count bytes of the body; return False if they can't be held."""
        if not self._fits(size, limits):
            return False
        self.held.add_request(size)
        self._body_bytes += size
        self._server.held_bytes += size
        return True

    def _release_body(self) -> None:
        self.held.add_request(-self._body_bytes)
        self._server.held_bytes -= self._body_bytes
        self._body_bytes = 0

    async def _next_event(self) -> h11.Event:
        while True:
            await self._take_turn()
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                # The text after the colon quotes the request, maybe an API key.
                reason = str(error).partition(":")[0]
                raise _RequestRejected(error.error_status_hint, reason) from None
            self._events += 1
            if event is h11.NEED_DATA:
                if self._head_lines > MAX_HEADER_FIELDS and not self._reading_body:
                    raise self._too_many_fields()
                await self._feed_parser()
                continue
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise ClientGone
            if isinstance(event, h11.Request):
                self._head_lines = 0
                if len(event.headers) > MAX_HEADER_FIELDS:
                    raise self._too_many_fields()
            return cast(h11.Event, event)

    def _too_many_fields(self) -> _RequestRejected:
        self._server.heads_refused += 1
        return _RequestRejected(431, f"more than {MAX_HEADER_FIELDS} header fields")

    async def _take_turn(self) -> None:
        """Let other connections go first if this one has much to parse."""
        if self._events < EVENTS_AT_ONCE and self._head_lines < MANY_HEAD_LINES:
            return
        self._events = 0
        await self._server.turns.wait()

    async def _feed_parser(self) -> None:
        if self._reading_body:
            self._in_parser = 0
        if not self._received:
            self._resume_reading()
            self._events = 0
        while not self._received:
            if self._client_gone:
                raise ClientGone
            self._changed.clear()
            await self._changed.wait()
        data = bytes(self._received[:PARSE_BYTES])
        del self._received[:PARSE_BYTES]
        self._in_parser += len(data)
        self._count_received()
        if not self._reading_body:
            self._head_lines += data.count(b"\n")
        self._http.receive_data(data)

    async def _reject(self, error: _RequestRejected) -> None:
        log.info("request rejected with status {}: {}", error.status, error)
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = str(error).encode()
        headers = [
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
        ]
        if error.retry_after is not None:
            headers.append((b"Retry-After", f"{error.retry_after:.3f}".encode()))
        data = self._http.send(h11.Response(status_code=error.status, headers=headers))
        data = (data or b"") + (self._http.send(h11.Data(data=body)) or b"")
        data += self._http.send(h11.EndOfMessage()) or b""
        with contextlib.suppress(ClientGone):
            await self.write(data)

    def _discard_all(self) -> None:
        """Discard what was received and what follows."""
        self._discarding = True
        self._http = h11.Connection(h11.SERVER)
        self._received.clear()
        self._in_parser = 0
        self._resume_reading()
        self._count_received()

    async def _close(self) -> None:
        """Close the connection after the client has taken the last response."""
        if self._transport is None:
            return
        if self._client_gone or self._has_left():
            self._transport.abort()
            return
        # Closing with unread bytes resets the connection, and the client may see
        # the reset before the response. So read until the client closes.
        undelivered = self._observe_delivery()
        self._enter(ConnectionState.BLOCKED if undelivered else ConnectionState.CLOSING)
        self._discard_all()
        try:
            self._transport.write_eof()
        except OSError:
            # The client has reset the connection since.
            self._transport.abort()
            return
        self._watch_peer()
        await self._wait_until_taken()
        if self.undelivered:
            self.abort("the client took nothing for the idle timeout")
        else:
            self._close_in_order()

    async def _wait_until_taken(self) -> None:
        """Wait until the client has closed, or has taken all and sends nothing.

        The idle timeout bounds the time without progress, and the time in which a
        client that has taken all goes on sending.
        """
        idle_timeout = self._server.limits.idle_timeout
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + idle_timeout
        while not self._client_gone:
            received = await self._discard_received()
            if self._observe_delivery():
                if self.delivery.stalled(loop.time()) >= idle_timeout:
                    return
            elif not received or loop.time() >= ends_at:
                return

    async def _discard_received(self) -> bool:
        """Return whether something arrived in `CLOSE_TIMEOUT`; it is discarded."""
        self._changed.clear()
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True


def _body_rejected() -> _RequestRejected:
    """Return the rejection of a request whose body can't be held.

    A process above its memory limit is killed with all its requests; rejecting one
    request costs a single retry.
    """
    return _RequestRejected(
        503,
        "request bodies exceed the memory limit of the server",
        MEMORY_RETRY_AFTER,
    )


def _check_framing(head: h11.Request) -> None:
    """Reject a request with ambiguous framing (request smuggling)."""
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise _RequestRejected(400, "both Content-Length and Transfer-Encoding")
