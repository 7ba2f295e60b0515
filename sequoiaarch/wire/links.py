"""Carry requests and their replies between processes over ZeroMQ."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import logbook
import zmq
import zmq.asyncio
from zmq.utils.monitor import recv_monitor_message

from ..errors import ErrorKind, Failure, NotRun
from .messages import (
    Accepted,
    Failed,
    Message,
    Ping,
    Reply,
    Request,
    decode_reply,
    decode_request,
    encode,
)

log = logbook.Logger("wire")

PING_INTERVAL = 0.5
SILENCE_LIMIT = 3.0
RECONNECT_LIMIT = 0.3
ID_BYTES = 8
FRAMES_A_REPLY = 3
MORE = b"+"
LAST = b"."
HIGH_WATER = 100_000
PING_ID = (0).to_bytes(ID_BYTES, "big")


@dataclass(frozen=True, kw_only=True)
class CurveKeys:
    """Hold the keys that protect the links; Z85 text as ZeroMQ uses it."""

    public: str
    secret: str
    server: str


Send = Callable[[Reply], Awaitable[None]]
Handler = Callable[[Request, Send], Awaitable[Reply]]


class Responder:
    """Answer the requests of all peers on one bound socket."""

    def __init__(
        self,
        *,
        context: zmq.asyncio.Context,
        address: str,
        handler: Handler,
        keys: CurveKeys | None = None,
    ) -> None:
        self._handler = handler
        self._socket = context.socket(zmq.ROUTER)
        self._socket.setsockopt(zmq.LINGER, 1000)
        self._socket.setsockopt(zmq.SNDHWM, HIGH_WATER)
        self._socket.setsockopt(zmq.RCVHWM, HIGH_WATER)
        if keys is not None:
            self._socket.curve_server = True
            self._socket.curve_secretkey = keys.secret.encode()
            self._socket.curve_publickey = keys.public.encode()
        self._socket.bind(address)
        self._outbox: dict[bytes, list[bytes]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return the address that the socket is bound to."""
        return self._socket.getsockopt_string(zmq.LAST_ENDPOINT)

    async def run(self) -> None:
        """Receive requests and answer each in a task of its own."""
        while True:
            frames = await self._socket.recv_multipart()
            if len(frames) != 3:
                continue
            peer, request_id, body = frames
            request = decode_request(body)
            if isinstance(request, Ping):
                self._reply(peer, request_id, LAST, Accepted())
                continue
            task = asyncio.create_task(self._answer(peer, request_id, request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _answer(
        self, peer: bytes, request_id: bytes, request: Request | None
    ) -> None:
        if request is None:
            failure = Failure(kind=ErrorKind.MALFORMED, reason="message not understood")
            self._reply(peer, request_id, LAST, Failed(failure=failure))
            return

        async def send(reply: Reply) -> None:
            self._reply(peer, request_id, MORE, reply)

        try:
            last = await self._handler(request, send)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log.exception("A handler failed on {}.", type(request).__name__)
            reason = f"{type(error).__name__}: {error}"
            last = Failed(failure=Failure(kind=ErrorKind.INTERNAL, reason=reason))
        self._reply(peer, request_id, LAST, last)

    def _reply(self, peer: bytes, request_id: bytes, mark: bytes, reply: Reply) -> None:
        """Put a reply into the next message to a peer.

        An engine gives a token to all its streams at once. What goes to one
        peer in the same turn of the event loop travels as one message.
        """
        if not self._outbox:
            asyncio.get_running_loop().call_soon(self._flush)
        frames = self._outbox.setdefault(peer, [peer])
        frames += (request_id, mark, encode(reply))

    def _flush(self) -> None:
        outbox = self._outbox
        self._outbox = {}
        if self._socket.closed:
            return
        for frames in outbox.values():
            # A router drops what a vanished peer can't take; the peer's own
            # requests end by its silence limit.
            sent = self._socket.send_multipart(frames, flags=zmq.NOBLOCK)
            asyncio.ensure_future(sent).add_done_callback(_ignore_failure)

    def close(self) -> None:
        """Stop answering."""
        for task in self._tasks:
            task.cancel()
        self._flush()
        self._socket.close()


def _ignore_failure(sent: asyncio.Future[Any]) -> None:
    if not sent.cancelled():
        sent.exception()


class Link:
    """Send requests to one peer and hand out its replies.

    A peer whose connection breaks is taken for lost at once. While requests
    are open the peer is pinged too, and one that stays silent for
    `SILENCE_LIMIT` seconds is taken for lost, so that a frozen process holds
    no caller for longer than that. All open requests then end.
    """

    def __init__(
        self,
        *,
        context: zmq.asyncio.Context,
        address: str,
        keys: CurveKeys | None = None,
        silence_limit: float = SILENCE_LIMIT,
    ) -> None:
        self._context = context
        self._address = address
        self._keys = keys
        self._silence_limit = silence_limit
        self._ids = itertools.count(1)
        self._open: dict[bytes, asyncio.Queue[tuple[bytes, Reply]]] = {}
        self._heard = 0.0
        self._broken = False
        self._socket = self._connect()
        self._tasks = self._start()
        self._watcher = asyncio.create_task(self._watch())

    @property
    def address(self) -> str:
        """Return the address of the peer."""
        return self._address

    def _start(self) -> list[asyncio.Task[None]]:
        monitor = self._socket.get_monitor_socket(
            zmq.EVENT_DISCONNECTED | zmq.EVENT_HANDSHAKE_SUCCEEDED
        )
        return [
            asyncio.create_task(self._receive()),
            asyncio.create_task(self._watch_connection(monitor)),
        ]

    def _connect(self) -> zmq.asyncio.Socket:
        socket = self._context.socket(zmq.DEALER)
        socket.setsockopt(zmq.LINGER, 0)
        # A message waits here until a connection stands, and not inside the
        # socket, so that "it never left" can be said truly.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER)
        socket.setsockopt(zmq.RECONNECT_IVL, 50)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, 500)
        if self._keys is not None:
            socket.curve_secretkey = self._keys.secret.encode()
            socket.curve_publickey = self._keys.public.encode()
            socket.curve_serverkey = self._keys.server.encode()
        socket.connect(self._address)
        return socket

    async def stream(self, request: Message) -> AsyncIterator[Reply]:
        """Send a request and yield its replies up to the last."""
        request_id = next(self._ids).to_bytes(ID_BYTES, "big")
        replies: asyncio.Queue[tuple[bytes, Reply]] = asyncio.Queue()
        if not self._open:
            self._heard = asyncio.get_running_loop().time()
        self._open[request_id] = replies
        try:
            if not await self._send([request_id, encode(request)]):
                yield Failed(failure=self._lost("no connection", NotRun.YES))
                return
            mark = MORE
            while mark == MORE:
                mark, reply = await replies.get()
                yield reply
        finally:
            self._open.pop(request_id, None)

    async def _send(self, frames: list[bytes]) -> bool:
        """Send frames; False says that nothing left this process."""
        limit = RECONNECT_LIMIT if self._broken else self._silence_limit
        try:
            async with asyncio.timeout(limit):
                await self._socket.send_multipart(frames)
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            # The socket was closed below the waiting message.
            return False
        return True

    async def call(self, request: Message, *, timeout: float = 30.0) -> Reply:
        """Send a request and return its last reply."""
        last: Reply = Failed(failure=self._lost("no reply"))
        try:
            async with asyncio.timeout(timeout):
                async for reply in self.stream(request):
                    last = reply
        except TimeoutError:
            return Failed(failure=self._lost(f"no reply within {timeout} s"))
        return last

    def _lost(self, reason: str, not_run: NotRun = NotRun.UNKNOWN) -> Failure:
        return Failure(
            kind=ErrorKind.INTERRUPTED,
            reason=f"peer {self._address}: {reason}",
            not_run=not_run,
        )

    async def _receive(self) -> None:
        while True:
            frames = await self._socket.recv_multipart()
            self._heard = asyncio.get_running_loop().time()
            for place in range(0, len(frames) - 2, FRAMES_A_REPLY):
                self._deliver(*frames[place : place + FRAMES_A_REPLY])

    def _deliver(self, request_id: bytes, mark: bytes, body: bytes) -> None:
        replies = self._open.get(request_id)
        if replies is None:
            return
        reply = decode_reply(body)
        if reply is None:
            reply = Failed(failure=self._lost("reply not understood"))
            mark = LAST
        replies.put_nowait((mark, reply))

    async def _watch_connection(self, monitor: zmq.asyncio.Socket) -> None:
        while True:
            message = await recv_monitor_message(monitor)
            self._broken = message["event"] == zmq.EVENT_DISCONNECTED
            if self._broken and self._open:
                self._fail_open("disconnected")

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PING_INTERVAL)
            if not self._open:
                continue
            if loop.time() - self._heard > self._silence_limit:
                self._fail_open("silent")
                continue
            with contextlib.suppress(zmq.Again):
                frames = [PING_ID, encode(Ping())]
                await self._socket.send_multipart(frames, flags=zmq.NOBLOCK)

    def _fail_open(self, reason: str) -> None:
        # A message that still waits in the socket must not reach a peer that
        # comes back later: its caller has been answered. Closing the socket
        # with no linger drops it.
        log.warning("Peer {} is {}.", self._address, reason)
        for replies in self._open.values():
            replies.put_nowait((LAST, Failed(failure=self._lost(reason))))
        self._open.clear()
        self._broken = True
        self._disconnect()
        self._socket = self._connect()
        self._tasks = self._start()

    def _disconnect(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._socket.disable_monitor()
        self._socket.close(linger=0)

    def close(self) -> None:
        """End the link."""
        self._watcher.cancel()
        self._disconnect()


class Links:
    """Keep one link to each peer that is talked to."""

    def __init__(
        self,
        *,
        context: zmq.asyncio.Context,
        keys: CurveKeys | None = None,
        silence_limit: float = SILENCE_LIMIT,
    ) -> None:
        self._context = context
        self._keys = keys
        self._silence_limit = silence_limit
        self._links: dict[str, Link] = {}

    def to(self, address: str) -> Link:
        """Return the link to an address."""
        link = self._links.get(address)
        if link is None:
            link = Link(
                context=self._context,
                address=address,
                keys=self._keys,
                silence_limit=self._silence_limit,
            )
            self._links[address] = link
        return link

    def close(self) -> None:
        """End all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()
