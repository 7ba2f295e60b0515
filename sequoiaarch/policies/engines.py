"""Choose the target of a request among the instances of a service."""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import Protocol

import msgspec
import xxhash

from ..ids import InstanceId

# Prompt tokens that an engine reads in a second; both deployments are near it.
PREFILL_RATE = 165_000.0
# What a request of this process adds to the time of the next one beside it;
# those of others show in the wait. Seconds.
SHARE_SECONDS = 0.006
# Leaving the data centre costs a millisecond or two each way and carries the
# whole prompt between data centres, which is paid for. Four times what the way
# takes halves these bytes and leaves waits as they are; eight times makes full
# engines wait longer. Seconds.
DISTANCE_SECONDS = 0.015
# What an engine has read of a program at home is worth this many times its
# reading: leaving also makes later turns read again, and evicts what others keep.
HOME_FACTOR = 2.0
PARTS_KEPT = 4096
# Up to this share of an instance's slots in use by one process it counts as
# free; with a few processes to each data centre it is then about half full.
FREE_SHARE = 0.4
# Instances that fail this share of requests more than the best one are passed
# over. All can't be: the best one always stays, so no service is emptied.
FAILING_MARGIN = 0.25


class EngineCandidate(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an instance that could run the request.

    `running` counts this process's requests there, `wait` is the time in
    seconds that a request is expected to wait, `failing` the share of requests
    that lately failed there.
    """

    instance: InstanceId
    slots: int
    running: int
    near: bool
    wait: float = 0.0
    failing: float = 0.0


class PromptShape(msgspec.Struct, frozen=True, kw_only=True):
    """List the parts of a prompt, in order, with their tokens.

    `owner` names what later prompts will share most with this one, a program
    as a rule; empty where that is unknown.
    """

    parts: tuple[tuple[str, int], ...]
    owner: str = ""


class EnginePlacement(Protocol):
    """Choose among instances; there is always at least one."""

    def choose(
        self, shape: PromptShape, choices: list[EngineCandidate]
    ) -> tuple[InstanceId, str]:
        """Return the instance and the reason."""


class NearestFree:
    """Choose the nearest instance with few requests, else the least loaded.

    Requests and answers between data centres are priced, and a free instance
    nearby answers sooner. What a process sees of an instance's load is its own
    share, so "few" is a small part of the slots.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, shape: PromptShape, choices: list[EngineCandidate]
    ) -> tuple[InstanceId, str]:
        """Return a near and free instance, or the least loaded of all."""
        sound = _sound(choices)
        near = [one for one in sound if one.near and _free(one)]
        return LeastRunning(rng=self._rng).choose(shape, near or sound)


def _sound(choices: list[EngineCandidate]) -> list[EngineCandidate]:
    """Return the instances that don't fail much more than the best one.

    A target can fail part of its requests while its health check is good, for
    all or for some callers; only the answers show it.
    """
    least = min(one.failing for one in choices)
    return [one for one in choices if one.failing <= least + FAILING_MARGIN]


def _free(one: EngineCandidate) -> bool:
    return one.running < one.slots * FREE_SHARE


class LeastRunning:
    """Choose the instance with the fewest requests for its slots."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, shape: PromptShape, choices: list[EngineCandidate]
    ) -> tuple[InstanceId, str]:
        """Return the least loaded instance, a near one among equals."""
        best = min(
            choices,
            key=lambda one: (one.running / one.slots, not one.near, self._rng.random()),
        )
        return best.instance, f"running={best.running}"


class PrefixIndex:
    """Remember which parts of prompts each instance has read lately."""

    def __init__(self) -> None:
        self._parts: dict[InstanceId, OrderedDict[str, None]] = {}

    def record(self, instance: InstanceId, shape: PromptShape) -> None:
        """Remember that an instance has read a prompt."""
        kept = self._parts.setdefault(instance, OrderedDict())
        for part, _ in shape.parts:
            kept[part] = None
            kept.move_to_end(part)
        while len(kept) > PARTS_KEPT:
            kept.popitem(last=False)

    def prefill_seconds(self, instance: InstanceId, shape: PromptShape) -> float:
        """Return the seconds that the instance would read the prompt."""
        return self.uncached_tokens(instance, shape) / PREFILL_RATE

    def uncached_tokens(self, instance: InstanceId, shape: PromptShape) -> int:
        """Return the tokens that the instance would have to read."""
        kept = self._parts.get(instance, OrderedDict())
        total = sum(tokens for _, tokens in shape.parts)
        for part, tokens in shape.parts:
            if part not in kept:
                break
            total -= tokens
        return total

    def forget(self, instance: InstanceId) -> None:
        """Forget an instance that has left."""
        self._parts.pop(instance, None)


class PrefixPlacement:
    """Choose the instance where the request is expected to end first.

    Reading a long history again costs 20 ms and evicts what others have
    cached; standing behind a full batch costs more. Both are weighed in
    seconds.

    Turns of a program come through many processes, none of which knows where
    the one before ran. So each program has a home by a hash that all of them
    compute alike, among the instances nearby; a turn goes elsewhere only where
    the wait at home costs more than reading the prompt again.
    """

    def __init__(self, *, prefix_index: PrefixIndex, rng: random.Random) -> None:
        self._prefix_index = prefix_index
        self._rng = rng

    def choose(
        self, shape: PromptShape, choices: list[EngineCandidate]
    ) -> tuple[InstanceId, str]:
        """Return the instance with the lowest expected time."""
        sound = _sound(choices)
        home = _home(shape.owner, sound)
        scored = [
            (self._cost(shape, one, home), self._rng.random(), one) for one in sound
        ]
        cost, _, best = min(scored, key=lambda entry: entry[:2])
        reason = f"cost={cost * 1000:.1f}ms wait={best.wait * 1000:.0f}ms"
        return best.instance, reason

    def _cost(
        self, shape: PromptShape, one: EngineCandidate, home: InstanceId | None
    ) -> float:
        cost = one.wait + one.running * SHARE_SECONDS
        if one.instance != home:
            factor = 1.0 if home is None else HOME_FACTOR
            cost += factor * self._prefix_index.prefill_seconds(one.instance, shape)
        return cost if one.near else cost + DISTANCE_SECONDS


def _home(owner: str, choices: list[EngineCandidate]) -> InstanceId | None:
    """Return the instance nearby that ranks first for an owner, by rendezvous."""
    if not owner:
        return None
    near = [one for one in choices if one.near] or choices
    return max(near, key=lambda one: _rank(owner, one.instance)).instance


def _rank(owner: str, instance: InstanceId) -> int:
    return xxhash.xxh32_intdigest(f"{owner}/{instance}".encode())
