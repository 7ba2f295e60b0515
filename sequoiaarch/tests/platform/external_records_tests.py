"""Test store records that other processes wrote."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Awaitable
from typing import Any
from unittest import mock

import msgspec
from hypothesis import given, settings, strategies as st

from ...errors import Failure
from ...ids import InstanceId, Offset, ServiceName
from ...platform.documents import decode_routes, decode_target
from ...platform.store import PlatformLog
from ...routing import registrations as registrations_module
from ...routing.registrations import Registrations
from ...routing.targets import Targets
from ...storage.calls import StoreCall, StoreReply
from ...storage.keyed import ListedRecord, Partition
from .deployment import (
    ROUTES,
    TOOLS,
    DeploymentTestCase,
    config,
    registration,
    tool_answer,
)

PARTITION = Partition(topic="keyed.servers", number=0)
VALID = registration("engines", "10.1.2.3:8080")
INVALID: dict[str, Any] = {
    "state": ["on fire", "", None, 1],
    "address": ["10.1.2.3:99999", "10.1.2.3:0", "10.1.2.3:-5", "host:80", "x", 7],
    "slots": [0, -1, "8", None, 1.5],
    "zone": ["", None, 3],
    "service": ["", None, 3],
    "version": [None, 1],
    "sequence": ["1", None],
    "coldRemainingMs": ["soon", None],
    "born": ["1700000000000", 1.5, -1, None],
}


def encode(**changes: Any) -> bytes:
    """Return a registration with fields changed."""
    return json.dumps({**VALID, **changes}).encode()


class RegistrationTests(unittest.TestCase):
    """Decode registrations."""

    def test_valid_registration(self) -> None:
        """Decode a registration with and without its start time."""
        self.assertEqual(decode_target("i-1", encode()).born, 0)
        entry = decode_target("i-1", encode(born=1_700_000_000_000, more="unknown"))
        self.assertEqual(entry.born, 1_700_000_000_000)

    def test_invalid_fields(self) -> None:
        """Reject a field that has another type or is out of range."""
        for name, values in INVALID.items():
            for value in values:
                with (
                    self.subTest(name=name, value=value),
                    self.assertRaises(ValueError),
                ):
                    decode_target("i-1", encode(**{name: value}))

    def test_missing_fields(self) -> None:
        """Reject a registration without one of the required fields."""
        for name in VALID:
            rest = {key: value for key, value in VALID.items() if key != name}
            with self.subTest(name=name), self.assertRaises(ValueError):
                decode_target("i-1", json.dumps(rest).encode())

    def test_invalid_registration_is_logged_once(self) -> None:
        """Log each invalid registration once, and remember a bounded number."""
        with (
            mock.patch.object(registrations_module, "MAX_REPORTED_KEYS", 3),
            mock.patch.object(registrations_module, "log") as log,
        ):
            registrations = Registrations(decode=decode_target, targets=Targets())
            for number in range(5):
                record = ListedRecord(
                    key=f"bad-{number}", value=b"{}", offset=Offset(number)
                )
                for _ in range(3):
                    registrations.apply(record)
        self.assertEqual(log.error.call_count, 5)
        self.assertEqual(len(registrations._reported), 3)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_random_bytes(self, data: bytes) -> None:
        """Raise only ValueError on random bytes."""
        for decode in (lambda: decode_target("k", data), lambda: decode_routes(data)):
            with self.assertRaises(ValueError):
                decode()

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from([*VALID, "born"]),
            st.one_of(
                st.none(),
                st.booleans(),
                st.integers(),
                st.floats(allow_nan=False, allow_infinity=False),
                st.text(max_size=20),
                st.lists(st.integers(), max_size=2),
            ),
        )
    )
    def test_random_fields(self, changes: dict[str, Any]) -> None:
        """Return a usable target or raise ValueError."""
        try:
            entry = decode_target("k", encode(**changes))
        except ValueError:
            return
        self.assertTrue(0 < entry.port <= 65535 and entry.slots > 0)


class _FixedReplyClient:
    """Store client that answers every call with the same bytes."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Return the bytes with status 200."""
        return StoreReply(status=200, body=self._body)


