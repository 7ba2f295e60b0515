"""Test entries of the store that come from another writer."""

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
from ...ids import InstanceId, ServiceName
from ...platform.documents import decode_routes, decode_target
from ...platform.store import PlatformLog
from ...routing import registrations as registrations_module
from ...routing.registrations import Registrations
from ...routing.targets import Targets
from ...storage.calls import StoreCall, StoreReply
from ...storage.keyed import KeyedRecord, Partition
from .site import TOOLS, SiteTestCase, registration, tool_answer

PARTITION = Partition(topic="keyed.servers", number=0)
GOOD = registration("engines", "10.1.2.3:8080")
BAD: dict[str, Any] = {
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
    return json.dumps({**GOOD, **changes}).encode()


class RegistrationTests(unittest.TestCase):
    """Decode registrations one by one."""

    def test_good_entry(self) -> None:
        """Take an entry as documented, with and without the time of its start."""
        self.assertEqual(decode_target("i-1", encode()).born, 0)
        entry = decode_target("i-1", encode(born=1_700_000_000_000, more="unknown"))
        self.assertEqual(entry.born, 1_700_000_000_000)

    def test_bad_fields(self) -> None:
        """Refuse each field that is of another type or out of range."""
        for name, values in BAD.items():
            for value in values:
                with (
                    self.subTest(name=name, value=value),
                    self.assertRaises(ValueError),
                ):
                    decode_target("i-1", encode(**{name: value}))

    def test_missing_fields(self) -> None:
        """Refuse an entry that lacks a documented field."""
        for name in GOOD:
            left = {key: value for key, value in GOOD.items() if key != name}
            with self.subTest(name=name), self.assertRaises(ValueError):
                decode_target("i-1", json.dumps(left).encode())

    def test_bad_key_is_reported_once(self) -> None:
        """Bound the lines and the memory that bad entries cost."""
        with (
            mock.patch.object(registrations_module, "MAX_REPORTED_KEYS", 3),
            mock.patch.object(registrations_module, "log") as log,
        ):
            registrations = Registrations(decode=decode_target, targets=Targets())
            for number in range(5):
                record = KeyedRecord(key=f"bad-{number}", value=b"{}")
                for _ in range(3):
                    registrations.apply(record)
        self.assertEqual(log.error.call_count, 5)
        self.assertEqual(len(registrations._reported), 3)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, data: bytes) -> None:
        """Raise nothing but ValueError, whatever the bytes are."""
        for decode in (lambda: decode_target("k", data), lambda: decode_routes(data)):
            with self.assertRaises(ValueError):
                decode()

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from([*GOOD, "born"]),
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
    def test_any_fields(self, changes: dict[str, Any]) -> None:
        """Return a target that can be used, or raise ValueError."""
        try:
            entry = decode_target("k", encode(**changes))
        except ValueError:
            return
        self.assertTrue(0 < entry.port <= 65535 and entry.slots > 0)


class _Replies:
    """Answer store calls with given bytes."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Return the bytes as a good answer."""
        return StoreReply(status=200, body=self._body)


def read(body: bytes) -> PlatformLog:
    """Return a log whose store answers with the bytes."""
    return PlatformLog(client=_Replies(body))


def run(answer: Awaitable[Any]) -> Any:
    """Return what a call returns."""

    async def call() -> Any:
        return await answer

    return asyncio.run(call())


def frame(content: bytes) -> bytes:
    """Return a record as it stands in a page."""
    return len(content).to_bytes(4, "big") + content


class PageTests(unittest.TestCase):
    """Decode the store's answers."""

    def test_record_with_unreadable_key_keeps_its_place(self) -> None:
        """Pass over a record whose key is no text, and keep all others."""
        body = (3).to_bytes(8, "big") + bytes(8)
        body += frame(b"\x01aone") + frame(b"\x02\xff\xfex") + frame(b"\x01btwo")
        page = run(read(body).read(PARTITION, 0, wait=0))  # type: ignore[arg-type]
        self.assertEqual([one.key for one in page.records], ["a", "", "b"])
        self.assertEqual(page.next, 3)

    def test_listed_value_that_is_not_base64(self) -> None:
        """Pass over one listed record and keep the others."""
        items = [
            {"key": "a", "value": "b25l", "offset": 1},
            {"key": "b", "value": "!", "offset": 2},
        ]
        body = json.dumps({"items": items, "endOffset": 3}).encode()
        newest = run(read(body).newest(PARTITION))
        self.assertEqual([one.key for one in newest.records], ["a"])

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.binary(max_size=80))
    def test_any_answer(self, body: bytes) -> None:
        """Return a failure or records, and raise nothing."""
        page = run(read(body).read(PARTITION, 0, wait=0))  # type: ignore[arg-type]
        self.assertIsInstance(page, Failure | msgspec.Struct)
        self.assertIsInstance(run(read(body).newest(PARTITION)), Failure)

    def test_object_without_a_list(self) -> None:
        """Take no other object for an empty list, or "no such turn" is untrue."""
        for body in (b'{"":true}', b"{}", b'{"items":[]}', b'{"endOffset":3}'):
            with self.subTest(body=body):
                self.assertIsInstance(run(read(body).newest(PARTITION)), Failure)

    def test_empty_record(self) -> None:
        """Pass over a record of no bytes at all."""
        body = (1).to_bytes(8, "big") + bytes(8) + frame(b"")
        page = run(read(body).read(PARTITION, 0, wait=0))  # type: ignore[arg-type]
        self.assertEqual(page.next, 1)


