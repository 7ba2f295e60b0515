"""Show the targets and their load."""

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
    for one in answer["targets"]:
        load = one["load"] or {}
        state = "takes work" if one["takes_work"] else "avoided"
        if load.get("draining"):
            state = "draining"
        if not one["answers"]:
            state = "silent"
        rows.append(
            [
                one["name"],
                one["data_centre"],
                one["host"],
                one["model"] or one["service"] or "",
                state,
                f"{load.get('running', '-')}/{load.get('slots', '-')}",
                str(load.get("queued", "-")),
            ]
        )
    connection.show(answer, table(rows))
