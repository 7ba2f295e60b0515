"""Test links between processes."""

from __future__ import annotations

import asyncio
import threading
import time
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import zmq
import zmq.asyncio

from ...bench.cluster import free_port
from ...errors import ErrorKind, NotRun
from ...ids import TargetName
from ...wire.links import CurveKeys, Link, Responder, Send
from ...wire.messages import (
    Accepted,
    Chunk,
    DrainRequest,
    Failed,
    Load,
    LoadReply,
    LoadRequest,
    Reply,
    Request,
    decode_reply,
    decode_request,
    encode,
)
from ..hold_up import held_up_repeatedly, hold_up

SILENCE_LIMIT = 0.6
Handler = Callable[[Request, Send], Awaitable[Reply]]


async def reply_in_chunks(request: Request, send: Send) -> Reply:
    """Send two chunks, then a load reply."""
    await send(Chunk(data=b"one"))
    await send(Chunk(data=b"two"))
    return LoadReply(load=Load(target=TargetName("t")))


class LinkTests(unittest.TestCase):
    """Send requests over TCP sockets."""

    def run_with_link(
        self,
        handler: Handler,
        work: Callable[[Link, Responder, str], Awaitable[Any]],
        keys: CurveKeys | None = None,
    ) -> Any:
        """Run `work` with a responder and a link to it."""

        async def run() -> Any:
            context = zmq.asyncio.Context()
            address = f"tcp://127.0.0.1:{free_port()}"
            responder = Responder(
                context=context, address=address, handler=handler, keys=keys
            )
            responder_task = asyncio.create_task(responder.run())
            link = Link(
                context=context, address=address, keys=keys, silence_limit=SILENCE_LIMIT
            )
            try:
                return await work(link, responder, address)
            finally:
                responder_task.cancel()
                link.close()
                responder.close()
                context.destroy(linger=0)

        return asyncio.run(run())

    def test_closed_link(self) -> None:
        """Fail a request that a task still sends after the link was closed."""

        async def run() -> Reply:
            context = zmq.asyncio.Context()
            link = Link(context=context, address=f"tcp://127.0.0.1:{free_port()}")
            link.close()
            reply = await link.call(LoadRequest(), timeout=1.0)
            context.destroy(linger=0)
            return reply

        reply = asyncio.run(run())
        assert isinstance(reply, Failed)
        self.assertIs(reply.failure.run_state, NotRun.YES)

    def test_replies_in_order(self) -> None:
        """The replies to a request arrive in order."""

        async def work(link: Link, _: Responder, address: str) -> list[Reply]:
            return [reply async for reply in link.stream(LoadRequest())]

        replies = self.run_with_link(reply_in_chunks, work)
        self.assertEqual([type(reply) for reply in replies], [Chunk, Chunk, LoadReply])
        self.assertEqual([reply.data for reply in replies[:2]], [b"one", b"two"])

    def test_concurrent_requests(self) -> None:
        """Each of many concurrent requests gets its own reply."""
        self.check_concurrent_requests()

    def test_concurrent_requests_while_held_up(self) -> None:
        """Requests get their replies although the event loop is blocked.

        The peer used to count as silent, or as not connected, after 0.6 s in which
        this process could not receive anything.
        """
        self.check_concurrent_requests(hold_ups=((0.0, 0.7), (0.75, 1.5)))

    def test_concurrent_requests_while_held_up_repeatedly(self) -> None:
        """Requests get their replies although the event loop is blocked repeatedly."""
        self.check_concurrent_requests(seed=1)

    def test_reply_that_waits_in_the_socket(self) -> None:
        """A reply that arrives while the event loop is blocked is received.

        The peer runs on a thread of its own, so that it answers meanwhile.
        """
        started = threading.Event()
        stopping = threading.Event()
        address = f"tcp://127.0.0.1:{free_port()}"

        async def serve() -> None:
            context = zmq.asyncio.Context()
            responder = Responder(
                context=context, address=address, handler=reply_in_chunks
            )
            responder_task = asyncio.create_task(responder.run())
            started.set()
            while not stopping.is_set():
                await asyncio.sleep(0.01)
            responder_task.cancel()
            responder.close()
            context.destroy(linger=0)

        async def run() -> list[Reply]:
            context = zmq.asyncio.Context()
            link = Link(context=context, address=address)
            try:
                await link.call(LoadRequest())
                replies = []
                for seconds in (0.15, 0.7, 3.0):
                    hold_up(seconds)
                    replies.append(await link.call(LoadRequest(), timeout=0.1))
                return replies
            finally:
                link.close()
                context.destroy(linger=0)

        peer = threading.Thread(target=asyncio.run, args=(serve(),))
        peer.start()
        try:
            started.wait()
            replies = asyncio.run(run())
        finally:
            stopping.set()
            peer.join()
        self.assertEqual([type(reply) for reply in replies], [LoadReply] * 3)

    def test_deadline_of_the_caller(self) -> None:
        """A wall-clock timeout is not extended while the event loop is blocked."""

        async def hang(request: Request, send: Send) -> Reply:
            await asyncio.Event().wait()
            raise AssertionError

        async def work(link: Link, _: Responder, address: str) -> tuple[Reply, float]:
            started = time.monotonic()
            hold_up(0.45, after=0.01)
            reply = await link.call(LoadRequest(), timeout=0.5, wall_clock=True)
            return reply, time.monotonic() - started

        reply, elapsed = self.run_with_link(hang, work)
        self.assertIsInstance(reply, Failed)
        self.assertLess(elapsed, 0.8)

    def check_concurrent_requests(
        self,
        *,
        hold_ups: tuple[tuple[float, float], ...] = (),
        seed: int | None = None,
    ) -> None:
        """Send many concurrent requests while the event loop may be blocked."""

        async def echo(request: Request, send: Send) -> Reply:
            assert isinstance(request, DrainRequest)
            await asyncio.sleep(0)
            load = Load(target=TargetName("t"), draining=request.drain)
            return Accepted(load=load)

        async def work(link: Link, _: Responder, address: str) -> list[Reply]:
            for after, seconds in hold_ups:
                hold_up(seconds, after=after)
            calls = [link.call(DrainRequest(drain=n % 3 == 0)) for n in range(300)]
            if seed is None:
                return list(await asyncio.gather(*calls))
            async with held_up_repeatedly(seed=seed, least=0.3, most=1.5):
                return list(await asyncio.gather(*calls))

        replies = self.run_with_link(echo, work)
        self.assertEqual(
            [reply.load.draining for reply in replies], [n % 3 == 0 for n in range(300)]
        )

    def test_encrypted_link(self) -> None:
        """A request over an encrypted link gets its reply."""
        public, secret = zmq.curve_keypair()
        keys = CurveKeys(
            public=public.decode(), secret=secret.decode(), server=public.decode()
        )

        async def work(link: Link, _: Responder, address: str) -> Reply:
            return await link.call(LoadRequest())

        self.assertIsInstance(
            self.run_with_link(reply_in_chunks, work, keys), LoadReply
        )

    def test_failing_handler(self) -> None:
        """A request whose handler raises gets a failure."""

        async def failing(request: Request, send: Send) -> Reply:
            raise ValueError("on purpose")

        async def work(link: Link, _: Responder, address: str) -> Reply:
            return await link.call(LoadRequest())

        reply = self.run_with_link(failing, work)
        self.assertIs(reply.failure.kind, ErrorKind.INTERNAL)

    def test_unsent_request_is_not_run(self) -> None:
        """A request that could not be sent is not run, also not later.

        A peer that starts at the address afterwards gets only the new request.
        """
        received: list[Request] = []

        async def record(request: Request, send: Send) -> Reply:
            received.append(request)
            return Accepted()

        async def work() -> tuple[Reply, Reply]:
            context = zmq.asyncio.Context()
            address = f"tcp://127.0.0.1:{free_port()}"
            link = Link(context=context, address=address, silence_limit=SILENCE_LIMIT)
            first = await link.call(DrainRequest(drain=True))
            responder = Responder(context=context, address=address, handler=record)
            responder_task = asyncio.create_task(responder.run())
            second = await link.call(DrainRequest(drain=False))
            while isinstance(second, Failed):
                second = await link.call(DrainRequest(drain=False))
            responder_task.cancel()
            link.close()
            responder.close()
            context.destroy(linger=0)
            return first, second

        first, second = asyncio.run(work())
        assert isinstance(first, Failed)
        self.assertIs(first.failure.run_state, NotRun.YES)
        self.assertIsInstance(second, Accepted)
        self.assertEqual(received, [DrainRequest(drain=False)])

    def test_silent_peer_leaves_outcome_unknown(self) -> None:
        """A request to a frozen peer ends after the silence limit.

        It may have run, so its outcome is unknown.
        """

        async def run() -> Reply:
            context = zmq.asyncio.Context()
            frozen = context.socket(zmq.ROUTER)
            port = frozen.bind_to_random_port("tcp://127.0.0.1")
            link = Link(
                context=context,
                address=f"tcp://127.0.0.1:{port}",
                silence_limit=SILENCE_LIMIT,
            )
            reply = await link.call(LoadRequest())
            link.close()
            context.destroy(linger=0)
            return reply

        reply = asyncio.run(run())
        assert isinstance(reply, Failed)
        self.assertIs(reply.failure.run_state, NotRun.UNKNOWN)

    def test_lost_connection_ends_pending_requests(self) -> None:
        """Pending requests end as unknown when the connection breaks."""
        new_event = asyncio.Event

        async def run() -> Reply:
            arrived = new_event()

            async def hang(request: Request, send: Send) -> Reply:
                arrived.set()
                await asyncio.sleep(3600)
                return Accepted()

            context = zmq.asyncio.Context()
            address = f"tcp://127.0.0.1:{free_port()}"
            responder = Responder(context=context, address=address, handler=hang)
            responder_task = asyncio.create_task(responder.run())
            link = Link(context=context, address=address, silence_limit=3600)
            pending = asyncio.create_task(link.call(LoadRequest(), timeout=3600))
            await arrived.wait()
            responder_task.cancel()
            responder.close()
            reply = await pending
            link.close()
            context.destroy(linger=0)
            return reply

        reply = asyncio.run(run())
        assert isinstance(reply, Failed)
        self.assertIs(reply.failure.run_state, NotRun.UNKNOWN)

    def test_invalid_bytes(self) -> None:
        """Bytes that are not a valid message decode to None."""
        self.assertIsNone(decode_request(b"\xc1"))
        self.assertIsNone(decode_reply(encode(LoadRequest())))
