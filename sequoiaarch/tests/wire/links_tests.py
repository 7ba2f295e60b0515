"""Test links between processes."""

from __future__ import annotations

import asyncio
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

    def test_replies_in_order(self) -> None:
        """The replies to a request arrive in order."""

        async def work(link: Link, _: Responder, address: str) -> list[Reply]:
            return [reply async for reply in link.stream(LoadRequest())]

        replies = self.run_with_link(reply_in_chunks, work)
        self.assertEqual([type(reply) for reply in replies], [Chunk, Chunk, LoadReply])
        self.assertEqual([reply.data for reply in replies[:2]], [b"one", b"two"])

    def test_concurrent_requests(self) -> None:
        """Each of many concurrent requests gets its own reply."""

        async def echo(request: Request, send: Send) -> Reply:
            assert isinstance(request, DrainRequest)
            await asyncio.sleep(0)
            load = Load(target=TargetName("t"), draining=request.drain)
            return Accepted(load=load)

        async def work(link: Link, _: Responder, address: str) -> list[Reply]:
            calls = [link.call(DrainRequest(drain=n % 3 == 0)) for n in range(300)]
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
