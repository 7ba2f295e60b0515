"""Test that only records of ended programs are removed."""

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
from ...ledger.sweeper import EXPIRY_MARGIN, Sweeper
from ...standins.keyed_store import KeyedStore, KeyedStoreClient

PROGRAM = ProgramId("program")
WRITER = WriterId("writer")
RETENTION = 60.0
EXPIRY = RETENTION + EXPIRY_MARGIN + 1


def turn() -> bytes:
    """Return an encoded turn record."""
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
    """Return an encoded grant record."""
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
    """Visit partitions of a stand-in store."""

    async def asyncSetUp(self) -> None:
        """Create the store and a sweeper with a manual clock."""
        self.store = KeyedStore()
        self.client = self.store.client()
        self.partition_map = PartitionMap(per_topic=2)
        self.partition = self.partition_map.of_program(PROGRAM)
        self.now = 0.0
        self.sweeper = self.make_sweeper(self.client)

    def make_sweeper(self, client: KeyedStoreClient) -> Sweeper:
        """Return the sweeper of one process."""
        return Sweeper(
            log=client,
            partition_map=self.partition_map,
            processes=lambda: 4,
            rng=random.Random(1),
            clock=lambda: self.now,
        )

    def remaining_keys(self) -> set[str]:
        """Return the keys that are left in the partition."""
        return {record.key for record in self.store.newest(self.partition).records}

    async def test_ended_program_is_removed(self) -> None:
        """Remove turns and grants together after the retention."""
        await self.store.add(self.partition, "t1", turn())
        await self.store.add(self.partition, grant_key(PROGRAM, WRITER), grant())
        self.assertEqual(await self.sweeper.visit(self.partition), 0)
        self.now += EXPIRY
        self.assertEqual(await self.sweeper.visit(self.partition), 2)
        self.assertEqual(self.remaining_keys(), set())

    async def test_running_program_is_kept(self) -> None:
        """Keep the first turn of a program that goes on, as later prompts need it."""
        for number in range(5):
            await self.store.add(self.partition, f"t{number}", turn())
            self.assertEqual(await self.sweeper.visit(self.partition), 0)
            self.now += RETENTION
        self.assertIn("t0", self.remaining_keys())

    async def test_program_written_during_removal_is_kept(self) -> None:
        """Keep a program whose next turn is committed just before its removal."""
        await self.store.add(self.partition, "t1", turn())
        await self.sweeper.visit(self.partition)
        self.now += EXPIRY
        store, partition = self.store, self.partition

        class _RacingClient(KeyedStoreClient):
            async def append_at(self, log_partition, records, *, end):  # type: ignore[no-untyped-def]
                await store.add(partition, "t2", turn())
                return await super().append_at(log_partition, records, end=end)

        racing_sweeper = self.make_sweeper(_RacingClient(store=store))
        racing_sweeper._states = self.sweeper._states
        self.assertEqual(await racing_sweeper.visit(self.partition), 0)
        self.assertEqual(self.remaining_keys(), {"t1", "t2"})

    async def test_index_records_expire_separately(self) -> None:
        """Remove each index record on its own."""
        partition = self.partition_map.of_turn(TurnId("t1"))
        entry = encode_record(IndexRecord(program=PROGRAM, retention=RETENTION))
        await self.store.add(partition, "t1", entry)
        await self.sweeper.visit(partition)
        self.now += EXPIRY
        await self.store.add(partition, "t2", entry)
        self.assertEqual(await self.sweeper.visit(partition), 1)
        remaining_keys = {record.key for record in self.store.newest(partition).records}
        self.assertEqual(remaining_keys, {"t2"})

    async def test_nothing_is_removed_while_store_is_down(self) -> None:
        """Remove nothing while the store can't be read."""
        await self.store.add(self.partition, "t1", turn())
        await self.sweeper.visit(self.partition)
        self.now += EXPIRY
        self.client.faults.down = True
        self.assertEqual(await self.sweeper.visit(self.partition), 0)
        self.assertEqual(self.remaining_keys(), {"t1"})

    def test_sample_size_follows_process_count(self) -> None:
        """Sample so many partitions that all processes together cover them."""
        sample = self.sweeper.sample_partitions()
        self.assertEqual(len(sample), len(self.partition_map.all_partitions) // 4)
        self.assertEqual(len(set(sample)), len(sample))
