"""Test the command that shows engines, against servers that a test controls."""

from __future__ import annotations

import json
import socket
import threading
import time
import unittest
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from unittest import mock

from click.testing import CliRunner, Result

from ...__main__ import cli
from ...commands import engines
from ...commands.base import ExitCode
from ...fleet.engine_owner import EngineLoad
from ...ids import DataCentre, HostName, InstanceId
from ...observe.request_metrics import RequestMetrics

LOOPBACK = "127.0.0.1"
Respond = Callable[[BaseHTTPRequestHandler], None]


def metrics(host: str, *names: str, centre: str = "here", owner: str = "") -> bytes:
    """Return the metrics of a gateway that owns some engines."""
    values = RequestMetrics()
    values.set_engines(
        EngineLoad(instance=InstanceId(name), programs=7, free=2, pace=0.0125)
        for name in names
    )
    values.set_engine_owner(DataCentre(centre), HostName(owner or host))
    values.set_placements({"granted": 5, "refused": 3, "redirected": 1})
    values.set_state("programs_to_retry", 2.0)
    return values.text()


def answer(body: bytes, status: int = 200) -> Respond:
    """Return a handler that sends a body if it is asked for metrics."""

    def respond(request: BaseHTTPRequestHandler) -> None:
        found = request.path == "/metrics"
        request.send_response(status if found else 404)
        request.send_header("Content-Length", str(len(body)))
        request.end_headers()
        request.wfile.write(body)

    return respond


class EnginesCommandTests(unittest.TestCase):
    """Ask a few servers for engines."""

    def serve(self, respond: Respond) -> str:
        """Start a server and return its URL."""

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                respond(self)

            def log_message(self, *_: object) -> None:
                pass

        server = ThreadingHTTPServer((LOOPBACK, 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        return f"http://{LOOPBACK}:{server.server_port}"

    def run_command(self, *arguments: str) -> Result:
        """Run the command."""
        return CliRunner().invoke(cli, ["engines", *arguments])

    def test_lines(self) -> None:
        """Fails if an engine, its owner or the owner's totals are missing."""
        owner = self.serve(answer(metrics("h1", "i-1", "i-2")))
        other = self.serve(answer(metrics("h2", owner="h1")))
        result = self.run_command(other, owner, owner)
        self.assertEqual(result.exit_code, 0, result.output)
        lines = result.stdout.splitlines()
        self.assertEqual(lines[1].split(), ["here", "i-1", "h1", "7", "2", "12.5"])
        self.assertEqual(lines[2].split(), ["here", "i-2", "h1", "7", "2", "12.5"])
        total = "h1, 2 engines: 5 granted, 3 refused, 1 redirected, 2 programs to retry"
        self.assertEqual(lines[3:], ["", total])
        self.assertEqual(result.stderr, "")

    def test_json(self) -> None:
        """Fails if a line of the output is no JSON of its own."""
        url = self.serve(answer(metrics("h1", "i-1")))
        result = self.run_command("--json", url)
        engine, total = [json.loads(line) for line in result.stdout.splitlines()]
        self.assertEqual((engine["type"], engine["engine"]), ("engine", "i-1"))
        self.assertEqual((engine["milliseconds"], engine["url"]), (12.5, url))
        self.assertEqual((total["type"], total["refused"]), ("owner", 3))

    def test_gateways_that_fail(self) -> None:
        """Fails if one bad gateway hides the others, or ends with success."""
        with socket.socket() as unused:
            unused.bind((LOOPBACK, 0))
            closed = f"http://{LOOPBACK}:{unused.getsockname()[1]}"
            urls = [
                closed,
                self.serve(answer(b"", status=503)),
                self.serve(answer(b"<html>a page</html>")),
                self.serve(answer(metrics("h1", "i-1"))),
                "http://[",
            ]
            result = self.run_command(*urls)
        self.assertEqual(result.exit_code, ExitCode.INCOMPLETE)
        self.assertEqual(result.exit_code, 1)
        self.assertIn("i-1", result.stdout)
        errors = result.stderr.splitlines()
        self.assertEqual(len(errors), 4, result.stderr)
        expected = [
            (urls[0], "does not answer"),
            (urls[1], "answers with status 503 instead of metrics"),
            (urls[2], "its answer holds no metrics of a gateway"),
            (urls[4], ""),
        ]
        for error, (url, text) in zip(errors, expected, strict=True):
            self.assertTrue(error.startswith(f"{url}: {text}"), error)

    def test_slow_gateway(self) -> None:
        """Fails if a gateway that sends a byte now and then is waited for."""
        stop = threading.Event()
        self.addCleanup(stop.set)

        def trickle(request: BaseHTTPRequestHandler) -> None:
            request.send_response(200)
            request.end_headers()
            while not stop.wait(0.05):
                request.wfile.write(b"x")

        url = self.serve(trickle)
        with mock.patch.object(engines, "ANSWER_TIMEOUT", 0.4):
            started = time.monotonic()
            result = self.run_command(url)
        stop.set()
        self.assertLess(time.monotonic() - started, 3.0)
        self.assertEqual(result.exit_code, 1)
        self.assertIn("has not answered in", result.stderr)

    def test_endless_answer(self) -> None:
        """Fails if an answer without an end fills the memory."""

        def send(request: BaseHTTPRequestHandler) -> None:
            request.send_response(200)
            request.end_headers()
            try:
                while True:
                    request.wfile.write(b"x" * 65536)
            except OSError:
                pass

        with mock.patch.object(engines, "MAX_ANSWER_BYTES", 2**20):
            result = self.run_command(self.serve(send))
        self.assertEqual(result.exit_code, 1)
        self.assertIn("answers more than 1048576 bytes", result.stderr)

    def test_owner_that_was_not_asked(self) -> None:
        """Fails if nothing says why engines are missing: their owner was not named."""
        result = self.run_command(self.serve(answer(metrics("h2", owner="h1"))))
        self.assertEqual(result.exit_code, 0)
        self.assertIn("none of these gateways owns engines", result.stdout)
        self.assertIn("h1 owns the engines of here but is not among", result.stderr)

    def test_two_owners(self) -> None:
        """Fails if one of two owners of an engine, as in a partition, is hidden."""
        first = self.serve(answer(metrics("h1", "i-1")))
        second = self.serve(answer(metrics("h2", "i-1")))
        result = self.run_command(second, first)
        owners = [line.split()[2] for line in result.stdout.splitlines()[1:3]]
        self.assertEqual(owners, ["h1", "h2"])

    def test_ways_to_write_a_url(self) -> None:
        """Fails if an address without scheme or with the path is asked wrongly."""
        url = self.serve(answer(metrics("h1", "i-1")))
        for form in (url.removeprefix("http://"), url + "/", url + "/metrics"):
            with self.subTest(form):
                self.assertEqual(self.run_command(form).exit_code, 0)

    def test_no_url(self) -> None:
        """Fails if the command does nothing without a gateway to ask."""
        self.assertEqual(self.run_command().exit_code, ExitCode.INVALID)
