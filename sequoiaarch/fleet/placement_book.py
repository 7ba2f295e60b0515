"""Hold which programs run on the engines of a data centre, at their owner."""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from collections.abc import Sequence, Set
from dataclasses import dataclass, field

import msgspec

from ..ids import HostName, InstanceId, ProgramId, Workspace, WriterId
from ..policies.fair_share import max_min_shares
from ..policies.program_placement import (
    EngineState,
    ProgramDemand,
    ProgramPlacement,
    free_placements,
    possible_tokens,
)
from ..policies.return_queue import NO_WORKSPACES, ReturnQueue
from ..wire.messages import ProgramReport

# A process that reports, or its host if it is of a build that doesn't name its process.
# Two processes of one host may report while one replaces the other.
Reporter = HostName | WriterId

# Seconds after which a report no longer counts: its process is lost, and its programs
# continue through others.
REPORT_LIFE = 1.0
# Seconds within which a granted program must appear in a report.
GRANT_LIFE = 0.6
# Seconds for which the engine of a program is known after its last report, as the
# program may go on through another host.
HOME_LIFE = 2.0
# Seconds after the first report within which nothing is refused: not all processes have
# reported their programs yet.
WARM_UP = 0.4
# Window of the rate at which programs get placements, in seconds.
RATE_WINDOW = 2.0
# Placements count as scarce for this time after a refusal, in seconds: programs refused
# before it have returned or given up, as far as fair shares go.
SCARCE_SECONDS = 1.0
# Weight of a host's report in the mean pause.
SMOOTHING = 0.02
# Longer pauses are breaks of the user, not of the program. Seconds.
MAX_PAUSE = 10.0


def possible_pause(pause: float) -> bool:
    """Return whether a mean pause between turns, in seconds, is possible."""
    return 0 <= pause <= MAX_PAUSE


@dataclass(kw_only=True)
class _Entry:
    """A program with the processes that report it.

    `weight` is the probability that it is still in progress.
    `granted_at` is set until the first report that agrees with the grant.
    """

    instance: InstanceId
    tokens: int
    workspace: Workspace | None
    weight: float = 1.0
    ran: bool = False
    reporters: set[Reporter] = field(default_factory=set)
    granted_at: float | None = None

    @property
    def expected_tokens(self) -> int:
        """Return the expected tokens of the prompt while in progress."""
        return round(self.weight * self.tokens)


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """The engine of a program with the expected wait of its turns, in seconds."""

    instance: InstanceId
    wait: float = 0.0
    known: bool = False


