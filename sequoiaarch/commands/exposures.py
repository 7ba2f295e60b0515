"""Command that shows and clears requests under which targets may have ended."""

from __future__ import annotations

import sys
from typing import Any

import click
import urllib3

from ..connection_pool import whole_head_pool
from .base import Connection, ExitCode, json_option, pass_connection, table

PATH = "/exposures"
# Seconds; a gateway answers from memory.
TIMEOUT = 5.0
OK = 200
NOT_FOUND = 404
HEADINGS = ["REQUEST", "WORKSPACE", "LEFT", "TARGET", "STATE", "AGE", "SENT BY"]


@click.command()
@click.argument("url")
@click.option("--clear", metavar="KEY", help="Let all gateways send a request again.")
@json_option
@pass_connection
def exposures(connection: Connection, url: str, clear: str | None) -> None:
    """Show requests that targets did not answer, as known to a gateway.

    URL is the ready address of a gateway, such as http://10.0.0.1:9100. REQUEST is the
    `request_key` in the logs. A request with three targets is not sent to others. LEFT
    is the time in seconds for which it is remembered. `--clear` forgets one at all
    gateways, for example when the targets have been mended.
    """
    address = (url if "://" in url else f"http://{url}").rstrip("/") + PATH
    if clear is not None:
        status, _ = _send("DELETE", f"{address}/{clear}")
        if status == NOT_FOUND:
            click.echo(f"no request {clear} is known there", err=True)
            sys.exit(ExitCode.REFUSED)
        _check(status, url)
        click.echo(f"{clear} is cleared")
        return
    status, body = _send("GET", address)
    _check(status, url)
    connection.show(body, _lines(body))


def _lines(body: Any) -> list[str]:
    rows = [
        [
            request["request_key"],
            request["workspace"] or "-",
            f"{request['left']:.0f}",
            exposure["target"],
            exposure["state"],
            f"{exposure['age']:.1f}",
            exposure["source"],
        ]
        for request in body["requests"]
        for exposure in request["exposures"]
    ]
    return table([HEADINGS, *rows]) if rows else ["no request is exposed"]


def _check(status: int, url: str) -> None:
    if status != OK:
        click.echo(f"{url} answers with status {status}", err=True)
        sys.exit(ExitCode.REFUSED)


def _send(method: str, url: str) -> tuple[int, Any]:
    """Send a request; return the status and the JSON body, if any."""
    pool = whole_head_pool(1)
    try:
        response = pool.request(method, url, timeout=TIMEOUT, redirect=False)
        return response.status, response.json() if response.status == OK else None
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        click.echo(f"{url} can't be asked: {error}", err=True)
        sys.exit(ExitCode.UNREACHABLE)
