"""Choose the target of a request among the instances of a service."""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import Protocol

import msgspec
import xxhash

from ..ids import InstanceId

# Prompt tokens that an engine behind an ingress daemon processes per second. The
# programs of gateways are placed by another rate, `placement.PREFILL_RATE`.
PREFILL_RATE = 165_000.0
# Time that each running request of this process adds to the next one; requests of
# other processes are part of the wait. Seconds.
SECONDS_PER_REQUEST = 0.006
# Cost of an engine in another data centre: more than the network delay, as traffic
# between data centres, which carries the whole prompt, is paid for. Four times the
# delay halves this traffic and leaves waits as they are; with eight times requests wait
# longer at full engines. Seconds.
REMOTE_SECONDS = 0.015
# Factor on the prefill time away from the home instance: moving also costs later
# turns their cached prefix and evicts prefixes of other programs.
HOME_CACHE_FACTOR = 2.0
# Prompt parts remembered for each instance.
MAX_PARTS = 4096
# An instance has capacity while this process uses a smaller fraction of its slots:
# other processes use it too. With a few processes in each data centre it is then about
# half full.
FREE_LOAD = 0.4
# Instances whose failure rate exceeds the lowest one by more than this are skipped.
# The best one always remains.
FAILURE_RATE_MARGIN = 0.25


class EngineCandidate(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an instance that could run the request.

    `running` counts this process's requests there, `wait` is the expected wait in
    seconds and `failing` the recent failure rate. `near` tells that it is in this
    data centre, `slowdown` how many seconds longer a turn takes there than elsewhere.
    """

    instance: InstanceId
    slots: int
    running: int
    near: bool
    wait: float = 0.0
    failing: float = 0.0
    slowdown: float = 0.0


class PromptShape(msgspec.Struct, frozen=True, kw_only=True):
    """List the parts of a prompt with their tokens, in order.

    `owner` identifies prompts that share a long prefix, usually by the program; it is
    empty if unknown. `home` is the engine that the program was assigned to.
    """

    parts: tuple[tuple[str, int], ...]
    owner: str = ""
    home: InstanceId | None = None


class EnginePlacement(Protocol):
    """Choose among at least one instance."""

    def choose(
        self, shape: PromptShape, candidates: list[EngineCandidate]
    ) -> tuple[InstanceId, str]:
        """Return the instance and the reason."""


class NearestFree:
    """Choose an instance with capacity in this data centre, else the least loaded.

    This avoids latency and paid traffic between data centres.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, shape: PromptShape, candidates: list[EngineCandidate]
    ) -> tuple[InstanceId, str]:
        """Return a near instance with capacity, or the least loaded of all."""
        healthy = _healthy(candidates)
        near = [
            candidate
            for candidate in healthy
            if candidate.near and _has_capacity(candidate)
        ]
        return LeastRunning(rng=self._rng).choose(shape, near or healthy)


def _healthy(candidates: list[EngineCandidate]) -> list[EngineCandidate]:
    """Return the instances whose failure rate is close to the lowest one.

    A target may pass its health check and still fail some requests.
    """
    least = min(candidate.failing for candidate in candidates)
    return [
        candidate
        for candidate in candidates
        if candidate.failing <= least + FAILURE_RATE_MARGIN
    ]


def _has_capacity(candidate: EngineCandidate) -> bool:
    return candidate.running < candidate.slots * FREE_LOAD


class LeastRunning:
    """Choose the instance with the fewest requests for its slots."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, shape: PromptShape, candidates: list[EngineCandidate]
    ) -> tuple[InstanceId, str]:
        """Return the least loaded instance, preferring near ones."""
        best = min(
            candidates,
            key=lambda candidate: (
                candidate.running / candidate.slots,
                not candidate.near,
                self._rng.random(),
            ),
        )
        return best.instance, f"running={best.running}"


class PrefixIndex:
    """Track which prompt parts each instance has probably cached."""

    def __init__(self) -> None:
        self._parts: dict[InstanceId, OrderedDict[str, None]] = {}

    def record(self, instance: InstanceId, shape: PromptShape) -> None:
        """Record that an instance has processed a prompt."""
        parts = self._parts.setdefault(instance, OrderedDict())
        for part, _ in shape.parts:
            parts[part] = None
            parts.move_to_end(part)
        while len(parts) > MAX_PARTS:
            parts.popitem(last=False)

    def prefill_seconds(self, instance: InstanceId, shape: PromptShape) -> float:
        """Return the seconds to process the uncached part of a prompt."""
        return self.uncached_tokens(instance, shape) / PREFILL_RATE

    def uncached_tokens(self, instance: InstanceId, shape: PromptShape) -> int:
        """Return the tokens behind the cached prefix of a prompt."""
        parts = self._parts.get(instance, OrderedDict())
        total = sum(tokens for _, tokens in shape.parts)
        for part, tokens in shape.parts:
            if part not in parts:
                break
            total -= tokens
        return total

    def forget(self, instance: InstanceId) -> None:
        """Drop an instance that has left."""
        self._parts.pop(instance, None)


class PrefixPlacement:
    """Choose the instance with the lowest cost, in seconds of waiting and prefill.

    The turns of a program arrive at different processes, which don't know where the
    previous one ran. So each program has a home instance in the data centre, chosen
    by rendezvous hashing. A turn runs elsewhere only if the wait at home costs more
    than processing the prompt again.

    Processing a long history again takes about 20 ms and evicts what others have
    cached; waiting behind a full batch costs more.
    """

    def __init__(self, *, prefix_index: PrefixIndex, rng: random.Random) -> None:
        self._prefix_index = prefix_index
        self._rng = rng

    def choose(
        self, shape: PromptShape, candidates: list[EngineCandidate]
    ) -> tuple[InstanceId, str]:
        """Return the instance with the lowest cost."""
        healthy = _healthy(candidates)
        if any(candidate.instance == shape.home for candidate in healthy):
            assert shape.home is not None
            return shape.home, "assigned"
        home = _home_instance(shape, healthy)
        scored = [
            (self._cost(shape, candidate, home), self._rng.random(), candidate)
            for candidate in healthy
        ]
        cost, _, best = min(scored, key=lambda entry: entry[:2])
        reason = f"cost={cost * 1000:.1f}ms wait={best.wait * 1000:.0f}ms"
        return best.instance, reason

    def _cost(
        self, shape: PromptShape, candidate: EngineCandidate, home: InstanceId | None
    ) -> float:
        cost = candidate.wait + candidate.running * SECONDS_PER_REQUEST
        cost += candidate.slowdown
        if candidate.instance != home:
            factor = 1.0 if home is None else HOME_CACHE_FACTOR
            cost += factor * self._prefix_index.prefill_seconds(
                candidate.instance, shape
            )
        return cost if candidate.near else cost + REMOTE_SECONDS


def _home_instance(
    shape: PromptShape, candidates: list[EngineCandidate]
) -> InstanceId | None:
    """Return the assigned instance, or the near one with the highest score."""
    owner = shape.owner
    if not owner:
        return None
    near = [candidate for candidate in candidates if candidate.near] or candidates
    return max(
        near, key=lambda candidate: _rendezvous_score(owner, candidate.instance)
    ).instance


def _rendezvous_score(owner: str, instance: InstanceId) -> int:
    return xxhash.xxh32_intdigest(f"{owner}/{instance}".encode())
