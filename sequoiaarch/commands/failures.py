"""Show failed requests by cause and time, from the logs of gateways."""

from __future__ import annotations

from typing import TextIO

import click

from ..observe.failures import (
    FailureRow,
    count_failures,
    read_requests,
    total_by_cause,
)
from .base import Connection, json_option, pass_connection


@click.command()
@click.argument("logs", type=click.File("r", errors="replace"), nargs=-1, required=True)
@click.option(
    "--span",
    type=click.FloatRange(min=0, min_open=True),
    default=1.0,
    show_default=True,
    help="Seconds that a line of the table covers.",
)
@json_option
@pass_connection
def failures(connection: Connection, logs: tuple[TextIO, ...], span: float) -> None:
    """Show failed requests by cause and time, from LOGS of gateways.

    Lines that are no JSON are passed over. `last` counts the programs whose
    last request failed there: those were given up.
    """
    requests = [one for log in logs for one in read_requests(log)]
    rows = count_failures(requests, span)
    count = sum(row.requests for row in rows)
    total = f"{len(requests)} requests, {count} failed"
    connection.show(rows, [*_table(rows), total])


def _table(rows: list[FailureRow]) -> list[str]:
    lines = [
        f"{'second':>8} {'failed':>6} {'programs':>8} {'last':>4}  cause (example)"
    ]
    for row in rows:
        cause = f"{row.outcome}: {row.reason} ({row.example})"
        lines.append(
            f"{row.start:8.1f} {row.requests:6} {row.programs:8} {row.last:4}  {cause}"
        )
    lines.append("")
    for cause, count in total_by_cause(rows).most_common():
        lines.append(f"{'all':>8} {count:6} {'':>13}  {cause}")
    return lines
