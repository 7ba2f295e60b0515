"""Compare our policies with the baselines on one seeded workload."""

from __future__ import annotations

import statistics
import subprocess
import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from .cluster import Cluster, Deployment
from .driver import ProgramResult, drive
from .workload import kunene, plan, presupuesto

LOADS = (60, 85, 105)
SEED = 11
WINDOW = 7.0
OURS = "ours"
RESULTS = Path("results")
DEPLOYMENTS = {"kunene": kunene, "presupuesto": presupuesto}
LATENCY_WEIGHTS = {"kunene": 0.9, "presupuesto": 0.2}

NAIVE: dict[str, Any] = {
    "order": "first_come",
    "retention": "engine",
    "admission": "open",
}
CONTENDERS: dict[str, dict[str, Any]] = {
    "random": {"placement": "random", **NAIVE},
    "least_loaded": {"placement": "least_loaded", **NAIVE},
    "sticky": {"placement": "sticky", **NAIVE},
    OURS: {},
}
ABLATIONS: dict[str, dict[str, Any]] = {
    "placement": {"placement": "sticky"},
    "order": {"order": "first_come"},
    "retention": {"retention": "engine"},
    "admission": {"admission": "open"},
    OURS: {},
}


WEIGHTS: dict[str, dict[str, Any]] = {
    "weight_0": {"latency_weight": 0.0},
    OURS: {"latency_weight": 1.0},
}
KINDS = {"compare": CONTENDERS, "ablate": ABLATIONS, "weigh": WEIGHTS}


class Figures(msgspec.Struct, kw_only=True):
    """Hold the absolute figures of one run; times in seconds."""

    deployment: str
    load: int
    contender: str
    programs: int
    finished: int
    refused: int
    problems: list[str]
    program_latency_mean: float = 0.0
    program_latency_p50: float = 0.0
    program_latency_p95: float = 0.0
    program_latency_p99: float = 0.0
    first_token_p50: float = 0.0
    first_token_p95: float = 0.0
    wasted_cache_tokens: int = 0
    prompt_tokens: int = 0
    worst_slowdown: float = 0.0


class Ratio(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one line of output: ours over a baseline."""

    deployment: str
    load: int
    baseline: str
    metric: str
    value: float | None


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def figures_of(
    deployment: str, load: int, contender: str, results: list[ProgramResult]
) -> Figures:
    """Return the figures of one run."""
    problems = [f"{one.name}: {one.problem}" for one in results if one.problem]
    done = [one for one in results if not one.problem and not one.refused]
    latencies = [one.latency for one in done]
    firsts = [value for one in done for value in one.first_tokens]
    return Figures(
        deployment=deployment,
        load=load,
        contender=contender,
        programs=len(results),
        finished=len(done),
        refused=sum(one.refused for one in results),
        problems=problems[:20],
        program_latency_mean=statistics.fmean(latencies) if latencies else 0.0,
        program_latency_p50=percentile(latencies, 0.5),
        program_latency_p95=percentile(latencies, 0.95),
        program_latency_p99=percentile(latencies, 0.99),
        first_token_p50=percentile(firsts, 0.5),
        first_token_p95=percentile(firsts, 0.95),
        wasted_cache_tokens=sum(one.wasted for one in done),
        prompt_tokens=sum(one.prompt for one in done),
        worst_slowdown=max((one.slowdown for one in done), default=0.0),
    )


METRICS = (
    "program_latency_mean",
    "program_latency_p50",
    "program_latency_p95",
    "program_latency_p99",
    "first_token_p95",
    "wasted_cache_tokens",
)


def ratios(runs: list[Figures]) -> list[Ratio]:
    """Return ours over each other contender; None where a run went wrong."""
    ours = next(one for one in runs if one.contender == OURS)
    found = []
    for other in runs:
        if other.contender == OURS:
            continue
        sound = not ours.problems and not other.problems
        for metric in METRICS:
            below = getattr(other, metric)
            value = getattr(ours, metric) / below if sound and below else None
            found.append(
                Ratio(
                    deployment=ours.deployment,
                    load=ours.load,
                    baseline=other.contender,
                    metric=metric,
                    value=None if value is None else round(value, 4),
                )
            )
    return found


def set_policy(fleet: Cluster, policy: dict[str, Any]) -> None:
    """Switch all processes to a policy by publishing it."""
    weight = LATENCY_WEIGHTS[fleet.deployment.name]
    spec = {"latency_weight": weight, **policy}
    document = {"kind": "Policy", "name": "default", "selector": {}, "spec": spec}
    fleet.publish([document], wait_ready=True)


def run_deployment(
    deployment: Deployment,
    contenders: dict[str, dict[str, Any]],
    loads: tuple[int, ...],
    window: float,
    seed: int = SEED,
) -> list[Figures]:
    """Run all contenders at all loads on one fleet."""
    fleet = Cluster(deployment=deployment)
    found = []
    try:
        fleet.start()
        for load in loads:
            planned = plan(deployment, load=load / 100, seconds=window, seed=seed)
            for name, policy in contenders.items():
                set_policy(fleet, policy)
                results = drive(fleet, planned, f"{name}-{load}-{seed}")
                figures = figures_of(deployment.name, load, name, results)
                found.append(figures)
                _progress(figures)
    finally:
        fleet.stop()
    return found


def _progress(figures: Figures) -> None:
    click.echo(
        f"{figures.deployment} {figures.load} % {figures.contender}: "
        f"{figures.finished} of {figures.programs} programs, "
        f"{figures.refused} refused, {len(figures.problems)} problems, "
        f"mean {figures.program_latency_mean:.2f} s, "
        f"p95 {figures.program_latency_p95:.2f} s, "
        f"worst slowdown {figures.worst_slowdown:.1f}, "
        f"wasted {figures.wasted_cache_tokens} of {figures.prompt_tokens} tokens",
        err=True,
    )


def run_all(kind: str, loads: tuple[int, ...], window: float) -> None:
    """Run both deployments beside each other and print their ratios."""
    RESULTS.mkdir(exist_ok=True)
    children = []
    for name in DEPLOYMENTS:
        command = [sys.executable, "-m", "sequoiaarch.bench", "one", name, kind]
        command += ["--window", str(window), "--loads", ",".join(map(str, loads))]
        children.append(subprocess.Popen(command))
    codes = [child.wait() for child in children]
    runs: list[Figures] = []
    for name in DEPLOYMENTS:
        path = RESULTS / f"{kind}-{name}.json"
        if path.exists():
            runs += msgspec.json.decode(path.read_bytes(), type=list[Figures])
    for name in DEPLOYMENTS:
        for load in loads:
            group = [one for one in runs if (one.deployment, one.load) == (name, load)]
            if not group:
                continue
            for ratio in ratios(group):
                click.echo(msgspec.json.encode(ratio).decode())
    if any(codes):
        sys.exit(1)


def run_one(name: str, kind: str, loads: tuple[int, ...], window: float) -> None:
    """Run one deployment and leave its figures in the results folder."""
    runs = run_deployment(DEPLOYMENTS[name](), KINDS[kind], loads, window)
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{kind}-{name}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(runs)))
