"""Simulate gateways, engines and callers of programs in virtual time."""

from __future__ import annotations

import functools
import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import logbook

from ...fleet.engine_owner import Engine, EngineOwner
from ...fleet.placement_book import PlacementBook
from ...fleet.program_table import ProgramTable
from ...ids import (
    DataCentre,
    HostName,
    InstanceId,
    ProgramId,
    ServiceName,
    Workspace,
)
from ...policies.pace import PaceSample
from ...policies.program_placement import FewestPrograms, ProgramDemand
from ...wire.messages import LoadReportRequest, PlaceProgramRequest, ProgramReport

SERVICE = ServiceName("model")
CENTRE = DataCentre("east")
ENGINES, SLOTS, CACHE_TOKENS, GATEWAYS = 8, 6, 45_935, 5
REPORT_INTERVAL = 0.2
# Seconds to the first event, events of a turn and seconds for each on an idle engine.
FIRST_EVENT, EVENTS, EVENT_SECONDS = 0.05, 20, 0.01
TURN = FIRST_EVENT + EVENTS * EVENT_SECONDS
PAUSE = 0.2
# Tokens of the first prompt, those that each turn adds, and prompt tokens an engine
# processes per second for one request.
FIRST_TOKENS, TURN_TOKENS, PREFILL_RATE = 3_000, 300, 15_000
TURNS = range(3, 13)
MEAN_TURNS = sum(TURNS) / len(TURNS)
MAX_ATTEMPTS = 6
# One workspace starts as many programs as all others together.
WORKSPACES = [Workspace(f"workspace-{number}") for number in range(8)]
WORKSPACE_WEIGHTS = [7, 1, 1, 1, 1, 1, 1, 1]
RANKS = (0, 1, 2)
# Fraction of slots in use above which turns wait longer than the deadlines allow, with
# and without admission control.
SLOT_USE = 0.75
CAPACITY = SLOT_USE * ENGINES * SLOTS / (MEAN_TURNS * TURN)
# Time until which programs arrive, and seconds for which the last ones may run.
END, LAST = 20.0, 5.0


@dataclass(kw_only=True, eq=False)
class Program:
    """A program of a caller, with its deadline and what became of it."""

    name: ProgramId
    workspace: Workspace
    rank: int
    turns: int
    arrived: float
    deadline: float
    gateway: int
    done: int = 0
    attempts: int = 0
    ended: float | None = None

    @property
    def tokens(self) -> int:
        """Return the prompt of the next turn, in tokens."""
        return FIRST_TOKENS + TURN_TOKENS * self.done

    @property
    def in_time(self) -> bool:
        """Return whether the program ended by its deadline."""
        return self.ended is not None and self.ended <= self.deadline


@dataclass(kw_only=True, eq=False)
class ReplayedEngine:
    """An engine that processes a prompt again when its cache has lost it."""

    running: int = 0
    waiting: deque[Program] = field(default_factory=deque)
    cached: OrderedDict[ProgramId, int] = field(default_factory=OrderedDict)
    programs: set[Program] = field(default_factory=set)

    def prefill(self, program: Program) -> float:
        """Return the seconds until the prompt is cached, and evict the oldest ones."""
        lost = program.name not in self.cached
        new = program.tokens - self.cached.pop(program.name, 0)
        self.cached[program.name] = program.tokens
        while sum(self.cached.values()) > CACHE_TOKENS and len(self.cached) > 1:
            self.cached.popitem(last=False)
        first = program.done == 0
        return new / PREFILL_RATE if lost and not first else 0.0


