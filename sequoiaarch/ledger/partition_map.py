"""Spread the records of programs over the partitions of several topics."""

from __future__ import annotations

import xxhash

from ..ids import ProgramId, TurnId
from ..storage.keyed import Partition

# A process that first meets a program reads the program's whole partition. With
# 960 of them that is two or three programs, 10 to 40 KB; with four it was the
# whole store, 60 MB for each of 38 processes after a power loss, and none of
# them served again within 16 s. The store takes 100 topics at most.
LEDGER_TOPICS = 80
LEDGER_PREFIX = "keyed.ledger-"
INDEX_TOPIC = "keyed.index"


class PartitionMap:
    """Say where records stand; `per_topic` partitions make a topic."""

    def __init__(self, *, per_topic: int) -> None:
        self._per_topic = per_topic

    @property
    def all_partitions(self) -> list[Partition]:
        """Return every partition that holds records of programs or turns."""
        partitions = [self._ledger(number) for number in range(self._ledger_count)]
        partitions += [self._index(number) for number in range(self._per_topic)]
        return partitions

    def of_program(self, program: ProgramId) -> Partition:
        """Return the partition of a program's turns and grants."""
        return self._ledger(_hash(program) % self._ledger_count)

    def of_turn(self, turn: TurnId) -> Partition:
        """Return the partition that tells the program of a turn."""
        return self._index(_hash(turn) % self._per_topic)

    @property
    def _ledger_count(self) -> int:
        return LEDGER_TOPICS * self._per_topic

    def _ledger(self, number: int) -> Partition:
        topic, partition = divmod(number, self._per_topic)
        return Partition(topic=f"{LEDGER_PREFIX}{topic:02}", number=partition)

    def _index(self, number: int) -> Partition:
        return Partition(topic=INDEX_TOPIC, number=number)


def _hash(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode())
