"""Test requests and answers on the wire, in order and out of order."""

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

PATIENCE = 10.0
ATTEMPT = "Attempt"


def request(number: int, body: bytes = b"") -> RequestMessage:
    """Return a request with a number."""
    headers = [(b"Host", b"target"), (b"Attempt", str(number).encode())]
    return RequestMessage(method=b"POST", target=b"/path", headers=headers, body=body)


async def whole(link: ClientConnection) -> bytes:
    """Return the body of the answer that comes next."""
    body = b""
    while (part := await link.body_part()) is not None:
        body += part
    return body


class ClientLinkTests(unittest.IsolatedAsyncioTestCase):
    """Test the link to a target that misbehaves."""

    async def serve(self, *parts: bytes, reset: bool = False) -> ClientConnection:
        """Return a link to a target that answers a request with these bytes."""

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
        link = await connect(("127.0.0.1", self.target.port), timeout=PATIENCE)
        self.addCleanup(link.abort)
        return link

    async def fault(self, link: ClientConnection) -> ExchangeFault:
        """Return how an exchange fails."""
        with self.assertRaises(ExchangeError) as caught:
            await link.send(request(1))
            await link.head()
            await whole(link)
        self.assertTrue(caught.exception.sent)
        return caught.exception.fault

    async def test_second_exchange_on_a_link(self) -> None:
        """Use a link again after a complete answer."""
        link = await self.serve(whole_answer(b"answer"))
        for number in (1, 2):
            await link.send(request(number, b"body"))
            self.assertEqual((await link.head()).status, 200)
            self.assertEqual(await whole(link), b"answer")
            self.assertTrue(link.finish())

    async def test_truncated(self) -> None:
        """Tell an answer that ends early from a whole one."""
        link = await self.serve(whole_answer(b"answer")[:-2], reset=False)
        await link.send(request(1))
        await link.head()
        self.target.exchanges[0].close()
        with self.assertRaises(ExchangeError) as caught:
            await whole(link)
        self.assertIs(caught.exception.fault, ExchangeFault.TRUNCATED)

    async def test_reset_without_length(self) -> None:
        """Refuse an answer without a length whose connection was reset.

        Such an answer ends with its connection. A reset is no end: the bytes
        that are missing would make a shorter answer that looks complete.
        """
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        link = await self.serve(head + b"part", reset=True)
        self.assertIs(await self.fault(link), ExchangeFault.RESET)

    async def test_end_without_length(self) -> None:
        """Take an answer without a length that ends with its connection."""
        link = await self.serve(b"HTTP/1.1 200 OK\r\n\r\nbody")
        await link.send(request(1))
        await link.head()
        self.target.exchanges[0].close()
        self.assertEqual(await whole(link), b"body")
        self.assertFalse(link.finish())

    async def test_not_http(self) -> None:
        """Refuse bytes that are no answer."""
        link = await self.serve(b"\x00\x01 nothing of the kind\r\n\r\n")
        self.assertIs(await self.fault(link), ExchangeFault.GARBLED)

    async def test_second_answer_while_idle(self) -> None:
        """Drop a link on which an answer comes that no request waits for."""
        link = await self.serve(whole_answer(b"answer"), whole_answer(b"again"))
        await link.send(request(1))
        await link.head()
        await whole(link)
        await asyncio.sleep(0.1)
        self.assertFalse(link.finish() and link.usable)

    async def test_late_second_answer(self) -> None:
        """Skip the second answer to an earlier request.

        The target answers the first request twice, the second time only when
        the next request is on the connection. The next caller must get its
        own answer, which follows.
        """

        async def behave(exchange: TargetExchange) -> None:
            number = exchange.request.header(b"attempt") or b""
            if number == b"2":
                late = whole_answer(b"answer 1", headers=((ATTEMPT, "1"),))
                exchange.send(late)
            own = whole_answer(
                b"answer " + number, headers=((ATTEMPT, number.decode()),)
            )
            exchange.send(own)

        link = await self.serve()
        self.target.behaviour = behave
        await link.send(request(1))
        await link.head()
        self.assertEqual(await whole(link), b"answer 1")
        self.assertTrue(link.finish())
        await link.send(request(2, b"body"))
        head = await link.head()
        self.assertEqual(head.header(b"attempt"), b"1")
        await link.skip_response()
        head = await link.head()
        self.assertEqual(head.header(b"attempt"), b"2")
        self.assertEqual(await whole(link), b"answer 2")

    async def test_events_in_pieces(self) -> None:
        """Return whole events only, however their bytes arrive."""
        splitter = EventSplitter()
        data = b"id: 1\ndata: a\ndata: b\n\nid: 2\ndata:c\n\nid: 3\nda"
        events = []
        for place in range(len(data)):
            events += splitter.feed(data[place : place + 1])
        self.assertEqual([event_data(one) for one in events], [b"a\nb", b"c"])
        self.assertEqual(splitter.pending, b"id: 3\nda")

    async def test_chunked_stream(self) -> None:
        """Return the parts of a stream as they come, and its end."""
        parts = [stream_head(), chunk(b"one"), chunk(b"two"), chunk(b"")]
        link = await self.serve(*parts)
        await link.send(request(1))
        await link.head()
        self.assertEqual(await whole(link), b"onetwo")


