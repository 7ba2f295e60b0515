"""Test that a state loaded from a snapshot never counts too few tokens."""

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
    """Return the key and the encoded record of a grant."""
    record = GrantRecord(
        program=PROGRAM,
        retention=60.0,
        writer=writer,
        budget=BUDGET,
        tokens=tokens,
        used=0,
    )
    return grant_key(PROGRAM, writer), encode_record(record)


class SnapshotStateTests(unittest.TestCase):
    """Compare a state built from all records with one that starts from a snapshot."""

    def test_grant_in_snapshot_that_was_never_valid(self) -> None:
        """Count a grant from a snapshot although it never fitted the budget.

        A later grant of another writer looks too large then, but may be valid. Once the
        first writer corrects its record, the second must still count, or two processes
        use the same tokens.
        """
        from_snapshot = LedgerState(writer=READER)
        from_snapshot.apply(*grant(WriterId("one"), 400), ordered=False)
        from_snapshot.apply(*grant(WriterId("three"), 300))
        from_snapshot.apply(*grant(WriterId("one"), 100))
        self.assertEqual(from_snapshot.wanted_by_others(PROGRAM, math.inf), 400)

    def test_snapshot_never_counts_less_than_the_log(self) -> None:
        """Count at least what the log grants, wherever the snapshot is taken."""
        for seed in SEEDS:
            rng = random.Random(seed)
            records = [
                grant(rng.choice(WRITERS), rng.randrange(0, BUDGET, 40))
                for _ in range(RECORDS)
            ]
            snapshot_offset = rng.randrange(RECORDS)
            complete = LedgerState(writer=READER)
            from_snapshot = LedgerState(writer=READER)
            for key, value in records[:snapshot_offset]:
                complete.apply(key, value)
            newest = dict(records[:snapshot_offset])
            for key, value in newest.items():
                from_snapshot.apply(key, value, ordered=False)
            for key, value in itertools.islice(records, snapshot_offset, None):
                complete.apply(key, value)
                from_snapshot.apply(key, value)
                for writer in WRITERS:
                    counted = from_snapshot.granted(PROGRAM, writer)
                    granted = complete.granted(PROGRAM, writer)
                    self.assertGreaterEqual(counted, granted, (seed, writer))
