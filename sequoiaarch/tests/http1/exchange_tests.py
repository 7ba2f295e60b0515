"""Test the HTTP/1.1 client and server against misbehaving peers."""

from __future__ import annotations

import asyncio
import unittest

import logbook

from ...http1.client import ClientConnection, connect
from ...http1.events import EventSplitter, event_data
from ...http1.messages import ExchangeError, ExchangeFault, RequestMessage
from ...http1.server import Server
from ...http1.server_connection import ResponseWriter, ServerLimits
from ...http1.sockets import reset_on_close
from ...standins.target import (
    TargetExchange,
    TargetStandIn,
    chunk,
    stream_head,
    whole_answer,
)
from ..hold_up import hold_up

TIMEOUT = 10.0
ATTEMPT_HEADER = "Attempt"


def request(number: int, body: bytes = b"") -> RequestMessage:
    """Return a request whose Attempt header is `number`."""
    headers = [(b"Host", b"target"), (b"Attempt", str(number).encode())]
    return RequestMessage(method=b"POST", target=b"/path", headers=headers, body=body)


async def read_body(connection: ClientConnection) -> bytes:
    """Read the rest of the current response's body."""
    body = b""
    while (part := await connection.read_body_part()) is not None:
        body += part
    return body


class ClientConnectionTests(unittest.IsolatedAsyncioTestCase):
    """Exchange requests with a target that misbehaves."""

    async def serve(self, *parts: bytes, reset: bool = False) -> ClientConnection:
        """Connect to a target that answers each request with `parts`."""

        async def behave(exchange: TargetExchange) -> None:
            for part in parts:
                exchange.send(part)
                await asyncio.sleep(0.01)
            if reset:
                exchange.reset()
            elif not parts:
                exchange.close()

        self.target = TargetStandIn(behaviour=behave)
        await self.target.start()
        self.addAsyncCleanup(self.target.stop)
        connection = await connect(("127.0.0.1", self.target.port), timeout=TIMEOUT)
        self.addCleanup(connection.abort)
        return connection

    async def fault(self, connection: ClientConnection) -> ExchangeFault:
        """Run an exchange that must fail; return its fault."""
        with self.assertRaises(ExchangeError) as caught:
            await connection.send(request(1))
            await connection.read_head()
            await read_body(connection)
        self.assertTrue(caught.exception.sent)
        return caught.exception.fault

    async def test_connect_while_held_up(self) -> None:
        """Connect to a target that accepts while the event loop is blocked.

        Connecting used to time out, and the target counted as failed.
        """
        await self.serve()
        for seconds in (0.15, 0.7):
            hold_up(seconds)
            connection = await connect(("127.0.0.1", self.target.port), timeout=0.1)
            connection.abort()

    async def test_connection_is_reused(self) -> None:
        """A connection is reusable after a complete response."""
        connection = await self.serve(whole_answer(b"answer"))
        for number in (1, 2):
            await connection.send(request(number, b"body"))
            self.assertEqual((await connection.read_head()).status, 200)
            self.assertEqual(await read_body(connection), b"answer")
            self.assertTrue(connection.finish())

    async def test_truncated_response(self) -> None:
        """A response that is shorter than its length is an error."""
        connection = await self.serve(whole_answer(b"answer")[:-2], reset=False)
        await connection.send(request(1))
        await connection.read_head()
        self.target.exchanges[0].close()
        with self.assertRaises(ExchangeError) as caught:
            await read_body(connection)
        self.assertIs(caught.exception.fault, ExchangeFault.TRUNCATED)

    async def test_reset_response_without_length(self) -> None:
        """A reset is not the end of a response without a length.

        Otherwise a truncated response would be taken for a complete one.
        """
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        connection = await self.serve(head + b"part", reset=True)
        self.assertIs(await self.fault(connection), ExchangeFault.RESET)

    async def test_response_without_length_ends_at_close(self) -> None:
        """A response without a length ends when its connection closes."""
        connection = await self.serve(b"HTTP/1.1 200 OK\r\n\r\nbody")
        await connection.send(request(1))
        await connection.read_head()
        self.target.exchanges[0].close()
        self.assertEqual(await read_body(connection), b"body")
        self.assertFalse(connection.finish())

    async def test_response_is_not_http(self) -> None:
        """A response that is not HTTP is an error."""
        connection = await self.serve(b"\x00\x01 nothing of the kind\r\n\r\n")
        self.assertIs(await self.fault(connection), ExchangeFault.GARBLED)

    async def test_unrequested_response_while_idle(self) -> None:
        """A connection that receives an unrequested response is not reused."""
        connection = await self.serve(whole_answer(b"answer"), whole_answer(b"again"))
        await connection.send(request(1))
        await connection.read_head()
        await read_body(connection)
        await asyncio.sleep(0.1)
        self.assertFalse(connection.finish() and connection.usable)

    async def test_late_duplicate_response_is_skipped(self) -> None:
        """A duplicate response to the previous request can be skipped.

        It arrives once the next request is sent, whose caller must get its own
        response.
        """

        async def behave(exchange: TargetExchange) -> None:
            number = exchange.request.header(b"attempt") or b""
            if number == b"2":
                duplicate = whole_answer(b"answer 1", headers=((ATTEMPT_HEADER, "1"),))
                exchange.send(duplicate)
            own = whole_answer(
                b"answer " + number, headers=((ATTEMPT_HEADER, number.decode()),)
            )
            exchange.send(own)

        connection = await self.serve()
        self.target.behaviour = behave
        await connection.send(request(1))
        await connection.read_head()
        self.assertEqual(await read_body(connection), b"answer 1")
        self.assertTrue(connection.finish())
        await connection.send(request(2, b"body"))
        head = await connection.read_head()
        self.assertEqual(head.header(b"attempt"), b"1")
        self.assertEqual(await connection.skip_response(100), len(b"answer 1"))
        head = await connection.read_head()
        self.assertEqual(head.header(b"attempt"), b"2")
        self.assertEqual(await read_body(connection), b"answer 2")

    async def test_events_are_split_at_any_byte(self) -> None:
        """Only complete events are returned, however their bytes are split."""
        splitter = EventSplitter()
        data = b"id: 1\ndata: a\ndata: b\n\nid: 2\ndata:c\n\nid: 3\nda"
        events = []
        for position in range(len(data)):
            events += splitter.feed(data[position : position + 1])
        self.assertEqual([event_data(event) for event in events], [b"a\nb", b"c"])
        self.assertEqual(splitter.pending, b"id: 3\nda")

    async def test_chunked_response(self) -> None:
        """A chunked response is read up to its last chunk."""
        parts = [stream_head(), chunk(b"one"), chunk(b"two"), chunk(b"")]
        connection = await self.serve(*parts)
        await connection.send(request(1))
        await connection.read_head()
        self.assertEqual(await read_body(connection), b"onetwo")


