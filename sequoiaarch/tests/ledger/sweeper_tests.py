"""Test that records of ended programs go, and no others."""

from __future__ import annotations

import random
import unittest

from ...ids import ProgramId, TurnId, WriterId
from ...ledger.partition_map import PartitionMap
from ...ledger.records import (
    GrantRecord,
    IndexRecord,
    TurnRecord,
    encode_record,
    grant_key,
)
from ...ledger.sweeper import GRACE_PERIOD, Sweeper
from ...standins.keyed_store import KeyedStore, KeyedStoreClient

PROGRAM = ProgramId("program")
WRITER = WriterId("writer")
RETENTION = 60.0
LONG_ENOUGH = RETENTION + GRACE_PERIOD + 1


def turn() -> bytes:
    """Return a turn's record."""
    return encode_record(
        TurnRecord(
            program=PROGRAM,
            retention=RETENTION,
            parent=None,
            given=b"in",
            produced=b"out",
        )
    )


def grant() -> bytes:
    """Return a grant's record."""
    return encode_record(
        GrantRecord(
            program=PROGRAM,
            retention=RETENTION,
            writer=WRITER,
            budget=100,
            tokens=10,
            used=10,
        )
    )


class SweeperTests(unittest.IsolatedAsyncioTestCase):
    """Visit partitions of a stand-in."""

    async def asyncSetUp(self) -> None:
        """Make the store and a sweeper whose clock the test moves."""
        self.store = KeyedStore()
        self.client = self.store.client()
        self.partition_map = PartitionMap(per_topic=2)
        self.partition = self.partition_map.of_program(PROGRAM)
        self.now = 0.0
        self.sweeper = self.make_sweeper(self.client)

    def make_sweeper(self, client: KeyedStoreClient) -> Sweeper:
        """Return a sweeper of a process."""
        return Sweeper(
            log=client,
            partition_map=self.partition_map,
            processes=lambda: 4,
            rng=random.Random(1),
            clock=lambda: self.now,
        )

    def kept(self) -> set[str]:
        """Return the keys that the partition still holds."""
        return {one.key for one in self.store.newest(self.partition).records}

    async def test_ended_program(self) -> None:
        """Drop turns and grants together once nothing came for long enough."""
        await self.store.add(self.partition, "t1", turn())
        await self.store.add(self.partition, grant_key(PROGRAM, WRITER), grant())
        self.assertEqual(await self.sweeper.visit(self.partition), 0)
        self.now += LONG_ENOUGH
        self.assertEqual(await self.sweeper.visit(self.partition), 2)
        self.assertEqual(self.kept(), set())

    async def test_program_that_goes_on(self) -> None:
        """Keep the first turn of a program as long as the program goes on.

        Each turn comes before the retention of the one before has passed. The
        first one is older than that by far, and every later prompt needs it.
        """
        for number in range(5):
            await self.store.add(self.partition, f"t{number}", turn())
            self.assertEqual(await self.sweeper.visit(self.partition), 0)
            self.now += RETENTION
        self.assertIn("t0", self.kept())

    async def test_written_between_look_and_removal(self) -> None:
        """Keep a program that comes back while its records are being removed.

        The sweeper has seen that a program wrote nothing for long enough. The
        program's next turn is committed before the removal reaches the store.
        """
        await self.store.add(self.partition, "t1", turn())
        await self.sweeper.visit(self.partition)
        self.now += LONG_ENOUGH
        store, partition = self.store, self.partition

        class _Racing(KeyedStoreClient):
            async def append_at(self, place, records, *, end):  # type: ignore[no-untyped-def]
                await store.add(partition, "t2", turn())
                return await super().append_at(place, records, end=end)

        racing = self.make_sweeper(_Racing(store=store))
        racing._states = self.sweeper._states
        self.assertEqual(await racing.visit(self.partition), 0)
        self.assertEqual(self.kept(), {"t1", "t2"})

    async def test_index(self) -> None:
        """Drop each entry of the index by itself."""
        place = self.partition_map.of_turn(TurnId("t1"))
        entry = encode_record(IndexRecord(program=PROGRAM, retention=RETENTION))
        await self.store.add(place, "t1", entry)
        await self.sweeper.visit(place)
        self.now += LONG_ENOUGH
        await self.store.add(place, "t2", entry)
        self.assertEqual(await self.sweeper.visit(place), 1)
        kept = {one.key for one in self.store.newest(place).records}
        self.assertEqual(kept, {"t2"})

    async def test_store_away(self) -> None:
        """Remove nothing while the store can't be read."""
        await self.store.add(self.partition, "t1", turn())
        await self.sweeper.visit(self.partition)
        self.now += LONG_ENOUGH
        self.client.faults.down = True
        self.assertEqual(await self.sweeper.visit(self.partition), 0)
        self.assertEqual(self.kept(), {"t1"})

    def test_part_of_each_process(self) -> None:
        """Visit a share that makes the whole together with the other processes."""
        part = self.sweeper.sample_partitions()
        self.assertEqual(len(part), len(self.partition_map.all_partitions) // 4)
        self.assertEqual(len(set(part)), len(part))