class PlacementBook:
    """Assign programs to engines by the reports of all hosts and its own grants.

    A grant counts at once, so that no two programs are given the same room.
    """

    def __init__(self, *, policy: ProgramPlacement) -> None:
        self._policy = policy
        self._entries: dict[ProgramId, _Entry] = {}
        self._reported: dict[Reporter, set[ProgramId]] = {}
        self._reported_at: dict[Reporter, float] = {}
        self._grants: deque[tuple[float, ProgramId]] = deque()
        self._homes: dict[ProgramId, tuple[float, InstanceId]] = {}
        # Times at which programs got a placement to begin.
        self._begun: deque[float] = deque()
        self._programs: Counter[InstanceId] = Counter()
        # Sums of the weights of programs.
        self._expected: defaultdict[InstanceId, float] = defaultdict(float)
        self._tokens: Counter[InstanceId] = Counter()
        self._workspaces: Counter[Workspace | None] = Counter()
        self._refused_at = -math.inf
        self._first_report = math.inf
        self._last_report = -math.inf
        self.returns = ReturnQueue()
        self.pause: float | None = None
        self.idle_pause = math.inf

    def programs(self, instance: InstanceId) -> int:
        """Return the expected number of programs in progress on an engine."""
        return round(self._expected.get(instance, 0.0))

    def tokens(self, instance: InstanceId) -> int:
        """Return the prompt tokens of the programs on an engine."""
        return self._tokens[instance]

    @property
    def mean_tokens(self) -> int:
        """Return the mean prompt of the programs in progress, in tokens."""
        return sum(self._tokens.values()) // max(1, len(self._entries))

    def report(
        self,
        reporter: Reporter,
        programs: Sequence[ProgramReport],
        pause: float | None,
        now: float,
    ) -> None:
        """Replace what a process reported before."""
        if now - self._last_report > REPORT_LIFE:
            self._first_report = now
        self._last_report = now
        before = self._reported.pop(reporter, set())
        self._reported_at.pop(reporter, None)
        names = set()
        for program in programs:
            names.add(program.program)
            self._reported_by(reporter, program, now)
        for name in before - names:
            self._no_longer_reported(reporter, name, now)
        if names:
            self._reported[reporter] = names
            self._reported_at[reporter] = now
        if pause is not None and possible_pause(pause):
            if self.pause is None:
                self.pause = pause
            self.pause += SMOOTHING * (pause - self.pause)
            self.idle_pause = min(self.idle_pause, self.pause)

    def report_age(self, now: float) -> float | None:
        """Return the seconds since the oldest report that counts, if any does."""
        if not self._reported_at:
            return None
        return now - min(self._reported_at.values())

    def warm(self, now: float) -> bool:
        """Return whether all hosts have had time to report."""
        return now - self._first_report >= WARM_UP

    def decide(
        self,
        program: ProgramId,
        demand: ProgramDemand,
        engines: Sequence[EngineState],
        now: float,
    ) -> Decision | None:
        """Return the engine for a program, or None if no engine has room.

        A program that is known stays where it is. Nothing is refused until all hosts
        have had time to report.
        """
        self.expire(now)
        known = self._known_home(program)
        stays = not demand.moves
        if stays and any(engine.instance == known for engine in engines):
            assert known is not None
            return Decision(instance=known, known=True)
        wanted = msgspec.structs.replace(
            demand, tokens=max(demand.tokens, self.mean_tokens)
        )
        if not self.warm(now):
            wanted = msgspec.structs.replace(wanted, in_progress=True)
        if wanted.in_progress:
            engine = self._policy.choose(engines, wanted)
            if engine is None:
                return None
            same = demand.moves and engine.instance == known
            return Decision(instance=engine.instance, known=same)
        if not wanted.refusable:
            return self._choose(engines, wanted)
        reserved = self.returns.reserved(
            program,
            rank=demand.rank,
            workspace=demand.workspace,
            busy=self.busy_workspaces(now),
            now=now,
        )
        if reserved and self.free(engines, wanted, reserved + 1) <= reserved:
            return None
        return self._choose(engines, wanted)

    def _choose(
        self, engines: Sequence[EngineState], demand: ProgramDemand
    ) -> Decision | None:
        engine = self._policy.choose(engines, demand)
        if engine is None:
            return None
        wait = engine.wait_with(engine.programs + 1)
        return Decision(instance=engine.instance, wait=wait)

    def grant(
        self,
        program: ProgramId,
        demand: ProgramDemand,
        instance: InstanceId,
        now: float,
    ) -> None:
        """Count a program on an engine until it is reported or its grant lapses."""
        self.returns.admit(program, rank=None if demand.in_progress else demand.rank)
        self._homes.pop(program, None)
        earlier = self._remove(program)
        self._add(
            program,
            _Entry(
                instance=instance,
                tokens=max(0, demand.tokens),
                workspace=demand.workspace,
                reporters=set() if earlier is None else earlier.reporters,
                ran=earlier is not None and earlier.ran,
                granted_at=now,
            ),
        )
        self._grants.append((now, program))
        if not demand.in_progress:
            self._begun.append(now)

    def counts(self, program: ProgramId) -> bool:
        """Return whether a program counts on an engine."""
        return program in self._entries

    def refuse(self, program: ProgramId, demand: ProgramDemand, now: float) -> float:
        """Return after how many seconds a refused program should return."""
        busy = self.busy_workspaces(now)
        self._refused_at = now
        return self.returns.refuse(
            program,
            rank=demand.rank,
            workspace=demand.workspace,
            busy=busy,
            slack=demand.slack,
            rate=self.rate(now),
            now=now,
        )

    def busy_workspaces(self, now: float) -> Set[Workspace | None]:
        """Return the workspaces that have their share of scarce placements.

        A workspace may ask for one placement more than its programs in progress and
        those that are to retry. Its share is at least one.
        """
        if now - self._refused_at > SCARCE_SECONDS:
            return NO_WORKSPACES
        self.returns.advance(now)
        waiting = self.returns.waiting
        demands = {
            workspace: self._workspaces[workspace] + waiting[workspace] + 1
            for workspace in self._workspaces.keys() | waiting.keys()
        }
        shares = max_min_shares(demands, len(self._entries))
        return {
            workspace
            for workspace, programs in self._workspaces.items()
            if programs >= max(1.0, shares[workspace])
        }

    def free(
        self,
        engines: Sequence[EngineState],
        demand: ProgramDemand,
        limit: int | None = None,
    ) -> int:
        """Return how many more such programs the engines can take, up to a limit."""
        free = 0
        for engine in engines:
            free += free_placements(engine, demand)
            if limit is not None and free >= limit:
                return limit
        return free

    def rate(self, now: float) -> float:
        """Return how many programs get a placement each second.

        More lines of turns than that end, as sub-agents run lines of their own.
        """
        recent = sum(begun_at >= now - RATE_WINDOW for begun_at in self._begun)
        return recent / RATE_WINDOW

    def expire(self, now: float) -> None:
        """Drop lost processes, unused grants, old homes and old ends."""
        for reporter, reported_at in list(self._reported_at.items()):
            if reported_at < now - REPORT_LIFE:
                del self._reported_at[reporter]
                for name in self._reported.pop(reporter, set()):
                    self._no_longer_reported(reporter, name, now)
        while self._grants and self._grants[0][0] < now - GRANT_LIFE:
            granted_at, name = self._grants.popleft()
            entry = self._entries.get(name)
            if entry is not None and entry.granted_at == granted_at:
                self._lapse(name, entry)
        while self._homes:
            name, (ended_at, _) = next(iter(self._homes.items()))
            if ended_at > now - HOME_LIFE:
                break
            del self._homes[name]
        while self._begun and self._begun[0] < now - RATE_WINDOW:
            self._begun.popleft()
        self.returns.advance(now)

    def _lapse(self, name: ProgramId, entry: _Entry) -> None:
        """Drop a grant that no report agreed with.

        No turn was opened with it, so no engine has the prompt, and it does not count
        as the end of a program.
        """
        if entry.granted_at is not None and entry.granted_at in self._begun:
            self._begun.remove(entry.granted_at)
        if entry.reporters:
            entry.granted_at = None
        else:
            self._remove(name)

    def _reported_by(
        self, reporter: Reporter, program: ProgramReport, now: float
    ) -> None:
        self._homes.pop(program.program, None)
        entry = self._entries.get(program.program)
        reporters = set() if entry is None else entry.reporters
        reporters.add(reporter)
        if (
            entry is not None
            and entry.granted_at is not None
            and entry.instance != program.instance
        ):
            # The report may be older than the grant, which moves the program.
            return
        tokens = 0 if entry is None else entry.tokens
        if possible_tokens(program.tokens):
            tokens = program.tokens
        self._remove(program.program)
        self._add(
            program.program,
            _Entry(
                instance=program.instance,
                tokens=tokens,
                workspace=program.workspace,
                weight=program.weight if 0 <= program.weight <= 1 else 1.0,
                ran=program.ran or (entry is not None and entry.ran),
                reporters=reporters,
            ),
        )

    def _no_longer_reported(
        self, reporter: Reporter, name: ProgramId, now: float
    ) -> None:
        entry = self._entries.get(name)
        if entry is None:
            return
        entry.reporters.discard(reporter)
        if not entry.reporters and entry.granted_at is None:
            self._end(name, now)

    def _end(self, name: ProgramId, now: float) -> None:
        entry = self._remove(name)
        # No engine has the prompt of a program that ran nothing, as its caller left or
        # a quota refused it, and it did not make room by its end.
        if entry is not None and entry.ran:
            self._homes.pop(name, None)
            self._homes[name] = (now, entry.instance)

    def _known_home(self, program: ProgramId) -> InstanceId | None:
        entry = self._entries.get(program)
        if entry is not None:
            return entry.instance
        home = self._homes.get(program)
        return home[1] if home is not None else None

    def _add(self, name: ProgramId, entry: _Entry) -> None:
        self._entries[name] = entry
        self._programs[entry.instance] += 1
        self._expected[entry.instance] += entry.weight
        self._tokens[entry.instance] += entry.expected_tokens
        self._workspaces[entry.workspace] += 1

    def _remove(self, name: ProgramId) -> _Entry | None:
        entry = self._entries.pop(name, None)
        if entry is not None:
            self._programs[entry.instance] -= 1
            self._expected[entry.instance] -= entry.weight
            self._tokens[entry.instance] -= entry.expected_tokens
            self._workspaces[entry.workspace] -= 1
            if not self._workspaces[entry.workspace]:
                del self._workspaces[entry.workspace]
            if not self._programs[entry.instance]:
                # Engines that leave must not stay in the counters.
                del self._programs[entry.instance]
                del self._expected[entry.instance]
                del self._tokens[entry.instance]
        return entry