class ServerTests(unittest.IsolatedAsyncioTestCase):
    """Send raw bytes to the server."""

    async def asyncSetUp(self) -> None:
        """Start a server that echoes the request body."""
        self.handler_cancelled = asyncio.Event()
        self.handler_started = asyncio.Event()
        self.handled: list[RequestMessage] = []
        limits = ServerLimits(body_bytes=64, header_timeout=0.2, idle_timeout=0.5)
        self.server = Server(handle=self.handle, limits=limits)
        await self.server.start("127.0.0.1", 0)
        self.addCleanup(self.end)

    def end(self) -> None:
        """Stop the server and reset its connections."""
        self.server.stop_accepting()
        for connection in list(self.server.connections):
            connection.abort("stopped")

    async def handle(self, message: RequestMessage, writer: ResponseWriter) -> None:
        """Echo the body; never answer requests to /wait."""
        self.handled.append(message)
        self.handler_started.set()
        if message.target == b"/wait":
            try:
                await asyncio.Event().wait()
            finally:
                self.handler_cancelled.set()
        await writer.send_response(200, [], message.body)

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the server."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.transport.abort)
        return reader, writer

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes and return all that is received until the server closes."""
        reader, writer = await self.open()
        writer.write(data)
        async with asyncio.timeout(TIMEOUT):
            return await reader.read()

    async def test_chunked_request(self) -> None:
        """A chunked request body is read."""
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        answer = await self.exchange(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertIn(b"200", answer.split(b"\r\n")[0])
        self.assertTrue(answer.endswith(b"abcde"))

    async def test_ambiguous_framing_is_rejected(self) -> None:
        """A request with a length and chunked encoding is rejected.

        It could smuggle a second request past a proxy that frames it otherwise.
        """
        data = (
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
        )
        answer = await self.exchange(data)
        self.assertIn(b"400", answer.split(b"\r\n")[0])
        self.assertEqual(self.handled, [])

    async def test_malformed_header_is_not_disclosed(self) -> None:
        """A malformed header, maybe with an API key, is neither sent nor logged."""
        handler = logbook.TestHandler(level=logbook.DEBUG)
        with handler.applicationbound():
            answer = await self.exchange(
                b"GET /a HTTP/1.1\r\nHost: h\r\nAuthorization : secret-text\r\n\r\n"
            )
        self.assertIn(b"400", answer.split(b"\r\n")[0])
        self.assertTrue(handler.formatted_records)
        self.assertNotIn(b"secret-text", answer)
        self.assertNotIn("secret-text", "".join(handler.formatted_records))

    async def test_body_above_limit(self) -> None:
        """A body above the limit is rejected."""
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"
        answer = await self.exchange(head + b"x" * 100)
        self.assertIn(b"413", answer.split(b"\r\n")[0])
        self.assertEqual(self.handled, [])

    async def test_memory_limit_of_bodies(self) -> None:
        """A body is rejected while the open requests exceed the memory limit.

        Unbounded buffering would get the process killed with all its requests.
        """
        self.server.limits.held_bytes = 100
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 60\r\n\r\n"
        _, first = await self.open()
        first.write(head + b"x" * 59)
        await asyncio.sleep(0.1)
        answer = await self.exchange(head + b"x" * 60)
        self.assertIn(b"503", answer.split(b"\r\n")[0])
        first.transport.abort()
        async with asyncio.timeout(TIMEOUT):
            while self.server.held_bytes:
                await asyncio.sleep(0.01)
        closing_head = head.replace(b"Host: h", b"Host: h\r\nConnection: close")
        answer = await self.exchange(closing_head + b"x" * 60)
        self.assertIn(b"200", answer.split(b"\r\n")[0])

    async def test_connection_limit(self) -> None:
        """Idle connections above the limit are closed."""
        self.server.limits.links = 4
        opened = [await self.open() for _ in range(8)]
        async with asyncio.timeout(TIMEOUT):
            while len(self.server.connections) > 4:
                await asyncio.sleep(0.01)
        self.assertEqual(len(opened), 8)

    async def test_incomplete_headers_time_out(self) -> None:
        """Incomplete request headers time out."""
        answer = await self.exchange(b"GET /a HTTP/1.1\r\nHo")
        self.assertIn(b"408", answer.split(b"\r\n")[0])

    async def test_pipelined_requests(self) -> None:
        """Pipelined requests are answered in order."""
        first = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n"
        last = first.replace(b"Host: h", b"Host: h\r\nConnection: close")
        answer = await self.exchange(first + b"1" + first + b"2" + last + b"3")
        bodies = [part[-1:] for part in answer.split(b"HTTP/1.1 200")[1:]]
        self.assertEqual(len(bodies), 3)
        self.assertEqual([message.body for message in self.handled], [b"1", b"2", b"3"])

    async def test_client_close_cancels_handler(self) -> None:
        """The handler is cancelled when the client closes its connection.

        Otherwise it would keep a slot that other requests wait for.
        """
        _, writer = await self.open()
        writer.write(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(TIMEOUT):
            await self.handler_started.wait()
            writer.close()
            await self.handler_cancelled.wait()

    async def test_client_reset_cancels_handler(self) -> None:
        """The handler is cancelled when the client resets its connection."""
        _, writer = await self.open()
        writer.write(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(TIMEOUT):
            await self.handler_started.wait()
            reset_on_close(writer.get_extra_info("socket"))
            writer.transport.abort()
            await self.handler_cancelled.wait()

    async def test_stop_completes_open_requests(self) -> None:
        """A request that is open when the server stops is still answered."""
        reader, writer = await self.open()
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
        writer.write(head + b"ab")
        await asyncio.sleep(0.05)
        self.server.stopping = True
        self.server.stop_accepting()
        writer.write(b"c")
        async with asyncio.timeout(TIMEOUT):
            answer = await reader.read()
        self.assertTrue(answer.endswith(b"abc"))
        self.assertIn(b"connection: close", answer.lower())
