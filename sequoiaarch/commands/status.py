"""Command that shows the state of the system as seen by a gateway."""

from __future__ import annotations

import click

from .base import Connection, json_option, pass_connection


@click.command()
@json_option
@pass_connection
def status(connection: Connection) -> None:
    """Show how a gateway sees the system."""
    answer = connection.get("/v1/admin/status")
    log = "does not answer" if answer["log_away"] else "answers"
    lines = [
        f"gateway on host {answer['host']} in data centre {answer['data_centre']}",
        f"configuration version {answer['config_version']}",
        f"{answer['targets_taking_work']} of {answer['targets']} targets take work",
        f"{answer['open_calls']} calls open",
        f"the log {log}",
    ]
    connection.show(answer, lines)
