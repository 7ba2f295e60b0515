"""Run gateways that know each other and targets that end under some requests."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from ...standins.target import TargetExchange
from .deployment import (
    ENGINES,
    Answer,
    Behaviour,
    stream_answer,
    tool_answer,
)
from .versioned_deployment import GatewayProcess, VersionedDeploymentTestCase

TARGETS = 10
GATEWAYS = ("a", "b", "c")
# Times that a caller sends a request, and seconds between them.
SENDS = 8
RETRY_INTERVAL = 0.25
# Targets that may end under one request.
MAX_ENDS = 3
FATAL = b"ends its target"


@dataclass(kw_only=True)
class FatalCalls:
    """Answers to the sends of one request."""

    answers: list[Answer] = field(default_factory=list)

    @property
    def statuses(self) -> Counter[int]:
        """Return how many answers had each status."""
        return Counter(answer.status for answer in self.answers)


class EndingTargetsTestCase(VersionedDeploymentTestCase):
    """Run targets that end soon after they begin a request with a certain body."""

    # Seconds from the request until its target ends.
    end_delay = 0.01
    # Whether the registration of a target stays when it ends.
    entry_stays = False

    async def asyncSetUp(self) -> None:
        """Start without ends."""
        await super().asyncSetUp()
        # Names of the targets that have ended, with the body of the request.
        self.ended: dict[str, bytes] = {}
        self._ending: set[asyncio.Task[None]] = set()

    async def asyncTearDown(self) -> None:
        """Stop everything."""
        await asyncio.gather(*self._ending)
        await super().asyncTearDown()

    def ends_under(self, body: bytes = FATAL) -> int:
        """Return how many targets have ended under a request."""
        return sum(under == body for under in self.ended.values())

    async def add_targets(
        self, service: str, count: int = TARGETS, first: int = 0, **extra: Any
    ) -> None:
        """Start and register targets."""
        for number in range(first, first + count):
            name = f"i-{service}-{number}"
            answer = stream_answer if service == ENGINES else tool_answer
            await self.add_target(name, service, self.behaviour(name, answer), **extra)

    def behaviour(self, name: str, answer: Behaviour) -> Behaviour:
        """Return the behaviour of a target that ends under fatal requests."""

        async def run(exchange: TargetExchange) -> None:
            if not exchange.request.body.endswith(FATAL):
                await asyncio.sleep(0.05)
                await answer(exchange)
                return
            await asyncio.sleep(self.end_delay)
            if name not in self.ended:
                self.ended[name] = exchange.request.body
                self._spawn_end(name)

        return run

    def _spawn_end(self, name: str) -> None:
        """End a target in a task of its own, as this cancels the behaviour."""
        task = asyncio.create_task(self.end_target(name))
        self._ending.add(task)
        task.add_done_callback(self._ending.discard)

    async def end_target(self, name: str) -> None:
        """Close the port of a target, reset its connections, remove its entry."""
        target = self.targets.pop(name)
        await target.stop()
        if not self.entry_stays:
            await self.store.put("keyed.servers", name, b"")

    async def send_repeatedly(
        self,
        path: str,
        gateways: list[GatewayProcess],
        *,
        sends: int = SENDS,
        body: bytes = FATAL,
        **headers: str,
    ) -> FatalCalls:
        """Send a request again and again, by turns through the gateways."""
        calls = FatalCalls()
        for number in range(sends):
            gateway = gateways[number % len(gateways)]
            calls.answers.append(await self.send(path, gateway, body=body, **headers))
            await asyncio.sleep(RETRY_INTERVAL)
        return calls

    async def send(
        self,
        path: str,
        gateway: GatewayProcess,
        *,
        body: bytes = FATAL,
        program: str = "program",
        **headers: str,
    ) -> Answer:
        """Send a request with a new attempt id."""
        return await self.call(
            gateway.daemon,
            path,
            body=body,
            X_Program_Id=program,
            X_Token_Budget="1000",
            X_Token_Usage="10,100",
            X_Deadline_Ms="3000",
            **headers,
        )
