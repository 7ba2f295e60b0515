"""Exchange requests and replies between processes over ZeroMQ."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable, Collection
from dataclasses import dataclass
from typing import Any

import logbook
import zmq
import zmq.asyncio
from zmq.utils.monitor import recv_monitor_message

from ..errors import ErrorKind, Failure, NotRun
from ..reply_timeout import reply_clock, reply_timeout
from .accepted import MAX_CONNECTIONS, AcceptedConnections
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
RECONNECT_TIMEOUT = 0.3
ID_BYTES = 8
FRAMES_PER_REPLY = 3
MORE_REPLIES = b"+"
LAST_REPLY = b"."
HIGH_WATER_MARK = 100_000
# Bytes of a message, above any whole body with its history.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# Messages of one peer that ZeroMQ reads ahead of the event loop.
READ_AHEAD_MESSAGES = 1000
# Milliseconds for a peer to introduce itself.
HANDSHAKE_TIMEOUT_MS = 3000
# Requests that are handled at once.
MAX_OPEN_REQUESTS = 4096
PING_ID = (0).to_bytes(ID_BYTES, "big")


@dataclass(frozen=True, kw_only=True)
class CurveKeys:
    """CurveZMQ keys that protect links, in Z85 encoding."""

    public: str
    secret: str
    server: str


Send = Callable[[Reply], Awaitable[None]]
Handler = Callable[[Request, Send], Awaitable[Reply]]


class Responder:
    """Server that handles the requests of all peers on one bound socket."""

    def __init__(
        self,
        *,
        context: zmq.asyncio.Context,
        address: str,
        handler: Handler,
        keys: CurveKeys | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._handler = handler
        self._socket = context.socket(zmq.ROUTER)
        self._socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        self._socket.setsockopt(zmq.LINGER, 1000)
        self._socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        self._socket.setsockopt(zmq.RCVHWM, READ_AHEAD_MESSAGES)
        if keys is not None:
            self._socket.curve_server = True
            self._socket.curve_secretkey = keys.secret.encode()
            self._socket.curve_publickey = keys.public.encode()
        self.connections = AcceptedConnections(
            router=self._socket, limit=max_connections
        )
        self._socket.bind(address)
        self._outbox: dict[bytes, list[bytes]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return the address that the socket is bound to."""
        return self._socket.getsockopt_string(zmq.LAST_ENDPOINT)

    async def run(self) -> None:
        """Receive requests and handle each in its own task, until cancelled."""
        following = asyncio.create_task(self.connections.run())
        try:
            await self._receive()
        finally:
            following.cancel()

    async def _receive(self) -> None:
        while True:
            frames = await self._socket.recv_multipart()
            if len(frames) != 3:
                continue
            peer, request_id, body = frames
            request = decode_request(body)
            if isinstance(request, Ping):
                self._queue_reply(peer, request_id, LAST_REPLY, Accepted())
                continue
            if len(self._tasks) >= MAX_OPEN_REQUESTS:
                failure = Failure(
                    kind=ErrorKind.OVERLOADED, reason="too many requests are open"
                )
                self._queue_reply(peer, request_id, LAST_REPLY, Failed(failure=failure))
                continue
            task = asyncio.create_task(self._handle(peer, request_id, request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _handle(
        self, peer: bytes, request_id: bytes, request: Request | None
    ) -> None:
        if request is None:
            failure = Failure(
                kind=ErrorKind.MALFORMED, reason="cannot decode the request"
            )
            self._queue_reply(peer, request_id, LAST_REPLY, Failed(failure=failure))
            return

        async def send(reply: Reply) -> None:
            self._queue_reply(peer, request_id, MORE_REPLIES, reply)

        try:
            last = await self._handler(request, send)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log.exception("The handler of {} failed.", type(request).__name__)
            reason = f"{type(error).__name__}: {error}"
            last = Failed(failure=Failure(kind=ErrorKind.INTERNAL, reason=reason))
        self._queue_reply(peer, request_id, LAST_REPLY, last)

    def _queue_reply(
        self, peer: bytes, request_id: bytes, flag: bytes, reply: Reply
    ) -> None:
        """Queue a reply for the next message to a peer.

        Replies to one peer from the same iteration of the event loop are sent
        as one message, since an engine advances all its streams at once.
        """
        if not self._outbox:
            asyncio.get_running_loop().call_soon(self._flush)
        frames = self._outbox.setdefault(peer, [peer])
        frames += (request_id, flag, encode(reply))

    def _flush(self) -> None:
        outbox = self._outbox
        self._outbox = {}
        if self._socket.closed:
            return
        for frames in outbox.values():
            # A ROUTER socket drops messages to a lost peer. The peer's requests
            # then end at its silence limit.
            sent = self._socket.send_multipart(frames, flags=zmq.NOBLOCK)
            asyncio.ensure_future(sent).add_done_callback(_ignore_send_error)

    def close(self) -> None:
        """Cancel all handlers, send the queued replies and close the socket."""
        for task in self._tasks:
            task.cancel()
        self._flush()
        self.connections.close()
        self._socket.close()


def _ignore_send_error(sent: asyncio.Future[Any]) -> None:
    if not sent.cancelled():
        sent.exception()


class Link:
    """Client that sends requests to one peer and reconnects when needed.

    All pending requests fail when the connection breaks, or when the peer sends
    nothing for `silence_limit` seconds. The peer is pinged while requests are
    pending, so that a frozen process is detected too.
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
        self._pending: dict[bytes, asyncio.Queue[tuple[bytes, Reply]]] = {}
        self._clock = reply_clock()
        self._last_received = self._clock.mark()
        self._disconnected = False
        self._socket = self._connect()
        self._tasks = self._start_tasks()
        self._ping_task = asyncio.create_task(self._ping_while_pending())

    @property
    def address(self) -> str:
        """Return the address of the peer."""
        return self._address

    @property
    def pending(self) -> int:
        """Return the number of requests without a last reply."""
        return len(self._pending)

    def _start_tasks(self) -> list[asyncio.Task[None]]:
        monitor = self._socket.get_monitor_socket(
            zmq.EVENT_DISCONNECTED | zmq.EVENT_HANDSHAKE_SUCCEEDED
        )
        return [
            asyncio.create_task(self._receive()),
            asyncio.create_task(self._monitor_connection(monitor)),
        ]

    def _connect(self) -> zmq.asyncio.Socket:
        socket = self._context.socket(zmq.DEALER)
        socket.setsockopt(zmq.LINGER, 0)
        # Messages are not queued in the socket before it is connected, so that
        # a request that could not be sent is known not to have run.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        socket.setsockopt(zmq.RECONNECT_IVL, 50)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, 500)
        if self._keys is not None:
            socket.curve_secretkey = self._keys.secret.encode()
            socket.curve_publickey = self._keys.public.encode()
            socket.curve_serverkey = self._keys.server.encode()
        socket.connect(self._address)
        return socket

    async def stream(self, request: Message) -> AsyncIterator[Reply]:
        """Send a request and yield its replies, up to and including the last."""
        request_id = next(self._ids).to_bytes(ID_BYTES, "big")
        replies: asyncio.Queue[tuple[bytes, Reply]] = asyncio.Queue()
        if not self._pending:
            self._last_received = self._clock.mark()
        self._pending[request_id] = replies
        self._clock.acquire()
        try:
            if not await self._send([request_id, encode(request)]):
                yield Failed(failure=self._interrupted("no connection", NotRun.YES))
                return
            flag = MORE_REPLIES
            while flag == MORE_REPLIES:
                flag, reply = await replies.get()
                yield reply
        finally:
            self._pending.pop(request_id, None)
            self._clock.release()

    async def _send(self, frames: list[bytes]) -> bool:
        """Send frames; return False if they have not left this process."""
        if self._socket.closed:
            return False
        sent = asyncio.ensure_future(self._socket.send_multipart(frames))
        # Without a full queue or a lost connection the message has left already.
        if sent.done():
            sent.result()
            return True
        limit = RECONNECT_TIMEOUT if self._disconnected else self._silence_limit
        try:
            async with reply_timeout(limit):
                await sent
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            # The socket was closed while the message waited.
            return False
        return True

    async def call(
        self, request: Message, *, timeout: float = 30.0, wall_clock: bool = False
    ) -> Reply:
        """Send a request; return its last reply, or Failed after `timeout` seconds.

        Time in which this process could not receive a reply does not count, unless
        the timeout is a caller's deadline (`wall_clock`).
        """
        last: Reply = Failed(failure=self._interrupted("no reply"))
        try:
            limit = asyncio.timeout(timeout) if wall_clock else reply_timeout(timeout)
            async with limit:
                async for reply in self.stream(request):
                    last = reply
        except TimeoutError:
            return Failed(failure=self._interrupted(f"no reply within {timeout} s"))
        return last

    def _interrupted(self, reason: str, not_run: NotRun = NotRun.UNKNOWN) -> Failure:
        return Failure(
            kind=ErrorKind.INTERRUPTED,
            reason=f"peer {self._address}: {reason}",
            not_run=not_run,
        )

    async def _receive(self) -> None:
        while True:
            frames = await self._socket.recv_multipart()
            self._last_received = self._clock.mark()
            for index in range(0, len(frames) - 2, FRAMES_PER_REPLY):
                self._deliver(*frames[index : index + FRAMES_PER_REPLY])

    def _deliver(self, request_id: bytes, flag: bytes, body: bytes) -> None:
        replies = self._pending.get(request_id)
        if replies is None:
            return
        reply = decode_reply(body)
        if reply is None:
            reply = Failed(failure=self._interrupted("cannot decode the reply"))
            flag = LAST_REPLY
        replies.put_nowait((flag, reply))

    async def _monitor_connection(self, monitor: zmq.asyncio.Socket) -> None:
        while True:
            message = await recv_monitor_message(monitor)
            self._disconnected = message["event"] == zmq.EVENT_DISCONNECTED
            if self._disconnected and self._pending:
                self._fail_pending("disconnected")

    async def _ping_while_pending(self) -> None:
        while True:
            await asyncio.sleep(PING_INTERVAL)
            if not self._pending:
                continue
            if self._clock.remaining(self._silence_limit, self._last_received) <= 0:
                self._fail_pending("silent")
                continue
            with contextlib.suppress(zmq.Again):
                frames = [PING_ID, encode(Ping())]
                await self._socket.send_multipart(frames, flags=zmq.NOBLOCK)

    def _fail_pending(self, reason: str) -> None:
        # Close the socket without linger to drop unsent messages: they must not
        # reach a peer that returns later, since their requests have failed.
        log.warning("Peer {} is {}.", self._address, reason)
        for replies in self._pending.values():
            replies.put_nowait((LAST_REPLY, Failed(failure=self._interrupted(reason))))
        self._pending.clear()
        self._disconnected = True
        self._disconnect()
        self._socket = self._connect()
        self._tasks = self._start_tasks()

    def _disconnect(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._socket.disable_monitor()
        self._socket.close(linger=0)

    def close(self) -> None:
        """Close the connection; pending requests are not answered."""
        self._ping_task.cancel()
        self._disconnect()


class Links:
    """Cache of links to peers, one for each address."""

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
        """Return the link to an address; create it if necessary."""
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

    def __len__(self) -> int:
        return len(self._links)

    def close_unused(self, kept: Collection[str]) -> None:
        """Close the links to all but some addresses that no request is pending on."""
        for address, link in list(self._links.items()):
            if address not in kept and not link.pending:
                link.close()
                del self._links[address]

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()
