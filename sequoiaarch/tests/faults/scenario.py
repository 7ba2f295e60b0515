"""Run one program through a system while faults come, and check it all.

The caller behaves as callers are told to: it asks again when an answer was
refused as not run or broke off, through whichever gateway is left, under the
same sequence number and key. It stops asking when an outcome is unknown.
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

ASK_LIMIT = 45.0
ASK_PAUSE = 0.05
ANSWER_TOKENS = 40
BUDGET = 60_000
PROGRAM = "subject"
BYSTANDER = "bystander"
KEY = "payout-1"
TOOL_SECONDS = 0.25
SETTLE = 0.6
KINDS_TO_REPEAT = {"interrupted", "superseded", "internal"}


class Moment(Enum):
    """Name the moments at which a fault can come."""

    BEFORE_START = "before the first call"
    DURING_FIRST = "while the first answer streams"
    AFTER_FIRST = "just after the first answer"
    DURING_TOOL = "while the tool runs"
    AFTER_TOOL = "just after the tool answered"
    BETWEEN = "between two turns"
    DURING_ANSWER = "while a later answer streams"
    AFTER_ANSWER = "just after a later answer"
    BEFORE_END = "before the end"


ORDER = list(Moment)


class Fault(Enum):
    """Name what can go wrong."""

    KILL_HOME = "home is killed"
    RESTART_HOME = "home is killed and started again"
    FREEZE_HOME = "home is paused and wakes later"
    STOP_HOME = "home is stopped in an orderly way"
    DRAIN_HOME = "home is drained by an operator"
    HOST_LEAVES = "host list shows the home's host as leaving"
    HOST_LIST_LAGS = "home drains while the host list is late"
    KILL_GATEWAY = "gateway is killed"
    STOP_GATEWAY = "gateway is stopped in an orderly way"
    FREEZE_GATEWAY = "gateway is paused and wakes later"
    KILL_TOOL = "sidecar of the tool is killed"
    FREEZE_TOOL = "sidecar of the tool is paused and wakes later"
    RESTART_TOOL = "sidecar of the tool is killed and started again"
    LOG_DOWN = "log is down for a while"
    LOG_SLOW = "log is slow"
    LOSE_REPLY = "log takes an append and its reply is lost"
    LOSE_REQUEST = "log never gets an append"
    CUT_HOME_FROM_LOG = "home alone is cut off from the log"
    CUT_STREAM = "engine's connection breaks"
    SECOND_GATEWAY = "caller asks through another gateway at once"
    PUBLISH = "operator publishes"
    FORGET = "log forgets its oldest records"


class Run:
    """Hold one program on its way, and the faults done to it."""

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
        self._talk: Conversation | None = None
        self._heal: list[Any] = []
        self._tool_answer: Any = None
        self._tool_kind: str | None = None
        self._left: dict[str, tuple[float, int]] = {}
        self._polite: set[str] = set()
        self._published = 0
        self._seq = 0

    def start(self) -> None:
        """Start the system."""
        self.system.start()

    def stop(self) -> None:
        """Stop the system."""
        self.system.stop()

    @property
    def talk(self) -> Conversation:
        """Return the conversation of the program."""
        if self._talk is None:
            self._talk = Conversation(client=self.client(), program=PROGRAM)
        return self._talk

    def gateways(self) -> list[str]:
        """Return the gateways that are alive, the first that started first."""
        names = [name for name in self.system.nodes if name.startswith("gateway")]
        return sorted(names)

    def client(self, place: int = 0) -> Client:
        """Return a client of some gateway that is alive."""
        names = self.gateways()
        return self.system.client(names[place % len(names)])

    # The program.

    def run(self, faults: dict[Moment, list[Fault]]) -> None:
        """Run the whole program with its faults and check it."""
        bystander = self.bystander()
        self.at(Moment.BEFORE_START, faults)
        self.turn("first", Moment.DURING_FIRST, faults)
        self.at(Moment.AFTER_FIRST, faults)
        self.tool(faults)
        self.at(Moment.AFTER_TOOL, faults)
        self.at(Moment.BETWEEN, faults)
        self.turn("second", Moment.DURING_ANSWER, faults)
        self.at(Moment.AFTER_ANSWER, faults)
        self.heal()
        self.turn("third", None, faults)
        self.at(Moment.BEFORE_END, faults)
        self.heal()
        bystander.client = self.client()
        self.bystander_turn(bystander)
        self.check_history(bystander)
        self.finish()
        self.check_end()

    def bystander(self) -> Conversation:
        """Start a program of another workspace that must stay apart."""
        client = self.system.client("gateway-1", OTHER_KEY)
        other = Conversation(client=client, program=PROGRAM)
        other.say("bystander one")
        return other

    def say_once(self, talk: Conversation, _: Client) -> str:
        """Take a turn of another program, without patience."""
        return talk.say("filler", retry=False)

    def kept_by(self, talk: Conversation, _: Client) -> list[dict[str, Any]]:
        """Return what the system keeps of a program."""
        return talk.stored_messages()

    def bystander_turn(self, bystander: Conversation) -> None:
        """Let the other program go on."""
        name = self.gateways()[0]
        bystander.client = self.system.client(name, OTHER_KEY)
        self.insist(lambda _: bystander.say("bystander two", retry=False))

    def turn(
        self, text: str, moment: Moment | None, faults: dict[Moment, list[Fault]]
    ) -> None:
        """Take one model turn, with faults while it streams."""
        self._seq += 1
        seq = self._seq
        talk = self.talk
        body = talk.body(text, stream=True, stand_in={"answer_tokens": ANSWER_TOKENS})
        before = sum(engine.requests for engine in self.system.engines)

        def ask(client: Client) -> str:
            parts: list[str] = []
            path = "/v1/chat/completions"
            for event in client.stream(path, body, talk.headers(seq)):
                parts.append(event["choices"][0]["delta"].get("content") or "")
            return "".join(parts)

        asking: Future[str] = in_thread(lambda: self.insist(ask))
        if moment is not None and faults.get(moment):
            wait_until(
                lambda: (
                    sum(one.requests for one in self.system.engines) > before
                    or asking.done()
                ),
                "the engine got the call",
            )
            self.at(moment, faults, asking)
        answer = asking.result(60)
        self.check_answer(body, answer)
        talk.add_turn(text, answer)

    def check_answer(self, body: dict[str, Any], answer: str) -> None:
        """Compare an answer with what the engine gives to these messages."""
        messages = [ChatMessage(**one) for one in body["messages"]]
        chat = ChatBody(messages=messages, model=MODEL)
        sequence = Sequence(body=chat, key="", stream="", order=0)
        expected = sequence.text(0, ANSWER_TOKENS)
        if answer != expected:
            self.problems.append(f"answer {answer!r} is not {expected!r}")

    def tool(self, faults: dict[Moment, list[Fault]]) -> None:
        """Call the tool that may run once, with faults while it runs."""
        self._seq += 1
        seq = self._seq
        talk = self.talk

        def ask(client: Client) -> Any:
            return talk.tool(KEY, client=client, body={"delay": TOOL_SECONDS}, seq=seq)

        asking = in_thread(lambda: self.insist_once(ask))
        if faults.get(Moment.DURING_TOOL):
            wait_until(
                lambda: self.system.executions().get(KEY) or asking.done(),
                "the tool got the call",
            )
            self.at(Moment.DURING_TOOL, faults, asking)
        asking.result(60)
        if self._tool_kind == "not_run":
            self._seq -= 1

    def insist(self, ask: Any, *, idempotent: bool = False) -> Any:
        """Ask until there is an answer, as a caller is told to.

        A request that is idempotent may be asked again also where its outcome
        is unknown.
        """
        deadline = time.monotonic() + ASK_LIMIT
        place = 0
        while True:
            try:
                return ask(self.client(place))
            except (ClientError, urllib3.exceptions.HTTPError) as error:
                body = getattr(error, "body", {})
                if time.monotonic() > deadline:
                    raise AssertionError(f"never answered: {error}") from error
                unknown = idempotent and body.get("not_run") == "unknown"
                if body and not unknown and not _again(body):
                    raise
            place += 1
            time.sleep(ASK_PAUSE)

    def insist_once(self, ask: Any) -> None:
        """Ask until the outcome is known or known to be unknown."""
        deadline = time.monotonic() + ASK_LIMIT
        place = 0
        while True:
            try:
                self._tool_answer = ask(self.client(place))
                self._tool_kind = "answered"
                return
            except (ClientError, urllib3.exceptions.HTTPError) as error:
                body = getattr(error, "body", {})
                if body.get("kind") == "outcome_unknown":
                    self._tool_kind = "unknown"
                    return
                if time.monotonic() > deadline:
                    if body.get("not_run") is True:
                        self._tool_kind = "not_run"
                        return
                    raise AssertionError(f"never settled: {error}") from error
                if body and not _again(body):
                    raise
            place += 1
            time.sleep(ASK_PAUSE)

    # Faults.

    def at(
        self,
        moment: Moment,
        faults: dict[Moment, list[Fault]],
        asking: Future[Any] | None = None,
    ) -> None:
        """Bring about the faults of a moment."""
        for fault in faults.get(moment, []):
            getattr(self, f"do_{fault.name.lower()}")(asking)

    def heal(self) -> None:
        """End all faults that last."""
        for work in self._heal:
            work()
        self._heal.clear()

    def home(self) -> str | None:
        """Return the home of the program where it is alive."""
        state = self.system.state(PROGRAM)
        if state is None or state.home not in self.system.nodes:
            return None
        return state.home

    def some_engine(self) -> str:
        """Return the home, or an engine's sidecar where there is none yet."""
        names = [name for name in self.system.nodes if name.startswith("engine")]
        return self.home() or names[0]

    def do_kill_home(self, asking: Any) -> None:
        """Kill the home."""
        self.system.kill(self.some_engine())

    def do_restart_home(self, asking: Any) -> None:
        """Kill the home and start it again."""
        name = self.some_engine()
        self.system.kill(name)
        self.system.restart(name)

    def do_freeze_home(self, asking: Any) -> None:
        """Pause the home; it wakes when another may have taken over."""
        self.freeze(self.some_engine())

    def freeze(self, name: str) -> None:
        """Pause a process until the faults are healed."""
        thread = self.system.nodes[name].thread
        thread.freeze()
        self._heal.append(thread.thaw)

    def do_stop_home(self, asking: Any) -> None:
        """Stop the home in an orderly way; what runs must not be cut off."""
        name = self.some_engine()
        self.note_left(name)
        self.system.stop_gracefully(name)

    def do_drain_home(self, asking: Any) -> None:
        """Drain the home."""
        name = self.some_engine()
        sidecar = self.system.nodes[name].sidecar
        assert sidecar is not None
        self.system.nodes[name].thread.wait(sidecar.homes.drain(True))
        self.note_left(name)

    def do_host_leaves(self, asking: Any) -> None:
        """Show the home's host as leaving."""
        name = self.some_engine()
        self.system.platform.set_host(HostName(f"host-{name}"), HostState.LEAVING)
        for gateway in self.gateways():
            core = self.system.nodes[gateway].core
            document = core.catalogue.target(name)
            wait_until(partial(self.avoids, core, document), "the gateway knows")
        self.note_left(name)

    def avoids(self, core: Core, target: TargetDocument | None) -> bool:
        """Return whether a process gives a target no work."""
        return target is None or not core.membership.takes_work(target)

    def do_host_list_lags(self, asking: Any) -> None:
        """Drain the home while the host list will be late by half a minute."""
        self.system.platform.faults.host_lag = 30.0
        self.do_host_leaves_late()
        self.do_drain_home(asking)

    def do_host_leaves_late(self) -> None:
        """Put the change on the list, where it is not seen yet."""
        name = self.some_engine()
        self.system.platform.set_host(HostName(f"host-{name}"), HostState.LEAVING)

    def note_left(self, name: str) -> None:
        """Remember how many programs were begun at a target that leaves."""
        engine = self.engine_of(name)
        self._left[name] = (time.monotonic(), engine.requests)

    def engine_of(self, name: str) -> Any:
        """Return the engine behind a target."""
        return self.system.engines[int(name.rsplit("-", 1)[1]) - 1]

    def do_kill_gateway(self, asking: Any) -> None:
        """Kill the first gateway, through which the caller asks."""
        self.system.kill(self.gateways()[0])

    def do_stop_gateway(self, asking: Any) -> None:
        """Stop the first gateway in an orderly way."""
        self.system.stop_gracefully(self.gateways()[0])

    def do_freeze_gateway(self, asking: Any) -> None:
        """Pause the second gateway, through which a copy is asked first."""
        self.freeze(self.gateways()[-1])

    def tool_node(self) -> str:
        """Return the sidecar that ran the tool, or the first."""
        for place, service in enumerate(self.system.services):
            name = f"tools-{place + 1}"
            if service.executions.get(KEY) and name in self.system.nodes:
                return name
        names = [name for name in self.system.nodes if name.startswith("tools")]
        return names[0]

    def do_kill_tool(self, asking: Any) -> None:
        """Kill the sidecar of the tool."""
        self.system.kill(self.tool_node())

    def do_restart_tool(self, asking: Any) -> None:
        """Kill the sidecar of the tool and start it again."""
        name = self.tool_node()
        self.system.kill(name)
        self.system.restart(name)

    def do_freeze_tool(self, asking: Any) -> None:
        """Pause the sidecar of the tool."""
        self.freeze(self.tool_node())

    def do_log_down(self, asking: Any) -> None:
        """Take the log away until an answer has come, or for a while."""
        faults = self.system.platform.faults
        faults.down = True

        def up(_: Any = None) -> None:
            faults.down = False

        if asking is None:
            time.sleep(SETTLE)
            up()
        else:
            asking.add_done_callback(up)
            self._heal.append(up)
            later(SETTLE * 4, up)

    def do_log_slow(self, asking: Any) -> None:
        """Make the log slow until the faults are healed."""
        faults = self.system.platform.faults
        faults.delay = 0.1

        def up() -> None:
            faults.delay = 0.0

        self._heal.append(up)

    def do_lose_reply(self, asking: Any) -> None:
        """Lose the replies to the next two appends."""
        self.system.platform.faults.lose_replies = 2

    def do_lose_request(self, asking: Any) -> None:
        """Lose the next two appends."""
        self.system.platform.faults.lose_requests = 2

    def do_cut_home_from_log(self, asking: Any) -> None:
        """Cut the home alone off from the log."""
        node = self.system.nodes[self.some_engine()]
        node.log.cut = True

        def up() -> None:
            node.log.cut = False

        self._heal.append(up)
        later(SETTLE * 3, up)

    def do_cut_stream(self, asking: Any) -> None:
        """Break the connection of the next stream of each engine."""
        for engine in self.system.engines:
            engine.cut_streams = 1

    def do_second_gateway(self, asking: Any) -> None:
        """Ask the same again through the other gateway at the same time."""
        if asking is None or asking.done():
            return
        seq = self._seq
        if seq == 2:
            in_thread(
                lambda: self.talk.tool(
                    KEY, client=self.client(1), body={"delay": TOOL_SECONDS}, seq=seq
                )
            )
            return
        text = "first" if seq == 1 else "second"
        body = self.talk.body(
            text, stream=True, stand_in={"answer_tokens": ANSWER_TOKENS}
        )
        in_thread(
            lambda: list(
                self.client(1).stream(
                    "/v1/chat/completions", body, self.talk.headers(seq)
                )
            )
        )

    def do_publish(self, asking: Any) -> None:
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

    def do_forget(self, asking: Any) -> None:
        """Let the log forget all but the newest records, as time would.

        The keepers append again what they need before that.
        """
        for number in range(24):
            filler = Conversation(client=self.client(), program=f"filler-{number}")
            self.insist(partial(self.say_once, filler))
        view = self.system.view
        state = wait_until(lambda: self.system.state(PROGRAM), "the program")
        shard = next(n for n in range(2) if view(n).state(state.program))
        wait_until(
            lambda: self.system.state(PROGRAM).base > view(shard).next_offset - 40,
            "the program was appended again",
        )

    # Checks.

    def check_history(self, bystander: Conversation) -> None:
        """Compare what the system keeps with what the callers said."""
        for talk in (self.talk, bystander):
            talk.client = (
                self.client()
                if talk is self.talk
                else self.system.client(self.gateways()[0], OTHER_KEY)
            )
            wait_until(
                partial(self.all_kept, talk),
                "all turns are kept",
            )
            kept = [
                {"role": one["role"], "content": one["content"]}
                for one in talk.stored_messages()
            ]
            if kept != talk.messages:
                self.problems.append(f"{talk.program} keeps {kept}")

    def all_kept(self, talk: Conversation) -> bool:
        """Return whether the system keeps as many messages as were said."""
        return len(self.insist(partial(self.kept_by, talk))) >= len(talk.messages)

    def finish(self) -> None:
        """End the program."""
        path = f"/v1/programs/{PROGRAM}"
        self.insist(lambda client: client.request("DELETE", path), idempotent=True)

    def check_end(self) -> None:
        """Check what the log, the tools and the engines saw."""
        state = self.system.state(PROGRAM)
        if state.ended is None:
            self.problems.append("the program did not end")
        if state.spent + state.open_block > state.spec.budget:
            self.problems.append(f"spent {state.spent} of {state.spec.budget}")
        runs = self.system.executions().get(KEY, 0)
        if runs > 1:
            self.problems.append(f"the tool ran {runs} times")
        if self._tool_kind == "answered" and runs != 1:
            self.problems.append(f"answered, but the tool ran {runs} times")
        if self._tool_kind == "not_run" and runs != 0:
            self.problems.append("said not run, but the tool ran")
        self.check_memory()
        self.check_leaving()
        self.check_configuration()

    def check_memory(self) -> None:
        """Wait until no engine with a live sidecar holds the program."""
        key = f"{WORKSPACE}:{PROGRAM}"
        for name in list(self.system.nodes):
            if name.startswith("engine"):
                engine = self.engine_of(name)
                wait_until(
                    partial(self.holds_nothing, engine, key),
                    f"{name} frees the program",
                )

    def holds_nothing(self, engine: EngineStandIn, key: str) -> bool:
        """Return whether an engine holds no memory for a program."""
        return key not in engine.cache_keys

    def check_leaving(self) -> None:
        """Check that a target that left got nothing new."""
        for name, (_, requests) in self._left.items():
            now = self.engine_of(name).requests
            if now > requests:
                self.problems.append(f"{name} got {now - requests} calls after leaving")

    def check_configuration(self) -> None:
        """Check that all processes agree and none went back."""
        views = [node.core.view for node in self.system.nodes.values()]
        newest = max(self._published, *(view.newest for view in views))
        for node in self.system.nodes.values():
            wait_until(
                partial(self.has_version, node, newest),
                f"{node.name} has configuration {newest}",
            )

    def has_version(self, node: Node, newest: int) -> bool:
        """Return whether a process has come to a publication."""
        return node.core.view.newest >= newest


def later(seconds: float, work: Callable[[], None]) -> None:
    """Do something after a while."""
    timer = threading.Timer(seconds, work)
    timer.daemon = True
    timer.start()


def _again(body: dict[str, Any]) -> bool:
    """Return whether a caller should ask again after an error."""
    return body.get("not_run") is True or body.get("kind") in KINDS_TO_REPEAT
