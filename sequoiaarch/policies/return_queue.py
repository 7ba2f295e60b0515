"""Order the return of programs that were refused."""

from __future__ import annotations

from dataclasses import dataclass

from ..ids import ProgramId

# Seconds after its time within which a refused program keeps its place.
RETURN_MARGIN = 0.4
# How long the first refusal of a program is remembered after its time. Seconds.
REMEMBERED = 3.0
# The shortest and longest time to return, in seconds. Callers can't return sooner than
# a connection takes, and nobody knows the load in the far future.
MIN_RETURN = 0.1
MAX_RETURN = 8.0
# Seconds before its time at which a place is kept for a program that will return.
RESERVE_AHEAD = 0.1
# Fraction of a program's slack that may pass before it starts; its turns need the rest.
START_FRACTION = 0.5
MIN_RATE = 0.5


@dataclass(kw_only=True)
class _Refused:
    """A refused program with the time at which it was told to return.

    It can't end in time any more after `latest`.
    """

    rank: int
    since: float
    latest: float
    due: float


class ReturnQueue:
    """Spread the returns of refused programs over the time that places need.

    Programs return by rank, and those of a rank in the order of their first refusal, as
    long as they can still end in time. Those that can't any more come after them, as
    otherwise all programs would start too late during a long overload. Several attempts
    of a program have one place.
    """

    def __init__(self) -> None:
        self._refused: dict[ProgramId, _Refused] = {}

    def __len__(self) -> int:
        return len(self._refused)

    def refuse(
        self, program: ProgramId, *, rank: int, slack: float, rate: float, now: float
    ) -> float:
        """Return after how many seconds a program should return.

        `rate` is the number of places that become free each second, and `slack` the
        seconds by which the program may end later than on idle engines.
        """
        self._drop_expired(now)
        latest = now + START_FRACTION * slack
        refused = self._refused.setdefault(
            program, _Refused(rank=rank, since=now, latest=latest, due=now)
        )
        own = self._order(refused, now)
        before = sum(
            other.due + RETURN_MARGIN >= now and self._order(other, now) < own
            for other in self._refused.values()
        )
        wait = (before + 1) / max(rate, MIN_RATE)
        wait = min(max(wait, MIN_RETURN), MAX_RETURN)
        refused.due = now + wait
        return wait

    def admit(self, program: ProgramId) -> None:
        """Remove a program that got a place."""
        self._refused.pop(program, None)

    def is_late(self, program: ProgramId, now: float) -> bool:
        """Return whether a program was refused for too long to end in time."""
        refused = self._refused.get(program)
        return refused is not None and refused.latest < now

    def reserved(self, program: ProgramId, *, rank: int, now: float) -> int:
        """Return how many places are kept for others when a program asks."""
        self._drop_expired(now)
        refused = self._refused.get(program)
        own = (False, rank, now) if refused is None else self._order(refused, now)
        return sum(
            now - RETURN_MARGIN <= other.due <= now + RESERVE_AHEAD
            and other.latest >= now
            and self._order(other, now) < own
            for name, other in self._refused.items()
            if name != program
        )

    def _order(self, refused: _Refused, now: float) -> tuple[bool, int, float]:
        return refused.latest < now, refused.rank, refused.since

    def _drop_expired(self, now: float) -> None:
        for program, refused in list(self._refused.items()):
            if refused.due + REMEMBERED < now:
                del self._refused[program]
