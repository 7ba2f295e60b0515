"""Answer the requests on one accepted connection."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, cast

import h11
import logbook
import msgspec

from .messages import Headers, RequestMessage, ResponseHead
from .sockets import reset_on_close, watch_peer

log = logbook.Logger("http")

READ_AHEAD_BYTES = 256 * 1024
CLOSE_SECONDS = 1.0


class ServerLimits(msgspec.Struct, kw_only=True):
    """Bound what a client may send; sizes in bytes, times in seconds.

    `held_bytes` bounds the bodies of all requests that are being read or
    answered, `links` the connections.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0
    held_bytes: int = 64 * 1024 * 1024
    links: int = 4096


class _Refused(Exception):
    """End a connection whose request can't be read, with a status."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class ClientGone(Exception):
    """Say that the client closed its connection."""


class ResponseWriter:
    """Send the answer to one request."""

    def __init__(self, *, link: ServerConnection, http: h11.Connection) -> None:
        self._link = link
        self._http = http
        self.started = False
        self.ended = False
        self.status = 0

    async def send_response(
        self, status: int, headers: Headers, body: bytes, reason: bytes = b""
    ) -> None:
        """Send a complete answer."""
        length = (b"Content-Length", str(len(body)).encode())
        head = ResponseHead(status=status, reason=reason, headers=[*headers, length])
        data = self._head(head)
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self.ended = True
        await self._link.write(data)

    async def start(self, head: ResponseHead) -> None:
        """Send the head of an answer whose parts follow."""
        await self._link.write(self._head(head))

    async def send_part(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._link.write(self._http.send(h11.Data(data=data)) or b"")

    async def end(self) -> None:
        """Send the end that makes the answer complete."""
        data = self._http.send(h11.EndOfMessage()) or b""
        self.ended = True
        await self._link.write(data)

    def abort(self) -> None:
        """Break the answer off so that it can't be taken for complete."""
        self._link.abort()

    def _head(self, head: ResponseHead) -> bytes:
        self.started = True
        self.status = head.status
        headers = list(head.headers)
        if self._link.closing:
            headers.append((b"Connection", b"close"))
        response = h11.Response(
            status_code=head.status, reason=head.reason, headers=headers
        )
        return self._http.send(response) or b""


Handler = Callable[[RequestMessage, ResponseWriter], Coroutine[Any, Any, None]]


class LinkOwner(Protocol):
    """Hold what all connections of a server share."""

    handle: Handler
    limits: ServerLimits
    connections: set[ServerConnection]
    stopping: bool
    held_bytes: int

    def make_room(self) -> None:
        """Close idle connections once there are too many."""


