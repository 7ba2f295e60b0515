"""Define and encode the records that the log stores of turns and budgets."""

from __future__ import annotations

import msgspec

from ..ids import ProgramId, TurnId, WriterId


class TurnRecord(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="turn"
):
    """One turn of a program's history.

    `given` and `produced` are the exact bytes of its input and output as they appear in
    later prompts; `retention` is in seconds. A `base` comes before them: a part of a
    turn that is larger than a record, or a copy of the history that the turn continues
    from another program, whose own records are removed when that program ends.
    """

    program: ProgramId
    retention: float
    parent: TurnId | None
    given: bytes
    produced: bytes
    base: bytes = b""


class GrantRecord(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="grant"
):
    """Grant of a part of a program's budget to one writer.

    `tokens` is the maximum that the writer's turns of the program may use in total,
    `used` what they had used when the record was written, and `limit` the bound on the
    sum of all grants of the program, the budget if unset. `wanted` is the total that
    the writer's open turns may reach. It grants nothing, but other writers leave that
    much free while the record is recent, so that running turns are not cut off.
    """

    program: ProgramId
    retention: float
    writer: WriterId
    budget: int
    tokens: int
    used: int
    limit: int | None = None
    wanted: int = 0


class IndexRecord(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="index"
):
    """Program of a turn; `retention` is in seconds."""

    program: ProgramId
    retention: float


Record = TurnRecord | GrantRecord | IndexRecord

# Separates the key of a turn from the number of a part of it. Callers' ids can't
# contain it, as HTTP headers have no control characters.
PART_SEPARATOR = "\x1f"
# Maximum bytes of the ids of programs and turns, with their workspace. Keys have at
# most 255, and add a writer or the number of a part.
MAX_ID_BYTES = 230
# Bytes of a record besides its content: three ids, each short enough for a key, and
# their encoding.
RECORD_OVERHEAD = 1024

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Return the bytes of a record."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> Record | None:
    """Return the decoded record; None if the bytes are not a valid record."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None


def turn_records(
    turn: TurnId, record: TurnRecord, max_bytes: int
) -> list[tuple[TurnId, TurnRecord]]:
    """Return the records of a turn, none of which exceeds a size in bytes.

    A turn that is larger continues a chain of parts, each of which is a turn to its
    readers, also to those of earlier builds.
    """
    limit = max_bytes - RECORD_OVERHEAD
    if len(record.base) + len(record.given) + len(record.produced) <= limit:
        return [(turn, record)]
    content = record.base + record.given + record.produced
    parent = record.parent
    records: list[tuple[TurnId, TurnRecord]] = []
    for start in range(0, len(content), limit):
        last = start + limit >= len(content)
        number = len(records) + 1
        key = turn if last else TurnId(f"{turn}{PART_SEPARATOR}{number}")
        part = msgspec.structs.replace(
            record,
            parent=parent,
            given=b"",
            produced=b"",
            base=content[start : start + limit],
        )
        records.append((key, part))
        parent = key
    return records


def grant_key(program: ProgramId, writer: WriterId) -> str:
    """Return the key of a writer's grant record."""
    return f"{program}/{writer}"
