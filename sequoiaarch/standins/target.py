"""Stand in for a target that answers as a test tells it to."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h11

from ..http1.messages import RequestMessage
from ..http1.sockets import reset_on_close

READ_BYTES = 65536


@dataclass(kw_only=True)
class TargetExchange:
    """Hold one request at the stand-in and the way back to its sender."""

    request: RequestMessage
    writer: asyncio.StreamWriter
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)

    def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.writer.write(data)

    def reset(self) -> None:
        """Reset the connection."""
        reset_on_close(self.writer.get_extra_info("socket"))
        self.writer.transport.abort()

    def close(self) -> None:
        """End the connection after what was sent."""
        self.writer.close()


Behaviour = Callable[[TargetExchange], Awaitable[None]]


class TargetStandIn:
    """Listen on a port of the kernel's choice and run a test's behaviour."""

    def __init__(self, *, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self.exchanges: list[TargetExchange] = []
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Stop to listen, close what is open and end the behaviours."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._open):
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        requests = _RequestReader()
        running: list[TargetExchange] = []
        try:
            while data := await reader.read(READ_BYTES):
                for request in requests.feed(data):
                    exchange = TargetExchange(request=request, writer=writer)
                    self.exchanges.append(exchange)
                    running.append(exchange)
                    self._tasks.add(asyncio.create_task(self._behave(exchange)))
        except ConnectionError:
            pass
        finally:
            for exchange in running:
                exchange.disconnected.set()
            self._open.discard(writer)

    async def _behave(self, exchange: TargetExchange) -> None:
        await self.behaviour(exchange)


class _RequestReader:
    """Collect bytes and return whole requests."""

    def __init__(self) -> None:
        self._http = h11.Connection(h11.SERVER)
        self._head: h11.Request | None = None
        self._body = b""

    def feed(self, data: bytes) -> list[RequestMessage]:
        """Take bytes and return the requests that they complete."""
        self._http.receive_data(data)
        found: list[RequestMessage] = []
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._head = event
                self._body = b""
            elif isinstance(event, h11.Data):
                self._body += event.data
            elif isinstance(event, h11.EndOfMessage):
                found.append(self._message())
                self._next()
            else:
                return found

    def _message(self) -> RequestMessage:
        assert self._head is not None
        return RequestMessage(
            method=bytes(self._head.method),
            target=bytes(self._head.target),
            headers=list(self._head.headers.raw_items()),
            body=self._body,
        )

    def _next(self) -> None:
        """Begin with a fresh parser: the answer is not written through it."""
        rest = bytes(self._http.trailing_data[0])
        self._http = h11.Connection(h11.SERVER)
        if rest:
            self._http.receive_data(rest)


def whole_answer(
    body: bytes, *, status: int = 200, headers: tuple[tuple[str, str], ...] = ()
) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def stream_head(headers: tuple[tuple[str, str], ...] = ()) -> bytes:
    """Return the head of an answer that comes in chunks."""
    lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body; an empty one ends it."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
