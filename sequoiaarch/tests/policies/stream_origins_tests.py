"""Test the table of the origins of streams."""

from __future__ import annotations

import unittest

from ...ids import AttemptId, ServiceName, SoftwareVersion, StreamKey
from ...policies.stream_origins import (
    MAX_LIFE,
    Origin,
    OriginTable,
    stream_keys,
)

KEY = StreamKey(b"key")
LIFE = 10.0


def origin(version: str, service: str = "engines") -> Origin:
    """Return the origin of a stream."""
    return Origin(service=ServiceName(service), version=SoftwareVersion(version))


class OriginTableTests(unittest.TestCase):
    """Test a table with room for three keys."""

    def setUp(self) -> None:
        """Create the table."""
        self.table = OriginTable(max_keys=3)

    def record(
        self, key: StreamKey, version: str, now: float, life: float = LIFE
    ) -> None:
        """Record an origin."""
        self.table.record(key, origin(version), life=life, now=now)

    def origin_of(self, key: StreamKey, now: float) -> Origin | None:
        """Return the known origin of a stream."""
        record = self.table.find(key, now)
        assert record is not None
        return record.origin

    def test_unknown_stream(self) -> None:
        """Know nothing of a stream that was not recorded."""
        self.assertIsNone(self.table.find(KEY, 0.0))

    def test_origin_expires(self) -> None:
        """Forget an origin after its life, and no earlier."""
        self.record(KEY, "v1", 0.0)
        self.assertEqual(self.origin_of(KEY, 9.9), origin("v1"))
        self.assertIsNone(self.table.find(KEY, 10.0))

    def test_repeated_record_extends_life(self) -> None:
        """Keep a stream that is resumed, with the time at which it began."""
        self.record(KEY, "v1", 0.0)
        self.record(KEY, "v1", 8.0)
        record = self.table.find(KEY, 17.0)
        assert record is not None
        self.assertEqual((record.origin, record.recorded_at), (origin("v1"), 0.0))

    def test_contradictory_origins(self) -> None:
        """Trust neither of two versions of one key, whichever comes last."""
        for later in (origin("v2"), origin("v1", "others")):
            self.table = OriginTable()
            self.record(KEY, "v1", 0.0)
            self.table.record(KEY, later, life=LIFE, now=1.0)
            self.record(KEY, "v1", 2.0)
            self.assertIsNone(self.origin_of(KEY, 3.0))

    def test_key_is_used_again_later(self) -> None:
        """Record another version for a key whose stream has been forgotten."""
        self.record(KEY, "v1", 0.0)
        self.record(KEY, "v2", 11.0)
        self.assertEqual(self.origin_of(KEY, 12.0), origin("v2"))

    def test_too_many_streams(self) -> None:
        """Forget the oldest streams if there are too many."""
        for number in range(5):
            self.record(StreamKey(bytes([number])), "v1", float(number))
        self.assertEqual(len(self.table), 3)
        self.assertIsNone(self.table.find(StreamKey(b"\1"), 5.0))
        self.assertIsNotNone(self.table.find(StreamKey(b"\2"), 5.0))

    def test_life_is_limited(self) -> None:
        """Keep no stream for longer than the limit, and none for a negative time."""
        self.record(KEY, "v1", 0.0, life=1e9)
        self.assertIsNone(self.table.find(KEY, MAX_LIFE))
        self.record(KEY, "v1", 2 * MAX_LIFE, life=-1.0)
        self.assertIsNone(self.table.find(KEY, 2 * MAX_LIFE))


class StreamKeysTests(unittest.TestCase):
    """Compare the keys of streams."""

    def test_keys_are_scoped(self) -> None:
        """Separate the attempts and requests of different workspaces."""
        first = stream_keys("one", AttemptId("a"), b"x")
        other = stream_keys("two", AttemptId("a"), b"x")
        self.assertFalse(set(first.all) & set(other.all))

    def test_best_key(self) -> None:
        """Search by the attempt if it is known, or else by the request."""
        known = stream_keys("", AttemptId("a"), b"x")
        unknown = stream_keys("", None, b"x")
        self.assertEqual(known.best, known.first)
        self.assertEqual(unknown.best, known.content)

    def test_ids_of_any_length(self) -> None:
        """Use keys of one size for ids of any length."""
        sizes = {
            len(key)
            for attempt in ("", "a", "é" * 10_000)
            for key in stream_keys("w", AttemptId(attempt), b"").all
        }
        self.assertEqual(sizes, {16})
