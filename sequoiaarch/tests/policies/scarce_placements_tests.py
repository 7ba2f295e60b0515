"""Test who gets placements while they are scarce."""

from __future__ import annotations

import unittest

from ...fleet.placement_book import SCARCE_SECONDS, WARM_UP, PlacementBook
from ...ids import HostName, InstanceId, ProgramId, ServiceName, Workspace
from ...policies.program_placement import (
    EngineState,
    LeastExpectedTurn,
    ProgramDemand,
)
from ...wire.messages import ProgramReport

ENGINE = InstanceId("engine")
HOST = HostName("gateway")
SLOTS = 4
BUSY, QUIET = Workspace("busy"), Workspace("quiet")


class ScarcePlacementsTests(unittest.TestCase):
    """Test fair shares of an engine that takes one program for each slot."""

    def setUp(self) -> None:
        """Start with a book that has heard of all hosts."""
        self.book = PlacementBook(policy=LeastExpectedTurn())
        self.book.report(HOST, [], None, 0.0)
        self.now = WARM_UP
        self.granted: list[ProgramReport] = []

    def ask(self, name: str, workspace: Workspace | None, rank: int = 0) -> bool:
        """Return whether a program gets a placement."""
        program = ProgramId(name)
        demand = ProgramDemand(
            service=ServiceName("model"),
            max_wait=0.0,
            slack=20.0,
            rank=rank,
            workspace=workspace,
        )
        engine = EngineState(
            instance=ENGINE,
            slots=SLOTS,
            cache_tokens=0,
            programs=self.book.programs(ENGINE),
            tokens=self.book.tokens(ENGINE),
            turn=0.2,
            pause=0.2,
        )
        decision = self.book.decide(program, demand, [engine], self.now)
        if decision is None:
            self.book.refuse(program, demand, self.now)
            return False
        self.book.grant(program, demand, decision.instance, self.now)
        report = ProgramReport(
            program=program, instance=ENGINE, tokens=0, workspace=workspace
        )
        self.granted.append(report)
        return True

    def fill(self, workspace: Workspace | None, programs: int = SLOTS) -> None:
        """Start programs of a workspace."""
        for number in range(programs):
            self.assertTrue(self.ask(f"{workspace}-{number}", workspace))

    def end_one(self) -> None:
        """End the program that was granted first.

        The first report contains all programs, and the second one all but that one.
        """
        for reports in (self.granted, self.granted[1:]):
            self.book.report(HOST, reports, None, self.now)

    def test_all_for_one_while_nothing_is_refused(self) -> None:
        """Fails if a workspace is limited while placements are left."""
        self.fill(BUSY)
        self.assertFalse(self.book.busy_workspaces(self.now))

    def test_busy_workspace_waits_behind_quiet_one(self) -> None:
        """Fails if a workspace above its share takes the place of one below."""
        self.fill(BUSY)
        self.assertFalse(self.ask("quiet-0", QUIET))
        self.now += 0.2
        self.end_one()
        self.assertEqual(self.book.busy_workspaces(self.now), {BUSY})
        self.assertFalse(self.ask("busy-9", BUSY))
        self.assertTrue(self.ask("quiet-0", QUIET))

    def test_busy_workspace_waits_behind_itself(self) -> None:
        """Fails if a quiet workspace waits behind the programs of a busy one."""
        self.fill(BUSY)
        for number in range(SLOTS, 3 * SLOTS):
            self.assertFalse(self.ask(f"busy-{number}", BUSY))
        self.now += 0.2
        self.end_one()
        self.assertTrue(self.ask("quiet-0", QUIET))

    def test_places_are_not_left_empty(self) -> None:
        """Fails if a busy workspace is refused although no other one waits."""
        self.fill(BUSY)
        self.assertFalse(self.ask("busy-9", BUSY))
        self.now += 0.2
        self.end_one()
        self.assertTrue(self.ask("busy-9", BUSY))

    def test_no_longer_scarce(self) -> None:
        """Fails if shares are still limited long after the last refusal."""
        self.fill(BUSY)
        self.ask("quiet-0", QUIET)
        self.assertTrue(self.book.busy_workspaces(self.now + SCARCE_SECONDS))
        later = self.now + SCARCE_SECONDS + 0.01
        self.assertFalse(self.book.busy_workspaces(later))

    def test_share_of_at_least_one(self) -> None:
        """Fails if a workspace without a program in progress counts as busy."""
        for number in range(SLOTS):
            self.fill(Workspace(f"w{number}"), 1)
        for number in range(SLOTS, 5 * SLOTS):
            self.assertFalse(self.ask(f"p{number}", Workspace(f"w{number}")))
        busy = self.book.busy_workspaces(self.now)
        self.assertEqual(busy, {Workspace(f"w{number}") for number in range(SLOTS)})

    def test_no_workspaces(self) -> None:
        """Fails if deployments without workspaces are limited by shares."""
        self.fill(None)
        self.assertFalse(self.ask("p9", None))
        self.now += 0.2
        self.end_one()
        self.assertTrue(self.ask("p9", None))

    def test_urgent_rank_first(self) -> None:
        """Fails if a less urgent program takes the place of an urgent one."""
        self.fill(BUSY)
        self.assertFalse(self.ask("quiet-0", QUIET, rank=0))
        self.now += 0.2
        self.end_one()
        self.assertFalse(self.ask("quiet-1", QUIET, rank=1))
        self.assertTrue(self.ask("quiet-0", QUIET, rank=0))
