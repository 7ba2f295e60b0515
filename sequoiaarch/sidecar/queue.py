"""Hold calls back until the target has a slot for them."""

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

RECHECK = 0.25
PASSED_BY_LIMIT = 2.0
RATE_WINDOW = 20.0
STARTS_KEPT = 256
STARTS_NEEDED = 4


@dataclass(kw_only=True, eq=False)
class _Waiting:
    """Hold a ticket until it is called up."""

    ticket: Ticket
    called: asyncio.Future[None]


class StartRate:
    """Measure how many programs start at the target in a second."""

    def __init__(self) -> None:
        self._starts: deque[float] = deque(maxlen=STARTS_KEPT)

    def note(self, now: float) -> None:
        """Count one start."""
        self._starts.append(now)

    def wait_for(self, waiting: int, now: float) -> float:
        """Return the seconds until so many programs will have started."""
        recent = [start for start in self._starts if start > now - RATE_WINDOW]
        if len(recent) < STARTS_NEEDED:
            return 0.0
        rate = len(recent) / max(now - recent[0], RECHECK)
        return waiting / rate


class TargetQueue:
    """Call up waiting calls by rank while the target has slots."""

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
        self._waiting: list[_Waiting] = []
        self._running = 0
        self._numbers = itertools.count()
        self._timer: asyncio.TimerHandle | None = None
        self._starts = StartRate()

    @property
    def running(self) -> int:
        """Return the calls that hold a slot."""
        return self._running

    @property
    def queued(self) -> int:
        """Return the calls that wait."""
        return len(self._waiting)

    @property
    def queued_tokens(self) -> int:
        """Return the prompt tokens of the calls that wait."""
        return sum(one.ticket.tokens for one in self._waiting)

    def refusal_of_new(self) -> Failure | None:
        """Return why a new program should go away, if it would wait too long.

        New programs are refused before calls of running ones, since those
        have work and memory in the system already.
        """
        waiting = sum(not one.ticket.started for one in self._waiting)
        now = asyncio.get_running_loop().time()
        wait = self._starts.wait_for(waiting, now)
        limit = self._policy().start_wait
        if wait <= limit:
            return None
        return Failure(
            kind=ErrorKind.OVERLOADED,
            reason=f"a new program would wait {wait:.0f} s here, over {limit:.0f} s",
            retry_after=round(wait - limit + 1, 1),
        )

    async def enter(self, ticket: Ticket) -> None:
        """Wait for a slot; `leave` must follow."""
        if len(self._waiting) >= self._limit:
            raise fail(
                ErrorKind.OVERLOADED,
                f"{self._limit} calls wait at the target already",
            )
        loop = asyncio.get_running_loop()
        ticket.number = next(self._numbers)
        waiting = _Waiting(ticket=ticket, called=loop.create_future())
        self._waiting.append(waiting)
        self._call_up()
        try:
            await waiting.called
        except asyncio.CancelledError:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
            elif waiting.called.done() and not waiting.called.cancelled():
                self.leave()
            raise

    def leave(self) -> None:
        """Give a slot back."""
        self._running -= 1
        self._call_up()

    def _call_up(self) -> None:
        policy = self._policy()
        order = make_order(policy.order)
        admission = make_admission(policy.admission)
        now = asyncio.get_running_loop().time()
        self._waiting.sort(
            key=lambda one: (order.rank(one.ticket, now), one.ticket.number)
        )
        for waiting in list(self._waiting):
            if self._running >= self._slots():
                break
            if not admission.admits(waiting.ticket, self._occupancy(self._running)):
                if now - waiting.ticket.arrived > PASSED_BY_LIMIT:
                    # Smaller calls may pass one that does not fit, but not
                    # for ever.
                    break
                continue
            self._waiting.remove(waiting)
            if not waiting.called.done():
                self._running += 1
                if not waiting.ticket.started:
                    self._starts.note(now)
                waiting.called.set_result(None)
        self._metrics.queue.set({}, len(self._waiting))
        self._metrics.running.set({}, self._running)
        self._recheck_later()

    def _recheck_later(self) -> None:
        """Look again later, since memory may fall free without a call ending."""
        if not self._waiting or self._running >= self._slots():
            return
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(RECHECK, self._call_up)
