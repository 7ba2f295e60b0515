"""Offer the measurements as commands."""

from __future__ import annotations

import click

from .compare import DEPLOYMENTS, LOADS, WINDOW, run_all, run_one


def parse_loads(text: str) -> tuple[int, ...]:
    """Return loads in percent of capacity."""
    return tuple(int(part) for part in text.split(","))


@click.group()
def main() -> None:
    """Load, measure and disturb the system."""


LOADS_OPTION = click.option(
    "--loads", default=",".join(map(str, LOADS)), help="Percent of capacity."
)
WINDOW_OPTION = click.option(
    "--window", default=WINDOW, help="Seconds in which programs arrive."
)


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
@click.argument("name", type=click.Choice(sorted(DEPLOYMENTS)))
@click.argument("kind", type=click.Choice(["compare", "ablate"]))
@LOADS_OPTION
@WINDOW_OPTION
def one(name: str, kind: str, loads: str, window: float) -> None:
    """Run one deployment."""
    run_one(name, kind, parse_loads(loads), window)


if __name__ == "__main__":
    main()
