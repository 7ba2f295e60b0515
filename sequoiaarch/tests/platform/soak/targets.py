"""Answer as engines and services do, with troubles, and note every run."""

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
from ..site import EVENT_TOKENS, attempt_of, events_of, registration
from .proxy import LOOPBACK
from .tally import Promise, Run, Tally

MOST_EVENTS = 6
MOST_TOKENS = MOST_EVENTS * EVENT_TOKENS
EVENT_SECONDS = 0.01
# A share of requests finds its target full.
FULL_SHARE = 0.02
# A drain reaches every gateway that reads the store within two seconds; one
# more for a busy machine. Seconds.
DRAIN_BOUND = 3.0


class Trouble(Enum):
    """Say how a target treats the requests that it runs."""

    NONE = "answers"
    RESET = "resets the connection before it answers"
    BROKEN = "resets the connection within its answer"
    MUTE = "answers nothing and keeps the connection"
    EXTRA = "sends a second answer after the first"


def event_count(attempt: str) -> int:
    """Return how many events an attempt's stream has."""
    return 1 + sum(attempt.encode()) % MOST_EVENTS


class SoakTarget:
    """Hold one target; a replacement gets a new instance on the same port."""

    def __init__(
        self,
        *,
        service: str,
        engine: bool,
        zone: str,
        store: KeyedStore,
        tally: Tally,
        rng: random.Random,
        calm_since: Callable[[], float],
    ) -> None:
        self.trouble = Trouble.NONE
        self._service = service
        self._engine = engine
        self._zone = zone
        self._store = store
        self._tally = tally
        self._rng = rng
        self._calm_since = calm_since
        self._count = 0
        self._instance = ""
        self._drained_at: float | None = None
        self._stand_in = TargetStandIn(behaviour=self._behave)

    async def start(self) -> None:
        """Listen and register."""
        await self._stand_in.start()
        await self.replace()

    async def stop(self) -> None:
        """Stop to listen."""
        await self._stand_in.stop()

    async def replace(self) -> None:
        """Become a new instance at the same address."""
        before = self._instance
        self._count += 1
        self._instance = f"i-{self._service}-{self._stand_in.port}-{self._count}"
        self._drained_at = None
        if before:
            await self._store.put("keyed.servers", before, b"")
        await self._register("ready")

    async def drain(self) -> None:
        """Announce that this instance leaves."""
        await self._register("draining")
        self._drained_at = asyncio.get_running_loop().time()

    async def _register(self, state: str) -> None:
        address = f"{LOOPBACK}:{self._stand_in.port}"
        entry = registration(self._service, address, zone=self._zone, state=state)
        value = json.dumps(entry).encode()
        await self._store.put("keyed.servers", self._instance, value)

    async def _behave(self, exchange: TargetExchange) -> None:
        attempt = attempt_of(exchange)
        named = (exchange.request.header(b"x-expect-instance") or b"").decode()
        if named != self._instance:
            exchange.send(whole_answer(b"", status=421))
            return
        if self._rng.random() < FULL_SHARE:
            full = (("X-Not-Executed", "1"), ("X-Attempt-Id", attempt))
            exchange.send(whole_answer(b"", status=503, headers=full))
            return
        self._check_drain(attempt)
        run = Run(
            instance=self._instance,
            body=exchange.request.body,
            at=asyncio.get_running_loop().time(),
            workspace=_header(exchange, b"x-tenant"),
            key=_header(exchange, b"api-key"),
        )
        self._tally.ran(attempt, run)
        await self._answer(exchange, attempt)

    def _check_drain(self, attempt: str) -> None:
        if self._drained_at is None:
            return
        now = asyncio.get_running_loop().time()
        if now > max(self._drained_at, self._calm_since()) + DRAIN_BOUND:
            self._tally.violate(Promise.LEAVING, f"{attempt} at {self._instance}")

    async def _answer(self, exchange: TargetExchange, attempt: str) -> None:
        trouble = self.trouble
        if trouble is Trouble.RESET:
            exchange.reset()
            return
        if trouble is Trouble.MUTE:
            await exchange.disconnected.wait()
            return
        headers = (("X-Attempt-Id", attempt), ("X-Server-Stamp", self._instance))
        await asyncio.sleep(EVENT_SECONDS)
        if self._engine:
            exchange.send(stream_head(headers))
            for event in events_of(attempt, event_count(attempt)):
                exchange.send(chunk(event))
                await asyncio.sleep(EVENT_SECONDS)
                if trouble is Trouble.BROKEN:
                    exchange.reset()
                    return
            exchange.send(chunk(b""))
        else:
            exchange.send(whole_answer(f"done {attempt}".encode(), headers=headers))
        if trouble is Trouble.EXTRA:
            other = (("X-Attempt-Id", "other"), ("X-Server-Stamp", "other"))
            exchange.send(whole_answer(b"another's", headers=other))


def _header(exchange: TargetExchange, name: bytes) -> str | None:
    value = exchange.request.header(name)
    return value.decode() if value is not None else None
