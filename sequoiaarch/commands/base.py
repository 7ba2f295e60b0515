"""Connection, output and exit codes of the commands."""

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
    """Exit codes of all commands; INCOMPLETE has the value of REFUSED."""

    DONE = 0
    REFUSED = 1
    INCOMPLETE = 1
    INVALID = 2
    UNREACHABLE = 3


class Connection:
    """Connection to a gateway and the format of the output."""

    def __init__(self, *, url: str, key: str, as_json: bool) -> None:
        self.as_json = as_json
        self._client = Client(url=url, key=key)

    @property
    def client(self) -> Client:
        """Return the client of the gateway."""
        return self._client

    def send(self, request: Callable[[], T]) -> T:
        """Send a request and return its result; print an error and exit if it fails."""
        try:
            return request()
        except ClientError as error:
            if self.as_json:
                click.echo(msgspec.json.encode(error.body).decode())
            click.echo(f"refused: {error}", err=True)
            sys.exit(ExitCode.REFUSED)
        except urllib3.exceptions.HTTPError as error:
            click.echo(f"the gateway does not answer: {error}", err=True)
            sys.exit(ExitCode.UNREACHABLE)

    def get(self, path: str) -> Any:
        """Send a GET request and return the JSON body of the response."""
        return self.send(lambda: self._client.request("GET", path))

    def show(self, value: Any, lines: list[str]) -> None:
        """Print the value as JSON if that was asked for, or else the lines."""
        if self.as_json:
            click.echo(msgspec.json.encode(value).decode())
            return
        for line in lines:
            click.echo(line)


pass_connection = click.make_pass_decorator(Connection)


def json_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the `--json` option to a command."""

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
    """Print all problems of a document and exit."""
    for problem in error.problems:
        click.echo(f"{source}: {problem}", err=True)
    sys.exit(ExitCode.INVALID)


def read_documents(paths: tuple[Path, ...]) -> list[AnyDocument]:
    """Return the documents of all files, or print all problems and exit."""
    documents: list[AnyDocument] = []
    failed = False
    for path in paths:
        try:
            documents.extend(parse_documents(load_jsonc(path)))
        except InvalidDocument as error:
            failed = True
            for problem in error.problems:
                click.echo(f"{path}: {problem}", err=True)
    if failed:
        sys.exit(ExitCode.INVALID)
    return documents


def table(rows: list[list[str]]) -> list[str]:
    """Format rows as lines with aligned columns."""
    if not rows:
        return []
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return lines
