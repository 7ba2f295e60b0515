"""Assign programs to engines by the expected duration of their turns."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from ..ids import InstanceId, ServiceName, Workspace
from .queueing import expected_wait

# Prompt tokens that an engine processes per second while others wait for it, as a
# guess: engines differ.
PREFILL_RATE = 80_000.0
# Fraction of an engine's cache that the prompts of its programs may fill; answers
# in progress and shared prompt parts need the rest.
CACHE_FRACTION = 0.9


class EngineState(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an engine and the programs assigned to it.

    `tokens` is the sum of the programs' prompts, `turn` and `pause` the mean
    duration of a turn on this engine without waiting and of the pause after it, in
    seconds. `slowdown` is how much longer both take than on an idle engine.
    `cache_tokens` is 0 if unknown.
    """

    instance: InstanceId
    slots: int
    cache_tokens: int
    programs: int
    tokens: int
    turn: float
    pause: float
    slowdown: float = 0.0

    def wait_with(self, programs: int) -> float:
        """Return the expected wait of a turn with that many programs, in seconds."""
        return expected_wait(
            programs=programs, slots=self.slots, turn=self.turn, pause=self.pause
        )

    def fits(self, tokens: int) -> bool:
        """Return whether the cache holds another program with that many tokens."""
        if not self.cache_tokens or not self.programs:
            return True
        return self.tokens + tokens <= CACHE_FRACTION * self.cache_tokens


class ProgramDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a program that begins.

    `max_wait` is the wait in seconds that each of its turns may have, and `tokens`
    the expected size of its prompt. Rank 0 is the most urgent. A program in progress
    that begins a further line of turns is not refused; its prompt is cached at `home`.
    """

    service: ServiceName
    max_wait: float
    tokens: int = 0
    left: float | None = None
    latency_target: float = 0.0
    slack: float = 0.0
    rank: int = 0
    workspace: Workspace | None = None
    in_progress: bool = False
    home: InstanceId | None = None


class PlacementRefused(msgspec.Struct, frozen=True, kw_only=True):
    """Returned if no engine has room; the caller may retry after some seconds."""

    retry_after: float


class ProgramPlacement(Protocol):
    """Choose the engine of a program."""

    def choose(
        self, engines: Sequence[EngineState], demand: ProgramDemand
    ) -> EngineState | None:
        """Return an engine that can take the program, or None."""


class FewestPrograms:
    """Choose the engine with the fewest programs for its slots, without a limit."""

    def choose(
        self, engines: Sequence[EngineState], demand: ProgramDemand
    ) -> EngineState | None:
        """Return the engine with the fewest programs."""
        return min(
            engines, key=lambda engine: engine.programs / engine.slots, default=None
        )


class LeastExpectedTurn:
    """Choose the engine on which turns are expected to end first.

    Refuses programs that no engine has room for: more programs than slots and cache
    hold evict each other's prompts, and engines then spend their time on processing
    prompts again.
    """

    def choose(
        self, engines: Sequence[EngineState], demand: ProgramDemand
    ) -> EngineState | None:
        """Return the engine with the shortest turn and wait, if there is room."""
        if demand.in_progress:
            fitting = list(engines)
        else:
            fitting = [engine for engine in engines if _has_room(engine, demand)]
        return min(
            fitting, key=lambda engine: _expected_turn(engine, demand), default=None
        )


def _has_room(engine: EngineState, demand: ProgramDemand) -> bool:
    wait = engine.slowdown + engine.wait_with(engine.programs + 1)
    return wait <= demand.max_wait and engine.fits(demand.tokens)


def _expected_turn(engine: EngineState, demand: ProgramDemand) -> tuple[float, float]:
    turn = engine.turn + engine.wait_with(engine.programs + 1)
    if demand.home is not None and engine.instance != demand.home:
        turn += demand.tokens / PREFILL_RATE
    return round(turn, 3), engine.programs / engine.slots


def free_placements(engine: EngineState, demand: ProgramDemand) -> int:
    """Return how many more such programs an engine can take."""
    free = 0
    while (
        engine.slowdown + engine.wait_with(engine.programs + free + 1)
        <= demand.max_wait
        and free < engine.slots
        and engine.fits(demand.tokens * (free + 1))
    ):
        free += 1
    return free
