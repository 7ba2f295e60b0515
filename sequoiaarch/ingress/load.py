"""Estimate how long a request would wait at each target."""

from __future__ import annotations

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..ids import InstanceId
from ..policies.health import TargetHealth
from ..reply_timeout import LagMeter

# Weight of a new observation in the moving average of waits. With about five answers a
# second from each engine the average follows the load within half a second.
SMOOTHING = 0.3
# Seconds. Estimates decay without new observations, as a target that gets no
# requests would otherwise never be seen to be free.
WAIT_HALF_LIFE = 0.6
# Seconds from the end of prefill to the first event on an idle engine, until a
# lower value has been observed.
INITIAL_IDLE_LATENCY = 0.06
# The window, in seconds, and the number of recent waits that tell whether all
# targets are full. The shortest estimate of a single target doesn't: with many
# targets and few responses it is the one that has decayed most.
RECENT_WINDOW = 0.6
MIN_RECENT_WAITS = 4
MAX_RECENT_WAITS = 32
# Half-life of the longest wait, in seconds.
LONGEST_WAIT_HALF_LIFE = 3.0
# Seconds; well below the shortest pause between events that routes allow.
SILENCE_CHECK_INTERVAL = 0.05


@dataclass(kw_only=True)
class _TargetLoad:
    """Requests at one target and the moving average of their waits.

    `prefilled_at` holds by request when its prefill is expected to end, and
    `deadlines` when its next data is due.
    """

    running: int = 0
    wait: float = 0.0
    wait_at: float = 0.0
    prefilled_at: dict[object, float] = field(default_factory=dict)
    deadlines: dict[object, float] = field(default_factory=dict)
    removed: bool = False


