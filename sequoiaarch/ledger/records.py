"""Encode what the log keeps of each turn."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from ..ids import ProgramId, TurnId


class Stage(IntEnum):
    """Say how far a turn has come."""

    RESERVED = 0
    SETTLED = 1
    RETAINED = 2


class TurnRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Hold one turn; the newest record of a turn replaces the earlier ones.

    `tokens` is the most that the turn may hand out while it is reserved, and
    what it handed out afterwards. Only a retained turn has its input and
    output, as the exact bytes of its part of a prompt.
    """

    stage: Stage
    program: ProgramId
    budget: int
    tokens: int
    retention: float
    parent: TurnId | None = None
    given: bytes = b""
    produced: bytes = b""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(TurnRecord)


def encode_turn(record: TurnRecord) -> bytes:
    """Return the bytes of a record."""
    return _encoder.encode(record)


def decode_turn(data: bytes) -> TurnRecord | None:
    """Return the record in the bytes; None where they hold none."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None
