"""Command that shows the targets and their load."""

from __future__ import annotations

import click

from .base import Connection, json_option, pass_connection, table


@click.command()
@json_option
@pass_connection
def targets(connection: Connection) -> None:
    """Show the targets and their load."""
    answer = connection.get("/v1/admin/targets")
    rows = [["TARGET", "DATA CENTRE", "HOST", "SERVES", "STATE", "RUNNING", "QUEUED"]]
    for entry in answer["targets"]:
        load = entry["load"] or {}
        state = "takes work" if entry["takes_work"] else "avoided"
        if load.get("draining"):
            state = "draining"
        if not entry["answers"]:
            state = "silent"
        rows.append(
            [
                entry["name"],
                entry["data_centre"],
                entry["host"],
                entry["model"] or entry["service"] or "",
                state,
                f"{load.get('running', '-')}/{load.get('slots', '-')}",
                str(load.get("queued", "-")),
            ]
        )
    connection.show(answer, table(rows))
