"""Command line for operators and callers."""

from __future__ import annotations

import click

from .commands.base import Connection
from .commands.config import config
from .commands.drain import drain
from .commands.engines import engines
from .commands.exposures import exposures
from .commands.failures import failures
from .commands.placements import placements
from .commands.program import program
from .commands.run import run
from .commands.status import status
from .commands.targets import targets


@click.group()
@click.option(
    "--url",
    envvar="SEQUOIAARCH_URL",
    default="http://127.0.0.1:8080",
    show_default=True,
    help="Where a gateway answers.",
)
@click.option(
    "--key", envvar="SEQUOIAARCH_KEY", default="", help="The bearer key to use."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON for machines.")
@click.pass_context
def cli(context: click.Context, url: str, key: str, as_json: bool) -> None:
    """Operate sequoiaarch and run sample programs.

    Exit codes: 0 done, 1 refused or incomplete, 2 invalid input, 3 gateway not
    reachable.
    """
    context.obj = Connection(url=url, key=key, as_json=as_json)


cli.add_command(config)
cli.add_command(drain)
cli.add_command(engines)
cli.add_command(exposures)
cli.add_command(failures)
cli.add_command(placements)
cli.add_command(program)
cli.add_command(run)
cli.add_command(status)
cli.add_command(targets)


if __name__ == "__main__":
    cli()
