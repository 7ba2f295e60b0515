"""Commands that show, explain and end programs."""

from __future__ import annotations

from datetime import UTC, datetime

import click

from .base import Connection, json_option, pass_connection, table


@click.group()
def program() -> None:
    """Show, explain and end programs; name them WORKSPACE:ID."""


@program.command()
@click.argument("name")
@json_option
@pass_connection
def show(connection: Connection, name: str) -> None:
    """Show what the log says of a program."""
    answer = connection.get(f"/v1/admin/programs/{name}")
    lines = [
        f"program {answer['program']}",
        f"state {answer.get('ended') or 'running'}",
        f"home {answer['home'] or 'none'}, epoch {answer['epoch']}",
        f"calls kept {answer['seq']}",
        f"tokens spent {answer['spent']}, reserved {answer['open_block']}, "
        f"of {answer['spec']['budget']}",
    ]
    lines += [
        f"key {key}: {intent['outcome']} at {intent['executor']}"
        for key, intent in answer["intents"].items()
    ]
    connection.show(answer, lines)


@program.command()
@click.argument("name")
@json_option
@pass_connection
def explain(connection: Connection, name: str) -> None:
    """Show each decision for a program, with its reason."""
    answer = connection.get(f"/v1/admin/programs/{name}/explain")
    rows = []
    for decision in answer["decisions"]:
        time = datetime.fromtimestamp(decision["at"], UTC).strftime("%H:%M:%S.%f")[:-3]
        rows.append([time, decision["part"], decision["choice"], decision["reason"]])
    connection.show(answer, table(rows) or ["no decision is remembered"])


@program.command()
@click.argument("name")
@json_option
@pass_connection
def end(connection: Connection, name: str) -> None:
    """End a program and free what it holds."""
    answer = connection.send(
        lambda: connection.client.request("DELETE", f"/v1/admin/programs/{name}")
    )
    connection.show(answer, [f"ended: {answer['ended']}"])
