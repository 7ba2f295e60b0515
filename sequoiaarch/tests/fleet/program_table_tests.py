"""Test the table of programs in progress."""

from __future__ import annotations

import unittest

from ...fleet.program_table import (
    MAX_PROGRAMS,
    REMEMBERED,
    Program,
    ProgramTable,
)
from ...ids import InstanceId, ProgramId, ServiceName

ENGINE = InstanceId("i-1")
OTHER = InstanceId("i-2")
ROOT = ProgramId("p")
LINE = ProgramId("p#s")
START = 100.0


class ProgramTableTests(unittest.TestCase):
    """Test the table with a simulated time."""

    def setUp(self) -> None:
        """Create an empty table."""
        self.table = ProgramTable()
        self.now = START

    def open(
        self,
        line: str = LINE,
        root: str = ROOT,
        home: InstanceId | None = ENGINE,
    ) -> Program:
        """Open a turn."""
        return self.table.turn_opened(
            ProgramId(line),
            root=ProgramId(root),
            workspace=None,
            service=ServiceName("engines"),
            home=home,
            tokens=10,
            now=self.now,
        )

    def end(self, line: str = LINE, ran_at: InstanceId | None = ENGINE) -> None:
        """End a turn."""
        self.table.turn_ended(ProgramId(line), ran_at=ran_at, now=self.now)

    def active(self) -> list[str]:
        """Return the programs in progress."""
        return list(self.table.active(self.now))

    def test_turn_that_ends_twice(self) -> None:
        """Count no turn below zero, which would hide an open turn later."""
        self.open()
        self.end()
        self.end()
        self.assertEqual(self.open().open_turns, 1)
        self.now += 10.0
        self.assertEqual(self.active(), [LINE])

    def test_end_of_unknown_program(self) -> None:
        """Ignore the end of a turn that was opened by an earlier process."""
        self.end()
        self.assertEqual(self.active(), [])
        self.assertIsNone(self.table.home_of(ROOT))

    def test_program_that_ran_nothing(self) -> None:
        """Drop a program whose caller left, so that its place is free."""
        self.open()
        self.end(ran_at=None)
        self.assertIsNone(self.table.get(LINE))
        self.assertEqual(self.active(), [])

    def test_attempt_beside_another(self) -> None:
        """Keep a program of which one attempt ended unused and one is open."""
        self.open()
        self.open()
        self.end(ran_at=None)
        self.assertEqual(self.active(), [LINE])

    def test_home_of_a_program_with_a_separator(self) -> None:
        """Find the home of a program whose name contains the separator of lines.

        Its other lines would count as new programs and might be refused.
        """
        self.open("a#b#s", root="a#b")
        self.end("a#b#s", ran_at=OTHER)
        self.assertEqual(self.table.home_of(ProgramId("a#b")), OTHER)
        self.assertIsNone(self.table.home_of(ProgramId("a")))

    def test_pause_of_a_program(self) -> None:
        """Report a program while it pauses as usual, but not much longer."""
        self.open()
        self.end()
        self.now += self.table.linger * 0.9
        self.assertEqual(self.active(), [LINE])
        self.now += self.table.linger * 0.2
        self.assertEqual(self.active(), [])
        self.assertIsNotNone(self.table.get(LINE))

    def test_weight_of_a_pause(self) -> None:
        """Guards against programs that end often and count in full while they pause.

        Where nearly all pauses end with a turn, a pause counts nearly in full.
        """
        self.open()
        program = self.table.get(ProgramId(LINE))
        assert program is not None
        self.assertEqual(self.table.weight(program), 1.0)
        self.end()
        for _ in range(100):
            self.now += 0.1
            self.open()
            self.end()
        self.assertGreater(self.table.weight(program), 0.9)
        for number in range(100):
            name = f"short{number}#s"
            self.open(name, root=f"short{number}")
            self.end(name)
            self.now += 1.01 * self.table.linger
            self.active()
        self.assertLess(self.table.weight(program), 0.2)

    def test_ended_programs_are_forgotten(self) -> None:
        """Forget programs that ended long ago, also behind a long turn.

        A turn of minutes at the front would keep all programs in memory until then.
        """
        self.open("long#s", root="long")
        self.now += 1.0
        for number in range(100):
            self.open(f"p{number}#s", root=f"p{number}")
            self.end(f"p{number}#s")
        self.now += REMEMBERED + 1.0
        self.assertEqual(self.active(), ["long#s"])
        self.assertEqual(len(self.table._programs), 1)

    def test_number_of_programs_is_bounded(self) -> None:
        """Remember a bounded number of programs and homes."""
        for number in range(MAX_PROGRAMS + 50):
            self.open(f"p{number}#s", root=f"p{number}")
            self.end(f"p{number}#s")
        self.assertEqual(len(self.table._programs), MAX_PROGRAMS)
        self.assertEqual(len(self.table._homes), MAX_PROGRAMS)
