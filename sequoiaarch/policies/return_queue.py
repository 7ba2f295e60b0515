"""Order the return of programs that were refused."""

from __future__ import annotations

import enum
import heapq
import math
from bisect import bisect_left, insort
from collections import Counter, deque
from collections.abc import Set
from dataclasses import dataclass, field

from ..ids import ProgramId, Workspace

# Seconds after its time within which a refused program keeps its place.
RETURN_MARGIN = 0.4
# How long the first refusal of a program is remembered after its time. Seconds.
REMEMBERED = 3.0
# The shortest and longest time to return, in seconds. Callers can't return sooner than
# a connection takes, and nobody knows the load in the far future.
MIN_RETURN = 0.1
MAX_RETURN = 8.0
# Seconds before its time at which a program that will return counts as due.
RESERVE_AHEAD = 0.1
# Seconds by which callers with coarse timers may return too early.
EARLY_MARGIN = 0.02
# Fraction of a program's slack that may pass before it starts; its turns need the rest.
START_FRACTION = 0.5
# Places per second that are assumed to become free if fewer did: an engine whose
# programs are all long still ends one of them every few seconds.
MIN_RATE = 0.5
# Fraction of the recent grants that each rank gets while it asks, so that callers of
# the least urgent kind see progress. The shares of ten ranks take half of the grants.
MIN_RANK_SHARE = 0.05
# Number of recent grants among which the shares of ranks are counted: enough for
# several grants to each rank.
GRANT_WINDOW = 100
# Fraction of the places that become free that is promised to programs that return.
# Programs that ask for the first time meanwhile get others, and a caller that returns
# before its place is free has used up one of its few attempts.
PROMISED_FRACTION = 0.7
NO_WORKSPACES: frozenset[Workspace | None] = frozenset()


class _State(enum.Enum):
    """Where a refused program is counted."""

    WAITING = enum.auto()
    DUE = enum.auto()
    LATE = enum.auto()
    ABSENT = enum.auto()
    FORGOTTEN = enum.auto()


@dataclass(kw_only=True, eq=False)
class _Refused:
    """A refused program with the time at which it was told to return.

    `number` is that of its first refusal. It can't end in time if it starts after
    `latest`. Its state changes at `change`.
    """

    rank: int
    workspace: Workspace | None
    number: int
    latest: float
    due: float
    state: _State = _State.ABSENT
    change: float = math.inf

    def state_at(self, now: float) -> _State:
        """Return the state at a time."""
        if now >= self.due + REMEMBERED:
            return _State.FORGOTTEN
        if now >= self.due + RETURN_MARGIN:
            return _State.ABSENT
        if now >= self.latest or self.due > self.latest:
            return _State.LATE
        return _State.DUE if now >= self.due - RESERVE_AHEAD else _State.WAITING

    def next_change(self, now: float) -> float:
        """Return when the state changes next."""
        times = (
            self.due - RESERVE_AHEAD,
            self.latest,
            self.due + RETURN_MARGIN,
            self.due + REMEMBERED,
        )
        return min((time for time in times if time > now), default=math.inf)


@dataclass(kw_only=True, eq=False)
class _Group:
    """The numbers of the refused programs of a rank and workspace, sorted.

    `waiting` has those that can end in time, and `due` those of them that return now.
    """

    waiting: list[int] = field(default_factory=list)
    due: list[int] = field(default_factory=list)