class Replay:
    """Run gateways, engines and callers against an owner of engines."""

    def __init__(
        self, rate: Callable[[float], float], *, naive: bool = False, seed: int = 7
    ) -> None:
        self.rng = random.Random(seed)
        self.rate = rate
        self.now = 0.0
        self.events: list[tuple[float, float, Callable[[], None]]] = []
        self.programs: list[Program] = []
        self.overfilled = 0
        # Programs that could end in time and returned at their time, and those of them
        # that got a placement.
        self.returned = self.returned_granted = 0
        names = [InstanceId(f"engine-{number}") for number in range(ENGINES)]
        self.engines = {name: ReplayedEngine() for name in names}
        described = [
            Engine(
                instance=name,
                data_centre=CENTRE,
                slots=SLOTS,
                cache_tokens=CACHE_TOKENS,
            )
            for name in names
        ]
        self.owner = EngineOwner(data_centre=CENTRE, engines=lambda _: described)
        if naive:
            self.owner.book = PlacementBook(policy=FewestPrograms())
        self.tables = [ProgramTable() for _ in range(GATEWAYS)]
        self.samples: list[list[PaceSample]] = [[] for _ in range(GATEWAYS)]
        for gateway in range(GATEWAYS):
            self.after(REPORT_INTERVAL * gateway / GATEWAYS, self.report, gateway)
        self.after(0.5, self.arrive)
        with logbook.NullHandler():
            while self.events and self.now < END + LAST:
                self.now, _, event = heapq.heappop(self.events)
                event()

    def after(self, delay: float, event: Callable[..., None], *args: object) -> None:
        """Call a function later."""
        call: Callable[[], None] = functools.partial(event, *args)
        heapq.heappush(self.events, (self.now + delay, self.rng.random(), call))

    def report(self, gateway: int) -> None:
        """Send the load report of a gateway."""
        table = self.tables[gateway]
        programs = [
            ProgramReport(
                program=name,
                instance=program.home,
                tokens=program.tokens,
                workspace=program.workspace,
            )
            for name, program in table.active(self.now).items()
            if program.home is not None
        ]
        request = LoadReportRequest(
            host=HostName(f"gateway-{gateway}"),
            programs=programs,
            paces=self.samples[gateway],
            pause=table.pause,
        )
        self.samples[gateway] = []
        self.owner.report(request, self.now)
        self.after(REPORT_INTERVAL, self.report, gateway)

    def arrive(self) -> None:
        """Start a program, and the next one later."""
        turns = self.rng.choice(TURNS)
        program = Program(
            name=ProgramId(f"program-{len(self.programs)}"),
            workspace=self.rng.choices(WORKSPACES, WORKSPACE_WEIGHTS)[0],
            rank=self.rng.choice(RANKS),
            turns=turns,
            arrived=self.now,
            deadline=self.now + 1.2 * (turns * (TURN + PAUSE) - PAUSE) + 0.4,
            gateway=self.rng.randrange(GATEWAYS),
        )
        self.programs.append(program)
        self.ask(program)
        if self.now < END:
            self.after(self.rng.expovariate(self.rate(self.now)), self.arrive)

    def ask(self, program: Program) -> None:
        """Ask for a placement, and again at the time that the owner gives."""
        program.attempts += 1
        demand = ProgramDemand(
            service=SERVICE,
            max_wait=0.12,
            tokens=program.tokens,
            left=program.deadline - self.now,
            latency_target=0.4,
            rank=program.rank,
            workspace=program.workspace,
        )
        request = PlaceProgramRequest(program=program.name, demand=demand)
        late = self.owner.book.returns.is_late(program.name, self.now)
        placed = self.owner.place(request, self.now)
        if program.attempts > 1 and not late and program.deadline > self.now:
            self.returned += 1
            self.returned_granted += placed.instance is not None
        if placed.instance is not None:
            engine = self.engines[placed.instance]
            engine.programs.add(program)
            tokens = sum(other.tokens for other in engine.programs)
            self.overfilled += tokens > CACHE_TOKENS
            self.open_turn(program, placed.instance)
        elif placed.retry_after is not None and program.attempts < MAX_ATTEMPTS:
            self.after(placed.retry_after, self.ask, program)

    def open_turn(self, program: Program, instance: InstanceId) -> None:
        """Queue a turn at the engine of its program."""
        self.tables[program.gateway].turn_opened(
            program.name,
            root=program.name,
            workspace=program.workspace,
            service=SERVICE,
            home=instance,
            tokens=program.tokens,
            now=self.now,
        )
        self.engines[instance].waiting.append(program)
        self.run_next(instance)

    def run_next(self, instance: InstanceId) -> None:
        """Run waiting turns while slots are free."""
        engine = self.engines[instance]
        while engine.waiting and engine.running < SLOTS:
            program = engine.waiting.popleft()
            engine.running += 1
            seconds = EVENTS * EVENT_SECONDS * self.rng.uniform(0.7, 1.3)
            prefill = engine.prefill(program)
            sample = PaceSample(instance=instance, seconds=seconds, events=EVENTS)
            self.samples[program.gateway].append(sample)
            duration = prefill + FIRST_EVENT + seconds
            self.after(duration, self.end_turn, program, instance)

    def end_turn(self, program: Program, instance: InstanceId) -> None:
        """End a turn, and its program after the last one."""
        engine = self.engines[instance]
        engine.running -= 1
        program.done += 1
        self.tables[program.gateway].turn_ended(
            program.name, ran_at=instance, now=self.now
        )
        if program.done < program.turns:
            pause = PAUSE * self.rng.uniform(0.5, 1.5)
            self.after(pause, self.open_turn, program, instance)
        else:
            program.ended = self.now
            engine.programs.discard(program)
        self.run_next(instance)

    def goodput(self, start: float, end: float) -> float:
        """Return the programs per second that end in time."""
        in_time = [program.ended for program in self.programs if program.in_time]
        return sum(start <= (at or 0.0) < end for at in in_time) / (end - start)
