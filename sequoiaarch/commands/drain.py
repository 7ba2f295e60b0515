"""Command that drains a target or undoes the drain."""

from __future__ import annotations

import time

import click

from .base import Connection, json_option, pass_connection

POLL_INTERVAL = 0.3  # seconds


@click.command()
@click.argument("target")
@click.option("--undo", is_flag=True, help="Let the target take work again.")
@click.option("--wait", default=60.0, help="Seconds to wait until it is empty.")
@json_option
@pass_connection
def drain(connection: Connection, target: str, undo: bool, wait: float) -> None:
    """Drain a target, or let it take work again."""
    body = {"target": target, "drain": not undo}
    answer = connection.send(
        lambda: connection.client.request("POST", "/v1/admin/drain", body)
    )
    deadline = time.monotonic() + (0 if undo else wait)
    while time.monotonic() < deadline:
        load = answer["load"] or {}
        remaining = load.get("running", 0) + load.get("queued", 0)
        if remaining + load.get("programs", 0) == 0:
            break
        if not connection.as_json:
            text = f"{load.get('programs', 0)} programs and {remaining} calls are left"
            click.echo(text, err=True)
        time.sleep(POLL_INTERVAL)
        targets = connection.get("/v1/admin/targets")["targets"]
        answer = next(one for one in targets if one["name"] == target)
    state = "takes work" if undo else "is drained or draining"
    connection.show(answer, [f"{target} {state}"])
