"""Test the commands about placements against a gateway and its log."""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path

from click.testing import CliRunner, Result

from ...__main__ import cli
from ...commands.base import ExitCode
from ...fleet.placement_book import REPORT_LIFE
from ...ids import DataCentre, HostName
from ...ingress.daemon import IngressDaemon
from ...wire.messages import LoadReportRequest
from ..platform.deployment import LOOPBACK
from ..platform.placing_gateway import PlacingGatewayTestCase


class OperatorTests(PlacingGatewayTestCase):
    """Explain what a real gateway did, by what it exports and writes."""

    async def run_command(self, *arguments: str) -> Result:
        """Run a command while the gateway goes on."""
        return await asyncio.to_thread(CliRunner().invoke, cli, arguments)

    def log_file(self, *more: str) -> str:
        """Write what the gateway has logged to a file and return its path."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "one.log"
        path.write_bytes(b"".join(self.lines) + "\n".join(more).encode())
        return str(path)

    async def refuse_and_return(self, daemon: IngressDaemon) -> None:
        """Refuse a program twice, and place it once there is room."""
        await self.fill(daemon)
        report = LoadReportRequest(
            host=HostName("far"), programs=[], centre=DataCentre("there"), free=1
        )
        self.placements(daemon).answer_report(report)
        for attempt in ("t1", "t2"):
            answer = await self.turn(daemon, b"a", attempt=attempt, program="new")
            self.assertEqual(answer.status, 429)
        await asyncio.sleep(REPORT_LIFE + 0.1)
        for attempt, previous in (("t3", None), ("t4", "t3")):
            answer = await self.turn(
                daemon, b"a", attempt=attempt, program="new", previous=previous
            )
            self.assertEqual(answer.status, 200)
        await self.logged("t4")

    async def test_history(self) -> None:
        """Fails if the log of a gateway doesn't tell why one of its programs waited."""
        daemon = await self.start()
        await self.refuse_and_return(daemon)
        path = self.log_file()
        result = await self.run_command("placements", path, "--program", "new")
        self.assertEqual(result.exit_code, 0, result.output)
        expected = [
            r"request t1; overloaded with 429 .* \(one has no room .*\); retry in \d",
            r"owner one: redirected to there; 80 programs on 2 engines; .* 1 free",
            r"owner one: refused; 80 programs on 2 engines; .* old; retry in \d",
            r"request t2; returned \S+ s after the refusal, \S+ s before its retry",
            r"owner one: refused; 80 programs on 2 engines; .* old; retry in \d",
            r"request t3; returned .*; placed on i-\d by one; answered with 200 after",
            r"request t4; stays on i-\d; answered with 200 after",
        ]
        lines = result.stdout.splitlines()
        self.assertEqual(len(lines), len(expected), result.stdout)
        for line, pattern in zip(lines, expected, strict=True):
            self.assertRegex(line, pattern)
        result = await self.run_command("placements", path, "--program", "none")
        self.assertIn("no line of these logs is about program none", result.stdout)

    async def test_table(self) -> None:
        """Fails if the table doesn't count what a gateway has logged."""
        daemon = await self.start()
        await self.turn(daemon, b"a", program="first")
        await self.refuse_and_return(daemon)
        path = self.log_file("cut off", '{"event":"request","time":"bad"}')
        result = await self.run_command("placements", path)
        self.assertEqual(result.exit_code, 0, result.output)
        [_, row] = result.stdout.splitlines()
        self.assertRegex(
            row, r"^no workspace +2 +1 +0 +0 +1\.00 +[12]\.\d{3} s \(new\)$"
        )
        self.assertIn("2 lines can't be read", result.stderr)
        result = await self.run_command("placements", "--json", path)
        [line] = map(json.loads, result.stdout.splitlines())
        self.assertEqual((line["placed"], line["longest"]), (2, "new"))
        result = await self.run_command(
            "placements", "--json", path, "--program", "new"
        )
        kinds = [json.loads(line)["type"] for line in result.stdout.splitlines()]
        self.assertEqual(kinds.count("decision"), 3)
        self.assertEqual(kinds.count("request"), 4)

    async def test_engines(self) -> None:
        """Fails if the engines of a gateway can't be read from its ready address."""
        daemon = await self.start()
        await self.refuse_and_return(daemon)
        url = f"http://{LOOPBACK}:{daemon._ready.port}"
        result = await self.run_command("engines", url)
        self.assertEqual(result.exit_code, 0, result.output)
        lines = result.stdout.splitlines()
        for line, name in zip(lines[1:3], ("i-1", "i-2"), strict=True):
            self.assertRegex(line, rf"^here +{name} +one +\d+ +\d+ +\S+$")
        self.assertRegex(
            lines[-1], r"^one, 2 engines: 1 granted, 2 refused, 1 redirected, \d+ prog"
        )

    async def test_gateway_without_placements(self) -> None:
        """Fails if a gateway that places no programs counts as one that fails."""
        daemon = await self.start(place_programs=False)
        url = f"http://{LOOPBACK}:{daemon._ready.port}"
        result = await self.run_command("engines", url)
        self.assertEqual(result.exit_code, ExitCode.DONE, result.output)
        self.assertEqual(result.stdout, "none of these gateways owns engines\n")
        log = self.log_file('{"time":1.0,"event":"store","message":"lost"}')
        result = await self.run_command("placements", log)
        self.assertEqual(result.stdout, "no program was placed or refused\n")

    async def test_control_characters(self) -> None:
        """Fails if the id of a caller's program can control a terminal."""
        fields = {
            "time": 10.0,
            "event": "request",
            "id": "a\x1b[2Jb",
            "program": "p",
            "outcome": "answered",
        }
        log = self.log_file(json.dumps(fields))
        result = await self.run_command("placements", log, "--program", "p")
        self.assertIn("request a?[2Jb; answered", result.stdout)

    async def test_missing_log(self) -> None:
        """Fails if a log that does not exist is passed over."""
        result = await self.run_command("placements", "no-such.log")
        self.assertEqual(result.exit_code, ExitCode.INVALID)
