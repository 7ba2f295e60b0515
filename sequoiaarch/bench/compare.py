"""Compare the default policies with baselines on seeded workloads."""

from __future__ import annotations

import statistics
import subprocess
import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from .cluster import Cluster, Deployment
from .driver import ProgramResult, run_workload
from .workload import kunene_deployment, plan_programs, presupuesto_deployment

LOADS = (60, 85, 105)  # percent of capacity
SEED = 11
ARRIVAL_WINDOW = 7.0  # seconds
OURS = "ours"  # the policies under test
RESULTS_DIRECTORY = Path("results")
DEPLOYMENTS = {"kunene": kunene_deployment, "presupuesto": presupuesto_deployment}
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


LATENCY_WEIGHT_POLICIES: dict[str, dict[str, Any]] = {
    "weight_0": {"latency_weight": 0.0},
    OURS: {"latency_weight": 1.0},
}
EXPERIMENTS = {
    "compare": CONTENDERS,
    "ablate": ABLATIONS,
    "weigh": LATENCY_WEIGHT_POLICIES,
}


class Figures(msgspec.Struct, kw_only=True):
    """Measurements of one run; times in seconds."""

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
    """Value of one metric relative to a baseline, None if it can't be compared."""

    deployment: str
    load: int
    baseline: str
    metric: str
    value: float | None


def percentile(values: list[float], fraction: float) -> float:
    """Return the value at a quantile, 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def summarise(
    deployment: str, load: int, contender: str, results: list[ProgramResult]
) -> Figures:
    """Summarise the results of one run."""
    problems = [
        f"{result.name}: {result.problem}" for result in results if result.problem
    ]
    finished = [
        result for result in results if not result.problem and not result.refused
    ]
    latencies = [result.latency for result in finished]
    first_tokens = [value for result in finished for value in result.first_tokens]
    return Figures(
        deployment=deployment,
        load=load,
        contender=contender,
        programs=len(results),
        finished=len(finished),
        refused=sum(result.refused for result in results),
        problems=problems[:20],
        program_latency_mean=statistics.fmean(latencies) if latencies else 0.0,
        program_latency_p50=percentile(latencies, 0.5),
        program_latency_p95=percentile(latencies, 0.95),
        program_latency_p99=percentile(latencies, 0.99),
        first_token_p50=percentile(first_tokens, 0.5),
        first_token_p95=percentile(first_tokens, 0.95),
        wasted_cache_tokens=sum(result.uncached_tokens for result in finished),
        prompt_tokens=sum(result.prompt_tokens for result in finished),
        worst_slowdown=max((result.slowdown for result in finished), default=0.0),
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
    """Return each metric relative to each baseline; None if a run had problems."""
    own_run = next(run for run in runs if run.contender == OURS)
    result = []
    for baseline_run in runs:
        if baseline_run.contender == OURS:
            continue
        comparable = not own_run.problems and not baseline_run.problems
        for metric in METRICS:
            baseline_value = getattr(baseline_run, metric)
            value = (
                getattr(own_run, metric) / baseline_value
                if comparable and baseline_value
                else None
            )
            result.append(
                Ratio(
                    deployment=own_run.deployment,
                    load=own_run.load,
                    baseline=baseline_run.contender,
                    metric=metric,
                    value=None if value is None else round(value, 4),
                )
            )
    return result


def set_policy(cluster: Cluster, policy: dict[str, Any]) -> None:
    """Publish a default policy and wait until all gateways have applied it."""
    latency_weight = LATENCY_WEIGHTS[cluster.deployment.name]
    spec = {"latency_weight": latency_weight, **policy}
    document = {"kind": "Policy", "name": "default", "selector": {}, "spec": spec}
    cluster.publish([document], wait_applied=True)


def run_deployment(
    deployment: Deployment,
    contenders: dict[str, dict[str, Any]],
    loads: tuple[int, ...],
    window: float,
    seed: int = SEED,
) -> list[Figures]:
    """Run each policy at each load on one cluster."""
    cluster = Cluster(deployment=deployment)
    runs = []
    try:
        cluster.start()
        for load in loads:
            programs = plan_programs(
                deployment, load=load / 100, seconds=window, seed=seed
            )
            for name, policy in contenders.items():
                set_policy(cluster, policy)
                results = run_workload(cluster, programs, f"{name}-{load}-{seed}")
                figures = summarise(deployment.name, load, name, results)
                runs.append(figures)
                _print_progress(figures)
    finally:
        cluster.stop()
    return runs


def _print_progress(figures: Figures) -> None:
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


def run_all(experiment: str, loads: tuple[int, ...], window: float) -> None:
    """Run an experiment on all deployments at once and print the ratios.

    Exit with code 1 if a run fails.
    """
    RESULTS_DIRECTORY.mkdir(exist_ok=True)
    processes = []
    for name in DEPLOYMENTS:
        command = [sys.executable, "-m", "sequoiaarch.bench", "one", name, experiment]
        command += ["--window", str(window), "--loads", ",".join(map(str, loads))]
        processes.append(subprocess.Popen(command))
    exit_codes = [process.wait() for process in processes]
    runs: list[Figures] = []
    for name in DEPLOYMENTS:
        path = RESULTS_DIRECTORY / f"{experiment}-{name}.json"
        if path.exists():
            runs += msgspec.json.decode(path.read_bytes(), type=list[Figures])
    for name in DEPLOYMENTS:
        for load in loads:
            group = [run for run in runs if (run.deployment, run.load) == (name, load)]
            if not group:
                continue
            for ratio in ratios(group):
                click.echo(msgspec.json.encode(ratio).decode())
    if any(exit_codes):
        sys.exit(1)


def run_one(name: str, experiment: str, loads: tuple[int, ...], window: float) -> None:
    """Run an experiment on one deployment and write a file with its figures."""
    runs = run_deployment(DEPLOYMENTS[name](), EXPERIMENTS[experiment], loads, window)
    RESULTS_DIRECTORY.mkdir(exist_ok=True)
    path = RESULTS_DIRECTORY / f"{experiment}-{name}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(runs)))
