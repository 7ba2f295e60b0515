"""Command that runs a sample program as its caller."""

from __future__ import annotations

from pathlib import Path

import click

from ..config.validation import InvalidDocument
from ..samples.runner import ScriptRunner
from ..samples.script import load_script
from .base import Connection, fail_invalid, json_option, pass_connection


@click.command()
@click.argument("path", type=click.Path(path_type=Path, dir_okay=False))
@json_option
@pass_connection
def run(connection: Connection, path: Path) -> None:
    """Run a sample program as its caller; the key is a caller's."""
    try:
        script = load_script(path)
    except InvalidDocument as error:
        fail_invalid(str(path), error)
    lines: list[str] = []
    write_line = lines.append if connection.as_json else click.echo
    runner = ScriptRunner(
        client=connection.client, script=script, write_line=write_line
    )
    name = connection.send(runner.run)
    answer = {"program": name, "trace_id": runner.trace_id, "lines": lines}
    connection.show(answer, [f"trace {runner.trace_id}"])
