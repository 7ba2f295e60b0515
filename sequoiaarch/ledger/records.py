"""Encode what the log keeps of turns and budgets."""

from __future__ import annotations

import msgspec

from ..ids import ProgramId, TurnId, WriterId


class TurnRecord(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="turn"
):
    """Hold one turn of a program's history.

    `given` and `produced` are the exact bytes of its input and of its output
    as they stand in later prompts; `retention` is in seconds. A turn without a
    parent may have a `base`: the history of the other program that it
    continues, whose own records go when that program has ended.
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
    """Grant a writer a part of a program's budget.

    `tokens` is the most that the writer's turns of the program may hand out in
    all, `used` what they had handed out when it was written, `limit` the most
    that all grants of the program may add up to; the budget where it is unset.
    `wanted` is what its open turns may still come to in all. Nobody depends on
    it for what may be handed out: while the record is new others leave so much
    free, so that no turn is cut that had room when it began.
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
    """Name the program of a turn; `retention` is in seconds."""

    program: ProgramId
    retention: float


Record = TurnRecord | GrantRecord | IndexRecord

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Return the bytes of a record."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> Record | None:
    """Return the record in the bytes; None where they hold none."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None


def grant_key(program: ProgramId, writer: WriterId) -> str:
    """Return the key of a writer's grant."""
    return f"{program}/{writer}"
