"""Learn how fast targets generate events."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from ..ids import InstanceId

# Time constant of the averages in seconds: long enough that a target which is slow for
# half a second keeps most of its average, short enough to notice lasting slowness
# within a few turns.
AVERAGING_SECONDS = 3.0
# Events after which the pace of a target is known.
MIN_EVENTS = 4.0
# Targets are uneven while one takes this many times as long for an event as another.
# Smaller differences follow from load and long prompts where a target is never idle.
UNEVEN_FACTOR = 2.0
# Gaps between events from which the speed of a target is known, and how many are kept.
# Those of one or two turns may fall into a moment in which the target is slow.
MIN_GAPS = 12
MAX_GAPS = 24
# The fraction of a target's gaps that are shorter than the one that tells its speed. In
# the longer ones it processed prompts of other requests too.
SPEED_QUANTILE = 0.25
# Targets that must be known before they count as uneven.
MIN_TARGETS = 3
# Bounds of a possible pace in seconds: an event that takes longer is a target that
# hangs, and no target generates events faster.
MIN_EVENT_SECONDS = 1e-5
MAX_EVENT_SECONDS = 10.0
# More events than a host receives from a target between two reports.
MAX_EVENTS = 10_000_000
# Seconds without events after which a target is dropped: it has left, or its pace is
# no longer known.
FORGET_SECONDS = 600.0
# Time constant with which the pace of an idle target approaches a higher one: an engine
# that stays slower is a slower engine. Seconds.
IDLE_SECONDS = 120.0
# Events at the mean pace of all targets that are added to those of each. A target that
# gets no requests as it was slow thereby approaches the mean, and is tried again.
PRIOR_EVENTS = 2.0


class PaceSample(msgspec.Struct, frozen=True, kw_only=True):
    """Report the seconds that a target took for a number of events."""

    instance: InstanceId
    seconds: float
    events: int
    turns: int = 1

    def plus(self, other: PaceSample) -> PaceSample:
        """Return the sum of two samples of the same target."""
        return PaceSample(
            instance=self.instance,
            seconds=self.seconds + other.seconds,
            events=self.events + other.events,
            turns=self.turns + other.turns,
        )

    @property
    def valid(self) -> bool:
        """Return whether the figures are possible; each turn has an event."""
        if not 1 <= self.turns <= self.events <= MAX_EVENTS:
            return False
        # A comparison with NaN is false.
        pace = self.seconds / self.events
        return MIN_EVENT_SECONDS <= pace <= MAX_EVENT_SECONDS


@dataclass(kw_only=True)
class _Average:
    """Sums of seconds and events, which decay with time."""

    seconds: float = 0.0
    events: float = 0.0
    turns: float = 0.0
    updated: float = 0.0
    idle_pace: float = math.inf


class PaceTable:
    """Average the seconds for each event of targets, weighting recent ones most."""

    def __init__(self) -> None:
        self._averages: dict[InstanceId, _Average] = {}

    def add(self, sample: PaceSample, now: float) -> bool:
        """Add a sample; return False if it is ignored because it is invalid."""
        if not sample.valid:
            return False
        average = self._averages.get(sample.instance)
        if average is None:
            self._drop_unused(now)
            average = self._averages[sample.instance] = _Average(updated=now)
        decay = math.exp(-max(0.0, now - average.updated) / AVERAGING_SECONDS)
        average.seconds = average.seconds * decay + sample.seconds
        average.events = average.events * decay + sample.events
        average.turns = average.turns * decay + sample.turns
        if average.events >= MIN_EVENTS:
            self._update_idle(average, max(0.0, now - average.updated))
        average.updated = max(average.updated, now)
        return True

    def _update_idle(self, average: _Average, elapsed: float) -> None:
        pace = average.seconds / average.events
        if pace < average.idle_pace:
            average.idle_pace = pace
        else:
            part = min(1.0, elapsed / IDLE_SECONDS)
            average.idle_pace += part * (pace - average.idle_pace)

    def idle_pace(self, instance: InstanceId) -> float | None:
        """Return the lowest pace of a target lately, as of one that is idle."""
        average = self._averages.get(instance)
        if average is None or math.isinf(average.idle_pace):
            return None
        return average.idle_pace

    def paces(self, now: float) -> dict[InstanceId, float]:
        """Return the seconds for each event of the targets that were used."""
        mean = self._mean_pace
        if mean is None:
            return {}
        paces = {}
        for instance, average in self._averages.items():
            decay = math.exp(-max(0.0, now - average.updated) / AVERAGING_SECONDS)
            events = average.events * decay
            seconds = average.seconds * decay + PRIOR_EVENTS * mean
            paces[instance] = seconds / (events + PRIOR_EVENTS)
        return paces

    @property
    def _mean_pace(self) -> float | None:
        """Return the mean pace of the targets, None if no events were seen."""
        paces = [
            average.seconds / average.events
            for average in self._averages.values()
            if average.events >= MIN_EVENTS
        ]
        return sum(paces) / len(paces) if paces else None

    def idle_paces(self) -> list[float]:
        """Return the paces of all known targets when they are idle."""
        known = (self.idle_pace(name) for name in self._averages)
        return [pace for pace in known if pace is not None]

    @property
    def events_per_turn(self) -> float | None:
        """Return the mean number of events of a turn; None if no turn was seen."""
        turns = sum(average.turns for average in self._averages.values())
        if turns <= 0:
            return None
        events = sum(average.events for average in self._averages.values())
        return events / turns

    def _drop_unused(self, now: float) -> None:
        unused = [
            instance
            for instance, average in self._averages.items()
            if average.updated < now - FORGET_SECONDS
        ]
        for instance in unused:
            self.forget(instance)

    def forget(self, instance: InstanceId) -> None:
        """Drop a target that has left."""
        self._averages.pop(instance, None)


class GapTable:
    """Learn the speed of targets from the shorter gaps between their events.

    The mean pace also depends on the load and the prompts of a target, by which targets
    of the same speed differ.
    """

    def __init__(self) -> None:
        self._gaps: dict[InstanceId, deque[float]] = {}

    def add(self, instance: InstanceId, gaps: Iterable[float]) -> None:
        """Add the seconds between the events of a turn."""
        kept = self._gaps.setdefault(instance, deque(maxlen=MAX_GAPS))
        kept.extend(gap for gap in gaps if gap >= MIN_EVENT_SECONDS)

    def speeds(self) -> dict[InstanceId, float]:
        """Return the seconds for an event of the targets with enough gaps."""
        return {
            instance: sorted(gaps)[int(SPEED_QUANTILE * len(gaps))]
            for instance, gaps in self._gaps.items()
            if len(gaps) >= MIN_GAPS
        }

    def forget(self, instance: InstanceId) -> None:
        """Drop a target that has left."""
        self._gaps.pop(instance, None)


def uneven(paces: Iterable[float]) -> bool:
    """Return whether targets differ so much that it matters which one is used.

    Impossible paces are ignored.
    """
    known = sorted(
        pace for pace in paces if MIN_EVENT_SECONDS <= pace <= MAX_EVENT_SECONDS
    )
    return len(known) >= MIN_TARGETS and known[-1] > UNEVEN_FACTOR * known[0]