class LoadTracker:
    """Estimate queueing delays at targets from the responses to this process.

    The time to the first event of a response, less that of an idle engine, shows
    what all processes have queued at the target. Load reports would lag and cost
    an extra call each.
    """

    def __init__(self, *, health: TargetHealth) -> None:
        self._health = health
        # Called with a target and whether it works, to report this to the peers.
        self.report: Callable[[InstanceId, bool], None] = lambda instance, ok: None
        self._loads: dict[InstanceId, _TargetLoad] = defaultdict(_TargetLoad)
        self._idle_latency = INITIAL_IDLE_LATENCY
        self._longest_wait = 0.0
        self._longest_wait_at = 0.0
        # Times of first events, with the wait of each.
        self._recent_waits: deque[tuple[float, float]] = deque(maxlen=MAX_RECENT_WAITS)

    def request_started(self, instance: InstanceId) -> None:
        """Count a request to a target as running."""
        self._health.request_started(instance, asyncio.get_running_loop().time())
        self._loads[instance].running += 1

    def request_ended(self, instance: InstanceId) -> None:
        """Count a request as ended."""
        load = self._loads[instance]
        load.running -= 1
        if load.removed and not load.running:
            del self._loads[instance]

    def track_first_event(
        self, instance: InstanceId, request: object, prefill_seconds: float
    ) -> None:
        """Start measuring a request's wait after `prefill_seconds` of prefill."""
        now = asyncio.get_running_loop().time()
        self._loads[instance].prefilled_at[request] = now + prefill_seconds

    def expect_within(
        self, instance: InstanceId, request: object, within: float
    ) -> None:
        """Set the deadline, in seconds from now, for the next data of a request."""
        now = asyncio.get_running_loop().time()
        self._loads[instance].deadlines[request] = now + within

    @property
    def longest_wait(self) -> float:
        """Return the longest wait for a first event, decayed, in seconds."""
        now = asyncio.get_running_loop().time()
        decay: float = 0.5 ** ((now - self._longest_wait_at) / LONGEST_WAIT_HALF_LIFE)
        return self._longest_wait * decay

    @property
    def lower_quartile_wait(self) -> float:
        """Return the lower quartile of recent waits at all targets, in seconds."""
        since = asyncio.get_running_loop().time() - RECENT_WINDOW
        waits = sorted(wait for at, wait in self._recent_waits if at >= since)
        return waits[len(waits) // 4] if len(waits) >= MIN_RECENT_WAITS else 0.0

    def data_received(self, instance: InstanceId, request: object) -> None:
        """Clear the deadline of a request whose target has sent data."""
        self._loads[instance].deadlines.pop(request, None)
        self._health.response_received(instance, asyncio.get_running_loop().time())

    async def watch(self) -> None:
        """Report targets with overdue data as failed, periodically.

        A target that stops responding may keep its connections open, so that
        otherwise only the callers' deadlines would reveal it.
        """
        loop = asyncio.get_running_loop()
        # Its own meter, as the shared clock would have to tick all the time.
        meter = LagMeter(interval=SILENCE_CHECK_INTERVAL)
        while True:
            lost = meter.lost
            meter.tick(loop.time())
            await asyncio.sleep(SILENCE_CHECK_INTERVAL)
            meter.observe(loop.time())
            self._report_silent(meter.lost - lost)

    def _report_silent(self, lag: float) -> None:
        now = asyncio.get_running_loop().time()
        for instance, load in list(self._loads.items()):
            if lag > 0:
                load.deadlines = {
                    request: deadline + lag
                    for request, deadline in load.deadlines.items()
                }
            overdue = [
                request
                for request, deadline in load.deadlines.items()
                if deadline < now
            ]
            for request in overdue:
                del load.deadlines[request]
            if overdue:
                self.record_result(instance, ok=False)

    def first_event_received(self, instance: InstanceId, request: object) -> None:
        """Update the wait estimates by the first event of a response."""
        load = self._loads[instance]
        prefilled_at = load.prefilled_at.pop(request, None)
        if prefilled_at is None:
            return
        now = asyncio.get_running_loop().time()
        latency = max(0.0, now - prefilled_at)
        self._idle_latency = min(self._idle_latency, latency)
        wait = latency - self._idle_latency
        self._recent_waits.append((now, wait))
        self._longest_wait = max(self.longest_wait, wait)
        self._longest_wait_at = now
        previous = self._decayed_wait(load, now)
        load.wait = previous + SMOOTHING * (wait - previous)
        load.wait_at = now

    def discard(self, instance: InstanceId, request: object) -> None:
        """Stop tracking a request that has ended."""
        load = self._loads[instance]
        load.prefilled_at.pop(request, None)
        load.deadlines.pop(request, None)

    def record_result(self, instance: InstanceId, *, ok: bool) -> None:
        """Record whether a target answered a request without failure."""
        now = asyncio.get_running_loop().time()
        if ok:
            self._health.response_received(instance, now)
        record = self._health.request_succeeded if ok else self._health.request_failed
        if record(instance, now):
            self.report(instance, ok)

    def failure_rate(self, instance: InstanceId) -> float:
        """Return the fraction of requests that are expected to fail at a target."""
        return self._health.failure_rate(instance, asyncio.get_running_loop().time())

    def forget(self, instance: InstanceId) -> None:
        """Discard the state of a target that has left, once nothing runs there."""
        self._health.forget(instance)
        load = self._loads.get(instance)
        if load is None:
            return
        load.removed = True
        if not load.running:
            del self._loads[instance]

    def running(self, instance: InstanceId) -> int:
        """Return the number of this process's requests at a target."""
        load = self._loads.get(instance)
        return load.running if load is not None else 0

    def expected_wait(self, instance: InstanceId) -> float:
        """Return the expected wait of a new request, in seconds."""
        load = self._loads.get(instance)
        if load is None:
            return 0.0
        now = asyncio.get_running_loop().time()
        earliest = min(load.prefilled_at.values(), default=now)
        # Requests still without a first event already show a minimum wait.
        return max(self._decayed_wait(load, now), now - earliest - self._idle_latency)

    def _decayed_wait(self, load: _TargetLoad, now: float) -> float:
        return load.wait * 0.5 ** ((now - load.wait_at) / WAIT_HALF_LIFE)