class ReturnQueue:
    """Spread the returns of refused programs over the time that places need.

    Programs return by rank, those of a rank by whether their workspace has less than
    its share, and then in the order of their first refusal, as long as they can still
    end in time. Those that can't any more come after them, as otherwise all programs
    would start too late during a long overload. A rank that gets less than its minimum
    share of the grants comes first. Several attempts of a program have one place.

    The cost of a decision grows with the ranks and workspaces that wait, not with
    their programs.
    """

    def __init__(self) -> None:
        self._refused: dict[ProgramId, _Refused] = {}
        self._groups: dict[tuple[int, Workspace | None], _Group] = {}
        # Rank and number of programs that can't end in time, sorted.
        self._late: list[tuple[int, int]] = []
        self._first_refusals = 0
        self._changes: list[tuple[float, int, ProgramId, _Refused]] = []
        self._change_number = 0
        self._granted_ranks: deque[int] = deque()
        self._rank_grants: Counter[int] = Counter()
        # Programs that wait and can still end in time, by workspace.
        self.waiting: Counter[Workspace | None] = Counter()

    def __len__(self) -> int:
        return len(self._refused)

    def refuse(
        self,
        program: ProgramId,
        *,
        rank: int,
        slack: float,
        rate: float,
        now: float,
        workspace: Workspace | None = None,
        busy: Set[Workspace | None] = NO_WORKSPACES,
    ) -> float:
        """Return after how many seconds a program should return.

        `rate` is the number of places that become free each second, `slack` the
        seconds by which the program may end later than on idle engines, and `busy` the
        workspaces that have their share of the placements.
        """
        self.advance(now)
        refused = self._refused.get(program)
        if refused is None:
            # A comparison with NaN is false.
            latest = now + START_FRACTION * slack if slack > 0 else now
            refused = _Refused(
                rank=rank,
                workspace=workspace,
                number=self._first_refusals,
                latest=latest,
                due=now,
            )
            self._first_refusals += 1
            self._refused[program] = refused
        self._move(refused, _State.ABSENT)
        rate = self._promised_rate(refused.rank, rate)
        refused.due = now + _return_time((self._before(refused, busy) + 1) / rate)
        if refused.state_at(now) is _State.LATE:
            late = bisect_left(self._late, (refused.rank, refused.number))
            before = self.waiting.total() + late
            refused.due = now + _return_time((before + 1) / rate)
        self._update(program, refused, now)
        return refused.due - now

    def admit(self, program: ProgramId, *, rank: int | None) -> None:
        """Remove a program that got a place, and count the grant for its rank.

        Without a rank it is a program in progress, which takes no turn of others.
        """
        refused = self._refused.pop(program, None)
        if refused is not None:
            self._move(refused, _State.FORGOTTEN)
        if rank is None:
            return
        self._granted_ranks.append(rank)
        self._rank_grants[rank] += 1
        if len(self._granted_ranks) > GRANT_WINDOW:
            self._rank_grants[self._granted_ranks.popleft()] -= 1

    def is_late(self, program: ProgramId, now: float) -> bool:
        """Return whether a program was refused for too long to end in time."""
        refused = self._refused.get(program)
        return refused is not None and refused.latest <= now

    def reserved(
        self,
        program: ProgramId,
        *,
        rank: int,
        now: float,
        workspace: Workspace | None = None,
        busy: Set[Workspace | None] = NO_WORKSPACES,
    ) -> int:
        """Return how many places are kept for others when a program asks.

        They are kept for all that wait and go before it. A program that returns at its
        time only leaves places for those that are due of more urgent ranks, or of
        workspaces below their share. One that can't end in time leaves places for all
        that still can.
        """
        self.advance(now)
        refused = self._refused.get(program)
        number, returns = self._first_refusals, False
        if refused is not None:
            if refused.latest <= now:
                return self.waiting.total()
            rank, workspace, number = refused.rank, refused.workspace, refused.number
            is_due = refused.state is _State.DUE
            returns = is_due and now >= refused.due - EARLY_MARGIN
        own = self._order(rank, workspace, busy)
        kept = 0
        for key, group in self._groups.items():
            order = self._order(*key, busy)
            if order < own:
                kept += len(group.due if returns else group.waiting)
            elif order == own and not returns:
                kept += bisect_left(group.waiting, number)
        return kept

    def advance(self, now: float) -> None:
        """Update the programs whose time has come or passed."""
        while self._changes and self._changes[0][0] <= now:
            change, _, program, refused = heapq.heappop(self._changes)
            if self._refused.get(program) is refused and refused.change == change:
                self._update(program, refused, now)

    def _promised_rate(self, rank: int, rate: float) -> float:
        """Return the places per second that are left for the returns of a rank.

        Recent grants to more urgent ranks show how many places those will take, unless
        the rank goes before them.
        """
        left = 1.0
        if self._granted_ranks and self._has_minimum(rank):
            grants = self._rank_grants.items()
            ahead = sum(number for other, number in grants if other < rank)
            left -= ahead / len(self._granted_ranks)
        rate *= PROMISED_FRACTION * max(MIN_RANK_SHARE, left)
        # A comparison with NaN is false.
        return rate if MIN_RATE <= rate < math.inf else MIN_RATE

    def _before(self, refused: _Refused, busy: Set[Workspace | None]) -> int:
        """Return how many programs that can end in time return earlier."""
        own = self._order(refused.rank, refused.workspace, busy)
        before = 0
        for key, group in self._groups.items():
            order = self._order(*key, busy)
            if order < own:
                before += len(group.waiting)
            elif order == own:
                before += bisect_left(group.waiting, refused.number)
        return before

    def _order(
        self, rank: int, workspace: Workspace | None, busy: Set[Workspace | None]
    ) -> tuple[bool, int, bool]:
        """Return the order of a rank and workspace; the lowest one goes first."""
        return self._has_minimum(rank), rank, workspace in busy

    def _has_minimum(self, rank: int) -> bool:
        """Return whether a rank got its minimum share of the recent grants."""
        least = math.floor(MIN_RANK_SHARE * len(self._granted_ranks))
        return self._rank_grants[rank] >= least

    def _update(self, program: ProgramId, refused: _Refused, now: float) -> None:
        """Count a program where it belongs, until its next change."""
        state = refused.state_at(now)
        self._move(refused, state)
        if state is _State.FORGOTTEN:
            del self._refused[program]
            return
        refused.change = refused.next_change(now)
        self._change_number += 1
        heapq.heappush(
            self._changes, (refused.change, self._change_number, program, refused)
        )

    def _move(self, refused: _Refused, state: _State) -> None:
        """Move a program from the lists of its state to those of another."""
        key = (refused.rank, refused.workspace)
        if refused.state is _State.LATE:
            del self._late[bisect_left(self._late, (refused.rank, refused.number))]
        elif refused.state in (_State.WAITING, _State.DUE):
            group = self._groups[key]
            del group.waiting[bisect_left(group.waiting, refused.number)]
            if refused.state is _State.DUE:
                del group.due[bisect_left(group.due, refused.number)]
            if not group.waiting:
                del self._groups[key]
            self.waiting[refused.workspace] -= 1
            if not self.waiting[refused.workspace]:
                del self.waiting[refused.workspace]
        refused.state = state
        if state is _State.LATE:
            insort(self._late, (refused.rank, refused.number))
        elif state in (_State.WAITING, _State.DUE):
            group = self._groups.setdefault(key, _Group())
            insort(group.waiting, refused.number)
            if state is _State.DUE:
                insort(group.due, refused.number)
            self.waiting[refused.workspace] += 1


def _return_time(seconds: float) -> float:
    return min(max(seconds, MIN_RETURN), MAX_RETURN)
