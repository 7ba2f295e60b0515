"""Run programs whose budget has room for one turn or two."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from .callers import BUDGET_SPENT, Answer, Caller, Line
from .gateways import Gateway
from .tally import Promise, Tally
from .targets import MOST_TOKENS

BUDGET = int(1.6 * MOST_TOKENS)
# What is held for a turn is held two seconds longer at most. Seconds.
DEADLINE = 1.5
# Links are harmed for three seconds at most; what was held meanwhile is returned
# within two. Seconds.
HELD_BOUND = 6.0
HELD = b"the budget is held"
PAUSE = (0.0, 0.2)


class SmallCaller(Caller):
    """Come back with one turn at a time until it is served.

    What a process was granted that was lost, or kept from the store, may be missing
    from a budget. Programs that lived through that are not judged.
    """

    def __init__(
        self,
        *,
        name: str,
        gateways: list[Gateway],
        tally: Tally,
        rng: random.Random,
        undisturbed_since: Callable[[], float],
    ) -> None:
        super().__init__(
            name=name, gateways=gateways, tally=tally, rng=rng, deadline=DEADLINE
        )
        self._undisturbed_since = undisturbed_since
        self._begun = 0.0
        self._held_since: float | None = None

    async def program(self, until: float) -> None:
        """Run turns until the budget has no room, or is said to have none."""
        self._count += 1
        line = Line(program=f"{self._name}-p{self._count}", budget=BUDGET, kept=True)
        self._begun = asyncio.get_running_loop().time()
        self._held_since = None
        number = 0
        while _has_room(line) and asyncio.get_running_loop().time() < until:
            answer = await self._turn_once(line, line)
            if self._refused(line, answer):
                break
            number = 0 if answer.served else number + 1
            if number:
                await asyncio.sleep(self._pause(answer, number))
        self._tally.counts["small programs"] += 1
        self._tally.counts["small programs judged"] += self._undisturbed()
        await asyncio.sleep(self._rng.uniform(*PAUSE))

    def _refused(self, line: Line, answer: Answer) -> bool:
        """Return whether the program gives up, and judge whether it had to."""
        now = asyncio.get_running_loop().time()
        if HELD not in answer.body:
            self._held_since = None
        elif self._held_since is None:
            self._held_since = now
        held = 0.0 if self._held_since is None else now - self._held_since
        if answer.status != BUDGET_SPENT and held < HELD_BOUND:
            return False
        self._tally.counts["small programs refused"] += 1
        if self._undisturbed():
            text = (
                f"{line.program} is refused with {line.counted} of {line.budget} "
                f"counted, held for {held:.1f} s: {answer.body!r} to {answer.attempt}"
            )
            self._tally.violate(Promise.ROOM, text)
        return True

    def _undisturbed(self) -> bool:
        return self._begun > self._undisturbed_since()


def _has_room(line: Line) -> bool:
    return line.counted + MOST_TOKENS <= line.budget
