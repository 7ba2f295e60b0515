"""Test the log lines about programs that owners of engines gave no placement."""

from __future__ import annotations

import functools
import json
import unittest
from typing import Any

from ...fleet.engine_owner import Engine, EngineOwner
from ...fleet.placement_book import WARM_UP
from ...ids import DataCentre, HostName, InstanceId, ProgramId, ServiceName, Workspace
from ...observe.events import LINE_BURST, EventLog
from ...observe.placement_events import log_decision
from ...policies.program_placement import ProgramDemand
from ...wire.messages import LoadReportRequest, PlaceProgramRequest, ProgramReport

HERE = DataCentre("here")
THERE = DataCentre("there")
SERVICE = ServiceName("engines")
START = 100.0


class PlacementEventsTests(unittest.TestCase):
    """Log the decisions of the owner of one engine, with a simulated time."""

    def setUp(self) -> None:
        """Create an owner whose decisions are logged."""
        self.engines = [
            Engine(
                instance=InstanceId("i-1"), data_centre=HERE, slots=2, cache_tokens=0
            )
        ]
        self.now = START
        self.written = b""
        self.events = EventLog(write=self.write, clock=lambda: self.now)
        self.owner = EngineOwner(data_centre=HERE, engines=lambda name: self.engines)
        self.owner.on_decision = functools.partial(
            log_decision, self.events, HostName("h1")
        )

    def write(self, data: bytes) -> int:
        """Collect what the log writes."""
        self.written += data
        return len(data)

    def lines(self) -> list[dict[str, Any]]:
        """Return the lines that were written."""
        self.events.flush()
        return [json.loads(line) for line in self.written.splitlines()]

    def report(self, host: str, programs: int) -> None:
        """Report a number of programs on the engine."""
        reports = [
            ProgramReport(
                program=ProgramId(f"{host}-{number}"),
                instance=InstanceId("i-1"),
                tokens=10,
            )
            for number in range(programs)
        ]
        request = LoadReportRequest(host=HostName(host), programs=reports)
        self.owner.report(request, self.now)

    def fill(self) -> None:
        """Report so many programs that the engine has no room, once warm."""
        self.report("h1", 20)
        self.now += WARM_UP
        self.report("h2", 20)
        self.now += 0.1

    def hear_of(self, free: int) -> None:
        """Report the free placements of another data centre."""
        request = LoadReportRequest(
            host=HostName("far"), programs=[], centre=THERE, free=free
        )
        self.owner.report(request, self.now)

    def place(self, name: str = "w:p#s", **extra: Any) -> None:
        """Ask for a placement."""
        demand = ProgramDemand(
            service=SERVICE, max_wait=0.05, workspace=Workspace("w"), left=2.0
        )
        request = PlaceProgramRequest(program=ProgramId(name), demand=demand, **extra)
        self.owner.place(request, self.now)

    def test_refused(self) -> None:
        """Fails if a refusal can't be explained from the fields of its line."""
        self.fill()
        self.place()
        [line] = self.lines()
        self.assertEqual((line["event"], line["decision"]), ("placement", "refused"))
        self.assertEqual((line["program"], line["workspace"]), ("w:p#s", "w"))
        self.assertEqual((line["owner"], line["service"]), ("h1", "engines"))
        self.assertEqual((line["programs"], line["engines"]), (40, 1))
        self.assertEqual((line["to_retry"], line["left"]), (1, 2.0))
        # The older one of the two reports.
        self.assertEqual(line["age"], round(WARM_UP + 0.1, 3))
        self.assertGreater(line["retry_after"], 0.0)
        self.assertGreater(line["max_wait"], 0.0)
        self.assertNotIn("centre", line)

    def test_redirected(self) -> None:
        """Fails if a line does not tell where to and by what knowledge it was sent."""
        self.fill()
        self.hear_of(3)
        self.now += 0.25
        self.place()
        [line] = self.lines()
        self.assertEqual((line["decision"], line["centre"]), ("redirected", "there"))
        self.assertEqual((line["centre_free"], line["centre_age"]), (3, 0.25))
        self.assertIn("is sent to there", line["message"])
        self.assertNotIn("retry_after", line)

    def test_redirected_without_engines(self) -> None:
        """Fails if a program vanishes from the log where its service has no engine."""
        self.engines = []
        self.hear_of(1)
        self.place()
        [line] = self.lines()
        self.assertEqual((line["decision"], line["engines"]), ("redirected", 0))
        self.assertNotIn("age", line)

    def test_declined(self) -> None:
        """Fails if a program that was sent here in vain leaves no line here."""
        self.fill()
        self.place(redirected=True, sent_from=THERE)
        [line] = self.lines()
        self.assertEqual((line["decision"], line["sent_from"]), ("declined", "there"))

    def test_granted(self) -> None:
        """Fails if grants cost a line each, also of programs that are known."""
        self.report("h1", 1)
        self.place()
        self.place()
        self.place("h1-0")
        self.assertEqual(self.lines(), [])

    def test_bounded(self) -> None:
        """Fails if a wave of refusals writes more lines than other events may."""
        self.fill()
        for number in range(int(LINE_BURST) + 50):
            self.place(f"p{number}")
        self.assertEqual(len(self.lines()), int(LINE_BURST))
        self.assertEqual(self.events.omitted, 50)

    def test_impossible_figures(self) -> None:
        """Fails if a demand that no program can have breaks the decision or its line.

        A number beyond 64 bits can't be written.
        """
        self.engines = []
        self.hear_of(2)
        demand = ProgramDemand(
            service=SERVICE, max_wait=float("nan"), tokens=2**70, rank=-(2**70)
        )
        self.owner.place(
            PlaceProgramRequest(program=ProgramId("p"), demand=demand), self.now
        )
        self.assertEqual(self.lines()[0]["tokens"], 0)