class ServerTests(unittest.IsolatedAsyncioTestCase):
    """Test the callers' side with raw bytes."""

    async def asyncSetUp(self) -> None:
        """Start a server that repeats the body."""
        self.cancelled = asyncio.Event()
        self.taken = asyncio.Event()
        self.seen: list[RequestMessage] = []
        limits = ServerLimits(body_bytes=64, header_timeout=0.2, idle_timeout=0.5)
        self.server = Server(handle=self.handle, limits=limits)
        await self.server.start("127.0.0.1", 0)
        self.addCleanup(self.end)

    def end(self) -> None:
        """Stop the server."""
        self.server.stop_accepting()
        for link in list(self.server.connections):
            link.abort()

    async def handle(self, message: RequestMessage, reply: ResponseWriter) -> None:
        """Repeat the body, or wait for ever."""
        self.seen.append(message)
        self.taken.set()
        if message.target == b"/wait":
            try:
                await asyncio.Event().wait()
            finally:
                self.cancelled.set()
        await reply.send_response(200, [], message.body)

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a connection to the server."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.transport.abort)
        return reader, writer

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes and return all that comes until the server closes."""
        reader, writer = await self.open()
        writer.write(data)
        async with asyncio.timeout(PATIENCE):
            return await reader.read()

    async def test_chunked_body(self) -> None:
        """Read a body in chunks."""
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        answer = await self.exchange(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertIn(b"200", answer.split(b"\r\n")[0])
        self.assertTrue(answer.endswith(b"abcde"))

    async def test_two_lengths(self) -> None:
        """Refuse a request whose end could be read in two ways.

        A caller hides a second request in the body of the first. Read by
        either length, the other reader would run the hidden one.
        """
        data = (
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
        )
        answer = await self.exchange(data)
        self.assertIn(b"400", answer.split(b"\r\n")[0])
        self.assertEqual(self.seen, [])

    async def test_malformed_header_is_quoted_nowhere(self) -> None:
        """Show no bytes of a header that can't be read, which may hold a key."""
        handler = logbook.TestHandler(level=logbook.DEBUG)
        with handler.applicationbound():
            answer = await self.exchange(
                b"GET /a HTTP/1.1\r\nHost: h\r\nAuthorization : secret-text\r\n\r\n"
            )
        self.assertIn(b"400", answer.split(b"\r\n")[0])
        self.assertTrue(handler.formatted_records)
        self.assertNotIn(b"secret-text", answer)
        self.assertNotIn("secret-text", "".join(handler.formatted_records))

    async def test_too_large(self) -> None:
        """Refuse a body over the limit."""
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"
        answer = await self.exchange(head + b"x" * 100)
        self.assertIn(b"413", answer.split(b"\r\n")[0])
        self.assertEqual(self.seen, [])

    async def test_many_bodies(self) -> None:
        """Refuse a body while others take all the memory, and only then.

        Callers send half of their bodies and wait. Taking more of them would
        end the process at its memory limit, and all requests with it.
        """
        self.server.limits.held_bytes = 100
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 60\r\n\r\n"
        _, first = await self.open()
        first.write(head + b"x" * 59)
        await asyncio.sleep(0.1)
        answer = await self.exchange(head + b"x" * 60)
        self.assertIn(b"503", answer.split(b"\r\n")[0])
        first.transport.abort()
        async with asyncio.timeout(PATIENCE):
            while self.server.held_bytes:
                await asyncio.sleep(0.01)
        close = head.replace(b"Host: h", b"Host: h\r\nConnection: close")
        answer = await self.exchange(close + b"x" * 60)
        self.assertIn(b"200", answer.split(b"\r\n")[0])

    async def test_many_connections(self) -> None:
        """Close idle connections once there are too many of them."""
        self.server.limits.links = 4
        opened = [await self.open() for _ in range(8)]
        async with asyncio.timeout(PATIENCE):
            while len(self.server.connections) > 4:
                await asyncio.sleep(0.01)
        self.assertEqual(len(opened), 8)

    async def test_half_a_head(self) -> None:
        """Give up on a head that does not come."""
        answer = await self.exchange(b"GET /a HTTP/1.1\r\nHo")
        self.assertIn(b"408", answer.split(b"\r\n")[0])

    async def test_requests_in_a_row(self) -> None:
        """Answer requests that were sent together, in their order."""
        one = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n"
        last = one.replace(b"Host: h", b"Host: h\r\nConnection: close")
        answer = await self.exchange(one + b"1" + one + b"2" + last + b"3")
        bodies = [part[-1:] for part in answer.split(b"HTTP/1.1 200")[1:]]
        self.assertEqual(len(bodies), 3)
        self.assertEqual([one.body for one in self.seen], [b"1", b"2", b"3"])

    async def test_caller_leaves(self) -> None:
        """End the work for a caller that has closed its connection.

        The caller gives up while its request runs. Work that goes on for
        nobody holds a slot that others wait for.
        """
        _, writer = await self.open()
        writer.write(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(PATIENCE):
            await self.taken.wait()
            writer.close()
            await self.cancelled.wait()

    async def test_caller_resets(self) -> None:
        """End the work for a caller whose connection was reset."""
        _, writer = await self.open()
        writer.write(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(PATIENCE):
            await self.taken.wait()
            reset_on_close(writer.get_extra_info("socket"))
            writer.transport.abort()
            await self.cancelled.wait()

    async def test_stop_finishes_open_requests(self) -> None:
        """Answer the request under way when the stop begins, then close."""
        reader, writer = await self.open()
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
        writer.write(head + b"ab")
        await asyncio.sleep(0.05)
        self.server.stopping = True
        self.server.stop_accepting()
        writer.write(b"c")
        async with asyncio.timeout(PATIENCE):
            answer = await reader.read()
        self.assertTrue(answer.endswith(b"abc"))
        self.assertIn(b"connection: close", answer.lower())
