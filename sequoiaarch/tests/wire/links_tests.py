"""Test the links between processes."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import zmq
import zmq.asyncio

from ...bench.fleet import free_port
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

SILENCE = 0.6
Handler = Callable[[Request, Send], Awaitable[Reply]]


async def answer(request: Request, send: Send) -> Reply:
    """Send two pieces, then a load."""
    await send(Chunk(data=b"one"))
    await send(Chunk(data=b"two"))
    return LoadReply(load=Load(target=TargetName("t")))


class LinkTests(unittest.TestCase):
    """Send requests over real sockets."""

    def run_linked(
        self,
        handler: Handler,
        work: Callable[[Link, Responder, str], Awaitable[Any]],
        keys: CurveKeys | None = None,
    ) -> Any:
        """Run a test with a responder and a link to it."""

        async def run() -> Any:
            context = zmq.asyncio.Context()
            address = f"tcp://127.0.0.1:{free_port()}"
            responder = Responder(
                context=context, address=address, handler=handler, keys=keys
            )
            serving = asyncio.create_task(responder.run())
            link = Link(
                context=context, address=address, keys=keys, silence_limit=SILENCE
            )
            try:
                return await work(link, responder, address)
            finally:
                serving.cancel()
                link.close()
                responder.close()
                context.destroy(linger=0)

        return asyncio.run(run())

    def test_pieces_in_order(self) -> None:
        """Get all pieces of an answer in order."""

        async def work(link: Link, _: Responder, address: str) -> list[Reply]:
            return [reply async for reply in link.stream(LoadRequest())]

        replies = self.run_linked(answer, work)
        self.assertEqual([type(one) for one in replies], [Chunk, Chunk, LoadReply])
        self.assertEqual([one.data for one in replies[:2]], [b"one", b"two"])

    def test_many_at_once(self) -> None:
        """Give each request its own answer."""

        async def echo(request: Request, send: Send) -> Reply:
            assert isinstance(request, DrainRequest)
            await asyncio.sleep(0)
            load = Load(target=TargetName("t"), draining=request.drain)
            return Accepted(load=load)

        async def work(link: Link, _: Responder, address: str) -> list[Reply]:
            asked = [link.call(DrainRequest(drain=n % 3 == 0)) for n in range(300)]
            return list(await asyncio.gather(*asked))

        replies = self.run_linked(echo, work)
        self.assertEqual(
            [one.load.draining for one in replies], [n % 3 == 0 for n in range(300)]
        )

    def test_encrypted(self) -> None:
        """Talk over links that settings protect by keys."""
        public, secret = zmq.curve_keypair()
        keys = CurveKeys(
            public=public.decode(), secret=secret.decode(), server=public.decode()
        )

        async def work(link: Link, _: Responder, address: str) -> Reply:
            return await link.call(LoadRequest())

        self.assertIsInstance(self.run_linked(answer, work, keys), LoadReply)

    def test_failing_handler(self) -> None:
        """Answer a request whose handler fails."""

        async def broken(request: Request, send: Send) -> Reply:
            raise ValueError("on purpose")

        async def work(link: Link, _: Responder, address: str) -> Reply:
            return await link.call(LoadRequest())

        reply = self.run_linked(broken, work)
        self.assertIs(reply.failure.kind, ErrorKind.INTERNAL)

    def test_nobody_there_is_not_run(self) -> None:
        """Say truly that nothing left, and never deliver it later.

        Nobody listens; the request fails as not run. Then a peer comes up at
        that address. It must not get the old request, only the new one.
        """
        got: list[Request] = []

        async def note(request: Request, send: Send) -> Reply:
            got.append(request)
            return Accepted()

        async def work() -> tuple[Reply, Reply]:
            context = zmq.asyncio.Context()
            address = f"tcp://127.0.0.1:{free_port()}"
            link = Link(context=context, address=address, silence_limit=SILENCE)
            first = await link.call(DrainRequest(drain=True))
            responder = Responder(context=context, address=address, handler=note)
            serving = asyncio.create_task(responder.run())
            second = await link.call(DrainRequest(drain=False))
            while isinstance(second, Failed):
                second = await link.call(DrainRequest(drain=False))
            serving.cancel()
            link.close()
            responder.close()
            context.destroy(linger=0)
            return first, second

        first, second = asyncio.run(work())
        assert isinstance(first, Failed)
        self.assertIs(first.failure.run_state, NotRun.YES)
        self.assertIsInstance(second, Accepted)
        self.assertEqual(got, [DrainRequest(drain=False)])

    def test_silent_peer_is_unknown(self) -> None:
        """End a request whose peer froze after it had left.

        The peer takes the request and then neither answers nor reacts to
        pings. The request ends after the silence limit, as unknown.
        """

        async def run() -> Reply:
            context = zmq.asyncio.Context()
            frozen = context.socket(zmq.ROUTER)
            port = frozen.bind_to_random_port("tcp://127.0.0.1")
            link = Link(
                context=context,
                address=f"tcp://127.0.0.1:{port}",
                silence_limit=SILENCE,
            )
            reply = await link.call(LoadRequest())
            link.close()
            context.destroy(linger=0)
            return reply

        reply = asyncio.run(run())
        assert isinstance(reply, Failed)
        self.assertIs(reply.failure.run_state, NotRun.UNKNOWN)

    def test_lost_connection_ends_requests(self) -> None:
        """End open requests as unknown when the connection breaks."""
        started = asyncio.Event

        async def run() -> Reply:
            arrived = started()

            async def hang(request: Request, send: Send) -> Reply:
                arrived.set()
                await asyncio.sleep(3600)
                return Accepted()

            context = zmq.asyncio.Context()
            address = f"tcp://127.0.0.1:{free_port()}"
            responder = Responder(context=context, address=address, handler=hang)
            serving = asyncio.create_task(responder.run())
            link = Link(context=context, address=address, silence_limit=3600)
            asking = asyncio.create_task(link.call(LoadRequest(), timeout=3600))
            await arrived.wait()
            serving.cancel()
            responder.close()
            reply = await asking
            link.close()
            context.destroy(linger=0)
            return reply

        reply = asyncio.run(run())
        assert isinstance(reply, Failed)
        self.assertIs(reply.failure.run_state, NotRun.UNKNOWN)

    def test_strange_bytes(self) -> None:
        """Make nothing of bytes that are no messages of ours."""
        self.assertIsNone(decode_request(b"\xc1"))
        self.assertIsNone(decode_reply(encode(LoadRequest())))
