"""Command that counts failed requests in the logs of gateways."""

from __future__ import annotations

from typing import TextIO

import click

from ..observe.failures import (
    ANSWERED,
    FailureRow,
    Grouping,
    GroupRow,
    count_failures,
    group_failures,
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
@click.option(
    "--by",
    type=click.Choice([one.value for one in Grouping]),
    help="One line for each of these, over all the time of the logs.",
)
@json_option
@pass_connection
def failures(
    connection: Connection, logs: tuple[TextIO, ...], span: float, by: str | None
) -> None:
    """Show failed requests by cause and time, from LOGS of gateways.

    Lines that are no JSON are passed over; what stands before the JSON of a line
    is taken for the gateway's name, or else the name of the log. `last` counts
    the programs whose last request failed there: those were given up.
    """
    requests = [one for log in logs for one in read_requests(log, log.name)]
    failed = sum(one.outcome != ANSWERED for one in requests)
    total = f"{len(requests)} requests, {failed} failed"
    if by is not None:
        groups = group_failures(requests, Grouping(by))
        connection.show(groups, [*_group_lines(groups), total])
        return
    rows = count_failures(requests, span)
    connection.show(rows, [*_row_lines(rows), total])


def _group_lines(rows: list[GroupRow]) -> list[str]:
    headings = ("first", "final", "failed", "gateways", "programs", "last")
    lines = [" ".join(f"{head:>8}" for head in headings) + "  group (example)"]
    for row in rows:
        counts = (row.requests, row.gateways, row.programs, row.last)
        period = f"{row.first:8.1f} {row.final:8.1f}"
        numbers = " ".join(f"{count:8}" for count in counts)
        lines.append(f"{period} {numbers}  {row.group} ({row.example})")
    return lines


def _row_lines(rows: list[FailureRow]) -> list[str]:
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
