"""Stand in for engines and services that fail at times, and record every run."""

from __future__ import annotations

import asyncio
import json
import random
from enum import Enum
from weakref import WeakKeyDictionary

from ....standins.keyed_store import KeyedStore
from ....standins.target import (
    TargetExchange,
    TargetStandIn,
    chunk,
    stream_head,
    whole_answer,
)
from ..deployment import EVENT_TOKENS, attempt_of, events_of, registration
from .property_checker import PropertyChecker, TargetRun
from .proxy import LOOPBACK

TOPIC = "keyed.servers"
MAX_EVENTS = 6
MAX_TOKENS = MAX_EVENTS * EVENT_TOKENS
EVENT_SECONDS = 0.01
# More than the requests that the soak sends at once.
UNLIMITED_SLOTS = 1000
# Fraction of requests that a target refuses as overloaded.
OVERLOADED_FRACTION = 0.02
FIRST_VERSION = "v1"
# Seconds until gateways that reach the store know of a registration.
KNOWN_SECONDS = 1.0
# One in this many answers is sent again, without its attempt, ahead of the next one on
# its connection.
LATE_EVERY = 25
HEARTBEAT_SECONDS = 1.2
# Start time of a target that has not started again. Milliseconds.
FIRST_BORN = 1_000_000
# How a target leaves, in reports.
DRAINED = "reported that it drains"
REMOVED = "was removed"
RESTARTED = "started again and "


class TargetFault(Enum):
    """What goes wrong with the answers of a target."""

    NONE = "answers"
    RESET = "resets the connection before it answers"
    TRUNCATED = "resets the connection within its answer"
    NO_ANSWER = "answers nothing and keeps the connection"
    EXTRA_ANSWER = "sends a second answer after the first"


def event_count(attempt: str) -> int:
    """Return how many events the answer to an attempt has."""
    return 1 + sum(attempt.encode()) % MAX_EVENTS