class ForeignEntryTests(SiteTestCase):
    """Serve beside entries of another writer, as a change and in a list."""

    async def foreign(self, key: str, value: bytes) -> None:
        """Write an entry as another writer would."""
        await self.store.put("keyed.servers", key, value)

    async def served(self, name: str) -> None:
        """Check that callers are served, and by a gateway that starts now too."""
        for daemon in (self.daemons["one"], await self.add_daemon(name)):
            for _ in range(4):
                answer = await self.call(daemon, "/safe/a", method="GET")
                self.assertEqual(answer.status, 200)

    async def test_entries_of_another_writer_lead_nowhere(self) -> None:
        """Answer every request although bad entries stand beside the good one.

        Entries with an unknown state, an impossible port, no zone, or bytes
        that are no JSON arrive under ids of their own. A request that went to
        one of them would wait, or be refused, for nothing.
        """
        await self.add_target("i-good", TOOLS, tool_answer)
        await self.add_daemon("one")
        bad = {**GOOD, "service": TOOLS, "address": "127.0.0.1:1"}
        await self.foreign("i-a", json.dumps({**bad, "state": "on fire"}).encode())
        await self.foreign("i-b", json.dumps({**bad, "slots": "8"}).encode())
        await self.foreign("i-c", b"\xff\xfe{")
        await self.foreign(
            "i-d", json.dumps({**bad, "address": "127.0.0.1:0"}).encode()
        )
        await asyncio.sleep(0.4)
        await self.served("two")

    async def test_bad_entry_replaces_an_older_good_one(self) -> None:
        """Send nothing where the newest entry names no target.

        Whether the entry arrives as a change or in the list of a process that
        starts, what was registered before under its id no longer counts; the
        target itself writes again within a heartbeat.
        """
        await self.add_target("i-good", TOOLS, tool_answer)
        await self.add_target("i-other", TOOLS, tool_answer)
        await self.add_daemon("one")
        await self.foreign("i-good", b"{}")
        await asyncio.sleep(0.4)
        await self.served("two")
        for daemon in self.daemons.values():
            self.assertIsNone(daemon.targets.find(InstanceId("i-good")))
        await self.register("i-good", TOOLS)
        await asyncio.sleep(0.5)
        for daemon in self.daemons.values():
            self.assertEqual(len(daemon.targets.of(ServiceName(TOOLS))), 2)


class RestartTests(unittest.TestCase):
    """Register targets that start again under their id."""

    def setUp(self) -> None:
        """Hold the names of what is forgotten."""
        self.dropped: list[InstanceId] = []
        self.targets = Targets(clock=lambda: 0.0, dropped=self.dropped.append)

    def put(self, born: int) -> None:
        """Register the target with a time of its start."""
        self.targets.put(decode_target("i-1", encode(born=born)))

    def born(self) -> int:
        """Return the start that is known."""
        entry = self.targets.find(InstanceId("i-1"))
        assert entry is not None
        return entry.born

    def test_start_again_forgets_what_was_learned(self) -> None:
        """Forget the cache, waits, failures and connections of the start before."""
        self.put(10)
        self.put(20)
        self.assertEqual(self.dropped, ["i-1@10"])
        self.assertEqual(self.born(), 20)

    def test_entries_out_of_order(self) -> None:
        """Keep the newer start when a page that was read late shows the older."""
        self.put(20)
        self.put(10)
        self.assertEqual(self.born(), 20)
        self.assertEqual(self.dropped, [])

    def test_heartbeat_of_the_same_start(self) -> None:
        """Forget nothing on a heartbeat."""
        self.put(10)
        self.put(10)
        self.assertEqual(self.dropped, [])

    def test_entry_without_the_time_of_its_start(self) -> None:
        """Take out a target whose newest entry lacks what its own always has."""
        self.put(10)
        self.targets.put(decode_target("i-1", encode()))
        self.assertIsNone(self.targets.find(InstanceId("i-1")))
