"""Assign programs to the engines of one data centre."""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Mapping

import logbook
import msgspec

from ..ids import DataCentre, InstanceId, ProgramId, ServiceName
from ..policies.pace import PaceTable
from ..policies.program_placement import (
    LEAST_URGENT,
    EngineState,
    LeastExpectedTurn,
    ProgramDemand,
    possible_tokens,
)
from ..wire.messages import (
    LoadReported,
    LoadReportRequest,
    PlaceProgramRequest,
    ProgramPlaced,
)
from .impossible_figures import ImpossibleFigures
from .placement_book import PlacementBook, possible_pause

log = logbook.Logger("placement")

# Seconds for which the free placements of another data centre are believed.
FREE_LIFE = 0.6
# Programs are sent to another data centre if their turns would wait longer than this
# here: several times the network delay that each turn has there. Seconds.
REDIRECT_WAIT = 0.02
# Time from the end of prefill to the first event on an idle engine, in seconds.
FIRST_EVENT_SECONDS = 0.05
# First guesses of a turn on an idle engine and the pause after it, in seconds.
INITIAL_TURN_SECONDS = 0.25
INITIAL_PAUSE = 0.2
# Fraction by which a tight deadline of a program exceeds its time on idle engines.
SLACK_FRACTION = 0.2
# The longest wait of a turn, whatever the deadline: engines that are as full have no
# room for programs that arrive in bursts. Seconds.
MAX_WAIT = 0.15
# Fraction of the allowed wait for programs that have waited too long to end in time.
# They get engines whose turns hardly wait, so that there is room after a burst for
# programs that can still end in time.
LATE_FRACTION = 0.1
# More free placements than the engines of a data centre have.
MAX_FREE = 1_000_000
# Interval of the log lines that describe the engines, in seconds.
LOG_INTERVAL = 1.0


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an engine that takes programs; `cache_tokens` is 0 if unknown."""

    instance: InstanceId
    data_centre: DataCentre
    slots: int
    cache_tokens: int


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of an engine, for metrics; `pace` in seconds for each event, if known."""

    instance: InstanceId
    programs: int
    free: int
    pace: float | None


class Outcome(enum.Enum):
    """What an owner decided about a program that it gave no placement.

    Another owner had sent a declined program, and decides when it may retry.
    """

    REFUSED = "refused"
    REDIRECTED = "redirected"
    DECLINED = "declined"


class OwnerDecision(msgspec.Struct, frozen=True, kw_only=True):
    """A decision about a program that got no placement, with what it was based on.

    `demand` has the allowed wait of each turn, `programs` and `engines` are those of
    the service, and `age` is that of the oldest report that counted, if any did.
    `rate` is the number of programs that begin each second, and `to_retry` of those
    that are to retry. A redirected program is sent to `centre`, which had
    `centre_free` free placements by a report of the age `centre_age`. In seconds.
    """

    request: PlaceProgramRequest
    demand: ProgramDemand
    outcome: Outcome
    programs: int
    engines: int
    to_retry: int
    rate: float
    age: float | None
    retry_after: float | None = None
    centre: DataCentre | None = None
    centre_free: int | None = None
    centre_age: float | None = None

    @property
    def reason(self) -> str:
        """Return why there was no room, as callers are told."""
        return (
            f"{self.programs} programs on {self.engines} engines, allowed wait"
            f" {self.demand.max_wait * 1000:.0f} ms, {self.to_retry} are to retry"
        )


