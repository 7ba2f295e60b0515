"""Command line entry point of the daemon."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from ..config.settings import Settings, load_settings
from ..config.validation import InvalidDocument
from ..observe.logs import set_up_logs
from .run import run_daemon

EXIT_INVALID = 2


def _load_or_exit(path: Path) -> Settings:
    try:
        return load_settings(path)
    except InvalidDocument as error:
        for problem in error.problems:
            click.echo(f"{path}: {problem}", err=True)
        sys.exit(EXIT_INVALID)


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=Path, dir_okay=False),
    help="The file with the daemon's settings, JSON with comments.",
)
@click.option("--check", is_flag=True, help="Validate the settings and exit.")
def main(path: Path, check: bool) -> None:
    """Run the sequoiaarch daemon."""
    settings = _load_or_exit(path)
    if check:
        click.echo(f"{path}: valid, role {settings.role.value}")
        return
    set_up_logs(settings.logging)
    run_daemon(settings)


if __name__ == "__main__":
    main()
