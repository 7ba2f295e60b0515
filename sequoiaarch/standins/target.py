"""Simulate an HTTP target whose behaviour a test provides."""

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
    """A received request and the connection to its sender.

    `disconnected` is set when the sender has closed the connection.
    """

    request: RequestMessage
    writer: asyncio.StreamWriter
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)

    def send(self, data: bytes) -> None:
        """Write raw bytes to the connection."""
        self.writer.write(data)

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        reset_on_close(self.writer.get_extra_info("socket"))
        self.writer.transport.abort()

    def close(self) -> None:
        """Close the connection once all data has been sent."""
        self.writer.close()


Behaviour = Callable[[TargetExchange], Awaitable[None]]


class TargetStandIn:
    """Listen on a free port and run a behaviour for each request."""

    def __init__(self, *, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self.exchanges: list[TargetExchange] = []
        self._server: asyncio.Server | None = None
        self._open_writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Return the listening port."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self, port: int = 0) -> None:
        """Start listening, on any free port unless one is given."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    async def stop(self) -> None:
        """Stop listening, abort open connections and cancel running behaviours."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._open_writers):
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open_writers.add(writer)
        requests = _RequestReader()
        connection_exchanges: list[TargetExchange] = []
        try:
            while data := await reader.read(READ_BYTES):
                for request in requests.feed(data):
                    exchange = TargetExchange(request=request, writer=writer)
                    self.exchanges.append(exchange)
                    connection_exchanges.append(exchange)
                    self._tasks.add(asyncio.create_task(self._run_behaviour(exchange)))
        except ConnectionError:
            pass
        finally:
            for exchange in connection_exchanges:
                exchange.disconnected.set()
            self._open_writers.discard(writer)

    async def _run_behaviour(self, exchange: TargetExchange) -> None:
        await self.behaviour(exchange)


class _RequestReader:
    """Parse complete requests out of a byte stream."""

    def __init__(self) -> None:
        self._http = h11.Connection(h11.SERVER)
        self._request_head: h11.Request | None = None
        self._body = b""

    def feed(self, data: bytes) -> list[RequestMessage]:
        """Parse more bytes and return the requests that they complete."""
        self._http.receive_data(data)
        requests: list[RequestMessage] = []
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._request_head = event
                self._body = b""
            elif isinstance(event, h11.Data):
                self._body += event.data
            elif isinstance(event, h11.EndOfMessage):
                requests.append(self._make_request())
                self._reset_parser()
            else:
                return requests

    def _make_request(self) -> RequestMessage:
        assert self._request_head is not None
        return RequestMessage(
            method=bytes(self._request_head.method),
            target=bytes(self._request_head.target),
            headers=list(self._request_head.headers.raw_items()),
            body=self._body,
        )

    def _reset_parser(self) -> None:
        """Replace the parser, as it never sees the response and can't go on itself."""
        unparsed = bytes(self._http.trailing_data[0])
        self._http = h11.Connection(h11.SERVER)
        if unparsed:
            self._http.receive_data(unparsed)


def whole_answer(
    body: bytes, *, status: int = 200, headers: tuple[tuple[str, str], ...] = ()
) -> bytes:
    """Return the bytes of a response with a Content-Length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def stream_head(headers: tuple[tuple[str, str], ...] = ()) -> bytes:
    """Return the status line and headers of a response in chunked encoding."""
    lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Encode one chunk of a body; an empty chunk ends the body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
