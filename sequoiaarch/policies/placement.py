"""Choose the target of a call."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Protocol

from ..config.documents import PlacementName
from ..ids import TargetName
from ..wire.messages import Load

CHOICES = 2
SECONDS_A_CALL = 0.5
REBUILD_RATE = 20_000.0
MOVE_MARGIN = 1.5
REPORT_LIMIT = 1.0


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """Describe a target that could run a call.

    `sent` counts the calls sent since the load was reported; `distance` is
    the delay to it in seconds, one way, and `age` how old the report is.
    """

    target: TargetName
    slots: int
    load: Load | None
    sent: int
    distance: float
    age: float = 0.0

    @property
    def busy(self) -> float:
        """Return the calls at the target for each of its slots."""
        load = self.load
        calls = self.sent + (load.running + load.queued if load else 0)
        return calls / self.slots

    @property
    def expected_wait(self) -> float:
        """Return the seconds that a new call is expected to wait."""
        load = self.load
        queued = self.sent + (load.queued if load else 0)
        free = self.slots - (load.running if load else 0)
        return max(0, queued - free + 1) / self.slots * self.call_seconds

    @property
    def call_seconds(self) -> float:
        """Return the seconds that a call takes there."""
        known = self.load.call_seconds if self.load else 0.0
        return known or SECONDS_A_CALL

    @property
    def crowd(self) -> float:
        """Return how many programs live at the target, for each slot."""
        programs = self.load.programs if self.load else 0
        return (programs + self.sent) / self.slots


@dataclass(frozen=True, kw_only=True)
class PlacementRequest:
    """Describe the call to place."""

    home: TargetName | None
    context_tokens: int
    latency_weight: float


@dataclass(frozen=True, kw_only=True)
class Choice:
    """Name the chosen target and why."""

    target: TargetName
    reason: str


class Placement(Protocol):
    """Choose among candidates; there is always at least one."""

    def choose(self, request: PlacementRequest, candidates: list[Candidate]) -> Choice:
        """Return the target that should run the call."""


class RandomPlacement:
    """Choose any target for every call."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, request: PlacementRequest, candidates: list[Candidate]) -> Choice:
        """Return any target."""
        target = self._rng.choice(candidates).target
        return Choice(target=target, reason="chosen at random")


class LeastLoadedPlacement:
    """Choose the target with the fewest calls for every call."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, request: PlacementRequest, candidates: list[Candidate]) -> Choice:
        """Return the least loaded target."""
        shuffled = self._rng.sample(candidates, len(candidates))
        best = min(shuffled, key=lambda one: one.busy)
        return Choice(target=best.target, reason=f"least loaded, {best.busy:.2f}")


class StickyPlacement:
    """Stay at the first target, which was the least loaded at the start."""

    def __init__(self, *, rng: random.Random) -> None:
        self._first = LeastLoadedPlacement(rng=rng)

    def choose(self, request: PlacementRequest, candidates: list[Candidate]) -> Choice:
        """Return the home, or the least loaded target for a new program."""
        if any(one.target == request.home for one in candidates):
            assert request.home is not None
            return Choice(target=request.home, reason="stays at its first target")
        return self._first.choose(request, candidates)


class AffinityPlacement:
    """Stay where the prefix is cached unless waiting costs more than moving.

    A new program goes to the less crowded of two targets drawn at random, so
    that gateways with stale reports do not all choose the same one.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, request: PlacementRequest, candidates: list[Candidate]) -> Choice:
        """Return the home or a better place."""
        home = next((one for one in candidates if one.target == request.home), None)
        if home is None:
            return self._start(request, candidates)
        # An old report shows a queue that has filled since: programs that
        # follow it all move to the same place and wait there.
        others = [
            one for one in candidates if one is not home and one.age < REPORT_LIMIT
        ]
        if not others:
            return Choice(target=home.target, reason="nothing better is known")
        best = min(others, key=lambda one: one.expected_wait + one.distance)
        # The weight of latency scales what moving costs: with weight 0 a
        # prefix is never thrown away to save waiting.
        rebuild = request.context_tokens / REBUILD_RATE
        gain = (home.expected_wait - best.expected_wait) * request.latency_weight
        if gain > MOVE_MARGIN * rebuild + best.distance + best.call_seconds:
            reason = f"waits {gain:.2f} s less there, rebuild takes {rebuild:.2f} s"
            return Choice(target=best.target, reason=reason)
        reason = f"prefix of {request.context_tokens} tokens is cached there"
        return Choice(target=home.target, reason=reason)

    def _start(self, request: PlacementRequest, candidates: list[Candidate]) -> Choice:
        drawn = self._rng.sample(candidates, min(CHOICES, len(candidates)))
        best = min(drawn, key=self._score)
        names = ", ".join(f"{one.target} {self._score(one):.2f}" for one in drawn)
        return Choice(target=best.target, reason=f"best score of {names}")

    def _score(self, one: Candidate) -> float:
        return one.expected_wait + one.distance + one.crowd * SECONDS_A_CALL


def make_placement(name: PlacementName, rng: random.Random) -> Placement:
    """Return the placement of a name."""
    kinds: dict[PlacementName, type[Placement]] = {
        PlacementName.AFFINITY: AffinityPlacement,
        PlacementName.STICKY: StickyPlacement,
        PlacementName.LEAST_LOADED: LeastLoadedPlacement,
        PlacementName.RANDOM: RandomPlacement,
    }
    return kinds[name](rng=rng)  # type: ignore[call-arg]