class SoakTarget:
    """Target that can be replaced by a new instance on the same port."""

    def __init__(
        self,
        *,
        service: str,
        engine: bool,
        zone: str,
        store: KeyedStore,
        checker: PropertyChecker,
        rng: random.Random,
        slots: int = UNLIMITED_SLOTS,
        event_seconds: float = EVENT_SECONDS,
        version: str = FIRST_VERSION,
    ) -> None:
        self.fault = TargetFault.NONE
        self.version = version
        self.service = service
        self._engine = engine
        self._zone = zone
        self._store = store
        self._checker = checker
        self._rng = rng
        self._slots = slots
        self._free_slots = asyncio.Semaphore(slots)
        self._event_seconds = event_seconds
        self._count = 0
        self._instance = ""
        self._state: str | None = None
        self._born = FIRST_BORN
        self._left_at: float | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._replaced_at = 0.0
        self._answers = 0
        # Answers to send again, by the connection.
        self._late: WeakKeyDictionary[asyncio.StreamWriter, bytes] = WeakKeyDictionary()
        self._stand_in = TargetStandIn(behaviour=self._behave)

    async def start(self) -> None:
        """Listen and register the first instance."""
        await self._stand_in.start()
        await self.replace()
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Stop listening and the heartbeats."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        await self._stand_in.stop()

    @property
    def stays(self) -> bool:
        """Return whether the target has not begun to leave."""
        return self._left_at is None

    @property
    def sound(self) -> bool:
        """Return whether the target works, and gateways know of it."""
        now = asyncio.get_running_loop().time()
        known = now > self._replaced_at + KNOWN_SECONDS
        return self.fault is TargetFault.NONE and self.stays and known

    async def replace(self, version: str | None = None) -> None:
        """Register a new instance at the same address, in place of the old one."""
        previous = self._instance
        self._count += 1
        self.version = version or self.version
        self._replaced_at = asyncio.get_running_loop().time()
        self._instance = f"i-{self.service}-{self._stand_in.port}-{self._count}"
        self._checker.versions[self._instance] = self.version
        self._left_at = None
        self._state = "ready"
        if previous:
            await self._store.put(TOPIC, previous, b"")
        await self._register()

    async def restart(self, clock_step: int) -> None:
        """Start again under the same id, by a clock that was set, in milliseconds."""
        if self.stays:
            self._born += clock_step
            await self._register()

    async def drain(self) -> None:
        """Report that this instance drains; it serves on."""
        self._state = "draining"
        await self._register()
        self._left_at = asyncio.get_running_loop().time()

    async def remove(self) -> None:
        """Remove the registration of this instance, which serves on."""
        self._state = None
        await self._store.put(TOPIC, self._instance, b"")
        self._left_at = asyncio.get_running_loop().time()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            await self._register()

    async def _register(self) -> None:
        """Write the registration, unless it was removed."""
        if self._state is None:
            return
        address = f"{LOOPBACK}:{self._stand_in.port}"
        entry = registration(
            self.service,
            address,
            zone=self._zone,
            state=self._state,
            version=self.version,
            born=self._born,
        )
        if self._slots != UNLIMITED_SLOTS:
            entry["slots"] = self._slots
        value = json.dumps(entry).encode()
        await self._store.put(TOPIC, self._instance, value)

    async def _behave(self, exchange: TargetExchange) -> None:
        attempt = attempt_of(exchange)
        late = self._late.pop(exchange.writer, None)
        if late is not None:
            self._checker.counts["answers sent again"] += 1
            exchange.send(late)
        expected_instance = (
            exchange.request.header(b"x-expect-instance") or b""
        ).decode()
        if expected_instance != self._instance:
            misdirected = (("X-Attempt-Id", attempt),)
            exchange.send(whole_answer(b"", status=421, headers=misdirected))
            return
        if self._rng.random() < OVERLOADED_FRACTION:
            headers = (("X-Not-Executed", "1"), ("X-Attempt-Id", attempt))
            exchange.send(whole_answer(b"", status=503, headers=headers))
            return
        if self._left_at is not None:
            self._checker.check_leaving(
                attempt, self._instance, self._left_at, how=self._how_left()
            )
        run = TargetRun(
            instance=self._instance,
            body=exchange.request.body,
            at=asyncio.get_running_loop().time(),
            workspace=_header(exchange, b"x-tenant"),
            key=_header(exchange, b"api-key"),
        )
        self._checker.record_run(attempt, run)
        async with self._free_slots:
            await self._answer(exchange, attempt, run.instance)

    def _how_left(self) -> str:
        how = DRAINED if self._state is not None else REMOVED
        return how if self._born == FIRST_BORN else RESTARTED + how

    async def _answer(
        self, exchange: TargetExchange, attempt: str, instance: str
    ) -> None:
        fault = self.fault
        if fault is TargetFault.RESET:
            exchange.reset()
            return
        if fault is TargetFault.NO_ANSWER:
            await exchange.disconnected.wait()
            return
        headers = (("X-Attempt-Id", attempt), ("X-Server-Stamp", instance))
        await asyncio.sleep(self._event_seconds)
        if self._engine:
            exchange.send(stream_head(headers))
            for event in _events_left(exchange, attempt):
                exchange.send(chunk(event))
                await asyncio.sleep(self._event_seconds)
                if exchange.disconnected.is_set():
                    return
                if fault is TargetFault.TRUNCATED:
                    exchange.reset()
                    return
            exchange.send(chunk(b""))
        else:
            exchange.send(whole_answer(f"done {attempt}".encode(), headers=headers))
        self._answers += 1
        if self._answers % LATE_EVERY == 0:
            again = whole_answer(f"done {attempt}".encode(), headers=headers[1:])
            self._late[exchange.writer] = again
        if fault is TargetFault.EXTRA_ANSWER:
            extra_headers = (("X-Attempt-Id", "other"), ("X-Server-Stamp", "other"))
            exchange.send(whole_answer(b"another's", headers=extra_headers))


def _events_left(exchange: TargetExchange, attempt: str) -> list[bytes]:
    """Return the events behind the last one that the caller holds.

    The stand-in knows a stream by its body, as callers may not name the first attempt.
    """
    last = _header(exchange, b"last-event-id")
    if last is None:
        return events_of(attempt, event_count(attempt))
    first = exchange.request.body.decode().strip("[]")
    return events_of(first, event_count(first))[int(last) :]


def _header(exchange: TargetExchange, name: bytes) -> str | None:
    value = exchange.request.header(name)
    return value.decode() if value is not None else None
