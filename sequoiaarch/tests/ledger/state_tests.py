"""Test that a view of budgets which began late never counts too little."""

from __future__ import annotations

import itertools
import math
import random
import unittest

from ...ids import ProgramId, WriterId
from ...ledger.records import GrantRecord, encode_record, grant_key
from ...ledger.state import LedgerState

PROGRAM = ProgramId("program")
BUDGET = 480
WRITERS = [WriterId(name) for name in ("one", "two", "three")]
READER = WriterId("reader")
SEEDS = range(300)
RECORDS = 12


def grant(writer: WriterId, tokens: int) -> tuple[str, bytes]:
    """Return the key and the bytes of a grant."""
    record = GrantRecord(
        program=PROGRAM,
        retention=60.0,
        writer=writer,
        budget=BUDGET,
        tokens=tokens,
        used=0,
    )
    return grant_key(PROGRAM, writer), encode_record(record)


class LateViewTests(unittest.TestCase):
    """Fold the same records from their beginning and from a list."""

    def test_raise_that_never_held(self) -> None:
        """Count a grant although one in the list never held.

        One process asked for more than was left, in vain. A second process
        begins to read: the list shows what was asked for, and the second one
        takes it for granted. A third is granted tokens that seem too many
        then. When the first one puts its record right, the second must not
        believe that the third has nothing, or both hand out the same tokens.
        """
        late = LedgerState(writer=READER)
        late.apply(*grant(WriterId("one"), 400), ordered=False)
        late.apply(*grant(WriterId("three"), 300))
        late.apply(*grant(WriterId("one"), 100))
        self.assertEqual(late.wanted_by_others(PROGRAM, math.inf), 400)

    def test_late_views_never_count_less(self) -> None:
        """Count at least what the log grants, wherever a view begins."""
        for seed in SEEDS:
            rng = random.Random(seed)
            records = [
                grant(rng.choice(WRITERS), rng.randrange(0, BUDGET, 40))
                for _ in range(RECORDS)
            ]
            begin = rng.randrange(RECORDS)
            exact = LedgerState(writer=READER)
            late = LedgerState(writer=READER)
            for key, value in records[:begin]:
                exact.apply(key, value)
            newest = dict(records[:begin])
            for key, value in newest.items():
                late.apply(key, value, ordered=False)
            for key, value in itertools.islice(records, begin, None):
                exact.apply(key, value)
                late.apply(key, value)
                for writer in WRITERS:
                    counted = late.granted(PROGRAM, writer)
                    held = exact.granted(PROGRAM, writer)
                    self.assertGreaterEqual(counted, held, (seed, writer))
