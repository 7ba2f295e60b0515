"""Test which waits the owner of engines allows for a deadline."""

from __future__ import annotations

import unittest

import logbook

from ...fleet.engine_owner import Engine, EngineOwner
from ...fleet.placement_book import WARM_UP
from ...ids import DataCentre, HostName, InstanceId, ProgramId, ServiceName
from ...policies.program_placement import ProgramDemand
from ...policies.return_queue import MIN_RETURN
from ...wire.messages import LoadReportRequest, PlaceProgramRequest, ProgramPlaced

CENTRE = DataCentre("east")
SERVICE = ServiceName("model")
SLOTS = 6


class AllowedWaitTests(unittest.TestCase):
    """Test an owner of one engine, without a record of its pace."""

    def setUp(self) -> None:
        """Start an owner that has heard of all hosts."""
        self.enterContext(logbook.NullHandler())
        engine = Engine(
            instance=InstanceId("engine"),
            data_centre=CENTRE,
            slots=SLOTS,
            cache_tokens=0,
        )
        self.owner = EngineOwner(data_centre=CENTRE, engines=lambda _: [engine])
        report = LoadReportRequest(host=HostName("gateway"), programs=[])
        self.owner.report(report, 0.0)
        self.now = WARM_UP

    def place(self, name: str, left: float | None) -> ProgramPlaced:
        """Ask for a placement of a program."""
        demand = ProgramDemand(
            service=SERVICE, max_wait=0.12, left=left, latency_target=0.2
        )
        request = PlaceProgramRequest(program=ProgramId(name), demand=demand)
        return self.owner.place(request, self.now)

    def granted(self, left: float | None) -> int:
        """Return how many programs with a deadline the engine takes."""
        count = 0
        while self.place(f"p{left}-{count}", left).instance is not None:
            count += 1
        return count

    def test_deadline_has_passed(self) -> None:
        """Fails if a program whose deadline has passed may wait as others."""
        late = self.granted(0.0)
        self.assertGreaterEqual(late, SLOTS)
        self.assertGreaterEqual(self.granted(4.0), 1)

    def test_deadline_passed_long_ago(self) -> None:
        """Fails if a negative time to the deadline counts as no deadline."""
        self.granted(0.0)
        self.assertIsNone(self.place("p", -5.0).instance)

    def test_no_deadline(self) -> None:
        """Fails if programs without a deadline return behind those that are late."""
        self.granted(None)
        refused = self.place("p", None)
        self.assertIsNotNone(refused.retry_after)
        assert refused.retry_after is not None
        self.assertGreaterEqual(refused.retry_after, MIN_RETURN)
        self.now += refused.retry_after
        self.assertFalse(self.owner.book.returns.is_late(ProgramId("p"), self.now))
        self.assertGreater(self.owner.book.returns.waiting.total(), 0)
