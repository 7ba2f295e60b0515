"""Run programs while processes die, pause and the log goes away.

Each caller runs one program after the other and behaves as callers are told
to. What every caller saw is compared with what the targets and the log saw.
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

CALLERS = 12
TURNS = 4
ANSWER_TOKENS = 30
ASK_LIMIT = 90.0
ASK_PAUSE = 0.1
QUIET_AT_END = 5.0
MEMORY_LIMIT = 60.0
BUDGET = 200_000
TROUBLED = (
    RuntimeError,
    queue.Empty,
    subprocess.TimeoutExpired,
    ClientError,
    urllib3.exceptions.HTTPError,
)
REPEATED = {"interrupted", "superseded", "internal", "deadline_exceeded"}


class Property(Enum):
    """Name what must always hold, in the words of the brief's list."""

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
    """Tell how a soak went."""

    seed: int
    seconds: float
    programs_finished: int
    calls: int
    asked_again: int
    outcomes_unknown: int
    faults: dict[str, int]
    violations: dict[str, list[str]]


class Tally:
    """Count what happens, from all threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.counts: Counter[str] = Counter()
        self.violations: dict[Property, list[str]] = {one: [] for one in Property}

    def count(self, what: str) -> None:
        """Count one event."""
        with self._lock:
            self.counts[what] += 1

    def violate(self, broken: Property, text: str) -> None:
        """Note that a property did not hold."""
        with self._lock:
            self.violations[broken].append(text)


class SoakCaller:
    """Run one program after the other until the time is over."""

    def __init__(self, *, number: int, urls: list[str], tally: Tally) -> None:
        self._number = number
        self._clients = [Client(url=url, key=CALLER_KEY) for url in urls]
        self._tally = tally
        self._rng = random.Random(number)
        self.outcomes: dict[str, str] = {}
        self.programs: list[str] = []

    def run(self, over: threading.Event) -> None:
        """Run programs until it is over; the last one is finished."""
        count = 0
        while not over.is_set():
            name = f"soak-{self._number}-{count}"
            count += 1
            try:
                self._program(name)
                self.programs.append(name)
                self._tally.count("programs")
            except Exception as error:
                self._tally.violate(Property.ANSWER, f"{name}: {error!r}")

    def _program(self, name: str) -> None:
        messages: list[dict[str, Any]] = []
        seq = 0
        for turn in range(TURNS):
            seq += 1
            messages.append({"role": "user", "content": f"{name} turn {turn}"})
            answer = self._turn(name, seq, messages)
            messages.append({"role": "assistant", "content": answer})
            time.sleep(self._rng.uniform(0, 0.1))
            if turn == 1:
                seq += self._tool(name, seq + 1)
        self._check_history(name, messages)
        self._insist(lambda client: client.request("DELETE", f"/v1/programs/{name}"))
        self._check_budget(name)

    def _turn(self, name: str, seq: int, messages: list[dict[str, Any]]) -> str:
        body = {
            "model": MODEL,
            "messages": messages,
            "stream": True,
            "stand_in": {"answer_tokens": ANSWER_TOKENS},
        }
        headers = {"X-Program-Id": name, "X-Call-Seq": str(seq)}

        def ask(client: Client) -> str:
            parts = []
            for event in client.stream("/v1/chat/completions", body, headers):
                parts.append(event["choices"][0]["delta"].get("content") or "")
            return "".join(parts)

        answer = self._insist(ask)
        chat = ChatBody(messages=[ChatMessage(**one) for one in messages], model=MODEL)
        expected = Sequence(body=chat, key="", stream="", order=0).text(
            0, ANSWER_TOKENS
        )
        if answer != expected:
            text = f"{name} call {seq}: {len(answer)} of {len(expected)} characters"
            self._tally.violate(Property.ANSWER, text)
        return answer

    def _tool(self, name: str, seq: int) -> int:
        """Call the tool once and return how many numbers that took."""
        headers = {
            "X-Call-Seq": str(seq),
            "Idempotency-Key": name,
            "X-Non-Idempotent": "true",
        }
        path = f"/v1/programs/{name}/tools/{SERVICE}/pay"

        def ask(client: Client) -> Any:
            return client.request("POST", path, {"delay": 0.05}, headers)

        try:
            self._insist(ask)
        except ClientError as error:
            if error.body.get("kind") != "outcome_unknown":
                raise
            self.outcomes[name] = "unknown"
            self._tally.count("unknown")
            return 1
        self.outcomes[name] = "done"
        return 1

    def _insist(self, ask: Callable[[Client], Any]) -> Any:
        deadline = time.monotonic() + ASK_LIMIT
        place = self._rng.randrange(len(self._clients))
        self._tally.count("calls")
        while True:
            try:
                return ask(self._clients[place % len(self._clients)])
            except (ClientError, urllib3.exceptions.HTTPError) as error:
                body = getattr(error, "body", {})
                again = body.get("not_run") is True or body.get("kind") in REPEATED
                if (body and not again) or time.monotonic() > deadline:
                    raise
            self._tally.count("again")
            place += 1
            time.sleep(ASK_PAUSE)

    def _check_history(self, name: str, messages: list[dict[str, Any]]) -> None:
        path = f"/v1/programs/{name}"
        deadline = time.monotonic() + ASK_LIMIT
        kept: list[dict[str, Any]] = []
        while time.monotonic() < deadline:
            answer = self._insist(lambda client: client.request("GET", path))
            seqs = [entry["seq"] for entry in answer["history"]]
            if seqs != list(range(1, len(seqs) + 1)):
                self._tally.violate(Property.ORDER, f"{name}: {seqs}")
            kept = [
                {"role": one["role"], "content": one["content"]}
                for entry in answer["history"]
                for one in entry["messages"]
            ]
            if len(kept) >= len(messages):
                break
            time.sleep(ASK_PAUSE)
        if kept != messages:
            text = f"{name}: {len(kept)} of {len(messages)} messages kept"
            self._tally.violate(Property.HISTORY, text)

    def _check_budget(self, name: str) -> None:
        path = f"/v1/programs/{name}"
        answer = self._insist(lambda client: client.request("GET", path))
        if answer["spent"] + answer["reserved"] > answer["budget"]:
            self._tally.violate(Property.BUDGET, f"{name}: {answer['spent']}")
        if answer["state"] != "ended":
            self._tally.violate(Property.MEMORY, f"{name} did not end")


class Trouble:
    """Disturb a fleet at random from a seed."""

    def __init__(self, *, fleet: Cluster, rng: random.Random, tally: Tally) -> None:
        self._fleet = fleet
        self._rng = rng
        self._tally = tally
        plan = fleet.deployment
        self._sidecars = [one.name for one in [*plan.engines, *plan.services]]
        self._gateways = [one.name for one in plan.gateways]
        self._newest = 0

    def run(self, over: threading.Event) -> None:
        """Do something every few seconds until it is over."""
        works = [self.kill, self.kill, self.pause, self.pause, self.cut_log]
        works += [self.slow_log, self.lose_replies, self.stop, self.publish]
        while not over.wait(self._rng.uniform(0.3, 1.2)):
            work = self._rng.choice(works)
            try:
                work()
            except TROUBLED:
                # What is disturbed may not answer the one who disturbs it.
                self._tally.count(f"fault not done: {work.__name__}")

    def _any(self) -> str:
        return self._rng.choice([*self._sidecars, *self._gateways])

    def kill(self) -> None:
        """Kill a process and start it again after a while."""
        name = self._any()
        self._tally.count(f"fault: kill {role_of(name)}")
        self._fleet.processes[name].signal(signal.SIGKILL)
        time.sleep(self._rng.uniform(0.2, 2.0))
        self._fleet.restart(name)

    def stop(self) -> None:
        """Stop a process in an orderly way and start it again."""
        name = self._any()
        self._tally.count(f"fault: stop {role_of(name)}")
        process = self._fleet.processes[name]
        process.signal(signal.SIGTERM)
        code = process.wait()
        if code != 0:
            self._tally.violate(Property.STOP, f"{name} ended with {code}")
        self._fleet.restart(name)

    def pause(self) -> None:
        """Pause a process and let it go on."""
        name = self._any()
        self._tally.count(f"fault: pause {role_of(name)}")
        process = self._fleet.processes[name]
        process.signal(signal.SIGSTOP)
        time.sleep(self._rng.uniform(0.5, 5.0))
        process.signal(signal.SIGCONT)

    def cut_log(self) -> None:
        """Take the log away for a while."""
        self._tally.count("fault: log down")
        self._fleet.set_faults(Faults(down=True))
        time.sleep(self._rng.uniform(0.5, 4.0))
        self._fleet.set_faults(Faults())

    def slow_log(self) -> None:
        """Make the log slow for a while."""
        self._tally.count("fault: log slow")
        self._fleet.set_faults(Faults(delay=0.2))
        time.sleep(self._rng.uniform(1.0, 3.0))
        self._fleet.set_faults(Faults())

    def lose_replies(self) -> None:
        """Lose the replies to some appends."""
        self._tally.count("fault: replies lost")
        self._fleet.set_faults(Faults(lose_replies=5))

    def publish(self) -> None:
        """Publish, and see that no gateway goes back."""
        self._tally.count("fault: publish")
        document = {
            "kind": "Policy",
            "name": "soak",
            "selector": {"number": str(self._rng.random())},
        }
        self._fleet.publish([document], wait_ready=False)
        status = self._fleet.operator().request("GET", "/v1/admin/status")
        if status["config_version"] < self._newest:
            text = f"{status['config_version']} after {self._newest}"
            self._tally.violate(Property.CONFIGURATION, text)
        self._newest = status["config_version"]


def role_of(name: str) -> str:
    """Return the role of a process by its name."""
    return name.rsplit("-", 1)[0]


def soak_deployment() -> Deployment:
    """Return two gateways, three engines and two services."""
    return Deployment(
        name="soak",
        gateways=[Node(name=f"gateway-{n}", data_centre="here") for n in (1, 2)],
        engines=[Node(name=f"engine-{n}", data_centre="here") for n in (1, 2, 3)],
        services=[Node(name=f"tools-{n}", data_centre="here") for n in (1, 2)],
        options=EngineOptions(model=MODEL, step=0.004),
        limits=LimitOptions(lame_duck=0.2, cache_check=2.0, renew_after=400),
        silence_limit=1.5,
    )


def check_tools(fleet: Cluster, callers: list[SoakCaller], tally: Tally) -> None:
    """Compare what callers were told with what the tools ran."""
    runs: Counter[str] = Counter()
    for place in fleet.deployment.services:
        runs.update(fleet.get(f"{place.name}-service", "/executions"))
    outcomes = {
        key: value for caller in callers for key, value in caller.outcomes.items()
    }
    for key, count in runs.items():
        if count > 1:
            tally.violate(Property.ONCE, f"{key} ran {count} times")
    for key, outcome in outcomes.items():
        if outcome == "done" and runs[key] != 1:
            tally.violate(Property.ONCE, f"{key} answered, ran {runs[key]} times")
    for key in runs.keys() - outcomes.keys():
        tally.violate(Property.NOT_RUN, f"{key} ran, its caller was never told")


def check_memory(fleet: Cluster, callers: list[SoakCaller], tally: Tally) -> None:
    """Wait until no engine holds a program that has ended."""
    ended = {f"{WORKSPACE}:{name}" for caller in callers for name in caller.programs}
    deadline = time.monotonic() + MEMORY_LIMIT
    left: set[str] = set()
    while time.monotonic() < deadline:
        left = set()
        for place in fleet.deployment.engines:
            listing = fleet.get(f"{place.name}-engine", "/v1/cache")
            left |= ended & (listing["cached"].keys() | listing["exported"].keys())
        if not left:
            return
        time.sleep(0.5)
    for key in sorted(left):
        tally.violate(Property.MEMORY, f"{key} is still held")


def run_soak(seconds: float, seed: int) -> None:
    """Run the soak, print its report, and exit non-zero on any violation."""
    tally = Tally()
    fleet = Cluster(deployment=soak_deployment())
    over = threading.Event()
    calm = threading.Event()
    begun = time.monotonic()
    try:
        fleet.start()
        callers = [
            SoakCaller(number=number, urls=fleet.gateway_urls(), tally=tally)
            for number in range(CALLERS)
        ]
        threads = [
            threading.Thread(target=caller.run, args=(over,), daemon=True)
            for caller in callers
        ]
        trouble = Trouble(fleet=fleet, rng=random.Random(seed), tally=tally)
        troubling = threading.Thread(target=trouble.run, args=(calm,), daemon=True)
        for thread in [*threads, troubling]:
            thread.start()
        time.sleep(seconds)
        calm.set()
        troubling.join()
        time.sleep(QUIET_AT_END)
        over.set()
        for thread in threads:
            thread.join(ASK_LIMIT * 4)
        check_tools(fleet, callers, tally)
        check_memory(fleet, callers, tally)
    finally:
        fleet.stop()
    report = report_of(tally, seed, time.monotonic() - begun)
    click.echo(msgspec.json.format(msgspec.json.encode(report)).decode())
    if any(report.violations.values()):
        sys.exit(1)


def report_of(tally: Tally, seed: int, seconds: float) -> Report:
    """Return the report of what was counted."""
    faults = {
        name.removeprefix("fault: "): count
        for name, count in sorted(tally.counts.items())
        if name.startswith("fault")
    }
    return Report(
        seed=seed,
        seconds=round(seconds, 1),
        programs_finished=tally.counts["programs"],
        calls=tally.counts["calls"],
        asked_again=tally.counts["again"],
        outcomes_unknown=tally.counts["unknown"],
        faults=faults,
        violations={one.value: found for one, found in tally.violations.items()},
    )
