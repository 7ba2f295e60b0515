"""Measure what the system itself costs, and how that grows."""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec
import urllib3
from hdrh.histogram import HdrHistogram

from ..client import Client
from ..config.settings import LimitOptions
from ..standins.engine import EngineOptions
from .cluster import MODEL, Cluster, Deployment, Node

RESULTS = Path("results")
MICROSECONDS = 1_000_000
LONGEST = 60 * MICROSECONDS
DIGITS = 3
SETTLE = 1.0
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
ROLES = ("gateway-1", "engine-1")


class Point(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one measured point of a slope."""

    what: str
    role: str
    x: float
    y: float
    unit: str


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the processor seconds and resident bytes of a process."""

    seconds: float
    resident: int


def usage_of(pid: int) -> Usage:
    """Read the usage of a process that we started."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    seconds = (int(fields[11]) + int(fields[12])) / TICKS
    resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE
    return Usage(seconds=seconds, resident=resident)


def cost_fleet(options: EngineOptions) -> Cluster:
    """Return a gateway and two sidecars with an engine of given costs."""
    return Cluster(
        deployment=Deployment(
            name="cost",
            gateways=[Node(name="gateway-1", data_centre="here")],
            engines=[Node(name="engine-1", data_centre="here")],
            services=[Node(name="tools-1", data_centre="here")],
            options=options,
            limits=LimitOptions(cache_check=60.0),
        )
    )


AT_ONCE = EngineOptions(
    model=MODEL,
    slots=256,
    cache_tokens=50_000_000,
    prefill_rate=1e9,
    prefill_chunk=10_000_000,
    step=0.0005,
    step_share=0.0,
)
STEADY = EngineOptions(
    model=MODEL,
    slots=256,
    cache_tokens=50_000_000,
    prefill_rate=1e9,
    prefill_chunk=10_000_000,
    step=0.033,
    step_share=0.0,
)


class CostBench:
    """Run all measurements and keep their points."""

    def __init__(self) -> None:
        self.points: list[Point] = []

    def note(self, what: str, role: str, x: float, y: float, unit: str) -> None:
        """Keep one point and show it."""
        point = Point(what=what, role=role, x=x, y=round(y, 6), unit=unit)
        self.points.append(point)
        click.echo(msgspec.json.encode(point).decode())

    # The first token.

    def first_token(self) -> None:
        """Compare the first token through the system with the bare engine."""
        fleet = cost_fleet(AT_ONCE)
        try:
            fleet.start()
            engine = Client(url=fleet.processes["engine-1-engine"].urls[0], key="none")
            for role, client in (("direct", engine), ("system", fleet.caller())):
                histogram = HdrHistogram(1, LONGEST, DIGITS)
                for number in range(220):
                    seconds = first_piece(client, f"ttft-{number}")
                    if number >= 20:
                        histogram.record_value(int(seconds * MICROSECONDS))
                for share in (50, 95):
                    value = histogram.get_value_at_percentile(share) / 1000
                    self.note("first token", role, share, value, "ms")
        finally:
            fleet.stop()

    # Finding the home of a program.

    def lookup(self) -> None:
        """Compare a request that asks the keeper with one that does not."""
        fleet = cost_fleet(AT_ONCE)
        try:
            fleet.start()
            client = fleet.caller()
            chat_once(client, "looked-up", 50)
            operator = fleet.operator()
            path = "/v1/admin/programs/bench:looked-up"
            for role, where in (("without", "/v1/admin/status"), ("with", path)):
                histogram = HdrHistogram(1, LONGEST, DIGITS)
                for _ in range(300):
                    begun = time.monotonic()
                    operator.request("GET", where)
                    seconds = time.monotonic() - begun
                    histogram.record_value(int(seconds * MICROSECONDS))
                for share in (50, 95):
                    value = histogram.get_value_at_percentile(share) / 1000
                    self.note("lookup of a home", role, share, value, "ms")
        finally:
            fleet.stop()

    # Time between tokens, and processor time for each token.

    def streams(self, counts: tuple[int, ...] = (50, 100, 200)) -> None:
        """Stream many answers at 33 ms between tokens through one gateway."""
        fleet = cost_fleet(STEADY)
        try:
            fleet.start()
            idle = self._resident(fleet)
            for count in counts:
                self._stream_round(fleet, count, idle)
        finally:
            fleet.stop()

    def _stream_round(self, fleet: Cluster, count: int, idle: dict[str, int]) -> None:
        tokens = 150
        gaps = HdrHistogram(1, LONGEST, DIGITS)
        lock = threading.Lock()
        before = self._usage(fleet)
        begun = time.monotonic()
        threads = [
            threading.Thread(
                target=collect_gaps,
                args=(fleet.caller(), f"s{count}-{number}", tokens, gaps, lock),
            )
            for number in range(count)
        ]
        for thread in threads:
            thread.start()
        time.sleep(2.0)
        during = self._resident(fleet)
        for thread in threads:
            thread.join()
        elapsed = time.monotonic() - begun
        after = self._usage(fleet)
        for share in (50, 95):
            value = gaps.get_value_at_percentile(share) / 1000
            self.note(f"between tokens p{share}", "caller", count, value, "ms")
        for role in ROLES:
            used = after[role].seconds - before[role].seconds
            each = used / (count * tokens) * 1e6
            self.note("processor per token", role, count, each, "us")
            self.note("core share", role, count, used / elapsed * 100, "%")
            grown = (during[role] - idle[role]) / count / 1024
            self.note("memory per open stream", role, count, grown, "KiB")

    # Processor time for each call.

    def calls(self, sizes: tuple[int, ...] = (1_000, 30_000, 120_000)) -> None:
        """Run calls whose history has a number of tokens."""
        fleet = cost_fleet(AT_ONCE)
        try:
            fleet.start()
            for size in sizes:
                self._call_round(fleet, size)
        finally:
            fleet.stop()

    def _call_round(self, fleet: Cluster, tokens: int, count: int = 40) -> None:
        client = fleet.caller()
        text = "x" * (tokens * 4)
        program = f"size-{tokens}"
        messages = [{"role": "user", "content": text}]
        seconds = time.monotonic()
        before = self._usage(fleet)
        for number in range(count):
            answer = chat(client, program, messages, tokens=2)
            messages.append({"role": "assistant", "content": answer})
            messages.append({"role": "user", "content": f"go on {number}"})
        elapsed = (time.monotonic() - seconds) / count * 1000
        after = self._usage(fleet)
        self.note("call", "caller", tokens, elapsed, "ms")
        for role in ROLES:
            used = (after[role].seconds - before[role].seconds) / count * 1000
            self.note("processor per call", role, tokens, used, "ms")

    # Memory of programs that pause.

    def programs(self, counts: tuple[int, ...] = (200, 400, 800)) -> None:
        """Hold many programs of one short call each."""
        self._memory_of_programs("idle program", counts, tokens=50)

    def histories(self, counts: tuple[int, ...] = (10, 20, 40)) -> None:
        """Hold programs with 120,000 tokens of history."""
        self._memory_of_programs("program of 120,000 tokens", counts, tokens=120_000)

    def _memory_of_programs(
        self, what: str, counts: tuple[int, ...], tokens: int
    ) -> None:
        fleet = cost_fleet(AT_ONCE)
        try:
            fleet.start()
            for number in range(20):
                chat_once(fleet.caller(), f"warm-{number}", tokens)
            time.sleep(SETTLE)
            idle = self._resident(fleet)
            made = 0
            for count in counts:
                while made < count:
                    chat_once(fleet.caller(), f"m-{made}", tokens)
                    made += 1
                time.sleep(SETTLE)
                now = self._resident(fleet)
                for role in (*ROLES, "tools-1"):
                    grown = (now[role] - idle[role]) / 1024
                    self.note(f"memory by {what}", role, count, grown, "KiB")
            for role in (*ROLES, "tools-1"):
                base = idle[role] / 1024 / 1024
                self.note("memory at rest", role, 0, base, "MiB")
        finally:
            fleet.stop()

    # Control when nothing happens, and publications.

    def control(self) -> None:
        """Measure what daemons spend while no call comes."""
        fleet = cost_fleet(AT_ONCE)
        try:
            fleet.start()
            time.sleep(SETTLE * 2)
            before = self._usage(fleet)
            begun = time.monotonic()
            time.sleep(10.0)
            elapsed = time.monotonic() - begun
            after = self._usage(fleet)
            for role in (*ROLES, "tools-1"):
                used = after[role].seconds - before[role].seconds
                self.note("control at rest", role, 0, used / elapsed * 100, "% of core")
            self._publications(fleet)
        finally:
            fleet.stop()

    def _publications(self, fleet: Cluster) -> None:
        histogram = HdrHistogram(1, LONGEST, DIGITS)
        urls = [fleet.processes[name].urls[0] for name in (*ROLES, "tools-1")]
        for number in range(20):
            document = {
                "kind": "Policy",
                "name": "spread",
                "selector": {"number": str(number)},
            }
            begun = time.monotonic()
            fleet.publish([document], wait_ready=False)
            version = fleet.operator().request("GET", "/v1/admin/status")
            wait_for_metric(urls, version["config_version"] - 1)
            seconds = time.monotonic() - begun
            histogram.record_value(int(seconds * MICROSECONDS))
        for share in (50, 95):
            value = histogram.get_value_at_percentile(share) / 1000
            self.note("publish to in force everywhere", "all", share, value, "ms")

    def _usage(self, fleet: Cluster) -> dict[str, Usage]:
        names = (*ROLES, "tools-1")
        return {name: usage_of(fleet.processes[name].pid) for name in names}

    def _resident(self, fleet: Cluster) -> dict[str, int]:
        return {name: one.resident for name, one in self._usage(fleet).items()}


def chat(
    client: Client, program: str, messages: list[dict[str, Any]], tokens: int
) -> str:
    """Return one answer."""
    body = {
        "model": MODEL,
        "messages": messages,
        "stand_in": {"answer_tokens": tokens},
    }
    headers = {"X-Program-Id": program}
    answer = client.request("POST", "/v1/chat/completions", body, headers, patient=True)
    return answer["choices"][0]["message"]["content"]


def chat_once(client: Client, program: str, tokens: int) -> None:
    """Start a program with one call of a size."""
    messages = [{"role": "user", "content": "x" * (tokens * 4)}]
    chat(client, program, messages, tokens=2)


def first_piece(client: Client, program: str) -> float:
    """Return the seconds until the first piece of a second call."""
    messages: list[dict[str, Any]] = [{"role": "user", "content": "hello"}]
    body = {
        "model": MODEL,
        "messages": messages,
        "stream": True,
        "stand_in": {"answer_tokens": 3},
    }
    headers = {"X-Program-Id": program, "X-Cache-Key": program}
    parts = []
    for event in client.stream("/v1/chat/completions", body, headers):
        parts.append(event["choices"][0]["delta"].get("content") or "")
    messages.append({"role": "assistant", "content": "".join(parts)})
    messages.append({"role": "user", "content": "again"})
    begun = time.monotonic()
    seconds = 0.0
    for _ in client.stream("/v1/chat/completions", body, headers):
        seconds = seconds or time.monotonic() - begun
    return seconds


def collect_gaps(
    client: Client, program: str, tokens: int, gaps: HdrHistogram, lock: threading.Lock
) -> None:
    """Stream one answer and record the time between its pieces."""
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": program}],
        "stream": True,
        "stand_in": {"answer_tokens": tokens},
    }
    last = 0.0
    headers = {"X-Program-Id": program}
    for _ in client.stream("/v1/chat/completions", body, headers):
        now = time.monotonic()
        if last:
            with lock:
                gaps.record_value(max(1, int((now - last) * MICROSECONDS)))
        last = now


def wait_for_metric(urls: list[str], offset: int) -> None:
    """Wait until every daemon's metrics show a publication in force."""
    pool = urllib3.PoolManager()
    wanted = f"sequoiaarch_config_offset {offset}"
    deadline = time.monotonic() + 60
    for url in urls:
        while wanted not in pool.request("GET", f"{url}/metrics").data.decode():
            if time.monotonic() > deadline:
                raise RuntimeError(f"{url} never showed {wanted}")
            time.sleep(0.002)


PARTS: tuple[str, ...] = (
    "first_token",
    "lookup",
    "streams",
    "calls",
    "programs",
    "histories",
    "control",
)


def run_cost(parts: tuple[str, ...]) -> None:
    """Run the named measurements, or all, and keep the points."""
    bench = CostBench()
    for part in parts or PARTS:
        work: Callable[[], None] = getattr(bench, part)
        work()
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / "cost.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(bench.points)))
