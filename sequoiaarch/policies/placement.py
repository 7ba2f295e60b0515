"""Choose the target of a call."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Protocol

from ..config.documents import PlacementName
from ..ids import TargetName
from ..wire.messages import Load

# Targets sampled for a new program.
SAMPLED_TARGETS = 2
# Duration of a call at a target that reports none. Seconds.
DEFAULT_CALL_SECONDS = 0.5
# Prompt tokens that an engine behind a sidecar processes per second.
PREFILL_RATE = 20_000.0
# A move must save this many times the time to rebuild the prefix.
MOVE_MARGIN = 1.5
# Programs do not move to targets with older load reports. Seconds.
MAX_REPORT_AGE = 1.0


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """Describe a target that could run a call.

    `sent` counts the calls sent since the load report, `distance` is the one-way
    network delay and `age` the age of the report, both in seconds.
    """

    target: TargetName
    slots: int
    load: Load | None
    sent: int
    distance: float
    age: float = 0.0

    @property
    def calls_per_slot(self) -> float:
        """Return the running and queued calls per slot."""
        load = self.load
        calls = self.sent + (load.running + load.queued if load else 0)
        return calls / self.slots

    @property
    def expected_wait(self) -> float:
        """Return the expected wait of a new call in seconds."""
        load = self.load
        queued = self.sent + (load.queued if load else 0)
        free = self.slots - (load.running if load else 0)
        return max(0, queued - free + 1) / self.slots * self.call_seconds

    @property
    def call_seconds(self) -> float:
        """Return the duration of a call at the target in seconds."""
        reported = self.load.call_seconds if self.load else 0.0
        return reported or DEFAULT_CALL_SECONDS

    @property
    def programs_per_slot(self) -> float:
        """Return the programs at the target per slot."""
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
    """Name the chosen target and the reason."""

    target: TargetName
    reason: str


class Placement(Protocol):
    """Choose among at least one candidate."""

    def choose(self, request: PlacementRequest, candidates: list[Candidate]) -> Choice:
        """Return the target that should run the call."""


class RandomPlacement:
    """Choose a random target for every call."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, request: PlacementRequest, candidates: list[Candidate]) -> Choice:
        """Return a random target."""
        target = self._rng.choice(candidates).target
        return Choice(target=target, reason="chosen at random")


class LeastLoadedPlacement:
    """Choose the target with the fewest calls per slot for every call."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, request: PlacementRequest, candidates: list[Candidate]) -> Choice:
        """Return the least loaded target."""
        shuffled = self._rng.sample(candidates, len(candidates))
        best = min(shuffled, key=lambda candidate: candidate.calls_per_slot)
        return Choice(
            target=best.target, reason=f"least loaded, {best.calls_per_slot:.2f}"
        )


class StickyPlacement:
    """Keep a program at its first target, the least loaded one at its start."""

    def __init__(self, *, rng: random.Random) -> None:
        self._initial = LeastLoadedPlacement(rng=rng)

    def choose(self, request: PlacementRequest, candidates: list[Candidate]) -> Choice:
        """Return the home, or the least loaded target for a new program."""
        if any(candidate.target == request.home for candidate in candidates):
            assert request.home is not None
            return Choice(target=request.home, reason="stays at its first target")
        return self._initial.choose(request, candidates)


class AffinityPlacement:
    """Keep a program where its prefix is cached unless waiting costs more than moving.

    A new program goes to the better of two random targets, so that gateways with
    stale load reports do not all choose the same one.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, request: PlacementRequest, candidates: list[Candidate]) -> Choice:
        """Return the home, or a target that is worth moving to."""
        home = next(
            (candidate for candidate in candidates if candidate.target == request.home),
            None,
        )
        if home is None:
            return self._choose_initial(request, candidates)
        # With stale load reports many programs would move to the same target.
        others = [
            candidate
            for candidate in candidates
            if candidate is not home and candidate.age < MAX_REPORT_AGE
        ]
        if not others:
            return Choice(
                target=home.target, reason="no other target has a recent load report"
            )
        best = min(
            others, key=lambda candidate: candidate.expected_wait + candidate.distance
        )
        # With a latency weight of 0 a prefix is never given up to save waiting.
        rebuild = request.context_tokens / PREFILL_RATE
        gain = (home.expected_wait - best.expected_wait) * request.latency_weight
        if gain > MOVE_MARGIN * rebuild + best.distance + best.call_seconds:
            reason = f"waits {gain:.2f} s less there, rebuild takes {rebuild:.2f} s"
            return Choice(target=best.target, reason=reason)
        reason = f"prefix of {request.context_tokens} tokens is cached there"
        return Choice(target=home.target, reason=reason)

    def _choose_initial(
        self, request: PlacementRequest, candidates: list[Candidate]
    ) -> Choice:
        sampled = self._rng.sample(candidates, min(SAMPLED_TARGETS, len(candidates)))
        best = min(sampled, key=self._score)
        names = ", ".join(
            f"{candidate.target} {self._score(candidate):.2f}" for candidate in sampled
        )
        return Choice(target=best.target, reason=f"best score of {names}")

    def _score(self, candidate: Candidate) -> float:
        return (
            candidate.expected_wait
            + candidate.distance
            + candidate.programs_per_slot * DEFAULT_CALL_SECONDS
        )


def make_placement(name: PlacementName, rng: random.Random) -> Placement:
    """Return the placement policy with the given name."""
    classes: dict[PlacementName, type[Placement]] = {
        PlacementName.AFFINITY: AffinityPlacement,
        PlacementName.STICKY: StickyPlacement,
        PlacementName.LEAST_LOADED: LeastLoadedPlacement,
        PlacementName.RANDOM: RandomPlacement,
    }
    return classes[name](rng=rng)  # type: ignore[call-arg]
