"""Assign programs to engines by the expected duration of their turns."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Protocol

import msgspec

from ..ids import InstanceId, ServiceName, Workspace
from .queueing import expected_wait

# Prompt tokens that an engine processes per second, as a guess: engines differ, and it
# only has to make the engine that has the prompt the better one of two similar ones.
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

    def cache_room(self, tokens: int) -> float:
        """Return how many more programs with that many tokens the cache holds.

        An engine without programs takes one of any size.
        """
        if self.cache_tokens <= 0:
            return math.inf
        left = CACHE_FRACTION * self.cache_tokens - self.tokens
        room = left // max(1, tokens) if left > 0 else 0
        return max(room, 0 if self.programs > 0 else 1)


# The least urgent rank; ranks beyond it count as it.
LEAST_URGENT = 9
# More tokens than the prompt of any model holds.
MAX_TOKENS = 100_000_000
# More seconds than any deadline, latency target or wait, and any program takes.
MAX_SECONDS = 86_400.0


def possible_tokens(tokens: int) -> bool:
    """Return whether a number of tokens is possible."""
    return 0 <= tokens <= MAX_TOKENS


class ProgramDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a program that begins.

    `max_wait` is the wait in seconds that each of its turns may have, and `tokens`
    the expected size of its prompt. `left` is the time to its deadline, if it has one,
    and `slack` the part of it that turns on idle engines do not need, in seconds.
    Rank 0 is the most urgent. A program in progress that begins a further line of turns
    is not refused; its prompt is cached at `home`. With `moves` it may leave its home
    engine, which is slow. A program that is not `refusable` gets the best engine, also
    if it is full.
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
    moves: bool = False
    refusable: bool = True

    def impossible(self) -> dict[str, float]:
        """Return the figures that are impossible, by name."""
        figures: dict[str, float] = {}
        # A comparison with NaN is false.
        if not 0 <= self.max_wait <= MAX_SECONDS:
            figures["max_wait"] = self.max_wait
        if not possible_tokens(self.tokens):
            figures["tokens"] = self.tokens
        if self.left is not None and not -MAX_SECONDS <= self.left <= MAX_SECONDS:
            figures["left"] = self.left
        if not 0 <= self.latency_target <= MAX_SECONDS:
            figures["latency_target"] = self.latency_target
        if self.rank < 0:
            figures["rank"] = self.rank
        return figures


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
            _with_slots(engines),
            key=lambda engine: engine.programs / engine.slots,
            default=None,
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
        fitting = _with_slots(engines)
        if demand.refusable and not demand.in_progress:
            fitting = [engine for engine in fitting if _has_room(engine, demand)]
        return min(
            fitting, key=lambda engine: _expected_turn(engine, demand), default=None
        )


def _with_slots(engines: Sequence[EngineState]) -> list[EngineState]:
    return [engine for engine in engines if engine.slots > 0]


def _has_room(engine: EngineState, demand: ProgramDemand) -> bool:
    return engine.cache_room(demand.tokens) >= 1 and _may_wait(engine, demand, 1)


def _may_wait(engine: EngineState, demand: ProgramDemand, programs: int) -> bool:
    """Return whether the wait is allowed with that many more programs."""
    wait = engine.slowdown + engine.wait_with(engine.programs + programs)
    return wait <= demand.max_wait


def _expected_turn(
    engine: EngineState, demand: ProgramDemand
) -> tuple[float, bool, float]:
    # A program that moves is among the programs of its home engine already.
    stays = demand.moves and engine.instance == demand.home
    turn = engine.turn + engine.wait_with(engine.programs + (0 if stays else 1))
    if demand.home is not None and engine.instance != demand.home:
        turn += max(0, demand.tokens) / PREFILL_RATE
    leaves = demand.moves and engine.instance != demand.home
    return round(turn, 3), leaves, engine.programs / engine.slots


def free_placements(engine: EngineState, demand: ProgramDemand) -> int:
    """Return how many more such programs an engine can take, at most one for each slot.

    The wait grows with the programs, so the number is found by bisection.
    """
    if engine.slots < 1:
        return 0
    free, limit = 0, int(min(engine.slots, engine.cache_room(demand.tokens)))
    while free < limit:
        middle = (free + limit + 1) // 2
        if _may_wait(engine, demand, middle):
            free = middle
        else:
            limit = middle - 1
    return free
