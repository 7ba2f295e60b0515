"""Queue of calls that wait for a slot of the target."""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ..config.documents import PolicySpecification
from ..errors import ErrorKind, Failure, fail
from ..observe.metrics import Metrics
from ..policies.admission import Occupancy, make_admission
from ..policies.order import Ticket, make_order

RECHECK_INTERVAL = 0.25  # seconds
MAX_OVERTAKEN_SECONDS = 2.0
RATE_WINDOW = 20.0  # seconds
MAX_RECENT_STARTS = 256
MIN_RECENT_STARTS = 4


@dataclass(kw_only=True, eq=False)
class _WaitingCall:
    """A queued call and the future that resolves when it gets a slot."""

    ticket: Ticket
    slot_granted: asyncio.Future[None]


class StartRate:
    """Measure the rate at which new programs start at the target."""

    def __init__(self) -> None:
        self._starts: deque[float] = deque(maxlen=MAX_RECENT_STARTS)

    def record_start(self, now: float) -> None:
        """Record the start of a program."""
        self._starts.append(now)

    def expected_wait(self, waiting: int, now: float) -> float:
        """Return the seconds until `waiting` programs will have started.

        Without enough recent starts to estimate a rate, this is 0.
        """
        recent = [start for start in self._starts if start > now - RATE_WINDOW]
        if len(recent) < MIN_RECENT_STARTS:
            return 0.0
        rate = len(recent) / max(now - recent[0], RECHECK_INTERVAL)
        return waiting / rate


class TargetQueue:
    """Grant the slots of the target to waiting calls in order of rank."""

    def __init__(
        self,
        *,
        slots: Callable[[], int],
        occupancy: Callable[[int], Occupancy],
        policy: Callable[[], PolicySpecification],
        limit: int,
        metrics: Metrics,
    ) -> None:
        self._slots = slots
        self._occupancy = occupancy
        self._policy = policy
        self._limit = limit
        self._metrics = metrics
        self._waiting: list[_WaitingCall] = []
        self._running = 0
        self._arrival_numbers = itertools.count()
        self._recheck_timer: asyncio.TimerHandle | None = None
        self._starts = StartRate()

    @property
    def running(self) -> int:
        """Return the number of calls that hold a slot."""
        return self._running

    @property
    def queued(self) -> int:
        """Return the number of waiting calls."""
        return len(self._waiting)

    @property
    def queued_tokens(self) -> int:
        """Return the prompt tokens of the waiting calls."""
        return sum(call.ticket.tokens for call in self._waiting)

    def new_program_refusal(self) -> Failure | None:
        """Return an overload failure if a new program would wait too long.

        New programs are refused first, as running ones have already used engine time
        and occupy memory.
        """
        waiting = sum(not call.ticket.started for call in self._waiting)
        now = asyncio.get_running_loop().time()
        wait = self._starts.expected_wait(waiting, now)
        limit = self._policy().start_wait
        if wait <= limit:
            return None
        return Failure(
            kind=ErrorKind.OVERLOADED,
            reason=(
                f"a new program would wait {wait:.0f} s, the limit is {limit:.0f} s"
            ),
            retry_after=round(wait - limit + 1, 1),
        )

    async def acquire_slot(self, ticket: Ticket) -> None:
        """Wait for a slot, which must be returned with `release_slot`."""
        if len(self._waiting) >= self._limit:
            raise fail(
                ErrorKind.OVERLOADED,
                f"the queue of the target is full with {self._limit} calls",
            )
        loop = asyncio.get_running_loop()
        ticket.number = next(self._arrival_numbers)
        waiting_call = _WaitingCall(ticket=ticket, slot_granted=loop.create_future())
        self._waiting.append(waiting_call)
        self._grant_slots()
        try:
            await waiting_call.slot_granted
        except asyncio.CancelledError:
            if waiting_call in self._waiting:
                self._waiting.remove(waiting_call)
            elif (
                waiting_call.slot_granted.done()
                and not waiting_call.slot_granted.cancelled()
            ):
                self.release_slot()
            raise

    def release_slot(self) -> None:
        """Return a slot."""
        self._running -= 1
        self._grant_slots()

    def _grant_slots(self) -> None:
        policy = self._policy()
        order = make_order(policy.order)
        admission = make_admission(policy.admission)
        now = asyncio.get_running_loop().time()
        self._waiting.sort(
            key=lambda call: (order.rank(call.ticket, now), call.ticket.number)
        )
        for waiting_call in list(self._waiting):
            if self._running >= self._slots():
                break
            if not admission.admits(
                waiting_call.ticket, self._occupancy(self._running)
            ):
                if now - waiting_call.ticket.arrived > MAX_OVERTAKEN_SECONDS:
                    # Smaller calls may overtake a call that does not fit, but only
                    # for a limited time.
                    break
                continue
            self._waiting.remove(waiting_call)
            if not waiting_call.slot_granted.done():
                self._running += 1
                if not waiting_call.ticket.started:
                    self._starts.record_start(now)
                waiting_call.slot_granted.set_result(None)
        self._metrics.queue.set({}, len(self._waiting))
        self._metrics.running.set({}, self._running)
        self._schedule_recheck()

    def _schedule_recheck(self) -> None:
        """Check again later, as memory can become free without a call ending."""
        if not self._waiting or self._running >= self._slots():
            return
        if self._recheck_timer is not None:
            self._recheck_timer.cancel()
        loop = asyncio.get_running_loop()
        self._recheck_timer = loop.call_later(RECHECK_INTERVAL, self._grant_slots)
