"""Run programs under random faults and check the guarantees of the system.

Each caller runs one program after the other and retries as the API allows. Its
answers are checked against the committed history, the executions that services
counted and the caches of the engines.
"""

from __future__ import annotations

import queue
import random
import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Any

import click
import msgspec
import urllib3

from ..client import Client, ClientError
from ..config.settings import LimitOptions
from ..standins.engine import ChatBody, ChatMessage, EngineOptions, Sequence
from ..standins.platform import Faults
from .cluster import CALLER_KEY, MODEL, SERVICE, WORKSPACE, Cluster, Deployment, Node

CALLER_COUNT = 12
TURNS_PER_PROGRAM = 4
ANSWER_TOKENS = 30
RETRY_TIMEOUT = 90.0  # seconds
RETRY_PAUSE = 0.1  # seconds
RECOVERY_TIME = 5.0  # seconds without faults at the end
MEMORY_TIMEOUT = 60.0  # seconds
BUDGET = 200_000
FAULT_ERRORS = (
    RuntimeError,
    queue.Empty,
    subprocess.TimeoutExpired,
    ClientError,
    urllib3.exceptions.HTTPError,
)
RETRIED_KINDS = {"interrupted", "superseded", "internal", "deadline_exceeded"}


class Property(Enum):
    """Guarantees that the soak checks; the values appear in its report."""

    ORDER = "calls of one program run in order"
    HISTORY = "history is never lost and never mixed"
    BUDGET = "never over budget"
    MEMORY = "ended programs hold no engine memory"
    ANSWER = "each caller gets its complete answer"
    NOT_RUN = "not run is true"
    ONCE = "non-idempotent runs at most once"
    LEAVING = "a leaving target gets no new work"
    STOP = "a planned stop cuts off nothing"
    CONFIGURATION = "configuration never reverts"


class Report(msgspec.Struct, kw_only=True):
    """Results of a soak, with violations by property."""

    seed: int
    seconds: float
    programs_finished: int
    calls: int
    asked_again: int
    outcomes_unknown: int
    faults: dict[str, int]
    violations: dict[str, list[str]]


