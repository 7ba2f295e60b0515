"""Test the clients of engines and services against stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
import time
import unittest
from typing import Any

import msgspec

from ...bench.cluster import free_port
from ...engines.http import HttpEngine, HttpService
from ...engines.interfaces import (
    EngineAnswer,
    EngineOrder,
    EngineRequest,
    OrderKind,
    ServiceAnswer,
    ServiceRequest,
)
from ...errors import ErrorKind, Failure, NotRun
from ...ids import AttemptId, CallKey, Epoch, ProgramId
from ...standins.engine import EngineOptions, EngineStandIn
from ...standins.service import ServiceStandIn
from ..base import in_thread, wait_until

PROGRAM = ProgramId("alpha:one")
# Longer than the kernel's buffers.
LONG_BODY = bytes(8 * 2**20)
# Seconds; longer than a connection may take to be established.
SERVICE_PAUSE = 2.5


def request(attempt: str, tokens: int = 8, **body: Any) -> EngineRequest:
    """Return a request for an answer of `tokens` tokens."""
    content = {
        "model": "m",
        "messages": [{"role": "user", "content": "hello " * 20}],
        "stand_in": {"answer_tokens": tokens},
        **body,
    }
    return EngineRequest(
        program=PROGRAM,
        attempt=AttemptId(attempt),
        epoch=Epoch(1),
        path="/v1/chat/completions",
        body=msgspec.json.encode(content),
        timeout=30.0,
    )


class EngineTests(unittest.TestCase):
    """Test the engine client against the engine stand-in."""

    def start(self, **options: Any) -> tuple[EngineStandIn, HttpEngine]:
        """Start an engine; return it and a client of it."""
        defaults = {"step": 0.001, "event_lag": 0.0, "load_lag": 0.0}
        engine = EngineStandIn(options=EngineOptions(**{**defaults, **options}))
        engine.start()
        self.addCleanup(engine.stop)
        client = HttpEngine(url=engine.url, threads=8)
        self.addCleanup(client.close)
        return engine, client

    def complete(
        self, client: HttpEngine, engine_request: EngineRequest
    ) -> tuple[EngineAnswer | Failure, list[bytes]]:
        """Run a request; return its result and the emitted payloads."""
        payloads: list[bytes] = []
        answer = asyncio.run(client.complete(engine_request, payloads.append))
        return answer, payloads

    def test_answer_and_usage(self) -> None:
        """A request emits all events and returns the token counts."""
        _, client = self.start()
        answer, payloads = self.complete(client, request("a", tokens=5))
        assert isinstance(answer, EngineAnswer)
        self.assertEqual(answer.answer_tokens, 5)
        self.assertEqual(len(payloads), 6)

    def test_prefix_is_cached(self) -> None:
        """A second request of a program finds its prompt in the cache."""
        _, client = self.start()
        self.complete(client, request("a"))
        answer, _ = self.complete(client, request("b"))
        assert isinstance(answer, EngineAnswer)
        self.assertEqual(answer.cached_tokens, answer.prompt_tokens)

    def test_broken_stream_is_resumed(self) -> None:
        """Each event is emitted once although the connection breaks."""
        engine, client = self.start()
        expected = self.complete(client, request("a", tokens=12))[1]
        engine.cut_streams = 2
        answer, payloads = self.complete(client, request("b", tokens=12))
        self.assertIsInstance(answer, EngineAnswer)
        self.assertEqual(
            [event_choices(payload) for payload in payloads],
            [event_choices(payload) for payload in expected],
        )

    def test_resumptions_are_bounded(self) -> None:
        """A request fails after a bounded number of resumptions."""
        engine, client = self.start()
        engine.cut_streams = 50
        answer, _ = self.complete(client, request("a", tokens=60))
        assert isinstance(answer, Failure)
        self.assertIs(answer.kind, ErrorKind.TARGET_FAILED)

    def test_refused_connection_is_not_run(self) -> None:
        """A request without a connection is reported as not run."""
        client = HttpEngine(url=f"http://127.0.0.1:{free_port()}", threads=2)
        answer, _ = self.complete(client, request("a"))
        assert isinstance(answer, Failure)
        self.assertIs(answer.run_state, NotRun.YES)

    def test_malformed_request(self) -> None:
        """A request that the engine rejects as malformed is reported as such."""
        _, client = self.start()
        answer, _ = self.complete(client, request("a", messages="none"))
        assert isinstance(answer, Failure)
        self.assertIs(answer.kind, ErrorKind.MALFORMED)

    def test_cancel_frees_slot(self) -> None:
        """A cancelled request stops its stream and frees its slot."""
        engine, client = self.start(step=0.05, slots=1)

        async def run() -> None:
            work = asyncio.create_task(
                client.complete(request("a", tokens=1000), lambda _: None)
            )
            while not engine.requests:
                await asyncio.sleep(0.005)
            work.cancel()
            await asyncio.gather(work, return_exceptions=True)

        asyncio.run(run())
        wait_until(lambda: asyncio.run(client.load()).running == 0, "the slot")  # type: ignore[union-attr]

    def test_export_and_import(self) -> None:
        """A prefix can be moved out of engine memory and back."""
        _, client = self.start()
        self.complete(client, request("a"))
        self.assertTrue(asyncio.run(client.export(PROGRAM)))
        listing = asyncio.run(client.listing())
        assert not isinstance(listing, Failure)
        self.assertEqual(
            (list(listing.cached), list(listing.exported)), ([], [PROGRAM])
        )
        self.assertTrue(asyncio.run(client.import_(PROGRAM)))
        self.assertFalse(asyncio.run(client.import_(PROGRAM)))
        answer, _ = self.complete(client, request("b"))
        assert isinstance(answer, EngineAnswer)
        self.assertGreater(answer.cached_tokens, 0)

    def test_freed_prefix(self) -> None:
        """A freed prefix is no longer cached."""
        engine, client = self.start()
        self.complete(client, request("a"))
        self.assertTrue(asyncio.run(client.free(PROGRAM)))
        self.assertEqual(engine.cache_keys, [])

    def test_lost_event_leaves_gap(self) -> None:
        """A lost cache event leaves a gap in the numbers."""
        _, client = self.start(event_gap=2)
        for number in range(6):
            self.complete(client, request(f"a{number}"))
        events = asyncio.run(client.events(0))
        assert not isinstance(events, Failure)
        numbers = [event.number for event in events]
        self.assertEqual(numbers, sorted(numbers))
        self.assertLess(len(numbers), numbers[-1] - numbers[0] + 1)

    def test_orders_and_fencing(self) -> None:
        """A stale fencing token is rejected by an engine that checks it."""
        order = EngineOrder(kind=OrderKind.LOAD_MODEL, name="m", version="2")
        for checks, refused in ((True, True), (False, False)):
            with self.subTest(checks=checks):
                _, client = self.start(checks_fencing=checks)
                self.assertIsNone(asyncio.run(client.order(order, Epoch(7))))
                stale = asyncio.run(client.order(order, Epoch(6)))
                self.assertEqual(isinstance(stale, Failure), refused)

    def test_priority(self) -> None:
        """A waiting request with a lower priority number runs first."""
        engine, client = self.start(slots=1, step=0.01)
        finished: list[str] = []

        async def complete(name: str, priority: float) -> None:
            await client.complete(
                request(name, tokens=3, priority=priority), lambda _: None
            )
            finished.append(name)

        async def run() -> None:
            first = asyncio.create_task(complete("first", 0))
            while not engine.requests:
                await asyncio.sleep(0.001)
            rest = [asyncio.create_task(complete("low", 5))]
            while engine.requests < 2:
                await asyncio.sleep(0.001)
            rest.append(asyncio.create_task(complete("high", 1)))
            await asyncio.gather(first, *rest)

        asyncio.run(run())
        self.assertEqual(finished, ["first", "high", "low"])


class ServiceTests(unittest.TestCase):
    """Test the service client against the service stand-in."""

    def setUp(self) -> None:
        """Start a service."""
        self.service = ServiceStandIn()
        self.service.start()
        self.addCleanup(self.service.stop)

    def call(
        self, url: str, timeout: float = 10.0, body: bytes = b"{}"
    ) -> ServiceAnswer | Failure:
        """Call the service once."""
        client = HttpService(url=url, threads=2)
        self.addCleanup(client.close)
        service_request = ServiceRequest(
            method="POST",
            path="/pay",
            body=body,
            key=CallKey("k"),
            epoch=Epoch(1),
            timeout=timeout,
        )
        return asyncio.run(client.call(service_request))

    def test_answer(self) -> None:
        """A call returns the response and runs once."""
        answer = self.call(self.service.url)
        assert isinstance(answer, ServiceAnswer)
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.service.executions, {"k": 1})

    def test_refused_connection_is_not_run(self) -> None:
        """A request without a connection is reported as not run."""
        answer = self.call(f"http://127.0.0.1:{free_port()}")
        assert isinstance(answer, Failure)
        self.assertIs(answer.run_state, NotRun.YES)

    def test_timeout_is_unknown_and_not_repeated(self) -> None:
        """A call that times out may have run, so it is not repeated."""
        self.service.hang.set()
        self.addCleanup(self.service.hang.clear)
        answer = self.call(self.service.url, timeout=0.2)
        assert isinstance(answer, Failure)
        self.assertIs(answer.run_state, NotRun.UNKNOWN)
        self.assertEqual(self.service.executions, {"k": 1})

    def test_additional_response(self) -> None:
        """Guards against an additional response that answers the next call."""
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        listener.listen()

        def serve(connection: socket.socket) -> None:
            with connection, contextlib.suppress(OSError):
                while connection.recv(65536):
                    for body in (b"own", b"another's"):
                        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                        connection.sendall(head.encode() + body)

        def accept() -> None:
            with contextlib.suppress(OSError):
                while True:
                    connection, _ = listener.accept()
                    in_thread(functools.partial(serve, connection))

        accepting = in_thread(accept)
        self.addCleanup(accepting.result, 5.0)
        self.addCleanup(listener.shutdown, socket.SHUT_RDWR)
        client = HttpService(
            url=f"http://127.0.0.1:{listener.getsockname()[1]}", threads=1
        )
        self.addCleanup(client.close)
        call = ServiceRequest(
            method="POST", path="/", body=b"{}", key=None, epoch=Epoch(1), timeout=5.0
        )
        for _ in range(2):
            answer = asyncio.run(client.call(call))
            assert isinstance(answer, ServiceAnswer), answer
            self.assertEqual(answer.body, b"own")
            # Time for the additional response to arrive.
            time.sleep(0.2)

    def test_service_pauses_within_a_long_request(self) -> None:
        """Guards against giving up a request that its service reads slowly."""
        url = slow_service()
        answer = self.call(url, body=LONG_BODY)
        assert isinstance(answer, ServiceAnswer), answer
        self.assertEqual(answer.status, 200)

    def test_service_that_reads_nothing(self) -> None:
        """Guards against a request that is sent for longer than its timeout."""
        url = slow_service()
        started_at = time.monotonic()
        answer = self.call(url, timeout=SERVICE_PAUSE / 2, body=LONG_BODY)
        assert isinstance(answer, Failure)
        self.assertIs(answer.run_state, NotRun.UNKNOWN)
        self.assertLess(time.monotonic() - started_at, SERVICE_PAUSE)


def slow_service() -> str:
    """Return the URL of a service that pauses within the first request."""
    listener = socket.socket()
    # The kernel's smallest buffer, so that little of a request is hidden in it.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2304)
    listener.bind(("127.0.0.1", 0))
    listener.listen()

    def serve() -> None:
        with listener, contextlib.suppress(OSError):
            connection, _ = listener.accept()
            with connection:
                received = connection.recv(1000)
                time.sleep(SERVICE_PAUSE)
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, len(LONG_BODY)
                )
                while len(received) < len(LONG_BODY):
                    data = connection.recv(len(LONG_BODY))
                    if not data:
                        return
                    received += data
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    in_thread(serve)
    return f"http://127.0.0.1:{listener.getsockname()[1]}"


def event_choices(payload: bytes) -> Any:
    """Return the part of the answer in an event."""
    return msgspec.json.decode(payload)["choices"]
