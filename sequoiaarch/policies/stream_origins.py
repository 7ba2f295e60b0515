"""Remember at which version of a service each stream began."""

from __future__ import annotations

import hashlib
from collections import OrderedDict

import msgspec

from ..ids import AttemptId, ServiceName, SoftwareVersion, StreamKey

KEY_BYTES = 16
SEPARATOR = "\0"
# Keys remembered by one process, about 7 MB. With three copies of each stream, 12
# streams a second that begin at each process and a life of 33 s, a seventh is in use.
MAX_KEYS = 16_384
# Upper limit for the time for which a stream is remembered, in seconds.
MAX_LIFE = 600.0


class Origin(msgspec.Struct, frozen=True, kw_only=True):
    """Service and software version of the target that wrote a stream's first event."""

    service: ServiceName
    version: SoftwareVersion


class OriginRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of a stream; times are those of the clock of the process.

    `origin` is None if there are contradictory reports, as callers choose the ids.
    """

    origin: Origin | None
    recorded_at: float
    until: float


class StreamKeys(msgspec.Struct, frozen=True, kw_only=True):
    """Keys of fixed size by which a stream is found again.

    `first` is that of the attempt that brought the first event, None if the caller does
    not name it. `content` is that of the request, which each attempt repeats.
    """

    first: StreamKey | None
    content: StreamKey

    @property
    def best(self) -> StreamKey:
        """Return the key to search by."""
        return self.first or self.content

    @property
    def all(self) -> list[StreamKey]:
        """Return all keys."""
        return [self.content] if self.first is None else [self.first, self.content]


def stream_keys(workspace: str, first: AttemptId | None, content: bytes) -> StreamKeys:
    """Return the keys of a stream; callers choose ids only for their workspace."""
    prefix = f"{workspace}{SEPARATOR}".encode()
    return StreamKeys(
        first=None if first is None else _digest(prefix + first.encode()),
        content=_digest(prefix + content),
    )


def _digest(data: bytes) -> StreamKey:
    return StreamKey(hashlib.blake2b(data, digest_size=KEY_BYTES).digest())


class OriginTable:
    """Remember the origins of streams for a limited time.

    If there are too many, the ones that were recorded first are forgotten.
    """

    def __init__(self, *, max_keys: int = MAX_KEYS) -> None:
        self._max_keys = max_keys
        self._records: OrderedDict[StreamKey, OriginRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def record(
        self, key: StreamKey, origin: Origin | None, *, life: float, now: float
    ) -> None:
        """Remember an origin for `life` seconds, or extend its life."""
        until = now + min(max(life, 0.0), MAX_LIFE)
        recorded_at = now
        known = self.find(key, now)
        if known is not None:
            if known.origin != origin:
                origin = None
            until = max(until, known.until)
            recorded_at = known.recorded_at
        self._records[key] = OriginRecord(
            origin=origin, recorded_at=recorded_at, until=until
        )
        self._records.move_to_end(key)
        self._drop_oldest(now)

    def find(self, key: StreamKey, now: float) -> OriginRecord | None:
        """Return what is known of a stream; None if nothing is."""
        record = self._records.get(key)
        return record if record is not None and record.until > now else None

    def _drop_oldest(self, now: float) -> None:
        while self._records:
            oldest = next(iter(self._records.values()))
            if oldest.until > now and len(self._records) <= self._max_keys:
                return
            self._records.popitem(last=False)
