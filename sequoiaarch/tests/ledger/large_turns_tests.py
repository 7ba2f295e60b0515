"""Test turns that are larger than a record of the log."""

from __future__ import annotations

import asyncio

from ...errors import ErrorKind, FailureError
from ...ids import ProgramId, TurnId
from ...ledger.appender import Appender, AppendLimits
from ...ledger.ledger import Ledger
from ...ledger.partition_map import PartitionMap
from ...ledger.terms import TurnContent
from ...storage.keyed import KeyedRecord, Partition
from .ledger_tests import PROGRAM, LedgerTestCase, prompt, terms

LIMITS = AppendLimits(record=8 * 1024, call=32 * 1024)
OTHER = ProgramId("other")
GIVEN = b"given " * 10_000
PRODUCED = b"produced " * 5_000


class LargeTurnTests(LedgerTestCase):
    """Write turns of many times the size of a record."""

    async def asyncSetUp(self) -> None:
        """Limit the records of the store."""
        await super().asyncSetUp()
        self.store.record_bytes = LIMITS.record

    async def ledger(self, name: str, *, per_topic: int = 1) -> Ledger:
        """Return the ledger of a process that knows the limits."""
        ledger = Ledger(
            log=self.store.client(),
            writer=name,
            partition_map=PartitionMap(per_topic=per_topic),
            limits=LIMITS,
        )
        self._ledgers.append(ledger)
        return ledger

    async def test_large_turn(self) -> None:
        """A turn that exceeds a record is appended again without end."""
        one = await self.ledger("one")
        await self.commit(one, "t1", None, b"first", b"answer")
        async with asyncio.timeout(5.0):
            await self.commit(one, "t2", "t1", GIVEN, PRODUCED)
        await self.commit(one, "t3", "t2", b"last", b"end")
        expected = b"firstanswer" + GIVEN + PRODUCED
        for name in ("one", "two"):
            ledger = one if name == "one" else await self.ledger(name)
            found = await ledger.history(PROGRAM, TurnId("t2"))
            self.assertEqual(prompt(found), expected)
        self.store.compact()
        listed = await (await self.ledger("three")).history(PROGRAM, TurnId("t3"))
        self.assertEqual(prompt(listed), expected + b"lastend")

    async def test_large_history_of_another_program(self) -> None:
        """A program that continues a long conversation of another one never ends."""
        one = await self.ledger("one")
        await self.commit(one, "t1", None, GIVEN, PRODUCED)
        found = await one.history(OTHER, TurnId("t1"))
        copied = prompt(found)
        assert isinstance(copied, bytes)
        content = TurnContent(parent=None, given=b"next", produced=b"", base=copied)
        async with asyncio.timeout(5.0):
            await one.write(terms("t2", program=OTHER), content)
        two = await self.ledger("two")
        result = await two.history(OTHER, TurnId("t2"))
        self.assertEqual(prompt(result), GIVEN + PRODUCED + b"next")

    async def test_history_of_another_program_in_the_same_partition(self) -> None:
        """A history loses its beginning when another program is removed."""
        one = await self.ledger("one")
        partition = one.partition(PROGRAM)
        same = next(
            program
            for program in (ProgramId(f"other-{number}") for number in range(10_000))
            if one.partition(program) is partition
        )
        await self.commit(one, "t1", None, b"in", b"out")
        found = await one.history(same, TurnId("t1"))
        own = await one.history(PROGRAM, TurnId("t1"))
        self.assertEqual(prompt(found), b"inout")
        self.assertEqual(
            [getattr(found, "own", None), getattr(own, "own", None)], [False, True]
        )


class RejectedRecordTests(LedgerTestCase):
    """Append records of which the log never takes some."""

    async def test_one_record_is_never_taken(self) -> None:
        """A record that the log never takes stops all behind it."""
        self.store.record_bytes = 100
        appender = Appender(
            log=self.store.client(),
            partition=Partition(topic="keyed.test", number=0),
            writer="one",
        )
        sizes = (10, 200, 20, 300, 30)
        futures = [
            appender.append(KeyedRecord(key=str(size), value=bytes(size)), urgent=True)
            for size in sizes
        ]
        async with asyncio.timeout(5.0):
            results = await asyncio.gather(*futures, return_exceptions=True)
            later = appender.append(KeyedRecord(key="k", value=b"v"), urgent=True)
            self.assertEqual(await later, 3)
        for size, result in zip(sizes, results, strict=True):
            if size <= 100:
                self.assertIsInstance(result, int)
                continue
            assert isinstance(result, FailureError)
            self.assertIs(result.failure.kind, ErrorKind.INTERRUPTED)
        await appender.close()
