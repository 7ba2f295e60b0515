"""Test that every log and host list keeps its contract."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ...errors import ErrorKind, Failure
from ...ids import HostName, Offset
from ...standins.platform import LOADS_A_MINUTE, Faults, PlatformStandIn
from ...storage.http import HttpClient, HttpHostList, HttpLog, HttpWeightStore
from ...storage.interfaces import AppendLog, HostState, Page
from ...storage.memory import MemoryHostList, MemoryLog
from ..base import wait_until


class LogContract:
    """Check what every log must do; subclasses say which log."""

    def make_log(self) -> AppendLog:
        """Return a log without records."""
        raise NotImplementedError

    def run_with(self, work: Callable[[AppendLog], Any]) -> Any:
        """Run a test in a loop of its own."""

        async def run() -> Any:
            return await work(self.make_log())

        return asyncio.run(run())

    def test_offsets_count_up(self) -> None:
        """Give consecutive offsets to records that are appended together."""

        async def work(log: AppendLog) -> list[Any]:
            return [
                await log.append("s", [b"a", b"b"]),
                await log.append("s", [b"c"]),
                await log.append("t", [b"d"]),
            ]

        self.assertEqual(self.run_with(work), [0, 2, 0])  # type: ignore[attr-defined]

    def test_pages(self) -> None:
        """Read from an offset, no more than asked for."""

        async def work(log: AppendLog) -> Page | Failure:
            await log.append("s", [b"a", b"b", b"c", b"d"])
            return await log.read("s", Offset(1), limit=2, wait=0)

        page = self.run_with(work)
        self.assertEqual(page.records, [b"b", b"c"])  # type: ignore[attr-defined]
        self.assertEqual((page.start, page.end), (1, 4))  # type: ignore[attr-defined]

    def test_waiting_reader_is_woken(self) -> None:
        """Give a waiting reader the record that comes."""

        async def work(log: AppendLog) -> Page | Failure:
            reading = asyncio.create_task(log.read("s", Offset(0), limit=9, wait=30.0))
            await asyncio.sleep(0)
            await log.append("s", [b"a"])
            return await reading

        self.assertEqual(self.run_with(work).records, [b"a"])  # type: ignore[attr-defined]

    def test_empty_page(self) -> None:
        """Answer a reader at the end with an empty page."""

        async def work(log: AppendLog) -> Page | Failure:
            return await log.read("s", Offset(0), limit=9, wait=0)

        page = self.run_with(work)
        self.assertEqual((page.records, page.end), ([], 0))  # type: ignore[attr-defined]


class MemoryLogTests(LogContract, unittest.TestCase):
    """Check the log in memory."""

    def make_log(self) -> AppendLog:
        """Return a log without records."""
        return MemoryLog()


class HttpLogTests(LogContract, unittest.TestCase):
    """Check the log over HTTP, with its faults."""

    def setUp(self) -> None:
        """Start the platform."""
        self.platform = PlatformStandIn()
        self.platform.start()
        self.addCleanup(self.platform.stop)

    def make_log(self) -> AppendLog:
        """Return a log without records."""
        client = HttpClient(url=self.platform.url, threads=4)
        self.addCleanup(client.close)
        return HttpLog(client=client)

    def test_faults(self) -> None:
        """Fail as the table says, and tell nothing untrue."""

        @dataclass(frozen=True)
        class Case:
            """Name a fault, whether the append fails and what it leaves."""

            faults: Faults
            fails: bool
            kept: int

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
                self.assertEqual(len(self.platform.records(stream)), case.kept)

    def test_retention(self) -> None:
        """Tell where the log's memory begins."""
        self.platform.faults = Faults(retention=2)

        async def work(log: AppendLog) -> Page | Failure:
            await log.append("s", [b"a", b"b", b"c"])
            return await log.read("s", Offset(0), limit=9, wait=0)

        page = self.run_with(work)
        self.assertEqual((page.first, page.start), (1, 1))
        self.assertEqual(page.records, [b"b", b"c"])

    def test_nobody_there(self) -> None:
        """Fail with a reason where nothing listens."""
        self.platform.stop()

        async def work(log: AppendLog) -> Offset | Failure:
            return await log.append("s", [b"a"])

        self.assertIsInstance(self.run_with(work), Failure)


class HostListTests(unittest.TestCase):
    """Check both host lists."""

    def test_memory(self) -> None:
        """Name the hosts that were given."""
        listed = asyncio.run(MemoryHostList(hosts=[HostName("h")]).hosts())
        assert not isinstance(listed, Failure)
        self.assertEqual([one.host for one in listed], ["h"])

    def test_http_lags(self) -> None:
        """Show a change only after the lag."""
        platform = PlatformStandIn()
        platform.start()
        self.addCleanup(platform.stop)
        client = HttpClient(url=platform.url, threads=1)
        self.addCleanup(client.close)
        hosts = HttpHostList(client=client)

        def listed() -> dict[HostName, HostState]:
            found = asyncio.run(hosts.hosts())
            assert not isinstance(found, Failure)
            return {one.host: one.state for one in found}

        platform.set_host(HostName("h"), HostState.LIVE)
        self.assertEqual(listed(), {"h": HostState.LIVE})
        platform.faults.host_lag = 0.3
        platform.set_host(HostName("h"), HostState.LEAVING)
        self.assertEqual(listed(), {"h": HostState.LIVE})
        wait_until(lambda: listed() == {"h": HostState.LEAVING}, "the change")


class WeightStoreTests(unittest.TestCase):
    """Check the weight store."""

    def test_rate_limit(self) -> None:
        """Let loads beyond the rate wait."""
        platform = PlatformStandIn()
        platform.start()
        self.addCleanup(platform.stop)
        client = HttpClient(url=platform.url, threads=1)
        self.addCleanup(client.close)
        store = HttpWeightStore(client=client)
        waits = [
            asyncio.run(store.reserve("m", "1")) for _ in range(LOADS_A_MINUTE + 1)
        ]
        self.assertEqual(waits[:-1], [0.0] * LOADS_A_MINUTE)
        assert not isinstance(waits[-1], Failure)
        self.assertGreater(waits[-1], 0)
