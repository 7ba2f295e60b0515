"""Map programs and turns to partitions of the log."""

from __future__ import annotations

import xxhash

from ..ids import ProgramId, TurnId
from ..storage.keyed import Partition

# The first use of a program in a process reads its whole partition, so partitions are
# many and small. The store takes 100 topics at most.
LEDGER_TOPICS = 80
LEDGER_PREFIX = "keyed.ledger-"
INDEX_TOPIC = "keyed.index"


class PartitionMap:
    """Assign programs and turns to partitions by hash, `per_topic` to a topic."""

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
        """Return the partition of a turn's index record."""
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
