"""Command line of the benchmarks and the soak test."""

from __future__ import annotations

import click

from .compare import ARRIVAL_WINDOW, DEPLOYMENTS, EXPERIMENTS, LOADS, run_all, run_one
from .cost import MEASUREMENTS, run_cost
from .large_turns import measure_large_turns
from .soak import run_soak


def parse_loads(text: str) -> tuple[int, ...]:
    """Parse a comma-separated list of loads in percent of capacity."""
    return tuple(int(part) for part in text.split(","))


@click.group()
def main() -> None:
    """Load, measure and disturb the system."""


LOADS_OPTION = click.option(
    "--loads", default=",".join(map(str, LOADS)), help="Percent of capacity."
)
WINDOW_OPTION = click.option(
    "--window", default=ARRIVAL_WINDOW, help="Seconds in which programs arrive."
)


@main.command()
def large_turns() -> None:
    """Measure turns that continue a long history of another program."""
    measure_large_turns()


@main.command()
@LOADS_OPTION
@WINDOW_OPTION
def compare(loads: str, window: float) -> None:
    """Compare our policies with the baselines."""
    run_all("compare", parse_loads(loads), window)


@main.command()
@LOADS_OPTION
@WINDOW_OPTION
def ablate(loads: str, window: float) -> None:
    """Switch each decision alone to its naive version."""
    run_all("ablate", parse_loads(loads), window)


@main.command()
@LOADS_OPTION
@WINDOW_OPTION
def weigh(loads: str, window: float) -> None:
    """Compare the weight of latency at 1 with the weight at 0."""
    run_all("weigh", parse_loads(loads), window)


@main.command()
@click.argument("name", type=click.Choice(sorted(DEPLOYMENTS)))
@click.argument("kind", type=click.Choice(sorted(EXPERIMENTS)))
@LOADS_OPTION
@WINDOW_OPTION
def one(name: str, kind: str, loads: str, window: float) -> None:
    """Run one deployment."""
    run_one(name, kind, parse_loads(loads), window)


@main.command()
@click.argument("parts", nargs=-1, type=click.Choice(MEASUREMENTS))
def cost(parts: tuple[str, ...]) -> None:
    """Measure what the system itself costs."""
    run_cost(parts)


@main.command()
@click.option("--seconds", default=120.0, help="How long to disturb.")
@click.option("--seed", default=1, help="What the disturbances come from.")
def soak(seconds: float, seed: int) -> None:
    """Run programs while processes die, pause and the log goes away."""
    run_soak(seconds, seed)


if __name__ == "__main__":
    main()
