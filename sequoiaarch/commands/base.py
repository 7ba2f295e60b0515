"""Share what the commands need: connection, output and exit codes."""

from __future__ import annotations

import sys
from collections.abc import Callable
from enum import IntEnum
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click
import msgspec
import urllib3

from ..client import Client, ClientError
from ..config.documents import AnyDocument, parse_documents
from ..config.validation import InvalidDocument, load_jsonc

T = TypeVar("T")


class ExitCode(IntEnum):
    """List the exit codes of all commands."""

    DONE = 0
    REFUSED = 1
    INVALID = 2
    UNREACHABLE = 3


class Connection:
    """Hold how to reach a gateway and how to print."""

    def __init__(self, *, url: str, key: str, as_json: bool) -> None:
        self.as_json = as_json
        self._client = Client(url=url, key=key)

    @property
    def client(self) -> Client:
        """Return the client of the gateway."""
        return self._client

    def ask(self, work: Callable[[], T]) -> T:
        """Run a request, or exit with the reason why it failed."""
        try:
            return work()
        except ClientError as error:
            if self.as_json:
                click.echo(msgspec.json.encode(error.body).decode())
            click.echo(f"refused: {error}", err=True)
            sys.exit(ExitCode.REFUSED)
        except urllib3.exceptions.HTTPError as error:
            click.echo(f"the gateway does not answer: {error}", err=True)
            sys.exit(ExitCode.UNREACHABLE)

    def get(self, path: str) -> Any:
        """Get a JSON answer."""
        return self.ask(lambda: self._client.request("GET", path))

    def show(self, value: Any, lines: list[str]) -> None:
        """Print an answer for a machine or a person."""
        if self.as_json:
            click.echo(msgspec.json.encode(value).decode())
            return
        for line in lines:
            click.echo(line)


pass_connection = click.make_pass_decorator(Connection)


def json_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the option that asks for JSON."""

    def set_json(context: click.Context, _: click.Parameter, value: bool) -> None:
        if value:
            context.ensure_object(Connection).as_json = True

    return click.option(
        "--json",
        is_flag=True,
        expose_value=False,
        callback=set_json,
        help="Print JSON for machines.",
    )(command)


def fail_invalid(source: str, error: InvalidDocument) -> NoReturn:
    """Print every problem of a document and exit."""
    for problem in error.problems:
        click.echo(f"{source}: {problem}", err=True)
    sys.exit(ExitCode.INVALID)


def read_documents(paths: tuple[Path, ...]) -> list[AnyDocument]:
    """Return the documents of all files, or exit with every problem."""
    found: list[AnyDocument] = []
    failed = False
    for path in paths:
        try:
            found.extend(parse_documents(load_jsonc(path)))
        except InvalidDocument as error:
            failed = True
            for problem in error.problems:
                click.echo(f"{path}: {problem}", err=True)
    if failed:
        sys.exit(ExitCode.INVALID)
    return found


def table(rows: list[list[str]]) -> list[str]:
    """Return rows as lines with aligned columns."""
    if not rows:
        return []
    widths = [max(len(row[place]) for row in rows) for place in range(len(rows[0]))]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return lines
