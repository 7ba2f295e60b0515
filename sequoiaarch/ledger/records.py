"""Define and encode the records that the log stores of turns and budgets."""

from __future__ import annotations

import msgspec

from ..ids import ProgramId, TurnId, WriterId


class TurnRecord(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="turn"
):
    """One turn of a program's history.

    `given` and `produced` are the exact bytes of its input and output as they appear in
    later prompts; `retention` is in seconds. A turn without a parent may have a `base`:
    a copy of the history that it continues from another program, whose own records are
    removed when that program ends.
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

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Return the bytes of a record."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> Record | None:
    """Return the decoded record; None if the bytes are not a valid record."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None


def grant_key(program: ProgramId, writer: WriterId) -> str:
    """Return the key of a writer's grant record."""
    return f"{program}/{writer}"
