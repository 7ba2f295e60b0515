"""Estimate how long a request would wait at each target."""

from __future__ import annotations

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..ids import InstanceId
from ..policies.health import TargetHealth

# The weight of a new observation. With about five answers a second from each
# engine the estimate follows the load within half a second.
SMOOTHING = 0.3
# An estimate that nothing confirms falls to half in this time: other processes
# move away too, and a target that is never tried is never seen to be free.
HALF_LIFE = 0.6
# What an idle engine takes to its first event beyond reading the prompt; the
# least seen is used once there is one. Seconds.
FIRST_GUESS = 0.06
# Waits of the last answers of all targets tell whether all of them are full. Of the
# waits at single ones the shortest is the one that was not confirmed for longest:
# with many targets and few answers it says little. Seconds, and answers.
RECENT_SECONDS = 0.6
RECENT_LEAST = 4
RECENT_MOST = 32
# For how long a long wait says that targets have queues. Seconds.
LONGEST_HALF_LIFE = 3.0
# Targets are judged by what they owe so often: a part of the shortest pause that
# routes allow. Seconds.
SILENCE_CHECK = 0.05


@dataclass(kw_only=True)
class _Instance:
    running: int = 0
    wait: float = 0.0
    seen: float = 0.0
    waiting: dict[object, float] = field(default_factory=dict)
    due: dict[object, float] = field(default_factory=dict)
    gone: bool = False


class LoadBoard:
    """Learn the load of each target from the answers of this process.

    Load reports lag and cost a call each, and every process sees only its own
    share of the requests. How long the first event of an answer took beyond
    what an idle engine needs tells what the others have queued there.
    """

    def __init__(self, *, health: TargetHealth) -> None:
        self._health = health
        # Called with what others should know of a target.
        self.report: Callable[[InstanceId, bool], None] = lambda instance, ok: None
        self._instances: dict[InstanceId, _Instance] = defaultdict(_Instance)
        self._least = FIRST_GUESS
        self._longest = 0.0
        self._longest_seen = 0.0
        # When a first event came, and how long it had waited.
        self._recent: deque[tuple[float, float]] = deque(maxlen=RECENT_MOST)

    def started(self, instance: InstanceId) -> None:
        """Count a request that was sent."""
        self._health.request_sent(instance, asyncio.get_running_loop().time())
        self._instances[instance].running += 1

    def ended(self, instance: InstanceId) -> None:
        """Count a request no longer."""
        found = self._instances[instance]
        found.running -= 1
        if found.gone and not found.running:
            del self._instances[instance]

    def awaits_first(
        self, instance: InstanceId, request: object, reading: float
    ) -> None:
        """Note that a request waits; `reading` is the time for its prompt."""
        now = asyncio.get_running_loop().time()
        self._instances[instance].waiting[request] = now + reading

    def expects(self, instance: InstanceId, request: object, within: float) -> None:
        """Note that a target owes something for a request, within some seconds."""
        now = asyncio.get_running_loop().time()
        self._instances[instance].due[request] = now + within

    @property
    def longest(self) -> float:
        """Return the longest wait for a first event of late, at any target, in s."""
        now = asyncio.get_running_loop().time()
        faded: float = 0.5 ** ((now - self._longest_seen) / LONGEST_HALF_LIFE)
        return self._longest * faded

    @property
    def usual(self) -> float:
        """Return what three in four answers of late waited at least, in seconds."""
        since = asyncio.get_running_loop().time() - RECENT_SECONDS
        waits = sorted(wait for seen, wait in self._recent if seen >= since)
        return waits[len(waits) // 4] if len(waits) >= RECENT_LEAST else 0.0

    def heard(self, instance: InstanceId, request: object) -> None:
        """Note that a target sent what it owed for a request."""
        self._instances[instance].due.pop(request, None)
        self._health.response_received(instance, asyncio.get_running_loop().time())

    async def watch(self) -> None:
        """Judge targets that owe something for too long, again and again.

        A target that falls silent keeps its connections. Each host learned that
        from requests that ended at their callers' deadlines, two seconds later,
        and sent others there meanwhile.
        """
        loop = asyncio.get_running_loop()
        while True:
            begun = loop.time()
            await asyncio.sleep(SILENCE_CHECK)
            # While this process stood still it could not hear anything.
            self._judge_silent(loop.time() - begun - SILENCE_CHECK)

    def _judge_silent(self, lag: float) -> None:
        now = asyncio.get_running_loop().time()
        for instance, found in list(self._instances.items()):
            if lag > SILENCE_CHECK:
                found.due = {one: due + lag for one, due in found.due.items()}
            late = [request for request, due in found.due.items() if due < now]
            for request in late:
                del found.due[request]
            if late:
                self.judged(instance, ok=False)

    def got_first(self, instance: InstanceId, request: object) -> None:
        """Learn from the first event of an answer."""
        found = self._instances[instance]
        begun = found.waiting.pop(request, None)
        if begun is None:
            return
        now = asyncio.get_running_loop().time()
        taken = max(0.0, now - begun)
        self._least = min(self._least, taken)
        excess = taken - self._least
        self._recent.append((now, excess))
        self._longest = max(self.longest, excess)
        self._longest_seen = now
        before = self._faded(found, now)
        found.wait = before + SMOOTHING * (excess - before)
        found.seen = now

    def gave_up(self, instance: InstanceId, request: object) -> None:
        """Forget a request that ended, with or without an event."""
        found = self._instances[instance]
        found.waiting.pop(request, None)
        found.due.pop(request, None)

    def judged(self, instance: InstanceId, *, ok: bool) -> None:
        """Learn whether a target answered a request soundly."""
        now = asyncio.get_running_loop().time()
        if ok:
            self._health.response_received(instance, now)
        judge = self._health.request_succeeded if ok else self._health.request_failed
        if judge(instance, now):
            self.report(instance, ok)

    def failing(self, instance: InstanceId) -> float:
        """Return the share of requests that may fail at a target."""
        return self._health.failure_rate(instance, asyncio.get_running_loop().time())

    def forget(self, instance: InstanceId) -> None:
        """Forget a target that has left, once nothing runs there."""
        self._health.forget(instance)
        found = self._instances.get(instance)
        if found is None:
            return
        found.gone = True
        if not found.running:
            del self._instances[instance]

    def running(self, instance: InstanceId) -> int:
        """Return this process's requests at a target."""
        found = self._instances.get(instance)
        return found.running if found is not None else 0

    def wait(self, instance: InstanceId) -> float:
        """Return the seconds that a request is expected to wait."""
        found = self._instances.get(instance)
        if found is None:
            return 0.0
        now = asyncio.get_running_loop().time()
        oldest = min(found.waiting.values(), default=now)
        # Requests that have waited for long say so before they are answered.
        return max(self._faded(found, now), now - oldest - self._least)

    def _faded(self, found: _Instance, now: float) -> float:
        return found.wait * 0.5 ** ((now - found.seen) / HALF_LIFE)