class ServerConnection(asyncio.Protocol):
    """Hold one accepted connection and the task that answers on it."""

    def __init__(self, *, server: LinkOwner) -> None:
        self._server = server
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._grown = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._gone = False
        self._open = False
        self._held = 0
        self._task: asyncio.Task[None] | None = None
        self._handling: asyncio.Task[None] | None = None

    @property
    def closing(self) -> bool:
        """Return whether the connection ends after the present answer."""
        return self._server.stopping

    @property
    def busy(self) -> bool:
        """Return whether a request is being read or answered."""
        return self._open or bool(self._received)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection's task."""
        self._transport = cast(asyncio.Transport, transport)
        watch_peer(transport.get_extra_info("socket"))
        self._server.connections.add(self)
        self._server.make_room()
        self._task = asyncio.create_task(self._run())

    def data_received(self, data: bytes) -> None:
        """Take bytes from the client."""
        self._received += data
        if len(self._received) > READ_AHEAD_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._grown.set()

    def eof_received(self) -> bool:
        """Treat the client's end as its leaving."""
        self._leave()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """End the work for a client that has left."""
        self._transport = None
        self._server.connections.discard(self)
        self._writable.set()
        self._leave()

    def pause_writing(self) -> None:
        """Hold back bytes that the client does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Send on."""
        self._writable.set()

    async def write(self, data: bytes) -> None:
        """Send bytes once the client reads."""
        if self._transport is None or self._gone:
            raise ClientGone
        if data:
            self._transport.write(data)
        await self._writable.wait()

    def abort(self) -> None:
        """Reset the connection, so that no answer on it looks complete."""
        if self._transport is not None:
            reset_on_close(self._transport.get_extra_info("socket"))
            self._transport.abort()

    def close_idle(self) -> None:
        """Close the connection if no request is on it."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    def _leave(self) -> None:
        self._gone = True
        self._grown.set()
        if self._handling is not None:
            self._handling.cancel()

    async def _run(self) -> None:
        try:
            while await self._one():
                self._http.start_next_cycle()
        except _Refused as error:
            await self._refuse(error)
        except (ClientGone, h11.LocalProtocolError) as error:
            log.debug("connection ended: {}", type(error).__name__)
        except Exception:
            log.exception("a connection failed")
        finally:
            self._release()
            await self._close()

    async def _one(self) -> bool:
        """Read and answer one request; return whether another may follow."""
        message = await self._read_request()
        if message is None:
            return False
        reply = ResponseWriter(link=self, http=self._http)
        self._handling = asyncio.create_task(self._server.handle(message, reply))
        try:
            await self._handling
        except asyncio.CancelledError:
            if self._gone:
                return False
            raise
        finally:
            self._handling = None
            self._open = False
            self._release()
        if not reply.ended:
            self.abort()
            return False
        return self._http.our_state is h11.DONE and not self.closing

    async def _read_request(self) -> RequestMessage | None:
        limits = self._server.limits
        first = await self._first_bytes(limits.idle_timeout)
        if not first:
            return None
        self._open = True
        try:
            async with asyncio.timeout(limits.header_timeout):
                head = await self._event()
        except TimeoutError:
            raise _Refused(408, "the request's head did not come in time") from None
        if not isinstance(head, h11.Request):
            return None
        _check_framing(head)
        body = await self._body(limits)
        return RequestMessage(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=list(head.headers.raw_items()),
            body=body,
        )

    async def _first_bytes(self, timeout: float) -> bool:
        if self._http.trailing_data[0]:
            return True
        try:
            async with asyncio.timeout(timeout):
                while not self._received and not self._gone:
                    self._grown.clear()
                    await self._grown.wait()
        except TimeoutError:
            return False
        return not self._gone

    async def _body(self, limits: ServerLimits) -> bytes:
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self.write(self._http.send(interim) or b"")
        parts = bytearray()
        while True:
            try:
                async with asyncio.timeout(limits.idle_timeout):
                    event = await self._event()
            except TimeoutError:
                raise _Refused(408, "the request's body did not come") from None
            if isinstance(event, h11.EndOfMessage):
                return bytes(parts)
            if not isinstance(event, h11.Data):
                raise ClientGone
            parts += event.data
            self._hold(len(event.data))
            if len(parts) > limits.body_bytes:
                raise _Refused(413, "the request's body is too large")
            # A process over its memory limit is killed, and every request on
            # it breaks off; refusing this one costs one retry.
            if self._server.held_bytes > limits.held_bytes:
                raise _Refused(503, "too many bodies are held")

    def _hold(self, size: int) -> None:
        self._held += size
        self._server.held_bytes += size

    def _release(self) -> None:
        self._server.held_bytes -= self._held
        self._held = 0

    async def _event(self) -> h11.Event:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                # What follows the colon quotes the request, with the caller's key.
                reason = str(error).partition(":")[0]
                raise _Refused(error.error_status_hint, reason) from None
            if event is h11.NEED_DATA:
                await self._more()
                continue
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise ClientGone
            return cast(h11.Event, event)

    async def _more(self) -> None:
        while not self._received:
            if self._gone:
                raise ClientGone
            self._grown.clear()
            await self._grown.wait()
        data = bytes(self._received)
        self._received.clear()
        self._http.receive_data(data)
        if self._transport is not None:
            self._transport.resume_reading()

    async def _refuse(self, error: _Refused) -> None:
        log.info("request refused with {}: {}", error.status, error)
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = str(error).encode()
        headers = [
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
        ]
        data = self._http.send(h11.Response(status_code=error.status, headers=headers))
        data = (data or b"") + (self._http.send(h11.Data(data=body)) or b"")
        data += self._http.send(h11.EndOfMessage()) or b""
        with contextlib.suppress(ClientGone):
            await self.write(data)

    async def _close(self) -> None:
        """Close so that the last answer still arrives."""
        if self._transport is None:
            return
        if self._gone or not self._transport.can_write_eof():
            self._transport.abort()
            return
        # A close with unread bytes resets the connection, and the reset can
        # overtake the answer: the client would see a lost request.
        self._transport.write_eof()
        try:
            async with asyncio.timeout(CLOSE_SECONDS):
                while not self._gone:
                    self._received.clear()
                    self._grown.clear()
                    await self._grown.wait()
        except TimeoutError:
            pass
        if self._transport is not None:
            self._transport.abort()


def _check_framing(head: h11.Request) -> None:
    """Refuse a request whose length can be read in two ways."""
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise _Refused(400, "both Content-Length and Transfer-Encoding")
