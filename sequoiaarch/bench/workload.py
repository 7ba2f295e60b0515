"""Generate seeded workloads for two deployments."""

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
STEP_INTERVAL = 0.003  # seconds that a client takes between steps


class StepKind(Enum):
    """Kind of a step: model call, pause or tool call."""

    CHAT = "say"
    PAUSE = "pause"
    TOOL = "tool"


@dataclass(frozen=True, kw_only=True)
class PlannedStep:
    """One step of a program; `seconds` is the duration of a pause or tool call."""

    kind: StepKind
    prompt_tokens: int = 0
    answer_tokens: int = 0
    seconds: float = 0.0
    non_idempotent: bool = False


@dataclass(frozen=True, kw_only=True)
class PlannedProgram:
    """One program of a workload.

    `start` is in seconds from the start of the workload, `gateway` an index.
    """

    name: str
    start: float
    gateway: int
    interactive: bool
    steps: list[PlannedStep] = field(default_factory=list)

    @property
    def seconds_outside_model(self) -> float:
        """Return the seconds that the program spends in pauses and tool calls."""
        return sum(step.seconds for step in self.steps)


def kunene_deployment() -> Deployment:
    """Return the intake deployment: three data centres on one site."""
    data_centres = ["gate", "bale-yard", "admin-wing"]
    return Deployment(
        name="kunene",
        gateways=[Node(name=f"gateway-{dc}", data_centre=dc) for dc in data_centres],
        engines=[
            Node(name=f"inspection-{number + 1}", data_centre=data_centres[number % 3])
            for number in range(5)
        ],
        services=[
            Node(name=f"desk-{number + 1}", data_centre=data_centres[number])
            for number in range(3)
        ],
        delay=0.0004,
        options=BENCH_ENGINE,
    )


def presupuesto_deployment() -> Deployment:
    """Return the forecasting deployment: four data centres in three cities."""
    data_centres = ["quito-1", "quito-2", "cuenca", "ambato"]
    return Deployment(
        name="presupuesto",
        gateways=[Node(name=f"gateway-{dc}", data_centre=dc) for dc in data_centres],
        engines=[Node(name=f"forecast-{dc}", data_centre=dc) for dc in data_centres],
        services=[Node(name=f"council-{dc}", data_centre=dc) for dc in data_centres],
        delay=0.0013,
        options=BENCH_ENGINE,
    )


def intake_program(rng: random.Random) -> list[PlannedStep]:
    """Return the steps of an intake: short model calls, tools and pauses."""
    steps = [
        PlannedStep(
            kind=StepKind.CHAT, prompt_tokens=900, answer_tokens=rng.randint(30, 70)
        )
    ]
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
                kind=StepKind.CHAT,
                prompt_tokens=rng.randint(120, 500),
                answer_tokens=rng.randint(20, 100),
            )
        )
    steps.append(PlannedStep(kind=StepKind.TOOL, seconds=0.05, non_idempotent=True))
    return steps


def clerk_program(rng: random.Random) -> list[PlannedStep]:
    """Return the steps of a chat with longer prompts and pauses."""
    steps = [
        PlannedStep(
            kind=StepKind.CHAT, prompt_tokens=1500, answer_tokens=rng.randint(40, 120)
        )
    ]
    for _ in range(rng.choice([4, 5, 6, 8])):
        steps.append(PlannedStep(kind=StepKind.PAUSE, seconds=rng.uniform(0.3, 1.5)))
        steps.append(
            PlannedStep(
                kind=StepKind.CHAT,
                prompt_tokens=rng.randint(100, 600),
                answer_tokens=rng.randint(40, 160),
            )
        )
    if rng.random() < 0.5:
        steps.append(PlannedStep(kind=StepKind.TOOL, seconds=0.05, non_idempotent=True))
    return steps


def overnight_program(rng: random.Random) -> list[PlannedStep]:
    """Return the steps of a batch program that no user waits for."""
    steps = [PlannedStep(kind=StepKind.CHAT, prompt_tokens=2500, answer_tokens=200)]
    for _ in range(rng.choice([4, 6])):
        steps.append(PlannedStep(kind=StepKind.TOOL, seconds=0.1))
        steps.append(
            PlannedStep(
                kind=StepKind.CHAT,
                prompt_tokens=400,
                answer_tokens=rng.randint(120, 240),
            )
        )
    return steps


def engine_seconds(steps: list[PlannedStep], options: EngineOptions) -> float:
    """Return the engine time of a program if its prefix is always cached.

    It assumes full batches, which share the time of each step, and counts each
    prompt token once.
    """
    step_seconds = options.step + options.step_share * options.slots
    total = 0.0
    for step in steps:
        if step.kind is StepKind.CHAT:
            group_count = -(-step.answer_tokens // options.group)
            total += group_count * step_seconds / options.slots
            total += step.prompt_tokens / options.prefill_rate
    return total


def plan_programs(
    deployment: Deployment, *, load: float, seconds: float, seed: int
) -> list[PlannedProgram]:
    """Return the programs that arrive within `seconds` at a fraction of capacity."""
    rng = random.Random(f"{deployment.name}-{seed}")
    engines = len(deployment.engines)
    programs: list[PlannedProgram] = []
    start = 0.0
    while True:
        steps, interactive = _next_program(deployment, rng)
        cost = engine_seconds(steps, deployment.options) / engines
        start += rng.expovariate(1.0) * cost / load
        if start >= seconds:
            return programs
        programs.append(
            PlannedProgram(
                name=f"program-{len(programs)}",
                start=start,
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


def make_text(tokens: int, seed: int) -> str:
    """Return a text that the engine stand-in counts as `tokens` tokens."""
    prefix = f"{seed:08x} "
    return (prefix + "x" * (tokens * CHARACTERS_PER_TOKEN))[
        : tokens * CHARACTERS_PER_TOKEN
    ]