def log_of(body: bytes) -> PlatformLog:
    """Return a log whose store answers every call with the bytes."""
    return PlatformLog(client=_FixedReplyClient(body))


def run(answer: Awaitable[Any]) -> Any:
    """Run a call to its end and return its result."""

    async def call() -> Any:
        return await answer

    return asyncio.run(call())


def frame(content: bytes) -> bytes:
    """Return a record with its length, as in a page of the store."""
    return len(content).to_bytes(4, "big") + content


class LogAnswerTests(unittest.TestCase):
    """Decode answers of the store."""

    def test_unreadable_key_keeps_offsets(self) -> None:
        """Skip the content of a record with an undecodable key, but not its offset."""
        body = (3).to_bytes(8, "big") + bytes(8)
        body += frame(b"\x01aone") + frame(b"\x02\xff\xfex") + frame(b"\x01btwo")
        page = run(log_of(body).read(PARTITION, 0, wait=0))  # type: ignore[arg-type]
        self.assertEqual([record.key for record in page.records], ["a", "", "b"])
        self.assertEqual(page.next, 3)

    def test_listed_value_that_is_not_base64(self) -> None:
        """Skip a listed record whose value isn't base64."""
        items = [
            {"key": "a", "value": "b25l", "offset": 1},
            {"key": "b", "value": "!", "offset": 2},
        ]
        body = json.dumps({"items": items, "endOffset": 3}).encode()
        newest = run(log_of(body).newest(PARTITION))
        self.assertEqual([record.key for record in newest.records], ["a"])

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.binary(max_size=80))
    def test_random_answer(self, body: bytes) -> None:
        """Return records or a failure on random bytes, without an exception."""
        page = run(log_of(body).read(PARTITION, 0, wait=0))  # type: ignore[arg-type]
        self.assertIsInstance(page, Failure | msgspec.Struct)
        self.assertIsInstance(run(log_of(body).newest(PARTITION)), Failure)

    def test_missing_list(self) -> None:
        """Fail on an answer without the list instead of reporting no records."""
        for body in (b'{"":true}', b"{}", b'{"items":[]}', b'{"endOffset":3}'):
            with self.subTest(body=body):
                self.assertIsInstance(run(log_of(body).newest(PARTITION)), Failure)

    def test_empty_record(self) -> None:
        """Skip a record without content."""
        body = (1).to_bytes(8, "big") + bytes(8) + frame(b"")
        page = run(log_of(body).read(PARTITION, 0, wait=0))  # type: ignore[arg-type]
        self.assertEqual(page.next, 1)