class EngineOwner:
    """Assign programs to engines by the reports of all hosts.

    The owner has no authority. Two owners at once, or none, only place programs worse.
    """

    def __init__(
        self,
        *,
        data_centre: DataCentre,
        engines: Callable[[ServiceName], list[Engine]],
    ) -> None:
        self._data_centre = data_centre
        self._engines = engines
        self.book = PlacementBook(policy=LeastExpectedTurn())
        self.paces = PaceTable()
        self._services: set[ServiceName] = set()
        # Free placements of other data centres, with the time of the report.
        self._elsewhere: dict[DataCentre, tuple[float, int]] = {}
        self._impossible = ImpossibleFigures()
        self._logged_at = -math.inf
        self.granted = 0
        self.refused = 0
        self.redirected = 0
        # Called with each decision about a program that got no placement here.
        self.on_decision: Callable[[OwnerDecision], None] | None = None

    def place(self, request: PlaceProgramRequest, now: float) -> ProgramPlaced:
        """Return an engine, another data centre, or when to retry."""
        service = request.demand.service
        states = self.states(service, now)
        if not states:
            centre = self._least_loaded_centre(request, now)
            if centre is not None:
                demand = self._possible(request.demand)
                self._redirect(request, demand, states, centre, now)
            return ProgramPlaced(centre=centre)
        self._services.add(service)
        demand = self._possible(request.demand)
        demand = self._with_allowed_wait(request.program, demand, now)
        decision = self.book.decide(request.program, demand, states, now)
        if decision is not None and decision.known:
            if not self.book.counts(request.program):
                resumed = msgspec.structs.replace(demand, in_progress=True)
                self.book.grant(request.program, resumed, decision.instance, now)
            return ProgramPlaced(instance=decision.instance)
        if decision is None or decision.wait > REDIRECT_WAIT:
            centre = self._least_loaded_centre(request, now)
            if centre is not None:
                self.redirected += 1
                self._redirect(request, demand, states, centre, now)
                return ProgramPlaced(centre=centre)
        if decision is None:
            return self._refuse(request, demand, states, now)
        self.granted += 1
        self.book.grant(request.program, demand, decision.instance, now)
        return ProgramPlaced(instance=decision.instance)

    def report(self, request: LoadReportRequest, now: float) -> LoadReported:
        """Apply the report of a host and return the pace of the engines."""
        if request.centre is not None and request.centre != self._data_centre:
            if 0 <= request.free <= MAX_FREE:
                self._elsewhere[request.centre] = (now, request.free)
            else:
                self._impossible.ignore(
                    request.host, "number of free placements", request.free
                )
            return LoadReported()
        reporter = request.process or request.host
        self.book.report(reporter, request.programs, request.pause, now)
        for sample in request.paces:
            if not self.paces.add(sample, now):
                self._impossible.ignore(request.host, "pace", sample)
        if request.pause is not None and not possible_pause(request.pause):
            self._impossible.ignore(request.host, "pause", request.pause)
        for program in request.programs:
            if not possible_tokens(program.tokens):
                self._impossible.ignore(
                    request.host, "number of tokens", program.tokens
                )
        return LoadReported(paces=self.paces.paces(now))

    def expire(self, now: float) -> None:
        """Drop what no report confirms, also while this host is not the owner."""
        self.book.expire(now)

    def free(self, now: float) -> int:
        """Return how many programs the engines can take without waits."""
        return sum(load.free for load in self.loads(now))

    def loads(self, now: float) -> list[EngineLoad]:
        """Return the load of the engines of all services that programs asked for."""
        self.book.expire(now)
        paces = self.paces.paces(now)
        loads = []
        for service in sorted(self._services):
            demand = ProgramDemand(
                service=service, max_wait=REDIRECT_WAIT, tokens=self.book.mean_tokens
            )
            loads += [
                EngineLoad(
                    instance=state.instance,
                    programs=state.programs,
                    free=self.book.free([state], demand),
                    pace=paces.get(state.instance),
                )
                for state in self.states(service, now)
            ]
        return loads

    def states(self, service: ServiceName, now: float) -> list[EngineState]:
        """Return the engines of this data centre with their load."""
        paces = self.paces.paces(now)
        events = self.paces.events_per_turn
        states = []
        for engine in self._engines(service):
            if engine.data_centre != self._data_centre:
                continue
            if engine.slots < 1:
                self._impossible.ignore(
                    engine.instance, "number of slots", engine.slots
                )
                continue
            states.append(self._state(engine, paces, events))
        return states

    def log_load(self, now: float) -> None:
        """Write a log line about the engines of each service, at most once a second."""
        if now - self._logged_at < LOG_INTERVAL:
            return
        self._logged_at = now
        for service in self._services:
            states = self.states(service, now)
            log.info(
                "engines of {}: {} programs with {} tokens on {}; turns take {} ms,"
                " {:.1f} programs begin each second, {} are to retry; {} granted,"
                " {} refused, {} redirected so far",
                service,
                [state.programs for state in states],
                [state.tokens for state in states],
                [state.instance for state in states],
                [round(state.turn * 1000) for state in states],
                self.book.rate(now),
                len(self.book.returns),
                self.granted,
                self.refused,
                self.redirected,
            )

    def _refuse(
        self,
        request: PlaceProgramRequest,
        demand: ProgramDemand,
        states: list[EngineState],
        now: float,
    ) -> ProgramPlaced:
        if request.sent_from is not None and request.sent_from != self._data_centre:
            # The owner that sent it decides when it may retry.
            if self.on_decision is not None:
                self.on_decision(
                    self._decision(request, demand, states, Outcome.DECLINED, now)
                )
            return ProgramPlaced()
        self.refused += 1
        retry_after = self.book.refuse(request.program, demand, now)
        decision = self._decision(request, demand, states, Outcome.REFUSED, now)
        decision = msgspec.structs.replace(decision, retry_after=retry_after)
        if self.on_decision is not None:
            self.on_decision(decision)
        return ProgramPlaced(retry_after=retry_after, reason=decision.reason)

    def _redirect(
        self,
        request: PlaceProgramRequest,
        demand: ProgramDemand,
        states: list[EngineState],
        centre: DataCentre,
        now: float,
    ) -> None:
        """Pass on that a program was sent to another data centre."""
        if self.on_decision is None:
            return
        decision = self._decision(request, demand, states, Outcome.REDIRECTED, now)
        reported_at, free = self._elsewhere[centre]
        self.on_decision(
            msgspec.structs.replace(
                decision,
                centre=centre,
                # The one that this program uses is already taken off.
                centre_free=free + 1,
                centre_age=now - reported_at,
            )
        )

    def _decision(
        self,
        request: PlaceProgramRequest,
        demand: ProgramDemand,
        states: list[EngineState],
        outcome: Outcome,
        now: float,
    ) -> OwnerDecision:
        return OwnerDecision(
            request=request,
            demand=demand,
            outcome=outcome,
            programs=sum(state.programs for state in states),
            engines=len(states),
            to_retry=len(self.book.returns),
            rate=self.book.rate(now),
            age=self.book.report_age(now),
        )

    def _possible(self, demand: ProgramDemand) -> ProgramDemand:
        """Return a demand in which impossible figures count as absent."""
        impossible = demand.impossible()
        for figure, value in impossible.items():
            self._impossible.ignore(
                f"a caller of service {demand.service}", figure, value
            )
        if demand.rank > LEAST_URGENT or "rank" in impossible:
            demand = msgspec.structs.replace(demand, rank=LEAST_URGENT)
        absent: dict[str, float | None] = {
            "max_wait": MAX_WAIT,
            "tokens": 0,
            "left": None,
            "latency_target": 0.0,
        }
        changes = {name: absent[name] for name in impossible if name in absent}
        return msgspec.structs.replace(demand, **changes) if changes else demand

    def _state(
        self,
        engine: Engine,
        paces: Mapping[InstanceId, float],
        events: float | None,
    ) -> EngineState:
        pace = paces.get(engine.instance)
        idle = self.paces.idle_pace(engine.instance)
        turn, slowdown = INITIAL_TURN_SECONDS, 0.0
        if events is not None and pace is not None:
            turn = FIRST_EVENT_SECONDS + events * pace
            if idle is not None:
                slowdown = max(0.0, events * (pace - idle))
        return EngineState(
            instance=engine.instance,
            slots=engine.slots,
            cache_tokens=engine.cache_tokens,
            programs=self.book.programs(engine.instance),
            tokens=self.book.tokens(engine.instance),
            turn=turn,
            pause=INITIAL_PAUSE if self.book.pause is None else self.book.pause,
            slowdown=slowdown,
        )

    def _with_allowed_wait(
        self, program: ProgramId, demand: ProgramDemand, now: float
    ) -> ProgramDemand:
        """Return a demand with the wait of each turn that its deadline allows.

        The number of turns is estimated from the time to the deadline.
        """
        if demand.left is None:
            return msgspec.structs.replace(demand, slack=math.inf)
        left = max(0.0, demand.left)
        idle = self._idle_cycle()
        turns = max(1.0, left / idle)
        allowed = SLACK_FRACTION * idle + demand.latency_target / turns
        allowed = min(MAX_WAIT, allowed)
        if not left or self.book.returns.is_late(program, now):
            allowed *= LATE_FRACTION
        idle_time = max(0.0, left - demand.latency_target) / (1 + SLACK_FRACTION)
        slack = left - idle_time
        return msgspec.structs.replace(demand, max_wait=allowed, slack=slack)

    def _idle_cycle(self) -> float:
        """Return the seconds of a turn and a pause on idle engines."""
        events = self.paces.events_per_turn
        paces = self.paces.idle_paces()
        pause = self.book.idle_pause
        if events is None or not paces or math.isinf(pause):
            return INITIAL_TURN_SECONDS + INITIAL_PAUSE
        return FIRST_EVENT_SECONDS + events * sum(paces) / len(paces) + pause

    def _least_loaded_centre(
        self, request: PlaceProgramRequest, now: float
    ) -> DataCentre | None:
        """Return the data centre with the most free placements, and use up one."""
        if request.redirected:
            return None
        free = {
            centre: count
            for centre, (at, count) in self._elsewhere.items()
            if at > now - FREE_LIFE and count > 0
        }
        if not free:
            return None
        centre = max(free, key=free.__getitem__)
        self._elsewhere[centre] = (self._elsewhere[centre][0], free[centre] - 1)
        return centre
