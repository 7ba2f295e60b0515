"""Test that engines and services keep their contracts."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import msgspec

from ...bench.fleet import free_port
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
from ..base import wait_until

PROGRAM = ProgramId("alpha:one")


def request(attempt: str, tokens: int = 8, **body: Any) -> EngineRequest:
    """Return a request to an engine."""
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
    """Drive the stand-in as the product drives an engine."""

    def start(self, **options: Any) -> tuple[EngineStandIn, HttpEngine]:
        """Start an engine and return it with its driver."""
        defaults = {"step": 0.001, "event_lag": 0.0, "load_lag": 0.0}
        engine = EngineStandIn(options=EngineOptions(**{**defaults, **options}))
        engine.start()
        self.addCleanup(engine.stop)
        driver = HttpEngine(url=engine.url, threads=8)
        self.addCleanup(driver.close)
        return engine, driver

    def complete(
        self, driver: HttpEngine, one: EngineRequest
    ) -> tuple[EngineAnswer | Failure, list[bytes]]:
        """Run one request and return its end and its payloads."""
        payloads: list[bytes] = []
        answer = asyncio.run(driver.complete(one, payloads.append))
        return answer, payloads

    def test_answer_and_usage(self) -> None:
        """Get all events in order, and the count of tokens."""
        _, driver = self.start()
        answer, payloads = self.complete(driver, request("a", tokens=5))
        assert isinstance(answer, EngineAnswer)
        self.assertEqual(answer.answer_tokens, 5)
        self.assertEqual(len(payloads), 6)

    def test_prefix_is_cached(self) -> None:
        """Find the prefix of the same program in memory."""
        _, driver = self.start()
        self.complete(driver, request("a"))
        answer, _ = self.complete(driver, request("b"))
        assert isinstance(answer, EngineAnswer)
        self.assertEqual(answer.cached_tokens, answer.prompt_tokens)

    def test_broken_stream_is_resumed(self) -> None:
        """Get each event once though the connection broke."""
        engine, driver = self.start()
        whole = self.complete(driver, request("a", tokens=12))[1]
        engine.cut_streams = 2
        answer, payloads = self.complete(driver, request("b", tokens=12))
        self.assertIsInstance(answer, EngineAnswer)
        self.assertEqual(
            [texts(one) for one in payloads], [texts(one) for one in whole]
        )

    def test_too_often_broken(self) -> None:
        """Fail after a bounded number of resumptions."""
        engine, driver = self.start()
        engine.cut_streams = 50
        answer, _ = self.complete(driver, request("a", tokens=60))
        assert isinstance(answer, Failure)
        self.assertIs(answer.kind, ErrorKind.TARGET_FAILED)

    def test_nobody_there_is_not_run(self) -> None:
        """Say "not run" where no connection stood."""
        driver = HttpEngine(url=f"http://127.0.0.1:{free_port()}", threads=2)
        answer, _ = self.complete(driver, request("a"))
        assert isinstance(answer, Failure)
        self.assertIs(answer.run_state, NotRun.YES)

    def test_refused_request(self) -> None:
        """Pass on what the engine says of a bad request."""
        _, driver = self.start()
        answer, _ = self.complete(driver, request("a", messages="none"))
        assert isinstance(answer, Failure)
        self.assertIs(answer.kind, ErrorKind.MALFORMED)

    def test_cancel_frees_the_slot(self) -> None:
        """Stop a stream that nobody waits for."""
        engine, driver = self.start(step=0.05, slots=1)

        async def run() -> None:
            work = asyncio.create_task(
                driver.complete(request("a", tokens=1000), lambda _: None)
            )
            while not engine.requests:
                await asyncio.sleep(0.005)
            work.cancel()
            await asyncio.gather(work, return_exceptions=True)

        asyncio.run(run())
        wait_until(lambda: asyncio.run(driver.load()).running == 0, "the slot")  # type: ignore[union-attr]

    def test_export_and_import(self) -> None:
        """Move a prefix out of memory and back."""
        _, driver = self.start()
        self.complete(driver, request("a"))
        self.assertTrue(asyncio.run(driver.export(PROGRAM)))
        listing = asyncio.run(driver.listing())
        assert not isinstance(listing, Failure)
        self.assertEqual(
            (list(listing.cached), list(listing.exported)), ([], [PROGRAM])
        )
        self.assertTrue(asyncio.run(driver.import_(PROGRAM)))
        self.assertFalse(asyncio.run(driver.import_(PROGRAM)))
        answer, _ = self.complete(driver, request("b"))
        assert isinstance(answer, EngineAnswer)
        self.assertGreater(answer.cached_tokens, 0)

    def test_free(self) -> None:
        """Drop a prefix from all memory."""
        engine, driver = self.start()
        self.complete(driver, request("a"))
        self.assertTrue(asyncio.run(driver.free(PROGRAM)))
        self.assertEqual(engine.cache_keys, [])

    def test_events_have_gaps(self) -> None:
        """Show a lost event as a gap in the numbers."""
        _, driver = self.start(event_gap=2)
        for number in range(6):
            self.complete(driver, request(f"a{number}"))
        events = asyncio.run(driver.events(0))
        assert not isinstance(events, Failure)
        numbers = [event.number for event in events]
        self.assertEqual(numbers, sorted(numbers))
        self.assertLess(len(numbers), numbers[-1] - numbers[0] + 1)

    def test_orders_and_fencing(self) -> None:
        """Refuse an old fencing number, or ignore it, as the engine does."""
        order = EngineOrder(kind=OrderKind.LOAD_MODEL, name="m", version="2")
        for checks, refused in ((True, True), (False, False)):
            with self.subTest(checks=checks):
                _, driver = self.start(checks_fencing=checks)
                self.assertIsNone(asyncio.run(driver.order(order, Epoch(7))))
                late = asyncio.run(driver.order(order, Epoch(6)))
                self.assertEqual(isinstance(late, Failure), refused)

    def test_priority(self) -> None:
        """Let a lower number go first."""
        engine, driver = self.start(slots=1, step=0.01)
        ended: list[str] = []

        async def one(name: str, priority: float) -> None:
            await driver.complete(
                request(name, tokens=3, priority=priority), lambda _: None
            )
            ended.append(name)

        async def run() -> None:
            first = asyncio.create_task(one("first", 0))
            while not engine.requests:
                await asyncio.sleep(0.001)
            rest = [asyncio.create_task(one("low", 5))]
            while engine.requests < 2:
                await asyncio.sleep(0.001)
            rest.append(asyncio.create_task(one("high", 1)))
            await asyncio.gather(first, *rest)

        asyncio.run(run())
        self.assertEqual(ended, ["first", "high", "low"])


class ServiceTests(unittest.TestCase):
    """Call the stand-in as the product calls a service."""

    def setUp(self) -> None:
        """Start a service."""
        self.service = ServiceStandIn()
        self.service.start()
        self.addCleanup(self.service.stop)

    def call(self, url: str, timeout: float = 10.0) -> ServiceAnswer | Failure:
        """Call once."""
        driver = HttpService(url=url, threads=2)
        self.addCleanup(driver.close)
        one = ServiceRequest(
            method="POST",
            path="/pay",
            body=b"{}",
            key=CallKey("k"),
            epoch=Epoch(1),
            timeout=timeout,
        )
        return asyncio.run(driver.call(one))

    def test_answer(self) -> None:
        """Get the answer, and run once."""
        answer = self.call(self.service.url)
        assert isinstance(answer, ServiceAnswer)
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.service.executions, {"k": 1})

    def test_nobody_there_is_not_run(self) -> None:
        """Say "not run" where no connection stood."""
        answer = self.call(f"http://127.0.0.1:{free_port()}")
        assert isinstance(answer, Failure)
        self.assertIs(answer.run_state, NotRun.YES)

    def test_hang_is_unknown_and_not_repeated(self) -> None:
        """Leave a call that hung alone, since it may have been run."""
        self.service.hang.set()
        self.addCleanup(self.service.hang.clear)
        answer = self.call(self.service.url, timeout=0.2)
        assert isinstance(answer, Failure)
        self.assertIs(answer.run_state, NotRun.UNKNOWN)
        self.assertEqual(self.service.executions, {"k": 1})


def texts(payload: bytes) -> Any:
    """Return what an event adds to the answer."""
    return msgspec.json.decode(payload)["choices"]
