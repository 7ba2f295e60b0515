"""Stand in for engines and services that fail at times, and record every run."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from enum import Enum

from ....standins.keyed_store import KeyedStore
from ....standins.target import (
    TargetExchange,
    TargetStandIn,
    chunk,
    stream_head,
    whole_answer,
)
from ..deployment import EVENT_TOKENS, attempt_of, events_of, registration
from .property_checker import Property, PropertyChecker, TargetRun
from .proxy import LOOPBACK

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
# Seconds. Gateways that can reach the store learn of a drain within two; the third
# allows for a busy machine.
MAX_DRAIN_DELAY = 3.0


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
        store_available_since: Callable[[], float],
        slots: int = UNLIMITED_SLOTS,
        event_seconds: float = EVENT_SECONDS,
        version: str = FIRST_VERSION,
    ) -> None:
        self.fault = TargetFault.NONE
        self.version = version
        self._service = service
        self._engine = engine
        self._zone = zone
        self._store = store
        self._checker = checker
        self._rng = rng
        self._store_available_since = store_available_since
        self._slots = slots
        self._free_slots = asyncio.Semaphore(slots)
        self._event_seconds = event_seconds
        self._count = 0
        self._instance = ""
        self._drained_at: float | None = None
        self._replaced_at = 0.0
        self._stand_in = TargetStandIn(behaviour=self._behave)

    async def start(self) -> None:
        """Listen and register the first instance."""
        await self._stand_in.start()
        await self.replace()

    async def stop(self) -> None:
        """Stop listening."""
        await self._stand_in.stop()

    @property
    def sound(self) -> bool:
        """Return whether the target works, and gateways know of it."""
        now = asyncio.get_running_loop().time()
        known = now > self._replaced_at + KNOWN_SECONDS
        return self.fault is TargetFault.NONE and self._drained_at is None and known

    async def replace(self, version: str | None = None) -> None:
        """Register a new instance at the same address, in place of the old one."""
        previous = self._instance
        self._count += 1
        self.version = version or self.version
        self._replaced_at = asyncio.get_running_loop().time()
        self._instance = f"i-{self._service}-{self._stand_in.port}-{self._count}"
        self._checker.versions[self._instance] = self.version
        self._drained_at = None
        if previous:
            await self._store.put("keyed.servers", previous, b"")
        await self._register("ready")

    async def drain(self) -> None:
        """Register this instance as draining."""
        await self._register("draining")
        self._drained_at = asyncio.get_running_loop().time()

    async def _register(self, state: str) -> None:
        address = f"{LOOPBACK}:{self._stand_in.port}"
        entry = registration(
            self._service,
            address,
            zone=self._zone,
            state=state,
            version=self.version,
        )
        if self._slots != UNLIMITED_SLOTS:
            entry["slots"] = self._slots
        value = json.dumps(entry).encode()
        await self._store.put("keyed.servers", self._instance, value)

    async def _behave(self, exchange: TargetExchange) -> None:
        attempt = attempt_of(exchange)
        expected_instance = (
            exchange.request.header(b"x-expect-instance") or b""
        ).decode()
        if expected_instance != self._instance:
            exchange.send(whole_answer(b"", status=421))
            return
        if self._rng.random() < OVERLOADED_FRACTION:
            headers = (("X-Not-Executed", "1"), ("X-Attempt-Id", attempt))
            exchange.send(whole_answer(b"", status=503, headers=headers))
            return
        self._check_draining(attempt)
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

    def _check_draining(self, attempt: str) -> None:
        if self._drained_at is None:
            return
        now = asyncio.get_running_loop().time()
        if now > max(self._drained_at, self._store_available_since()) + MAX_DRAIN_DELAY:
            self._checker.report_violation(
                Property.LEAVING, f"{attempt} at draining {self._instance}"
            )

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
