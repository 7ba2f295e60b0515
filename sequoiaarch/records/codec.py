"""Encode and decode the records of the log as MessagePack."""

from __future__ import annotations

import msgspec

from .types import ShardRecord

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[ShardRecord] = msgspec.msgpack.Decoder(ShardRecord)


def encode_record(record: ShardRecord) -> bytes:
    """Encode a record for the log."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> ShardRecord | None:
    """Decode a record, or return None if the bytes are not a valid record."""
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None