class ExternalRecordTests(DeploymentTestCase):
    """Serve requests while other processes write invalid registrations."""

    async def write_registration(self, key: str, value: bytes) -> None:
        """Write a registration as another process does."""
        await self.store.put("keyed.servers", key, value)

    async def check_served(self, name: str) -> None:
        """Check that a running and a new gateway serve requests."""
        for daemon in (self.daemons["one"], await self.add_daemon(name)):
            for _ in range(4):
                answer = await self.call(daemon, "/safe/a", method="GET")
                self.assertEqual(answer.status, 200)

    async def test_invalid_registrations_get_no_requests(self) -> None:
        """Send every request to the valid target beside invalid registrations."""
        await self.add_target("i-good", TOOLS, tool_answer)
        await self.add_daemon("one")
        bad = {**VALID, "service": TOOLS, "address": "127.0.0.1:1"}
        await self.write_registration(
            "i-a", json.dumps({**bad, "state": "on fire"}).encode()
        )
        await self.write_registration("i-b", json.dumps({**bad, "slots": "8"}).encode())
        await self.write_registration("i-c", b"\xff\xfe{")
        await self.write_registration(
            "i-d", json.dumps({**bad, "address": "127.0.0.1:0"}).encode()
        )
        await asyncio.sleep(0.4)
        await self.check_served("two")

    async def test_deeply_nested_records(self) -> None:
        """A record of many nested lists ends the reader of its topic for good."""
        await self.add_target("i-good", TOOLS, tool_answer)
        await self.add_daemon("one")
        nested = b'{"x":' + b"[" * 1500 + b"]" * 1500 + b"}"
        await self.write_registration("i-nested", nested)
        await self.store.put("keyed.op", "config", nested)
        await asyncio.sleep(0.4)
        await self.register("i-good", TOOLS, "draining")
        await self.add_target("i-other", TOOLS, tool_answer)
        await asyncio.sleep(0.5)
        await self.store.put("keyed.op", "config", config(2, ROUTES))
        await self.check_served("two")
        self.assertEqual(self.targets["i-good"].exchanges, [])

    async def test_invalid_registration_replaces_valid_one(self) -> None:
        """Remove a target when its newest registration is invalid.

        This holds for a running gateway and for one that starts afterwards. The target
        returns with its next heartbeat.
        """
        await self.add_target("i-good", TOOLS, tool_answer)
        await self.add_target("i-other", TOOLS, tool_answer)
        await self.add_daemon("one")
        await self.write_registration("i-good", b"{}")
        await asyncio.sleep(0.4)
        await self.check_served("two")
        for daemon in self.daemons.values():
            self.assertIsNone(daemon.targets.find(InstanceId("i-good")))
        await self.register("i-good", TOOLS)
        await asyncio.sleep(0.5)
        for daemon in self.daemons.values():
            self.assertEqual(len(daemon.targets.of(ServiceName(TOOLS))), 2)


class RestartTests(unittest.TestCase):
    """Register targets that restart under the same id."""

    def setUp(self) -> None:
        """Collect the targets whose state is dropped."""
        self.dropped: list[InstanceId] = []
        self.targets = Targets(clock=lambda: 0.0, dropped=self.dropped.append)
        self.end = 1

    def put(self, start_time: int, offset: int | None = None) -> None:
        """Register the target with a start time, at an offset or else at the end."""
        if offset is None:
            self.end, offset = self.end + 1, self.end
        entry = decode_target("i-1", encode(born=start_time))
        self.targets.put(entry, Offset(offset))

    def start_time(self) -> int:
        """Return the start time in the current registration."""
        entry = self.targets.find(InstanceId("i-1"))
        assert entry is not None
        return entry.born

    def test_restart_drops_target_state(self) -> None:
        """Drop what was learned about the target before its restart."""
        self.put(10)
        self.put(20)
        self.assertEqual(self.dropped, ["i-1@10"])
        self.assertEqual(self.start_time(), 20)

    def test_older_registration_is_ignored(self) -> None:
        """Keep the registration with the newer offset."""
        self.put(20, offset=5)
        self.put(10, offset=4)
        self.put(30, offset=4)
        self.assertEqual(self.start_time(), 20)
        self.assertEqual(self.dropped, [])

    def test_restart_after_clock_was_set_back(self) -> None:
        """A restarted target whose clock was set back is taken for an older one."""
        self.put(20)
        self.put(10)
        self.assertEqual(self.start_time(), 10)
        self.assertEqual(self.dropped, ["i-1@20"])

    def test_heartbeat_keeps_target_state(self) -> None:
        """Keep what was learned about the target on a heartbeat."""
        self.put(10)
        self.put(10)
        self.assertEqual(self.dropped, [])

    def test_registration_without_start_time(self) -> None:
        """Remove a target whose newest registration lacks the start time."""
        self.put(10)
        self.targets.put(decode_target("i-1", encode()), Offset(9))
        self.assertIsNone(self.targets.find(InstanceId("i-1")))