class SoakResults:
    """Thread-safe counters of events and list of violations."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.counts: Counter[str] = Counter()
        self.violations: dict[Property, list[str]] = {
            violated: [] for violated in Property
        }

    def count(self, event: str) -> None:
        """Count one event."""
        with self._lock:
            self.counts[event] += 1

    def add_violation(self, violated: Property, text: str) -> None:
        """Record that a property was violated."""
        with self._lock:
            self.violations[violated].append(text)


class SoakCaller:
    """A caller that runs one program after the other."""

    def __init__(self, *, number: int, urls: list[str], results: SoakResults) -> None:
        self._number = number
        self._clients = [Client(url=url, key=CALLER_KEY) for url in urls]
        self._results = results
        self._rng = random.Random(number)
        self.outcomes: dict[str, str] = {}
        self.programs: list[str] = []

    def run(self, stop_requested: threading.Event) -> None:
        """Run programs until a stop is requested; the last program is completed."""
        count = 0
        while not stop_requested.is_set():
            name = f"soak-{self._number}-{count}"
            count += 1
            try:
                self._run_program(name)
                self.programs.append(name)
                self._results.count("programs")
            except Exception as error:
                self._results.add_violation(Property.ANSWER, f"{name}: {error!r}")

    def _run_program(self, name: str) -> None:
        messages: list[dict[str, Any]] = []
        seq = 0
        for turn in range(TURNS_PER_PROGRAM):
            seq += 1
            messages.append({"role": "user", "content": f"{name} turn {turn}"})
            answer = self._run_turn(name, seq, messages)
            messages.append({"role": "assistant", "content": answer})
            time.sleep(self._rng.uniform(0, 0.1))
            if turn == 1:
                seq += self._call_tool(name, seq + 1)
        self._check_history(name, messages)
        self._call_with_retries(
            lambda client: client.request("DELETE", f"/v1/programs/{name}")
        )
        self._check_budget(name)

    def _run_turn(self, name: str, seq: int, messages: list[dict[str, Any]]) -> str:
        body = {
            "model": MODEL,
            "messages": messages,
            "stream": True,
            "stand_in": {"answer_tokens": ANSWER_TOKENS},
        }
        headers = {"X-Program-Id": name, "X-Call-Seq": str(seq)}

        def send_request(client: Client) -> str:
            parts = []
            for event in client.stream("/v1/chat/completions", body, headers):
                parts.append(event["choices"][0]["delta"].get("content") or "")
            return "".join(parts)

        answer = self._call_with_retries(send_request)
        chat = ChatBody(
            messages=[ChatMessage(**message) for message in messages], model=MODEL
        )
        expected = Sequence(body=chat, key="", stream="", order=0).text(
            0, ANSWER_TOKENS
        )
        if answer != expected:
            text = f"{name} call {seq}: {len(answer)} of {len(expected)} characters"
            self._results.add_violation(Property.ANSWER, text)
        return answer

    def _call_tool(self, name: str, seq: int) -> int:
        """Call a non-idempotent tool and return the number of sequence numbers used."""
        headers = {
            "X-Call-Seq": str(seq),
            "Idempotency-Key": name,
            "X-Non-Idempotent": "true",
        }
        path = f"/v1/programs/{name}/tools/{SERVICE}/pay"

        def send_request(client: Client) -> Any:
            return client.request("POST", path, {"delay": 0.05}, headers)

        try:
            self._call_with_retries(send_request)
        except ClientError as error:
            if error.body.get("kind") != "outcome_unknown":
                raise
            self.outcomes[name] = "unknown"
            self._results.count("unknown")
            return 1
        self.outcomes[name] = "done"
        return 1

    def _call_with_retries(self, send_request: Callable[[Client], Any]) -> Any:
        deadline = time.monotonic() + RETRY_TIMEOUT
        client_index = self._rng.randrange(len(self._clients))
        self._results.count("calls")
        while True:
            try:
                return send_request(self._clients[client_index % len(self._clients)])
            except (ClientError, urllib3.exceptions.HTTPError) as error:
                body = getattr(error, "body", {})
                retryable = (
                    body.get("not_run") is True or body.get("kind") in RETRIED_KINDS
                )
                if (body and not retryable) or time.monotonic() > deadline:
                    raise
            self._results.count("again")
            client_index += 1
            time.sleep(RETRY_PAUSE)

    def _check_history(self, name: str, messages: list[dict[str, Any]]) -> None:
        path = f"/v1/programs/{name}"
        deadline = time.monotonic() + RETRY_TIMEOUT
        committed: list[dict[str, Any]] = []
        while time.monotonic() < deadline:
            answer = self._call_with_retries(lambda client: client.request("GET", path))
            seqs = [entry["seq"] for entry in answer["history"]]
            if seqs != list(range(1, len(seqs) + 1)):
                self._results.add_violation(Property.ORDER, f"{name}: {seqs}")
            committed = [
                {"role": message["role"], "content": message["content"]}
                for entry in answer["history"]
                for message in entry["messages"]
            ]
            if len(committed) >= len(messages):
                break
            time.sleep(RETRY_PAUSE)
        if committed != messages:
            text = f"{name}: {len(committed)} of {len(messages)} messages committed"
            self._results.add_violation(Property.HISTORY, text)

    def _check_budget(self, name: str) -> None:
        path = f"/v1/programs/{name}"
        answer = self._call_with_retries(lambda client: client.request("GET", path))
        if answer["spent"] + answer["reserved"] > answer["budget"]:
            self._results.add_violation(Property.BUDGET, f"{name}: {answer['spent']}")
        if answer["state"] != "ended":
            self._results.add_violation(Property.MEMORY, f"{name} did not end")


class FaultInjector:
    """Inject random faults into a cluster.

    The names of the actions appear in the report if they fail.
    """

    def __init__(
        self, *, cluster: Cluster, rng: random.Random, results: SoakResults
    ) -> None:
        self._cluster = cluster
        self._rng = rng
        self._results = results
        deployment = cluster.deployment
        self._sidecars = [
            node.name for node in [*deployment.engines, *deployment.services]
        ]
        self._gateways = [node.name for node in deployment.gateways]
        self._config_version = 0

    def run(self, stop_requested: threading.Event) -> None:
        """Run a random action about every second until a stop is requested."""
        actions = [self.kill, self.kill, self.pause, self.pause, self.cut_log]
        actions += [self.slow_log, self.lose_replies, self.stop, self.publish]
        while not stop_requested.wait(self._rng.uniform(0.3, 1.2)):
            action = self._rng.choice(actions)
            try:
                action()
            except FAULT_ERRORS:
                # The action itself can fail because of an earlier fault.
                self._results.count(f"fault not done: {action.__name__}")

    def _random_process(self) -> str:
        return self._rng.choice([*self._sidecars, *self._gateways])

    def kill(self) -> None:
        """Kill a process and restart it after a random time."""
        name = self._random_process()
        self._results.count(f"fault: kill {role_of(name)}")
        self._cluster.processes[name].signal(signal.SIGKILL)
        time.sleep(self._rng.uniform(0.2, 2.0))
        self._cluster.restart(name)

    def stop(self) -> None:
        """Stop a process gracefully and restart it."""
        name = self._random_process()
        self._results.count(f"fault: stop {role_of(name)}")
        process = self._cluster.processes[name]
        process.signal(signal.SIGTERM)
        exit_code = process.wait()
        if exit_code != 0:
            self._results.add_violation(
                Property.STOP, f"{name} exited with code {exit_code}"
            )
        self._cluster.restart(name)

    def pause(self) -> None:
        """Suspend a process for a random time."""
        name = self._random_process()
        self._results.count(f"fault: pause {role_of(name)}")
        process = self._cluster.processes[name]
        process.signal(signal.SIGSTOP)
        time.sleep(self._rng.uniform(0.5, 5.0))
        process.signal(signal.SIGCONT)

    def cut_log(self) -> None:
        """Make the log unavailable for a random time."""
        self._results.count("fault: log down")
        self._cluster.set_faults(Faults(down=True))
        time.sleep(self._rng.uniform(0.5, 4.0))
        self._cluster.set_faults(Faults())

    def slow_log(self) -> None:
        """Make the log slow for a random time."""
        self._results.count("fault: log slow")
        self._cluster.set_faults(Faults(delay=0.2))
        time.sleep(self._rng.uniform(1.0, 3.0))
        self._cluster.set_faults(Faults())

    def lose_replies(self) -> None:
        """Lose the replies to the next appends."""
        self._results.count("fault: replies lost")
        self._cluster.set_faults(Faults(lose_replies=5))

    def publish(self) -> None:
        """Publish a document and check that the version does not decrease."""
        self._results.count("fault: publish")
        document = {
            "kind": "Policy",
            "name": "soak",
            "selector": {"number": str(self._rng.random())},
        }
        self._cluster.publish([document], wait_applied=False)
        status = self._cluster.operator().request("GET", "/v1/admin/status")
        if status["config_version"] < self._config_version:
            text = f"version {status['config_version']} after {self._config_version}"
            self._results.add_violation(Property.CONFIGURATION, text)
        self._config_version = status["config_version"]


def role_of(name: str) -> str:
    """Return the role part of a process name."""
    return name.rsplit("-", 1)[0]


def soak_deployment() -> Deployment:
    """Return a deployment of two gateways, three engines and two services."""
    return Deployment(
        name="soak",
        gateways=[Node(name=f"gateway-{n}", data_centre="here") for n in (1, 2)],
        engines=[Node(name=f"engine-{n}", data_centre="here") for n in (1, 2, 3)],
        services=[Node(name=f"tools-{n}", data_centre="here") for n in (1, 2)],
        options=EngineOptions(model=MODEL, step=0.004),
        limits=LimitOptions(lame_duck=0.2, cache_check=2.0, renew_after=400),
        silence_limit=1.5,
    )


def check_tools(
    cluster: Cluster, callers: list[SoakCaller], results: SoakResults
) -> None:
    """Compare the outcomes that callers got with the executions of the services."""
    executions: Counter[str] = Counter()
    for node in cluster.deployment.services:
        executions.update(cluster.get(f"{node.name}-service", "/executions"))
    outcomes = {
        key: value for caller in callers for key, value in caller.outcomes.items()
    }
    for key, count in executions.items():
        if count > 1:
            results.add_violation(Property.ONCE, f"{key} ran {count} times")
    for key, outcome in outcomes.items():
        if outcome == "done" and executions[key] != 1:
            results.add_violation(
                Property.ONCE, f"{key} was answered, but ran {executions[key]} times"
            )
    for key in executions.keys() - outcomes.keys():
        results.add_violation(
            Property.NOT_RUN, f"{key} ran, but its caller got no outcome"
        )


def check_memory(
    cluster: Cluster, callers: list[SoakCaller], results: SoakResults
) -> None:
    """Wait until no engine caches a prefix of an ended program."""
    ended = {f"{WORKSPACE}:{name}" for caller in callers for name in caller.programs}
    deadline = time.monotonic() + MEMORY_TIMEOUT
    cached_keys: set[str] = set()
    while time.monotonic() < deadline:
        cached_keys = set()
        for node in cluster.deployment.engines:
            listing = cluster.get(f"{node.name}-engine", "/v1/cache")
            cached_keys |= ended & (
                listing["cached"].keys() | listing["exported"].keys()
            )
        if not cached_keys:
            return
        time.sleep(0.5)
    for key in sorted(cached_keys):
        results.add_violation(Property.MEMORY, f"{key} is still cached")


def run_soak(seconds: float, seed: int) -> None:
    """Run the soak and print its report; exit with code 1 on any violation."""
    results = SoakResults()
    cluster = Cluster(deployment=soak_deployment())
    stop_requested = threading.Event()
    faults_stopped = threading.Event()
    started = time.monotonic()
    try:
        cluster.start()
        callers = [
            SoakCaller(number=number, urls=cluster.gateway_urls(), results=results)
            for number in range(CALLER_COUNT)
        ]
        threads = [
            threading.Thread(target=caller.run, args=(stop_requested,), daemon=True)
            for caller in callers
        ]
        injector = FaultInjector(
            cluster=cluster, rng=random.Random(seed), results=results
        )
        injector_thread = threading.Thread(
            target=injector.run, args=(faults_stopped,), daemon=True
        )
        for thread in [*threads, injector_thread]:
            thread.start()
        time.sleep(seconds)
        faults_stopped.set()
        injector_thread.join()
        time.sleep(RECOVERY_TIME)
        stop_requested.set()
        for thread in threads:
            thread.join(RETRY_TIMEOUT * 4)
        check_tools(cluster, callers, results)
        check_memory(cluster, callers, results)
    finally:
        cluster.stop()
    report = make_report(results, seed, time.monotonic() - started)
    click.echo(msgspec.json.format(msgspec.json.encode(report)).decode())
    if any(report.violations.values()):
        sys.exit(1)


def make_report(results: SoakResults, seed: int, seconds: float) -> Report:
    """Make the report of the collected results."""
    faults = {
        name.removeprefix("fault: "): count
        for name, count in sorted(results.counts.items())
        if name.startswith("fault")
    }
    return Report(
        seed=seed,
        seconds=round(seconds, 1),
        programs_finished=results.counts["programs"],
        calls=results.counts["calls"],
        asked_again=results.counts["again"],
        outcomes_unknown=results.counts["unknown"],
        faults=faults,
        violations={
            violated.value: texts for violated, texts in results.violations.items()
        },
    )
