"""Run a program through a system with injected faults and check the outcome.

The caller retries requests that were not run or whose answer was interrupted, through
any live gateway and with the same sequence number and idempotency key. It does not
retry a request whose outcome is unknown.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from enum import Enum
from functools import partial
from typing import Any

import urllib3

from ...client import Client, ClientError
from ...config.documents import TargetDocument
from ...config.settings import LimitOptions
from ...daemon.base import Core
from ...ids import HostName
from ...standins.engine import (
    ChatBody,
    ChatMessage,
    EngineOptions,
    EngineStandIn,
    Sequence,
)
from ...storage.interfaces import HostState
from ..base import (
    MODEL,
    OTHER_KEY,
    WORKSPACE,
    Conversation,
    Node,
    SystemUnderTest,
    in_thread,
    wait_until,
)

RETRY_TIMEOUT = 45.0  # seconds
RETRY_INTERVAL = 0.05  # seconds
ANSWER_TOKENS = 40
BUDGET = 60_000
PROGRAM = "subject"
BYSTANDER = "bystander"
IDEMPOTENCY_KEY = "payout-1"
TOOL_SECONDS = 0.25
FAULT_SECONDS = 0.6
RETRYABLE_KINDS = {"interrupted", "superseded", "internal"}


class Moment(Enum):
    """Moments of the scenario at which faults can be injected."""

    BEFORE_START = "before the first call"
    DURING_FIRST = "while the first answer streams"
    AFTER_FIRST = "just after the first answer"
    DURING_TOOL = "while the tool runs"
    AFTER_TOOL = "just after the tool answered"
    BETWEEN = "between two turns"
    DURING_ANSWER = "while a later answer streams"
    AFTER_ANSWER = "just after a later answer"
    BEFORE_END = "before the end"


MOMENTS = list(Moment)


class Fault(Enum):
    """Faults that can be injected; each has a method `do_<name>` of the scenario."""

    KILL_HOME = "home is killed"
    RESTART_HOME = "home is killed and started again"
    PAUSE_HOME = "home is paused and wakes later"
    STOP_HOME = "home is stopped in an orderly way"
    DRAIN_HOME = "home is drained by an operator"
    HOST_LEAVES = "host list shows the home's host as leaving"
    HOST_LIST_LAGS = "home drains while the host list is late"
    KILL_GATEWAY = "gateway is killed"
    STOP_GATEWAY = "gateway is stopped in an orderly way"
    PAUSE_GATEWAY = "gateway is paused and wakes later"
    KILL_TOOL = "sidecar of the tool is killed"
    PAUSE_TOOL = "sidecar of the tool is paused and wakes later"
    RESTART_TOOL = "sidecar of the tool is killed and started again"
    LOG_DOWN = "log is down for a while"
    LOG_SLOW = "log is slow"
    LOSE_REPLY = "log takes an append and its reply is lost"
    LOSE_REQUEST = "log never gets an append"
    CUT_HOME_FROM_LOG = "home alone is cut off from the log"
    CUT_STREAM = "engine's connection breaks"
    SECOND_GATEWAY = "caller asks through another gateway at once"
    PUBLISH = "operator publishes"
    TRIM_LOG = "log forgets its oldest records"


class Scenario:
    """A program of three model turns and a tool call, with faults injected.

    Another program with the same name runs in a second workspace. `problems` are the
    violations that the checks found.
    """

    def __init__(self) -> None:
        self.system = SystemUnderTest(
            engines=2,
            services=2,
            gateways=2,
            options=EngineOptions(
                step=0.004, step_share=0.0, load_lag=0.01, event_lag=0.01
            ),
            limits=LimitOptions(
                lame_duck=0.05,
                submit_timeout=1.0,
                append_interval=0.0,
                drain_timeout=20.0,
                cache_check=0.2,
                renew_after=16,
            ),
            program={"budget": BUDGET, "max_answer_tokens": 400},
            policy={"service_timeout": 20.0},
        )
        self.problems: list[str] = []
        self._conversation: Conversation | None = None
        self._undo: list[Any] = []
        self._tool_answer: Any = None
        self._tool_outcome: str | None = None
        self._leaving: dict[str, tuple[float, int]] = {}
        self._published = 0
        self._seq = 0

    def start(self) -> None:
        """Start the system."""
        self.system.start()

    def stop(self) -> None:
        """Stop the system."""
        self.system.stop()

    @property
    def conversation(self) -> Conversation:
        """Return the conversation of the program."""
        if self._conversation is None:
            self._conversation = Conversation(client=self.client(), program=PROGRAM)
        return self._conversation

    def gateways(self) -> list[str]:
        """Return the names of the live gateways in order."""
        names = [name for name in self.system.nodes if name.startswith("gateway")]
        return sorted(names)

    def client(self, index: int = 0) -> Client:
        """Return a client of a live gateway, chosen by `index` modulo their number."""
        names = self.gateways()
        return self.system.client(names[index % len(names)])

    # The program.

    def run(self, faults: dict[Moment, list[Fault]]) -> None:
        """Run the program, inject the faults of each moment and check the outcome."""
        bystander = self.bystander()
        self.inject_faults(Moment.BEFORE_START, faults)
        self.turn("first", Moment.DURING_FIRST, faults)
        self.inject_faults(Moment.AFTER_FIRST, faults)
        self.tool(faults)
        self.inject_faults(Moment.AFTER_TOOL, faults)
        self.inject_faults(Moment.BETWEEN, faults)
        self.turn("second", Moment.DURING_ANSWER, faults)
        self.inject_faults(Moment.AFTER_ANSWER, faults)
        self.undo_faults()
        self.turn("third", None, faults)
        self.inject_faults(Moment.BEFORE_END, faults)
        self.undo_faults()
        bystander.client = self.client()
        self.bystander_turn(bystander)
        self.check_history(bystander)
        self.end_program()
        self.check_end()

    def bystander(self) -> Conversation:
        """Start the program with the same name in another workspace."""
        client = self.system.client("gateway-1", OTHER_KEY)
        other = Conversation(client=client, program=PROGRAM)
        other.say("bystander one")
        return other

    def turn_without_retry(self, conversation: Conversation, _: Client) -> str:
        """Run one turn of a conversation without retries."""
        return conversation.say("filler", retry=False)

    def stored_messages_of(
        self, conversation: Conversation, _: Client
    ) -> list[dict[str, Any]]:
        """Return the messages in the stored history of a conversation."""
        return conversation.stored_messages()

    def bystander_turn(self, bystander: Conversation) -> None:
        """Run another turn of the program in the other workspace."""
        name = self.gateways()[0]
        bystander.client = self.system.client(name, OTHER_KEY)
        self.retry_until_answered(lambda _: bystander.say("bystander two", retry=False))

    def turn(
        self, text: str, moment: Moment | None, faults: dict[Moment, list[Fault]]
    ) -> None:
        """Run a model turn and inject faults while its answer streams."""
        self._seq += 1
        seq = self._seq
        conversation = self.conversation
        body = conversation.body(
            text, stream=True, stand_in={"answer_tokens": ANSWER_TOKENS}
        )
        before = sum(engine.requests for engine in self.system.engines)

        def call(client: Client) -> str:
            parts: list[str] = []
            path = "/v1/chat/completions"
            for event in client.stream(path, body, conversation.headers(seq)):
                parts.append(event["choices"][0]["delta"].get("content") or "")
            return "".join(parts)

        pending_call: Future[str] = in_thread(lambda: self.retry_until_answered(call))
        if moment is not None and faults.get(moment):
            wait_until(
                lambda: (
                    sum(one.requests for one in self.system.engines) > before
                    or pending_call.done()
                ),
                "the engine got the call",
            )
            self.inject_faults(moment, faults, pending_call)
        answer = pending_call.result(60)
        self.check_answer(body, answer)
        conversation.add_turn(text, answer)

    def check_answer(self, body: dict[str, Any], answer: str) -> None:
        """Compare an answer with the engine's answer to the messages."""
        messages = [ChatMessage(**one) for one in body["messages"]]
        chat = ChatBody(messages=messages, model=MODEL)
        sequence = Sequence(body=chat, key="", stream="", order=0)
        expected = sequence.text(0, ANSWER_TOKENS)
        if answer != expected:
            self.problems.append(f"answer is {answer!r}, expected {expected!r}")

    def tool(self, faults: dict[Moment, list[Fault]]) -> None:
        """Run a non-idempotent tool call and inject faults while it runs."""
        self._seq += 1
        seq = self._seq
        conversation = self.conversation

        def call(client: Client) -> Any:
            return conversation.tool(
                IDEMPOTENCY_KEY, client=client, body={"delay": TOOL_SECONDS}, seq=seq
            )

        pending_call = in_thread(lambda: self.retry_tool_call(call))
        if faults.get(Moment.DURING_TOOL):
            wait_until(
                lambda: (
                    self.system.executions().get(IDEMPOTENCY_KEY) or pending_call.done()
                ),
                "the tool got the call",
            )
            self.inject_faults(Moment.DURING_TOOL, faults, pending_call)
        pending_call.result(60)
        if self._tool_outcome == "not_run":
            self._seq -= 1

    def retry_until_answered(self, call: Any, *, idempotent: bool = False) -> Any:
        """Retry a request until it is answered, through one gateway after another.

        An idempotent request is also retried if its outcome is unknown.
        """
        deadline = time.monotonic() + RETRY_TIMEOUT
        attempt = 0
        while True:
            try:
                return call(self.client(attempt))
            except (ClientError, urllib3.exceptions.HTTPError) as error:
                body = getattr(error, "body", {})
                if time.monotonic() > deadline:
                    raise AssertionError(f"no answer in time: {error}") from error
                unknown = idempotent and body.get("not_run") == "unknown"
                if body and not unknown and not _is_retryable(body):
                    raise
            attempt += 1
            time.sleep(RETRY_INTERVAL)

    def retry_tool_call(self, call: Any) -> None:
        """Retry the tool call until it is answered or its outcome is unknown."""
        deadline = time.monotonic() + RETRY_TIMEOUT
        attempt = 0
        while True:
            try:
                self._tool_answer = call(self.client(attempt))
                self._tool_outcome = "answered"
                return
            except (ClientError, urllib3.exceptions.HTTPError) as error:
                body = getattr(error, "body", {})
                if body.get("kind") == "outcome_unknown":
                    self._tool_outcome = "unknown"
                    return
                if time.monotonic() > deadline:
                    if body.get("not_run") is True:
                        self._tool_outcome = "not_run"
                        return
                    raise AssertionError(f"no outcome in time: {error}") from error
                if body and not _is_retryable(body):
                    raise
            attempt += 1
            time.sleep(RETRY_INTERVAL)

    # Faults.

    def inject_faults(
        self,
        moment: Moment,
        faults: dict[Moment, list[Fault]],
        pending_call: Future[Any] | None = None,
    ) -> None:
        """Inject the faults of a moment."""
        for fault in faults.get(moment, []):
            getattr(self, f"do_{fault.name.lower()}")(pending_call)

    def undo_faults(self) -> None:
        """Undo all faults that persist."""
        for undo in self._undo:
            undo()
        self._undo.clear()

    def live_home(self) -> str | None:
        """Return the home of the program, or None if it is not alive."""
        state = self.system.state(PROGRAM)
        if state is None or state.home not in self.system.nodes:
            return None
        return state.home

    def home_or_engine(self) -> str:
        """Return the live home, or any live sidecar of an engine if there is none."""
        names = [name for name in self.system.nodes if name.startswith("engine")]
        return self.live_home() or names[0]

    def do_kill_home(self, pending_call: Any) -> None:
        """Kill the home."""
        self.system.kill(self.home_or_engine())

    def do_restart_home(self, pending_call: Any) -> None:
        """Kill the home and restart it."""
        name = self.home_or_engine()
        self.system.kill(name)
        self.system.restart(name)

    def do_pause_home(self, pending_call: Any) -> None:
        """Pause the home; it resumes after another one may have taken over."""
        self.pause(self.home_or_engine())

    def pause(self, name: str) -> None:
        """Pause a process until the faults are undone."""
        thread = self.system.nodes[name].thread
        thread.pause()
        self._undo.append(thread.resume)

    def do_stop_home(self, pending_call: Any) -> None:
        """Shut the home down gracefully; running calls must complete."""
        name = self.home_or_engine()
        self.record_leaving(name)
        self.system.stop_gracefully(name)

    def do_drain_home(self, pending_call: Any) -> None:
        """Drain the home."""
        name = self.home_or_engine()
        sidecar = self.system.nodes[name].sidecar
        assert sidecar is not None
        self.system.nodes[name].thread.wait(sidecar.local_programs.drain(True))
        self.record_leaving(name)

    def do_host_leaves(self, pending_call: Any) -> None:
        """Mark the home's host as leaving and wait until the gateways know."""
        name = self.home_or_engine()
        self.system.platform.set_host(HostName(f"host-{name}"), HostState.LEAVING)
        for gateway in self.gateways():
            core = self.system.nodes[gateway].core
            document = core.catalogue.target(name)
            wait_until(
                partial(self.sends_no_calls, core, document), "the gateway to avoid it"
            )
        self.record_leaving(name)

    def sends_no_calls(self, core: Core, target: TargetDocument | None) -> bool:
        """Return whether a process sends no calls to a target."""
        return target is None or not core.membership.takes_work(target)

    def do_host_list_lags(self, pending_call: Any) -> None:
        """Drain the home while the host list lags by half a minute."""
        self.system.platform.faults.host_lag = 30.0
        self.do_host_leaves_late()
        self.do_drain_home(pending_call)

    def do_host_leaves_late(self) -> None:
        """Mark the home's host as leaving without waiting until that is seen."""
        name = self.home_or_engine()
        self.system.platform.set_host(HostName(f"host-{name}"), HostState.LEAVING)

    def record_leaving(self, name: str) -> None:
        """Record how many requests the engine of a leaving target has received."""
        engine = self.engine_of(name)
        self._leaving[name] = (time.monotonic(), engine.requests)

    def engine_of(self, name: str) -> Any:
        """Return the engine of a target."""
        return self.system.engines[int(name.rsplit("-", 1)[1]) - 1]

    def do_kill_gateway(self, pending_call: Any) -> None:
        """Kill the first gateway, which the caller uses."""
        self.system.kill(self.gateways()[0])

    def do_stop_gateway(self, pending_call: Any) -> None:
        """Shut the first gateway down gracefully."""
        self.system.stop_gracefully(self.gateways()[0])

    def do_pause_gateway(self, pending_call: Any) -> None:
        """Pause the last gateway."""
        self.pause(self.gateways()[-1])

    def tool_node(self) -> str:
        """Return the sidecar that ran the tool, or else the first live one."""
        for index, service in enumerate(self.system.services):
            name = f"tools-{index + 1}"
            if service.executions.get(IDEMPOTENCY_KEY) and name in self.system.nodes:
                return name
        names = [name for name in self.system.nodes if name.startswith("tools")]
        return names[0]

    def do_kill_tool(self, pending_call: Any) -> None:
        """Kill the sidecar of the tool."""
        self.system.kill(self.tool_node())

    def do_restart_tool(self, pending_call: Any) -> None:
        """Kill the sidecar of the tool and restart it."""
        name = self.tool_node()
        self.system.kill(name)
        self.system.restart(name)

    def do_pause_tool(self, pending_call: Any) -> None:
        """Pause the sidecar of the tool."""
        self.pause(self.tool_node())

    def do_log_down(self, pending_call: Any) -> None:
        """Make the log unavailable for a while, at most until the call is answered."""
        faults = self.system.platform.faults
        faults.down = True

        def restore(_: Any = None) -> None:
            faults.down = False

        if pending_call is None:
            time.sleep(FAULT_SECONDS)
            restore()
        else:
            pending_call.add_done_callback(restore)
            self._undo.append(restore)
            call_later(FAULT_SECONDS * 4, restore)

    def do_log_slow(self, pending_call: Any) -> None:
        """Make the log slow until the faults are undone."""
        faults = self.system.platform.faults
        faults.delay = 0.1

        def restore() -> None:
            faults.delay = 0.0

        self._undo.append(restore)

    def do_lose_reply(self, pending_call: Any) -> None:
        """Lose the replies to the next two appends."""
        self.system.platform.faults.lose_replies = 2

    def do_lose_request(self, pending_call: Any) -> None:
        """Lose the next two appends."""
        self.system.platform.faults.lose_requests = 2

    def do_cut_home_from_log(self, pending_call: Any) -> None:
        """Disconnect only the home from the log."""
        node = self.system.nodes[self.home_or_engine()]
        node.log.disconnected = True

        def restore() -> None:
            node.log.disconnected = False

        self._undo.append(restore)
        call_later(FAULT_SECONDS * 3, restore)

    def do_cut_stream(self, pending_call: Any) -> None:
        """Break the connection of the next stream of each engine."""
        for engine in self.system.engines:
            engine.cut_streams = 1

    def do_second_gateway(self, pending_call: Any) -> None:
        """Send the running request through the second gateway too."""
        if pending_call is None or pending_call.done():
            return
        seq = self._seq
        if seq == 2:
            in_thread(
                lambda: self.conversation.tool(
                    IDEMPOTENCY_KEY,
                    client=self.client(1),
                    body={"delay": TOOL_SECONDS},
                    seq=seq,
                )
            )
            return
        text = "first" if seq == 1 else "second"
        body = self.conversation.body(
            text, stream=True, stand_in={"answer_tokens": ANSWER_TOKENS}
        )
        in_thread(
            lambda: list(
                self.client(1).stream(
                    "/v1/chat/completions", body, self.conversation.headers(seq)
                )
            )
        )

    def do_publish(self, pending_call: Any) -> None:
        """Publish a policy through the first gateway."""
        name = self.gateways()[0]
        operator = self.system.client(name, "operator-key")
        known = operator.request("GET", "/v1/admin/config")["documents"]
        document = {"kind": "Policy", "name": "extra", "selector": {"x": "y"}}
        base = known.get("Policy/extra", {}).get("version", 0)
        change = {"key": "Policy/extra", "base": base, "document": document}
        verdict = operator.request(
            "POST", "/v1/admin/config", {"id": f"p{time.time()}", "changes": [change]}
        )
        self._published = verdict["offset"]

    def do_trim_log(self, pending_call: Any) -> None:
        """Append records until the snapshot of the program must be renewed."""
        for number in range(24):
            filler = Conversation(client=self.client(), program=f"filler-{number}")
            self.retry_until_answered(partial(self.turn_without_retry, filler))
        view = self.system.view
        state = wait_until(lambda: self.system.state(PROGRAM), "the program")
        shard = next(n for n in range(2) if view(n).state(state.program))
        wait_until(
            lambda: self.system.state(PROGRAM).base > view(shard).next_offset - 40,
            "a newer snapshot of the program",
        )

    # Checks.

    def check_history(self, bystander: Conversation) -> None:
        """Compare the stored histories with the messages of both callers."""
        for conversation in (self.conversation, bystander):
            conversation.client = (
                self.client()
                if conversation is self.conversation
                else self.system.client(self.gateways()[0], OTHER_KEY)
            )
            wait_until(
                partial(self.all_messages_stored, conversation),
                "all turns in the stored history",
            )
            stored = [
                {"role": one["role"], "content": one["content"]}
                for one in conversation.stored_messages()
            ]
            if stored != conversation.messages:
                self.problems.append(
                    f"stored history of {conversation.program} is {stored}"
                )

    def all_messages_stored(self, conversation: Conversation) -> bool:
        """Return whether the stored history has all messages of the conversation."""
        return len(
            self.retry_until_answered(partial(self.stored_messages_of, conversation))
        ) >= len(conversation.messages)

    def end_program(self) -> None:
        """End the program."""
        path = f"/v1/programs/{PROGRAM}"
        self.retry_until_answered(
            lambda client: client.request("DELETE", path), idempotent=True
        )

    def check_end(self) -> None:
        """Check the program's state in the log and the runs of the tool."""
        state = self.system.state(PROGRAM)
        if state.ended is None:
            self.problems.append("the program did not end")
        if state.spent + state.open_block > state.spec.budget:
            self.problems.append(
                f"over budget: spent {state.spent} of {state.spec.budget}"
            )
        runs = self.system.executions().get(IDEMPOTENCY_KEY, 0)
        if runs > 1:
            self.problems.append(f"the tool ran {runs} times")
        if self._tool_outcome == "answered" and runs != 1:
            self.problems.append(f"answered, but the tool ran {runs} times")
        if self._tool_outcome == "not_run" and runs != 0:
            self.problems.append("reported as not run, but the tool ran")
        self.check_memory()
        self.check_leaving()
        self.check_configuration()

    def check_memory(self) -> None:
        """Wait until no engine with a live sidecar caches the program."""
        key = f"{WORKSPACE}:{PROGRAM}"
        for name in list(self.system.nodes):
            if name.startswith("engine"):
                engine = self.engine_of(name)
                wait_until(
                    partial(self.has_no_cache_entry, engine, key),
                    f"{name} frees the program",
                )

    def has_no_cache_entry(self, engine: EngineStandIn, key: str) -> bool:
        """Return whether an engine has no cache entry of a program."""
        return key not in engine.cache_keys

    def check_leaving(self) -> None:
        """Check that leaving targets received no new calls."""
        for name, (_, requests) in self._leaving.items():
            now = self.engine_of(name).requests
            if now > requests:
                self.problems.append(f"{name} got {now - requests} calls after leaving")

    def check_configuration(self) -> None:
        """Wait until all processes have the newest configuration."""
        views = [node.core.config_view for node in self.system.nodes.values()]
        newest = max(self._published, *(view.newest for view in views))
        for node in self.system.nodes.values():
            wait_until(
                partial(self.has_publication, node, newest),
                f"{node.name} has configuration {newest}",
            )

    def has_publication(self, node: Node, newest: int) -> bool:
        """Return whether a process has read a publication."""
        return node.core.config_view.newest >= newest


def call_later(seconds: float, callback: Callable[[], None]) -> None:
    """Call a function after some seconds, in a thread."""
    timer = threading.Timer(seconds, callback)
    timer.daemon = True
    timer.start()


def _is_retryable(body: dict[str, Any]) -> bool:
    """Return whether a caller should retry after an error response."""
    return body.get("not_run") is True or body.get("kind") in RETRYABLE_KINDS
