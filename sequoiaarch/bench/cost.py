"""Measure latency, processor time and memory that the system adds."""

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

RESULTS_DIRECTORY = Path("results")
MICROSECONDS = 1_000_000
MAX_DURATION = 60 * MICROSECONDS  # highest value of histograms
SIGNIFICANT_DIGITS = 3
SETTLE_TIME = 1.0  # seconds before a measurement
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEASURED_NODES = ("gateway-1", "engine-1")


class Point(msgspec.Struct, frozen=True, kw_only=True):
    """One measured value `y` of a quantity at a parameter `x`."""

    what: str
    role: str
    x: float
    y: float
    unit: str


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Processor time in seconds and resident memory in bytes of a process."""

    seconds: float
    resident: int


def read_usage(pid: int) -> Usage:
    """Read the usage of a process from /proc."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    seconds = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
    resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
    return Usage(seconds=seconds, resident=resident)


def make_cluster(options: EngineOptions) -> Cluster:
    """Return a cluster of a gateway, an engine and a service."""
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


INSTANT_ENGINE = EngineOptions(
    model=MODEL,
    slots=256,
    cache_tokens=50_000_000,
    prefill_rate=1e9,
    prefill_chunk=10_000_000,
    step=0.0005,
    step_share=0.0,
)
STEADY_ENGINE = EngineOptions(
    model=MODEL,
    slots=256,
    cache_tokens=50_000_000,
    prefill_rate=1e9,
    prefill_chunk=10_000_000,
    step=0.033,
    step_share=0.0,
)


