"""Measure turns that continue a long history of another program."""

from __future__ import annotations

import asyncio
import time
import tracemalloc

import click
import msgspec

from ..ids import ProgramId, TurnId
from ..ledger.appender import DEFAULT_LIMITS, AppendLimits
from ..ledger.ledger import Ledger
from ..ledger.partition_map import PartitionMap
from ..ledger.terms import History, TurnContent, TurnTerms
from ..standins.keyed_store import KeyedStore

KIB = 1024
MIB = 1024 * KIB
# Bytes of the history; the last is the largest body of a request.
SIZES = (300 * KIB, MIB, 4 * MIB)
PROGRAM = ProgramId("program")
# Limits under which the turn is one record, however large.
UNLIMITED = AppendLimits(record=64 * MIB, call=128 * MIB)


class LargeTurnCost(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of one turn; times in milliseconds, sizes in bytes."""

    history: int
    records: int
    write_ms: float
    read_ms: float
    peak_bytes: int


def measure_large_turns() -> None:
    """Print a line for each size, as one record and as records within the limit."""
    for size in SIZES:
        for limits in (UNLIMITED, DEFAULT_LIMITS):
            cost = asyncio.run(_measure(size, limits))
            click.echo(msgspec.json.encode(cost).decode())


async def _measure(size: int, limits: AppendLimits) -> LargeTurnCost:
    store = KeyedStore()
    content = TurnContent(parent=None, given=b"in", produced=b"out", base=bytes(size))
    terms = TurnTerms(
        turn=TurnId("turn"), program=PROGRAM, budget=1, most=1, retention=60.0
    )
    tracemalloc.start()
    writer, reader = _ledger(store, limits, "writer"), _ledger(store, limits, "reader")
    began_at = time.perf_counter()
    await writer.write(terms, content)
    written_at = time.perf_counter()
    found = await reader.history(PROGRAM, terms.turn)
    read_at = time.perf_counter()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert isinstance(found, History) and len(found.prompt) == size + 5
    await writer.close()
    await reader.close()
    return LargeTurnCost(
        history=size,
        records=len(store.records(but="")),
        write_ms=round((written_at - began_at) * 1000, 2),
        read_ms=round((read_at - written_at) * 1000, 2),
        peak_bytes=peak,
    )


def _ledger(store: KeyedStore, limits: AppendLimits, name: str) -> Ledger:
    return Ledger(
        log=store.client(),
        writer=name,
        partition_map=PartitionMap(per_topic=1),
        limits=limits,
    )
