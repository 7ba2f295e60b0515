"""Make the seeded workloads of both deployments."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from ..standins.engine import CHARACTERS_PER_TOKEN, EngineOptions
from .cluster import MODEL, Deployment, Node

BENCH_ENGINE = EngineOptions(
    model=MODEL,
    slots=8,
    cache_tokens=24_000,
    host_tokens=96_000,
    prefill_rate=20_000.0,
    prefill_chunk=1_024,
    step=0.010,
    step_share=0.0005,
    group=4,
    import_rate=200_000.0,
    load_lag=0.5,
    event_lag=0.5,
)
CLIENT_DELAY = 0.003


class StepKind(Enum):
    """Name what a program does next."""

    SAY = "say"
    PAUSE = "pause"
    TOOL = "tool"


@dataclass(frozen=True, kw_only=True)
class PlannedStep:
    """Plan one step; tokens of prompt and answer, seconds of pause or tool."""

    kind: StepKind
    prompt: int = 0
    answer: int = 0
    seconds: float = 0.0
    once: bool = False


@dataclass(frozen=True, kw_only=True)
class PlannedProgram:
    """Plan one program; `start` is in seconds after the load begins."""

    name: str
    start: float
    gateway: int
    interactive: bool
    steps: list[PlannedStep] = field(default_factory=list)

    @property
    def pauses(self) -> float:
        """Return the seconds that the program itself spends."""
        return sum(step.seconds for step in self.steps)


def kunene() -> Deployment:
    """Return the intake deployment at its size."""
    yard = ["gate", "bale-yard", "admin-wing"]
    return Deployment(
        name="kunene",
        gateways=[Node(name=f"gateway-{dc}", data_centre=dc) for dc in yard],
        engines=[
            Node(name=f"inspection-{number + 1}", data_centre=yard[number % 3])
            for number in range(5)
        ],
        services=[
            Node(name=f"desk-{number + 1}", data_centre=yard[number])
            for number in range(3)
        ],
        delay=0.0004,
        options=BENCH_ENGINE,
    )


def presupuesto() -> Deployment:
    """Return the forecasting deployment at its size."""
    towns = ["quito-1", "quito-2", "cuenca", "ambato"]
    return Deployment(
        name="presupuesto",
        gateways=[Node(name=f"gateway-{dc}", data_centre=dc) for dc in towns],
        engines=[Node(name=f"forecast-{dc}", data_centre=dc) for dc in towns],
        services=[Node(name=f"council-{dc}", data_centre=dc) for dc in towns],
        delay=0.0013,
        options=BENCH_ENGINE,
    )


def intake_program(rng: random.Random) -> list[PlannedStep]:
    """Return the steps of one load at the weighbridge."""
    steps = [PlannedStep(kind=StepKind.SAY, prompt=900, answer=rng.randint(30, 70))]
    for _ in range(rng.choice([3, 4, 4, 5, 7])):
        if rng.random() < 0.5:
            steps.append(
                PlannedStep(kind=StepKind.TOOL, seconds=rng.uniform(0.05, 0.4))
            )
        else:
            steps.append(
                PlannedStep(kind=StepKind.PAUSE, seconds=rng.uniform(0.1, 0.8))
            )
        steps.append(
            PlannedStep(
                kind=StepKind.SAY,
                prompt=rng.randint(120, 500),
                answer=rng.randint(20, 100),
            )
        )
    steps.append(PlannedStep(kind=StepKind.TOOL, seconds=0.05, once=True))
    return steps


def clerk_program(rng: random.Random) -> list[PlannedStep]:
    """Return the steps of one long planning chat."""
    steps = [PlannedStep(kind=StepKind.SAY, prompt=1500, answer=rng.randint(40, 120))]
    for _ in range(rng.choice([4, 5, 6, 8])):
        steps.append(PlannedStep(kind=StepKind.PAUSE, seconds=rng.uniform(0.3, 1.5)))
        steps.append(
            PlannedStep(
                kind=StepKind.SAY,
                prompt=rng.randint(100, 600),
                answer=rng.randint(40, 160),
            )
        )
    if rng.random() < 0.5:
        steps.append(PlannedStep(kind=StepKind.TOOL, seconds=0.05, once=True))
    return steps


def overnight_program(rng: random.Random) -> list[PlannedStep]:
    """Return the steps of one scenario run, which nobody waits for."""
    steps = [PlannedStep(kind=StepKind.SAY, prompt=2500, answer=200)]
    for _ in range(rng.choice([4, 6])):
        steps.append(PlannedStep(kind=StepKind.TOOL, seconds=0.1))
        steps.append(
            PlannedStep(kind=StepKind.SAY, prompt=400, answer=rng.randint(120, 240))
        )
    return steps


def engine_seconds(steps: list[PlannedStep], options: EngineOptions) -> float:
    """Return the engine time of a program whose prefix is always cached.

    Decoding shares each step among a full batch; every prompt token is
    computed once.
    """
    step = options.step + options.step_share * options.slots
    total = 0.0
    for one in steps:
        if one.kind is StepKind.SAY:
            groups = -(-one.answer // options.group)
            total += groups * step / options.slots
            total += one.prompt / options.prefill_rate
    return total


def plan(
    deployment: Deployment, *, load: float, seconds: float, seed: int
) -> list[PlannedProgram]:
    """Return the programs that arrive within a time at a share of capacity."""
    rng = random.Random(f"{deployment.name}-{seed}")
    engines = len(deployment.engines)
    programs: list[PlannedProgram] = []
    due = 0.0
    while True:
        steps, interactive = _next_program(deployment, rng)
        cost = engine_seconds(steps, deployment.options) / engines
        due += rng.expovariate(1.0) * cost / load
        if due >= seconds:
            return programs
        programs.append(
            PlannedProgram(
                name=f"program-{len(programs)}",
                start=due,
                gateway=rng.randrange(len(deployment.gateways)),
                interactive=interactive,
                steps=steps,
            )
        )


def _next_program(
    deployment: Deployment, rng: random.Random
) -> tuple[list[PlannedStep], bool]:
    if deployment.name == "kunene":
        return intake_program(rng), True
    if rng.random() < 0.25:
        return overnight_program(rng), False
    return clerk_program(rng), True


def text_of(tokens: int, seed: int) -> str:
    """Return a text that the stand-in counts as so many tokens."""
    head = f"{seed:08x} "
    return (head + "x" * (tokens * CHARACTERS_PER_TOKEN))[
        : tokens * CHARACTERS_PER_TOKEN
    ]
