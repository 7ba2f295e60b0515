"""Command that shows the engines of gateways and the decisions of their owners."""

from __future__ import annotations

import http.client
import sys
import time
from concurrent.futures import ThreadPoolExecutor

import click
import msgspec
import urllib3

from ..connection_pool import whole_head_pool
from ..observe.engine_metrics import (
    EngineRow,
    GatewayEngines,
    MetricsInvalid,
    OwnerRow,
    read_engines,
)
from .base import Connection, ExitCode, json_option, pass_connection, table

METRICS_PATH = "/metrics"
# Seconds for a connection, and for a whole answer: a gateway answers from memory.
CONNECT_TIMEOUT = 2.0
ANSWER_TIMEOUT = 5.0
# Gateways that are asked at the same time.
MAX_PARALLEL = 8
# A gateway's metrics have some hundred lines.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
READ_BYTES = 64 * 1024
OK = 200
HEADINGS = ["DATA CENTRE", "ENGINE", "OWNER", "PROGRAMS", "FREE", "MS/EVENT"]


class GatewayError(Exception):
    """Raised for a gateway that does not answer, or answers something else."""


@click.command()
@click.argument("urls", metavar="URL...", nargs=-1, required=True)
@json_option
@pass_connection
def engines(connection: Connection, urls: tuple[str, ...]) -> None:
    """Show the engines that gateways own, from the metrics of the gateways.

    URL is the ready address of a gateway, such as http://10.0.0.1:9100. Only the owner
    of a data centre's engines shows them, so name all gateways that may be the owner.
    An engine with two lines has two owners at the moment. The totals count from the
    start of each owner.
    """
    urls = tuple(dict.fromkeys(urls))
    found: list[GatewayEngines] = []
    failed = False
    pool = whole_head_pool(1, hosts=len(urls))
    with ThreadPoolExecutor(max_workers=MAX_PARALLEL) as executor:
        answers = [executor.submit(fetch_engines, pool, url) for url in urls]
        for url, answer in zip(urls, answers, strict=True):
            try:
                found.append(answer.result())
            except GatewayError as error:
                failed = True
                click.echo(f"{url}: {error}", err=True)
    rows = [row for gateway in found for row in gateway.engines]
    rows.sort(key=lambda row: (row.data_centre or "", row.engine, row.owner or ""))
    totals = [gateway.totals for gateway in found if gateway.totals is not None]
    totals.sort(key=lambda row: (row.data_centre or "", row.owner or "", row.url))
    if connection.as_json:
        for row in (*rows, *totals):
            click.echo(msgspec.json.encode(row).decode())
    else:
        _show_lines(rows, totals)
    for note in _missing_owners(found):
        click.echo(note, err=True)
    if failed:
        sys.exit(ExitCode.INCOMPLETE)


def fetch_engines(pool: urllib3.PoolManager, url: str) -> GatewayEngines:
    """Return what the metrics of a gateway say of engines; raises GatewayError."""
    full = url if "://" in url else f"http://{url}"
    full = full.rstrip("/").removesuffix(METRICS_PATH) + METRICS_PATH
    try:
        status, body = _get(pool, full)
    except urllib3.exceptions.HTTPError as error:
        raise GatewayError(f"does not answer: {error}") from None
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise GatewayError(f"can't be asked: {error}") from None
    if status != OK:
        raise GatewayError(f"answers with status {status} instead of metrics")
    try:
        return read_engines(body.decode(errors="replace"), url)
    except MetricsInvalid as error:
        raise GatewayError(str(error)) from None


def _get(pool: urllib3.PoolManager, url: str) -> tuple[int, bytes]:
    """Return the status and body of a response; raises GatewayError if it is too large.

    The read timeout covers only each part, and a server may send many small ones.
    """
    deadline = time.monotonic() + ANSWER_TIMEOUT
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT, read=ANSWER_TIMEOUT)
    response = pool.request(
        "GET", url, timeout=timeout, preload_content=False, redirect=False
    )
    try:
        body = bytearray()
        while part := response.read1(READ_BYTES, decode_content=False):
            body += part
            if len(body) > MAX_ANSWER_BYTES:
                raise GatewayError(f"answers more than {MAX_ANSWER_BYTES} bytes")
            if time.monotonic() > deadline:
                raise GatewayError(f"has not answered in {ANSWER_TIMEOUT:.0f} s")
        return response.status, bytes(body)
    finally:
        response.close()


def _show_lines(rows: list[EngineRow], totals: list[OwnerRow]) -> None:
    if not rows:
        click.echo("none of these gateways owns engines")
        return
    cells = [
        [
            _text(row.data_centre),
            row.engine,
            _text(row.owner),
            _text(row.programs),
            _text(row.free),
            _text(row.milliseconds),
        ]
        for row in rows
    ]
    for line in table([HEADINGS, *cells]):
        click.echo(line)
    click.echo()
    for total in totals:
        click.echo(
            f"{total.owner or total.url}, {total.engines} engines:"
            f" {_text(total.granted)} granted, {_text(total.refused)} refused,"
            f" {_text(total.redirected)} redirected,"
            f" {_text(total.to_retry)} programs to retry"
        )


def _missing_owners(found: list[GatewayEngines]) -> list[str]:
    """Return a line for each owner that a gateway named and that shows no engines."""
    shown = {(one.data_centre, one.owner) for one in found if one.totals is not None}
    named = {
        (one.data_centre, one.owner) for one in found if one.owner is not None
    } - shown
    return [
        f"{owner} owns the engines of {centre} but is not among these gateways,"
        " or no program has asked it yet"
        for centre, owner in sorted(named, key=str)
    ]


def _text(value: object) -> str:
    return "-" if value is None else str(value)
