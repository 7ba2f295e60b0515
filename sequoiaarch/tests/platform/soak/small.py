"""Run programs whose budget covers only one or two turns."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from .callers import BUDGET_EXHAUSTED, Answer, Caller, Conversation
from .gateways import Gateway
from .property_checker import Property, PropertyChecker
from .targets import MAX_TOKENS

BUDGET = int(1.6 * MAX_TOKENS)
# Seconds. Tokens allocated to a turn are released two seconds later at the latest.
DEADLINE = 1.5
# Seconds. A link fault lasts three seconds at most, and tokens held during it are
# released within two.
MAX_HELD_SECONDS = 6.0
HELD_REASON = b"the budget is held"
PROGRAM_INTERVAL = (0.0, 0.2)


class SmallBudgetCaller(Caller):
    """Run one turn at a time, and report a refusal while the budget has room.

    Tokens granted to a process that was killed, or could not reach the store, may
    count as used. Programs during which that happened are not checked.
    """

    def __init__(
        self,
        *,
        name: str,
        gateways: list[Gateway],
        checker: PropertyChecker,
        rng: random.Random,
        undisturbed_since: Callable[[], float],
    ) -> None:
        super().__init__(
            name=name, gateways=gateways, checker=checker, rng=rng, deadline=DEADLINE
        )
        self._undisturbed_since = undisturbed_since
        self._started_at = 0.0
        self._held_since: float | None = None

    async def program(self, until: float) -> None:
        """Run turns until the budget is used up or the program is refused."""
        self._count += 1
        conversation = Conversation(
            program=f"{self._name}-p{self._count}", budget=BUDGET, retained=True
        )
        self._started_at = asyncio.get_running_loop().time()
        self._held_since = None
        retries = 0
        while _has_room(conversation) and asyncio.get_running_loop().time() < until:
            answer = await self._turn_once(conversation, conversation)
            if self._ends_program(conversation, answer):
                break
            retries = 0 if answer.served else retries + 1
            if retries:
                await asyncio.sleep(self._retry_delay(answer, retries))
        self._checker.counts["small programs"] += 1
        self._checker.counts["small programs judged"] += self._undisturbed()
        await asyncio.sleep(self._rng.uniform(*PROGRAM_INTERVAL))

    def _ends_program(self, conversation: Conversation, answer: Answer) -> bool:
        """Return whether the answer ends the program; report a wrong refusal."""
        now = asyncio.get_running_loop().time()
        if HELD_REASON not in answer.body:
            self._held_since = None
        elif self._held_since is None:
            self._held_since = now
        held_seconds = 0.0 if self._held_since is None else now - self._held_since
        if answer.status != BUDGET_EXHAUSTED and held_seconds < MAX_HELD_SECONDS:
            return False
        self._checker.counts["small programs refused"] += 1
        if self._undisturbed():
            text = (
                f"{conversation.program} is refused with {conversation.counted} of "
                f"{conversation.budget} tokens used, held for {held_seconds:.1f} s: "
                f"{answer.body!r} to {answer.attempt}"
            )
            self._checker.report_violation(Property.ROOM, text)
        return True

    def _undisturbed(self) -> bool:
        return self._started_at > self._undisturbed_since()


def _has_room(conversation: Conversation) -> bool:
    return conversation.counted + MAX_TOKENS <= conversation.budget