class CostBench:
    """Run measurements and collect their points."""

    def __init__(self) -> None:
        self.points: list[Point] = []

    def record(self, what: str, role: str, x: float, y: float, unit: str) -> None:
        """Add one point and print it."""
        point = Point(what=what, role=role, x=x, y=round(y, 6), unit=unit)
        self.points.append(point)
        click.echo(msgspec.json.encode(point).decode())

    # Latency of the first token.

    def first_token(self) -> None:
        """Measure the time to the first token, with and without the system."""
        cluster = make_cluster(INSTANT_ENGINE)
        try:
            cluster.start()
            engine = Client(
                url=cluster.processes["engine-1-engine"].urls[0], key="none"
            )
            for role, client in (("direct", engine), ("system", cluster.caller())):
                histogram = HdrHistogram(1, MAX_DURATION, SIGNIFICANT_DIGITS)
                for number in range(220):
                    seconds = time_to_first_token(client, f"ttft-{number}")
                    if number >= 20:
                        histogram.record_value(int(seconds * MICROSECONDS))
                for percentile in (50, 95):
                    value = histogram.get_value_at_percentile(percentile) / 1000
                    self.record("first token", role, percentile, value, "ms")
        finally:
            cluster.stop()

    # Lookup of a program's home.

    def lookup(self) -> None:
        """Measure requests with and without a lookup of a home by the shard keeper."""
        cluster = make_cluster(INSTANT_ENGINE)
        try:
            cluster.start()
            client = cluster.caller()
            start_program(client, "looked-up", 50)
            operator = cluster.operator()
            path = "/v1/admin/programs/bench:looked-up"
            for role, request_path in (("without", "/v1/admin/status"), ("with", path)):
                histogram = HdrHistogram(1, MAX_DURATION, SIGNIFICANT_DIGITS)
                for _ in range(300):
                    started = time.monotonic()
                    operator.request("GET", request_path)
                    seconds = time.monotonic() - started
                    histogram.record_value(int(seconds * MICROSECONDS))
                for percentile in (50, 95):
                    value = histogram.get_value_at_percentile(percentile) / 1000
                    self.record("lookup of a home", role, percentile, value, "ms")
        finally:
            cluster.stop()

    # Time between tokens and processor time per token.

    def streams(self, counts: tuple[int, ...] = (50, 100, 200)) -> None:
        """Stream concurrent answers with 33 ms between tokens through one gateway."""
        cluster = make_cluster(STEADY_ENGINE)
        try:
            cluster.start()
            idle = self._resident(cluster)
            for count in counts:
                self._measure_streams(cluster, count, idle)
        finally:
            cluster.stop()

    def _measure_streams(
        self, cluster: Cluster, count: int, idle: dict[str, int]
    ) -> None:
        tokens = 150
        gaps = HdrHistogram(1, MAX_DURATION, SIGNIFICANT_DIGITS)
        lock = threading.Lock()
        before = self._usage(cluster)
        started = time.monotonic()
        threads = [
            threading.Thread(
                target=record_token_gaps,
                args=(cluster.caller(), f"s{count}-{number}", tokens, gaps, lock),
            )
            for number in range(count)
        ]
        for thread in threads:
            thread.start()
        time.sleep(2.0)
        during = self._resident(cluster)
        for thread in threads:
            thread.join()
        elapsed = time.monotonic() - started
        after = self._usage(cluster)
        for percentile in (50, 95):
            value = gaps.get_value_at_percentile(percentile) / 1000
            self.record(f"between tokens p{percentile}", "caller", count, value, "ms")
        for role in MEASURED_NODES:
            cpu_seconds = after[role].seconds - before[role].seconds
            cpu_per_token = cpu_seconds / (count * tokens) * 1e6
            self.record("processor per token", role, count, cpu_per_token, "us")
            self.record("core share", role, count, cpu_seconds / elapsed * 100, "%")
            growth = (during[role] - idle[role]) / count / 1024
            self.record("memory per open stream", role, count, growth, "KiB")

    # Processor time per call.

    def calls(self, sizes: tuple[int, ...] = (1_000, 30_000, 120_000)) -> None:
        """Measure calls whose history has at least the given number of tokens."""
        cluster = make_cluster(INSTANT_ENGINE)
        try:
            cluster.start()
            for size in sizes:
                self._measure_calls(cluster, size)
        finally:
            cluster.stop()

    def _measure_calls(self, cluster: Cluster, tokens: int, count: int = 40) -> None:
        client = cluster.caller()
        text = "x" * (tokens * 4)
        program = f"size-{tokens}"
        messages = [{"role": "user", "content": text}]
        started = time.monotonic()
        before = self._usage(cluster)
        for number in range(count):
            answer = chat(client, program, messages, tokens=2)
            messages.append({"role": "assistant", "content": answer})
            messages.append({"role": "user", "content": f"go on {number}"})
        elapsed = (time.monotonic() - started) / count * 1000
        after = self._usage(cluster)
        self.record("call", "caller", tokens, elapsed, "ms")
        for role in MEASURED_NODES:
            cpu_seconds = (after[role].seconds - before[role].seconds) / count * 1000
            self.record("processor per call", role, tokens, cpu_seconds, "ms")

    # Memory of idle programs.

    def programs(self, counts: tuple[int, ...] = (200, 400, 800)) -> None:
        """Measure the memory of programs with one short call each."""
        self._measure_program_memory("idle program", counts, tokens=50)

    def histories(self, counts: tuple[int, ...] = (10, 20, 40)) -> None:
        """Measure the memory of programs with 120,000 tokens of history."""
        self._measure_program_memory(
            "program of 120,000 tokens", counts, tokens=120_000
        )

    def _measure_program_memory(
        self, what: str, counts: tuple[int, ...], tokens: int
    ) -> None:
        cluster = make_cluster(INSTANT_ENGINE)
        try:
            cluster.start()
            for number in range(20):
                start_program(cluster.caller(), f"warm-{number}", tokens)
            time.sleep(SETTLE_TIME)
            idle = self._resident(cluster)
            started_programs = 0
            for count in counts:
                while started_programs < count:
                    start_program(cluster.caller(), f"m-{started_programs}", tokens)
                    started_programs += 1
                time.sleep(SETTLE_TIME)
                now = self._resident(cluster)
                for role in (*MEASURED_NODES, "tools-1"):
                    growth = (now[role] - idle[role]) / 1024
                    self.record(f"memory by {what}", role, count, growth, "KiB")
            for role in (*MEASURED_NODES, "tools-1"):
                idle_memory = idle[role] / 1024 / 1024
                self.record("memory at rest", role, 0, idle_memory, "MiB")
        finally:
            cluster.stop()

    # Processor time without load, and latency of publications.

    def control(self) -> None:
        """Measure processor time without load and the latency of publications."""
        cluster = make_cluster(INSTANT_ENGINE)
        try:
            cluster.start()
            time.sleep(SETTLE_TIME * 2)
            before = self._usage(cluster)
            started = time.monotonic()
            time.sleep(10.0)
            elapsed = time.monotonic() - started
            after = self._usage(cluster)
            for role in (*MEASURED_NODES, "tools-1"):
                cpu_seconds = after[role].seconds - before[role].seconds
                self.record(
                    "control at rest", role, 0, cpu_seconds / elapsed * 100, "% of core"
                )
            self._measure_publications(cluster)
        finally:
            cluster.stop()

    def _measure_publications(self, cluster: Cluster) -> None:
        histogram = HdrHistogram(1, MAX_DURATION, SIGNIFICANT_DIGITS)
        urls = [
            cluster.processes[name].urls[0] for name in (*MEASURED_NODES, "tools-1")
        ]
        for number in range(20):
            document = {
                "kind": "Policy",
                "name": "spread",
                "selector": {"number": str(number)},
            }
            started = time.monotonic()
            cluster.publish([document], wait_applied=False)
            status = cluster.operator().request("GET", "/v1/admin/status")
            wait_config_applied(urls, status["config_version"] - 1)
            seconds = time.monotonic() - started
            histogram.record_value(int(seconds * MICROSECONDS))
        for percentile in (50, 95):
            value = histogram.get_value_at_percentile(percentile) / 1000
            self.record(
                "publish to in force everywhere", "all", percentile, value, "ms"
            )

    def _usage(self, cluster: Cluster) -> dict[str, Usage]:
        names = (*MEASURED_NODES, "tools-1")
        return {name: read_usage(cluster.processes[name].pid) for name in names}

    def _resident(self, cluster: Cluster) -> dict[str, int]:
        return {name: usage.resident for name, usage in self._usage(cluster).items()}


