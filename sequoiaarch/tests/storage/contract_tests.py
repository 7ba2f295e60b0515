"""Test that each implementation of a platform service meets its interface."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ...errors import ErrorKind, Failure
from ...ids import HostName, Offset
from ...standins.platform import LOADS_PER_MINUTE, Faults, PlatformStandIn
from ...storage.http import HttpClient, HttpHostList, HttpLog, HttpWeightStore
from ...storage.interfaces import AppendLog, HostState, Page
from ...storage.memory import MemoryHostList, MemoryLog
from ..base import wait_until


class LogContract:
    """Tests that every log must pass; subclasses create the log."""

    def make_log(self) -> AppendLog:
        """Return an empty log."""
        raise NotImplementedError

    def run_with(self, work: Callable[[AppendLog], Any]) -> Any:
        """Run `work` on a new log in a new event loop."""

        async def run() -> Any:
            return await work(self.make_log())

        return asyncio.run(run())

    def test_offsets_are_consecutive(self) -> None:
        """Offsets are consecutive within each stream."""

        async def work(log: AppendLog) -> list[Any]:
            return [
                await log.append("s", [b"a", b"b"]),
                await log.append("s", [b"c"]),
                await log.append("t", [b"d"]),
            ]

        self.assertEqual(self.run_with(work), [0, 2, 0])  # type: ignore[attr-defined]

    def test_limited_page(self) -> None:
        """A read starts at its offset and returns at most `limit` records."""

        async def work(log: AppendLog) -> Page | Failure:
            await log.append("s", [b"a", b"b", b"c", b"d"])
            return await log.read("s", Offset(1), limit=2, wait=0)

        page = self.run_with(work)
        self.assertEqual(page.records, [b"b", b"c"])  # type: ignore[attr-defined]
        self.assertEqual((page.start, page.end), (1, 4))  # type: ignore[attr-defined]

    def test_waiting_reader_gets_record(self) -> None:
        """A waiting reader gets a record as soon as it is appended."""

        async def work(log: AppendLog) -> Page | Failure:
            reading = asyncio.create_task(log.read("s", Offset(0), limit=9, wait=30.0))
            await asyncio.sleep(0)
            await log.append("s", [b"a"])
            return await reading

        self.assertEqual(self.run_with(work).records, [b"a"])  # type: ignore[attr-defined]

    def test_empty_page(self) -> None:
        """A read at the end returns an empty page."""

        async def work(log: AppendLog) -> Page | Failure:
            return await log.read("s", Offset(0), limit=9, wait=0)

        page = self.run_with(work)
        self.assertEqual((page.records, page.end), ([], 0))  # type: ignore[attr-defined]


class MemoryLogTests(LogContract, unittest.TestCase):
    """Test the log in memory."""

    def make_log(self) -> AppendLog:
        """Return an empty log."""
        return MemoryLog()


class HttpLogTests(LogContract, unittest.TestCase):
    """Test the log over HTTP, also with injected faults."""

    def setUp(self) -> None:
        """Start a platform stand-in."""
        self.platform = PlatformStandIn()
        self.platform.start()
        self.addCleanup(self.platform.stop)

    def make_log(self) -> AppendLog:
        """Return an empty log."""
        client = HttpClient(url=self.platform.url, threads=4)
        self.addCleanup(client.close)
        return HttpLog(client=client)

    def test_faults(self) -> None:
        """An append fails if and only if its reply is not received."""

        @dataclass(frozen=True)
        class Case:
            """Faults, whether the append fails, and the records stored."""

            faults: Faults
            fails: bool
            stored: int

        cases = [
            Case(Faults(down=True), True, 0),
            Case(Faults(lose_requests=1), True, 0),
            Case(Faults(lose_replies=1), True, 1),
            Case(Faults(delay=0.01), False, 1),
            Case(Faults(), False, 1),
        ]
        for number, case in enumerate(cases):
            with self.subTest(case=case):
                stream = f"case-{number}"

                async def work(log: AppendLog, name: str = stream) -> Offset | Failure:
                    return await log.append(name, [b"a"])

                self.platform.faults = case.faults
                result = self.run_with(work)
                self.assertEqual(isinstance(result, Failure), case.fails)
                if isinstance(result, Failure):
                    self.assertIs(result.kind, ErrorKind.LOG_UNAVAILABLE)
                self.assertEqual(len(self.platform.records(stream)), case.stored)

    def test_trimmed_records(self) -> None:
        """A read before the oldest retained record starts at that record."""
        self.platform.faults = Faults(retention=2)

        async def work(log: AppendLog) -> Page | Failure:
            await log.append("s", [b"a", b"b", b"c"])
            return await log.read("s", Offset(0), limit=9, wait=0)

        page = self.run_with(work)
        self.assertEqual((page.first, page.start), (1, 1))
        self.assertEqual(page.records, [b"b", b"c"])

    def test_nothing_listens(self) -> None:
        """An append fails if nothing listens at the address."""
        self.platform.stop()

        async def work(log: AppendLog) -> Offset | Failure:
            return await log.append("s", [b"a"])

        self.assertIsInstance(self.run_with(work), Failure)


class HostListTests(unittest.TestCase):
    """Test both host lists."""

    def test_fixed_hosts(self) -> None:
        """The list in memory returns the hosts that it was created with."""
        hosts = asyncio.run(MemoryHostList(hosts=[HostName("h")]).hosts())
        assert not isinstance(hosts, Failure)
        self.assertEqual([entry.host for entry in hosts], ["h"])

    def test_http_lags(self) -> None:
        """A change is visible only after the platform's lag."""
        platform = PlatformStandIn()
        platform.start()
        self.addCleanup(platform.stop)
        client = HttpClient(url=platform.url, threads=1)
        self.addCleanup(client.close)
        hosts = HttpHostList(client=client)

        def states() -> dict[HostName, HostState]:
            entries = asyncio.run(hosts.hosts())
            assert not isinstance(entries, Failure)
            return {entry.host: entry.state for entry in entries}

        platform.set_host(HostName("h"), HostState.LIVE)
        self.assertEqual(states(), {"h": HostState.LIVE})
        platform.faults.host_lag = 0.3
        platform.set_host(HostName("h"), HostState.LEAVING)
        self.assertEqual(states(), {"h": HostState.LIVE})
        wait_until(lambda: states() == {"h": HostState.LEAVING}, "the change")


class WeightStoreTests(unittest.TestCase):
    """Test the weight store."""

    def test_rate_limit(self) -> None:
        """A reservation above the rate limit has to wait."""
        platform = PlatformStandIn()
        platform.start()
        self.addCleanup(platform.stop)
        client = HttpClient(url=platform.url, threads=1)
        self.addCleanup(client.close)
        store = HttpWeightStore(client=client)
        waits = [
            asyncio.run(store.reserve("m", "1")) for _ in range(LOADS_PER_MINUTE + 1)
        ]
        self.assertEqual(waits[:-1], [0.0] * LOADS_PER_MINUTE)
        assert not isinstance(waits[-1], Failure)
        self.assertGreater(waits[-1], 0)
