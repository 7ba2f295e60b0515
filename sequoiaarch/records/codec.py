"""Encode records for the log and decode them again."""

from __future__ import annotations

import msgspec

from .types import ShardRecord

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[ShardRecord] = msgspec.msgpack.Decoder(ShardRecord)


def encode_record(record: ShardRecord) -> bytes:
    """Return the bytes of a record as they stand in the log."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> ShardRecord | None:
    """Return the record, or None where the bytes are no record of ours."""
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None