def chat(
    client: Client, program: str, messages: list[dict[str, Any]], tokens: int
) -> str:
    """Send one chat request and return its answer."""
    body = {
        "model": MODEL,
        "messages": messages,
        "stand_in": {"answer_tokens": tokens},
    }
    headers = {"X-Program-Id": program}
    answer = client.request("POST", "/v1/chat/completions", body, headers, retry=True)
    return answer["choices"][0]["message"]["content"]


def start_program(client: Client, program: str, tokens: int) -> None:
    """Start a program with one call of about `tokens` prompt tokens."""
    messages = [{"role": "user", "content": "x" * (tokens * 4)}]
    chat(client, program, messages, tokens=2)


def time_to_first_token(client: Client, program: str) -> float:
    """Return the seconds to the first token of a program's second call."""
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
    started = time.monotonic()
    seconds = 0.0
    for _ in client.stream("/v1/chat/completions", body, headers):
        seconds = seconds or time.monotonic() - started
    return seconds


def record_token_gaps(
    client: Client, program: str, tokens: int, gaps: HdrHistogram, lock: threading.Lock
) -> None:
    """Stream one answer and record the microseconds between its events."""
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": program}],
        "stream": True,
        "stand_in": {"answer_tokens": tokens},
    }
    last_event = 0.0
    headers = {"X-Program-Id": program}
    for _ in client.stream("/v1/chat/completions", body, headers):
        now = time.monotonic()
        if last_event:
            with lock:
                gaps.record_value(max(1, int((now - last_event) * MICROSECONDS)))
        last_event = now


def wait_config_applied(urls: list[str], offset: int) -> None:
    """Wait until the metrics of all daemons show a configuration offset."""
    pool = urllib3.PoolManager()
    expected = f"sequoiaarch_config_offset {offset}"
    deadline = time.monotonic() + 60
    for url in urls:
        while expected not in pool.request("GET", f"{url}/metrics").data.decode():
            if time.monotonic() > deadline:
                raise RuntimeError(f"{url} did not report {expected}")
            time.sleep(0.002)


MEASUREMENTS: tuple[str, ...] = (
    "first_token",
    "lookup",
    "streams",
    "calls",
    "programs",
    "histories",
    "control",
)


def run_cost(measurements: tuple[str, ...]) -> None:
    """Run the named measurements, or all, and write the points to a file."""
    bench = CostBench()
    for name in measurements or MEASUREMENTS:
        measure: Callable[[], None] = getattr(bench, name)
        measure()
    RESULTS_DIRECTORY.mkdir(exist_ok=True)
    path = RESULTS_DIRECTORY / "cost.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(bench.points)))
