"""Command that explains placements and refusals from the logs of gateways."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import UTC, datetime
from typing import TextIO

import click
import msgspec

from ..observe.failures import NO_WORKSPACE
from ..observe.placements import (
    DecisionEntry,
    PlacementLog,
    RequestEntry,
    Result,
    WorkspaceRow,
)
from .base import Connection, json_option, pass_connection, table

WORKSPACE_HEADINGS = [
    "WORKSPACE",
    "PLACED",
    "REFUSED",
    "NOT PLACED",
    "NO OWNER",
    "MEAN REFUSALS",
    "LONGEST WAIT (PROGRAM)",
]


@click.command()
@click.argument("logs", type=click.File("r", errors="replace"), nargs=-1, required=True)
@click.option("--program", help="Show the history of the program with this id.")
@json_option
@pass_connection
def placements(
    connection: Connection, logs: tuple[TextIO, ...], program: str | None
) -> None:
    """Show why programs waited or were refused, from LOGS of gateways.

    With --program, its requests and the decisions of owners of engines about it, by
    time. A request stands at its start. Times are those of the gateways' clocks, in
    UTC.

    Without it, a line for each workspace: the programs that got a placement, those
    with a refusal, those of them that did not start in these logs, and those that
    started without an owner's answer. For the placed programs follow the mean number
    of refusals before, and the longest time from the first refusal to the placement.
    """
    log = PlacementLog(program=program)
    for file in logs:
        log.read(file, file.name)
    if program is not None:
        _show_history(connection, log, program)
    else:
        rows = log.by_workspace()
        lines = table([WORKSPACE_HEADINGS, *map(_workspace_cells, rows)])
        _show(connection, rows, lines if rows else ["no program was placed or refused"])
    if log.unreadable:
        click.echo(f"{log.unreadable} lines can't be read", err=True)
    if log.omitted:
        click.echo(f"{log.omitted} lines were omitted by the gateways", err=True)


def _show(
    connection: Connection, rows: Iterable[msgspec.Struct], lines: Iterable[str]
) -> None:
    """Print rows as JSON, one a line, or else the lines."""
    if connection.as_json:
        lines = (msgspec.json.encode(row).decode() for row in rows)
    for line in lines:
        click.echo(line)


def _show_history(connection: Connection, log: PlacementLog, program: str) -> None:
    entries = log.history()
    cells = [
        [
            _time(entry.time),
            _printable(entry.gateway),
            _printable(entry.workspace or NO_WORKSPACE),
            _printable(_request_text(entry))
            if isinstance(entry, RequestEntry)
            else _printable(_decision_text(entry)),
        ]
        for entry in entries
    ]
    lines = table(cells) or [f"no line of these logs is about program {program}"]
    _show(connection, entries, lines)


def _request_text(entry: RequestEntry) -> str:
    parts = [f"request {entry.id}"]
    if entry.after_refusal is not None:
        text = f"returned {entry.after_refusal:.3f} s after the refusal"
        if entry.after_retry_time is not None:
            side = "after" if entry.after_retry_time >= 0 else "before"
            text += f", {abs(entry.after_retry_time):.3f} s {side} its retry time"
        parts.append(text)
    if entry.result is Result.PLACED:
        parts.append(f"placed on {entry.engine} by {entry.owner}")
    elif entry.result is Result.STAYS:
        parts.append(f"stays on {entry.engine}")
    elif entry.result is Result.NO_OWNER:
        parts.append("not placed, no owner of engines answered")
    reason = f" ({entry.reason})" if entry.reason else ""
    parts.append(
        f"{entry.outcome} with {entry.status} after {entry.milliseconds:.1f} ms{reason}"
    )
    if entry.retry_after is not None:
        parts.append(f"retry in {entry.retry_after:.2f} s")
    return "; ".join(parts)


def _decision_text(entry: DecisionEntry) -> str:
    to = f" to {entry.centre}" if entry.centre is not None else ""
    parts = [f"owner {entry.owner}: {entry.decision}{to}"]
    if entry.sent_from is not None:
        parts.append(f"sent from {entry.sent_from}")
    parts.append(f"{entry.programs} programs on {entry.engines} engines")
    if entry.max_wait is not None:
        parts.append(f"allowed wait {entry.max_wait * 1000:.0f} ms")
    parts.append(f"{entry.to_retry} to retry, {entry.rate} begin each second")
    if entry.age is not None:
        parts.append(f"reports up to {entry.age:.2f} s old")
    if entry.centre_age is not None:
        parts.append(
            f"{entry.centre_free} free there as of {entry.centre_age:.2f} s before"
        )
    if entry.retry_after is not None:
        parts.append(f"retry in {entry.retry_after:.2f} s")
    return "; ".join(parts)


def _workspace_cells(row: WorkspaceRow) -> list[str]:
    wait = "-"
    if row.longest_wait is not None:
        wait = f"{row.longest_wait:.3f} s ({row.longest})"
    mean = "-" if row.mean_refusals is None else f"{row.mean_refusals:.2f}"
    counts = (row.placed, row.refused, row.not_placed, row.no_owner)
    cells = [row.workspace, *map(str, counts), mean, wait]
    return [_printable(cell) for cell in cells]


def _time(seconds: float) -> str:
    """Return a time in UTC, with milliseconds."""
    text = datetime.fromtimestamp(max(0.0, seconds), UTC).isoformat(
        sep=" ", timespec="milliseconds"
    )
    return text.removesuffix("+00:00")


def _printable(text: str) -> str:
    """Replace characters that could control a terminal; callers choose some ids."""
    return "".join(one if one.isprintable() else "?" for one in text)
