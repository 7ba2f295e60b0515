"""Test callers and targets that read slowly or not at all."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from ...ids import InstanceId, ServiceName
from ...ingress.daemon import IngressDaemon
from ...observe.events import EventLog
from ...standins.target import TargetExchange, chunk, stream_head, whole_answer
from .deployment import (
    ENGINES,
    LOOPBACK,
    TIMEOUT,
    TOOLS,
    DeploymentTestCase,
    attempt_of,
    config,
    registration,
    route,
    stream_answer,
    tool_answer,
)

# Bytes; with the smallest buffers little is hidden in the kernel.
SOCKET_BUFFER = 4096
PIECE = 64 * 1024
# Seconds; above the time after which a target counts as silent.
UNREAD_SECONDS = 1.5
MIB = 2**20
ConnectionHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]
ROUTES = [
    route(
        "/free/",
        "stream",
        ENGINES,
        resumable=True,
        sticky=True,
        gapTargetMs=100,
        timeoutMs=15_000,
    ),
    route("/safe/", "safe", TOOLS, maxAttempts=2, targetLatencyMs=100),
    route("/once/", "unsafe", TOOLS),
    route("/long/", "unsafe", TOOLS, timeoutMs=10_000),
]
# Seconds for which a slow target reads nothing, longer than a vanished one is
# tolerated.
TARGET_PAUSE = 2.5


class SlowReaderTests(DeploymentTestCase):
    """Serve callers beside others that do not read."""

    async def asyncSetUp(self) -> None:
        """Start the store with routes that detect silent targets soon."""
        await super().asyncSetUp()
        await self.store.put("keyed.op", "config", config(2, ROUTES))
        self.lines: list[bytes] = []
        self.reported: list[bool] = []
        self.sent = 0
        self.event_bytes = PIECE

    async def add_watched_daemon(self) -> IngressDaemon:
        """Start a daemon whose log lines and reports of targets are recorded."""
        self.events = EventLog(write=self._write_lines)
        daemon = await self.add_daemon("a", events=self.events)
        daemon.dispatcher.load.report = self._record_report
        return daemon

    def _record_report(self, instance: InstanceId, ok: bool) -> None:
        self.reported.append(ok)

    def _write_lines(self, data: bytes) -> int:
        self.lines.append(data)
        return len(data)

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of an event."""
        self.events.flush()
        lines = [json.loads(line) for line in b"".join(self.lines).splitlines()]
        return [line for line in lines if line["event"] == event]

    async def call_without_reading(
        self, daemon: IngressDaemon, path: str, body: bytes = b""
    ) -> socket.socket:
        """Send a request on a connection that nothing is read from."""
        return await self.send_only(
            daemon, path, body=body, receive_buffer=SOCKET_BUFFER
        )

    async def wait_until_released(self, daemon: IngressDaemon) -> None:
        """Wait until nothing is held any more."""
        async with asyncio.timeout(TIMEOUT):
            while daemon.memory.total:
                await asyncio.sleep(0.01)
                daemon.memory.count_buffers()

    async def stream_without_end(self, exchange: TargetExchange) -> None:
        """Send a long stream as fast as it is read, and short ones to others."""
        attempt = attempt_of(exchange)
        if attempt != "unread":
            await stream_answer(exchange)
            return
        exchange.send(stream_head((("X-Attempt-Id", attempt), ("X-Server-Stamp", "s"))))
        event = chunk(b"data: " + bytes(self.event_bytes) + b"\n\n")
        while not exchange.disconnected.is_set():
            exchange.send(event)
            await exchange.writer.drain()
            self.sent += len(event)

    async def test_caller_that_never_reads_a_stream(self) -> None:
        """Guards against an unbounded read-ahead, and a target blamed for its caller.

        Other callers of the same target are served at the same time.
        """
        await self.add_target("i-1", ENGINES, self.stream_without_end)
        daemon = await self.add_watched_daemon()
        caller = await self.call_without_reading(daemon, "/free/x")
        await asyncio.sleep(UNREAD_SECONDS / 2)
        sent = self.sent
        answer = await self.call(daemon, "/free/y")
        self.assertEqual((answer.status, answer.complete), (200, True))
        await asyncio.sleep(UNREAD_SECONDS / 2)
        self.assertEqual(self.sent, sent)
        daemon.memory.count_buffers()
        self.assertGreater(daemon.memory.largest, PIECE)
        self.assertLess(daemon.memory.largest, 5 * PIECE)
        self.assertNotIn(False, self.reported)
        text = daemon.metrics_text().decode()
        self.assertIn(
            f'sequoiaarch_state{{name="held_bytes_largest"}} {daemon.memory.largest}',
            text,
        )
        self.assertEqual(daemon.memory.closed, 0)
        caller.close()
        await self.wait_until_released(daemon)

    async def test_many_callers_that_never_read(self) -> None:
        """Guards against closing callers where reading less ahead is enough."""
        self.event_bytes = 4096
        await self.add_target("i-1", ENGINES, self.stream_without_end)
        daemon = await self.add_watched_daemon()
        daemon.memory.limit = 5 * MIB // 2
        for _ in range(24):
            await self.call_without_reading(daemon, "/free/x")
            for connection in daemon.front.connections:
                assert connection._transport is not None
                accepted = connection._transport.get_extra_info("socket")
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER)
        async with asyncio.timeout(TIMEOUT):
            while not daemon.memory.scarce:
                await asyncio.sleep(0.01)
                daemon.memory.count_buffers()
        await asyncio.sleep(UNREAD_SECONDS / 2)
        daemon.memory.count_buffers()
        self.assertTrue(daemon.memory.scarce)
        self.assertEqual(daemon.memory.closed, 0)

    async def test_slow_caller_beside_another(self) -> None:
        """Guards against a slow caller that delays another caller's responses."""
        await self.add_target("i-1", ENGINES, self.stream_without_end)
        daemon = await self.add_watched_daemon()
        caller = await self.call_without_reading(daemon, "/free/x")
        loop = asyncio.get_running_loop()
        received = 0
        slowest = 0.0
        for _ in range(20):
            received += len(await loop.sock_recv(caller, PIECE))
            started = loop.time()
            answer = await self.call(daemon, "/free/y")
            slowest = max(slowest, loop.time() - started)
            self.assertEqual((answer.status, answer.complete), (200, True))
        self.assertGreater(received, 0)
        self.assertLess(slowest, 1.0)
        self.assertLess(daemon.memory.largest, 5 * PIECE)
        self.assertNotIn(False, self.reported)
        self.assertEqual(daemon.memory.closed, 0)

    async def test_refusal_that_its_caller_does_not_read(self) -> None:
        """Guards against a target that counts as silent and busy for its caller."""

        async def refuse(exchange: TargetExchange) -> None:
            headers = (("X-Attempt-Id", attempt_of(exchange)),)
            exchange.send(whole_answer(bytes(8 * MIB), status=500, headers=headers))

        await self.add_target("i-1", ENGINES, refuse)
        daemon = await self.add_watched_daemon()
        load = daemon.dispatcher.load
        await self.call_without_reading(daemon, "/free/x")
        async with asyncio.timeout(TIMEOUT):
            while daemon.memory.total < 8 * MIB:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        [instance] = [
            entry.incarnation for entry in daemon.targets.of(ServiceName(ENGINES))
        ]
        self.assertEqual(load.running(instance), 0)
        self.assertEqual(load._loads[instance].deadlines, {})

    async def add_small_window_target(self, serve: ConnectionHandler) -> None:
        """Register a service target with the smallest window."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER)
        listener.bind((LOOPBACK, 0))
        server = await asyncio.start_server(serve, sock=listener)
        self.addCleanup(server.close)
        address = f"{LOOPBACK}:{listener.getsockname()[1]}"
        entry = json.dumps(registration(TOOLS, address)).encode()
        await self.store.put("keyed.servers", "i-1", entry)

    async def test_target_that_pauses_within_a_long_request(self) -> None:
        """Guards against losing an unsafe request that its target reads slowly."""
        body = bytes(MIB)

        async def read_in_steps(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.sleep(TARGET_PAUSE)
            writer.transport.resume_reading()  # type: ignore[attr-defined]
            await reader.readexactly(len(body))
            [attempt] = re.findall(rb"(?i)x-attempt-id: (\w+)", head)
            headers = (("X-Attempt-Id", attempt.decode()), ("X-Server-Stamp", "s"))
            writer.write(whole_answer(b"read", headers=headers))

        await self.add_small_window_target(read_in_steps)
        await self.add_target("i-2", ENGINES, stream_answer)
        daemon = await self.add_watched_daemon()
        answer = await self.call(daemon, "/long/x", body=body)
        self.assertEqual((answer.status, answer.body), (200, b"read"))

    async def test_target_that_does_not_read_a_long_request(self) -> None:
        """Guards against unsent requests that no limit counts."""
        body = bytes(4 * MIB - 1)

        async def ignore(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(TIMEOUT)

        await self.add_small_window_target(ignore)
        await self.add_target("i-2", ENGINES, stream_answer)
        daemon = await self.add_watched_daemon()
        await self.call_without_reading(daemon, "/once/x", body)
        async with asyncio.timeout(TIMEOUT):
            while daemon.memory.largest <= len(body):
                await asyncio.sleep(0.01)
        answer = await self.call(daemon, "/free/y")
        self.assertEqual((answer.status, answer.complete), (200, True))
        daemon.memory.limit = len(body)
        await self.call(daemon, "/free/y")
        self.assertEqual([line["id"] for line in self.logged("memory")], ["unread"])
        await self.wait_until_released(daemon)

    async def test_response_larger_than_the_limit(self) -> None:
        """Guards against a process killed for one response that it collects."""

        async def answer_large(exchange: TargetExchange) -> None:
            if attempt_of(exchange) != "large":
                await tool_answer(exchange)
                return
            headers = (("X-Attempt-Id", "large"), ("X-Server-Stamp", "s"))
            exchange.send(whole_answer(bytes(8 * MIB), headers=headers))

        await self.add_target("i-1", TOOLS, answer_large)
        daemon = await self.add_watched_daemon()
        daemon.memory.limit = 2 * MIB
        answer = await self.call(daemon, "/once/x", attempt="large")
        self.assertEqual((answer.status, answer.complete), (0, False))
        [line] = self.logged("memory")
        self.assertEqual((line["id"], line["limit"]), ("large", 2 * MIB))
        self.assertGreaterEqual(line["total"], 2 * MIB)
        self.assertEqual(line["held"], line["total"])
        answer = await self.call(daemon, "/once/x")
        self.assertEqual(answer.status, 200)
        await self.wait_until_released(daemon)
        text = daemon.metrics_text().decode()
        self.assertIn('sequoiaarch_state{name="closed_for_memory"} 1', text)
        outcomes = [line["outcome"] for line in self.logged("request")]
        self.assertEqual(outcomes, ["closed for memory", "answered"])

    async def test_whole_responses_above_the_limit_together(self) -> None:
        """Guards against closing callers that could be served one after the other.

        Targets are not blamed for responses that are read later.
        """

        async def answer_large(exchange: TargetExchange) -> None:
            headers = (("X-Attempt-Id", attempt_of(exchange)), ("X-Server-Stamp", "s"))
            answer = whole_answer(bytes(2 * MIB), headers=headers)
            exchange.send(answer[:-1])
            # Without a limit all bodies are held by now.
            await asyncio.sleep(0.2)
            exchange.send(answer[-1:])

        target = await self.add_target("i-1", TOOLS, answer_large)
        daemon = await self.add_watched_daemon()
        daemon.memory.limit = 12 * MIB
        calls = [self.call(daemon, "/safe/x") for _ in range(8)]
        answers = await asyncio.gather(*calls)
        self.assertEqual([answer.status for answer in answers], [200] * 8)
        self.assertEqual([len(answer.body) for answer in answers], [2 * MIB] * 8)
        self.assertEqual(daemon.memory.closed, 0)
        self.assertEqual(len(target.exchanges), 8)
        self.assertNotIn(False, self.reported)
