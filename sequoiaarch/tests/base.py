"""Run complete systems in tests, with real sockets and stand-ins for backends."""

from __future__ import annotations

import asyncio
import random
import threading
import time
import unittest
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any, TypeVar

import zmq.asyncio

from ..client import Client
from ..config.documents import parse_documents
from ..config.settings import (
    Caller,
    InnerOptions,
    LimitOptions,
    PlatformOptions,
    Role,
    Settings,
)
from ..config.store import Change, Publication, encode_config
from ..daemon.base import Core, PlatformServices, make_core
from ..errors import ErrorKind, Failure
from ..gateway.gateway import Gateway
from ..ids import HostName, Offset, ProgramId, RecordId, TargetName, new_id
from ..records.acceptance import ShardView
from ..records.codec import decode_record
from ..shards.stream import stream_name
from ..sidecar.sidecar import Sidecar
from ..standins.__main__ import StandIn
from ..standins.engine import EngineOptions, EngineStandIn
from ..standins.platform import PlatformStandIn
from ..standins.service import ServiceStandIn
from ..storage.http import HttpClient, HttpHostList, HttpLog
from ..storage.interfaces import HostState, Page

T = TypeVar("T")

TIMEOUT = 60.0  # seconds
POLL_INTERVAL = 0.005  # seconds
CALLER_KEY = "caller-key"
OTHER_KEY = "other-caller-key"
OPERATOR_KEY = "operator-key"
WORKSPACE = "alpha"
OTHER_WORKSPACE = "beta"
MODEL = "stand-in"
SHARDS = 2
ABANDONED_TASKS: list[asyncio.Task[Any]] = []
FAST_ENGINE = EngineOptions(
    step=0.0005, step_share=0.0, load_lag=0.01, event_lag=0.01, prefill_rate=1e6
)


def wait_until(condition: Callable[[], Any], what: str) -> Any:
    """Poll until a condition is true and return its value; `what` describes it."""
    deadline = time.monotonic() + TIMEOUT
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out waiting for: {what}")
        time.sleep(POLL_INTERVAL)


class GatedLog:
    """Client of the log whose requests can be blocked or made to fail.

    Requests wait between `block_requests()` and `unblock_requests()`. All of them fail
    while `disconnected`, and only appends while `fail_appends`.
    """

    def __init__(self, *, log: HttpLog) -> None:
        self._log = log
        self._unblocked = asyncio.Event()
        self._unblocked.set()
        self.disconnected = False
        self.fail_appends = False

    def block_requests(self) -> None:
        """Block all requests."""
        self._unblocked.clear()

    def unblock_requests(self) -> None:
        """Unblock all requests."""
        self._unblocked.set()

    async def append(self, stream: str, records: list[bytes]) -> Offset | Failure:
        """Append to a stream, unless blocked or disconnected."""
        await self._unblocked.wait()
        if self.disconnected or self.fail_appends:
            return Failure(
                kind=ErrorKind.LOG_UNAVAILABLE, reason="disconnected by the test"
            )
        return await self._log.append(stream, records)

    async def read(
        self, stream: str, start: Offset, *, limit: int, wait: float
    ) -> Page | Failure:
        """Read a stream, unless blocked or disconnected."""
        await self._unblocked.wait()
        if self.disconnected:
            return Failure(
                kind=ErrorKind.LOG_UNAVAILABLE, reason="disconnected by the test"
            )
        return await self._log.read(stream, start, limit=limit, wait=min(wait, 0.5))


class LoopThread:
    """Run an event loop in a thread to simulate a process; it can be paused."""

    def __init__(self, *, name: str) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._resume: threading.Event | None = None
        self._thread.start()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def submit(self, work: Coroutine[Any, Any, T]) -> Future[T]:
        """Start a coroutine in the loop and return its future."""
        return asyncio.run_coroutine_threadsafe(work, self._loop)

    def wait(self, work: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine in the loop and return its result."""
        return self.submit(work).result(TIMEOUT)

    def call(self, work: Callable[[], T]) -> T:
        """Call a function in the loop and return its result."""

        async def run() -> T:
            return work()

        return self.wait(run())

    def pause(self) -> None:
        """Block the loop, as SIGSTOP pauses a process."""
        frozen = threading.Event()
        thaw = threading.Event()
        self._resume = thaw

        def block() -> None:
            frozen.set()
            thaw.wait()

        self._loop.call_soon_threadsafe(block)
        frozen.wait(TIMEOUT)

    def resume(self) -> None:
        """Unblock the loop, as SIGCONT resumes a process."""
        if self._resume is not None:
            self._resume.set()
            self._resume = None

    def end(self) -> None:
        """Stop the loop and its thread."""
        # References keep the tasks from being collected, which would run their
        # cleanup code: a killed process runs none.
        ABANDONED_TASKS.extend(asyncio.all_tasks(self._loop))
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(TIMEOUT)


@dataclass(kw_only=True)
class Node:
    """A simulated process of the system: a sidecar or a gateway."""

    name: str
    core: Core
    log: GatedLog
    thread: LoopThread
    sidecar: Sidecar | None = None
    gateway: Gateway | None = None
    address: str = ""


class SystemUnderTest:
    """Run gateways, sidecars and stand-ins for the platform, engines and services."""

    def __init__(
        self,
        *,
        engines: int = 2,
        services: int = 1,
        gateways: int = 1,
        options: EngineOptions = FAST_ENGINE,
        limits: LimitOptions | None = None,
        policy: dict[str, Any] | None = None,
        program: dict[str, Any] | None = None,
        publish: bool = True,
    ) -> None:
        self._limits = limits or LimitOptions(
            lame_duck=0.0,
            submit_timeout=1.0,
            append_interval=0.0,
            drain_timeout=20.0,
            cache_check=0.2,
        )
        self._policy = policy or {}
        self._program = program or {}
        self.platform = PlatformStandIn()
        self.engines = [EngineStandIn(options=options) for _ in range(engines)]
        self.services = [ServiceStandIn() for _ in range(services)]
        self._engine_names = [f"engine-{i + 1}" for i in range(engines)]
        self._service_names = [f"tools-{i + 1}" for i in range(services)]
        self._gateway_names = [f"gateway-{i + 1}" for i in range(gateways)]
        self._publish = publish
        self.nodes: dict[str, Node] = {}

    # Starting and stopping.

    def start(self) -> SystemUnderTest:
        """Start all processes and wait until they accept calls."""
        for stand_in in self._stand_ins():
            stand_in.start()
        for name in [*self._engine_names, *self._service_names]:
            self.platform.set_host(HostName(f"host-{name}"), HostState.LIVE)
        for name in [*self._engine_names, *self._service_names]:
            self.add_sidecar(name, "tcp://127.0.0.1:*")
        if self._publish:
            self.publish(self.documents())
            for name in [*self._engine_names, *self._service_names]:
                self.start_sidecar(self.nodes[name])
        for name in self._gateway_names:
            self.add_gateway(name)
        return self

    def stop(self) -> None:
        """Kill all processes and stop the stand-ins."""
        for name in list(self.nodes):
            self.kill(name)
        for stand_in in self._stand_ins():
            stand_in.stop()

    def _stand_ins(self) -> list[StandIn]:
        return [self.platform, *self.engines, *self.services]

    def settings(self, role: Role, name: str, inner_address: str) -> Settings:
        """Return the settings of one process."""
        return Settings(
            role=role,
            host=f"host-{name}",
            data_centre="here",
            target=name if role is Role.SIDECAR else None,
            inner=InnerOptions(address=inner_address, silence_limit=1.5),
            platform=PlatformOptions(log=self.platform.url, hosts=self.platform.url),
            callers=[
                Caller(key=CALLER_KEY, workspace=WORKSPACE),
                Caller(key=OTHER_KEY, workspace=OTHER_WORKSPACE),
            ],
            operator_keys=[OPERATOR_KEY],
            shards=SHARDS,
            limits=self._limits,
            peers=[node.address for node in self.nodes.values() if node.address],
        )

    def _make_core(self, settings: Settings, name: str) -> tuple[Core, GatedLog]:
        clients = (
            HttpClient(url=self.platform.url, threads=16),
            HttpClient(url=self.platform.url, threads=2),
        )
        log = GatedLog(log=HttpLog(client=clients[0]))
        hosts = HttpHostList(client=clients[1])
        core = make_core(
            settings,
            name=name,
            own_target=TargetName(name) if settings.target else None,
            context=zmq.asyncio.Context(),
            platform=PlatformServices(log=log, hosts=hosts, clients=clients),
        )
        return core, log

    def add_sidecar(self, name: str, inner_address: str) -> Node:
        """Start the process of a sidecar, which accepts no calls yet."""
        thread = LoopThread(name=name)

        async def build() -> Node:
            settings = self.settings(Role.SIDECAR, name, inner_address)
            core, log = self._make_core(settings, name)
            sidecar = Sidecar(core=core, target=TargetName(name))
            address = sidecar.bind()
            core.start()
            return Node(
                name=name,
                core=core,
                log=log,
                thread=thread,
                sidecar=sidecar,
                address=address,
            )

        node = thread.wait(build())
        self.nodes[name] = node
        return node

    def start_sidecar(self, node: Node) -> None:
        """Start a sidecar and wait until it accepts calls."""
        assert node.sidecar is not None
        node.thread.wait(node.sidecar.start())

    def add_gateway(self, name: str) -> Node:
        """Start a gateway and wait until it accepts calls."""
        thread = LoopThread(name=name)

        async def build() -> Node:
            settings = self.settings(Role.GATEWAY, name, "tcp://127.0.0.1:*")
            core, log = self._make_core(settings, name)
            core.start()
            gateway = Gateway(core=core, rng=random.Random(7))
            await gateway.start()
            return Node(name=name, core=core, log=log, thread=thread, gateway=gateway)

        node = thread.wait(build())
        self.nodes[name] = node
        return node

    def kill(self, name: str) -> None:
        """End a process without any cleanup, as SIGKILL does."""
        node = self.nodes.pop(name)
        node.log.disconnected = True
        node.thread.resume()
        node.thread.wait(self._kill(node))
        node.thread.end()

    async def _kill(self, node: Node) -> None:
        node.log.unblock_requests()
        if node.sidecar is not None:
            node.sidecar.close()
        if node.gateway is not None:
            node.gateway.abort()
            in_thread(node.gateway.close)
        node.core.close()
        node.core.context.destroy(linger=0)

    def restart(self, name: str) -> Node:
        """Start a killed sidecar again at its previous address."""
        document = next(one for one in self.known_targets() if one.name == name)
        node = self.add_sidecar(name, document.spec.address)
        self.start_sidecar(node)
        return node

    def stop_gracefully(self, name: str) -> None:
        """Shut a process down gracefully, as SIGTERM does."""
        node = self.nodes[name]
        component = node.sidecar or node.gateway
        assert component is not None
        node.thread.wait(component.stop())
        self.kill(name)

    # Configuration.

    def known_targets(self) -> list[Any]:
        """Return the targets in the configuration of the first process."""
        return next(iter(self.nodes.values())).core.catalogue.targets

    def documents(self) -> list[dict[str, Any]]:
        """Return the configuration documents of this system."""
        found: list[dict[str, Any]] = []
        for name, engine in zip(self._engine_names, self.engines, strict=True):
            found.append(
                target_document(
                    name,
                    engine.url,
                    self.nodes[name].address,
                    {
                        "type": "engine",
                        "model": MODEL,
                        "slots": engine.options.slots,
                        "cache_tokens": engine.options.cache_tokens,
                        "fencing": engine.options.checks_fencing,
                    },
                )
            )
        for name, service in zip(self._service_names, self.services, strict=True):
            found.append(
                target_document(
                    name,
                    service.url,
                    self.nodes[name].address,
                    {"type": "service", "service": "tools", "slots": 16},
                )
            )
        for workspace in (WORKSPACE, OTHER_WORKSPACE):
            found.append(program_document(workspace, **self._program))
        found.append(
            {"kind": "Policy", "name": "default", "selector": {}, "spec": self._policy}
        )
        return found

    def publish(self, documents: list[dict[str, Any]]) -> None:
        """Append a publication of new documents to the log."""
        publication = Publication(
            id=RecordId(new_id("publication")),
            author="test",
            changes=[
                Change(key=one.key, base=0, document=document)
                for one, document in zip(
                    parse_documents(documents), documents, strict=True
                )
            ],
        )
        client = HttpClient(url=self.platform.url, threads=1)
        log = HttpLog(client=client)
        asyncio.run(log.append("config", [encode_config(publication)]))
        client.close()

    # Inspection.

    def client(self, gateway: str = "gateway-1", key: str = CALLER_KEY) -> Client:
        """Return a client of a gateway."""
        node = self.nodes[gateway]
        assert node.gateway is not None
        return Client(url=f"http://127.0.0.1:{node.gateway.port}", key=key)

    def view(self, shard: int) -> ShardView:
        """Return the state of a shard, read from the log."""
        name = stream_name(shard)
        first = self.platform.first(name)
        view = ShardView(first_offset=Offset(first))
        for index, data in enumerate(self.platform.records(name)):
            record = decode_record(data)
            assert record is not None
            view.apply(Offset(first + index), record)
        return view

    def state(self, name: str, workspace: str = WORKSPACE) -> Any:
        """Return the state of a program, read from the log, or None."""
        program = ProgramId(f"{workspace}:{name}")
        for shard in range(SHARDS):
            state = self.view(shard).state(program)
            if state is not None:
                return state
        return None

    def home_of(self, name: str) -> str:
        """Return the name of a program's home."""
        return self.state(name).home

    def executions(self) -> dict[str, int]:
        """Return how often the services ran each idempotency key."""
        found: dict[str, int] = {}
        for service in self.services:
            for key, count in service.executions.items():
                found[key] = found.get(key, 0) + count
        return found


def target_document(
    name: str, url: str, address: str, spec: dict[str, Any]
) -> dict[str, Any]:
    """Return the document of a target."""
    return {
        "kind": "Target",
        "name": name,
        "labels": {"type": spec["type"]},
        "spec": {
            "url": url,
            "address": address,
            "host": f"host-{name}",
            "data_centre": "here",
            **spec,
        },
    }


def program_document(workspace: str, **spec: Any) -> dict[str, Any]:
    """Return the document of a program."""
    return {
        "kind": "Program",
        "name": f"{workspace}-chat",
        "labels": {"workspace": workspace},
        "spec": {
            "workspace": workspace,
            "model": MODEL,
            "services": ["tools"],
            **spec,
        },
    }


class Conversation:
    """Client of one program that keeps the messages and resends them each turn."""

    def __init__(self, *, client: Client, program: str, key: str = CALLER_KEY) -> None:
        self.client = client
        self.program = program
        self.messages: list[dict[str, Any]] = []
        self.answers: list[str] = []

    def body(self, text: str, **extra: Any) -> dict[str, Any]:
        """Return the request body of the next turn."""
        messages = [*self.messages, {"role": "user", "content": text}]
        return {"model": MODEL, "messages": messages, **extra}

    def headers(self, seq: int | None) -> dict[str, str]:
        """Return the headers of a call."""
        found = {"X-Program-Id": self.program}
        if seq is not None:
            found["X-Call-Seq"] = str(seq)
        return found

    def say(
        self,
        text: str,
        *,
        seq: int | None = None,
        tokens: int = 6,
        client: Client | None = None,
        retry: bool = True,
        **extra: Any,
    ) -> str:
        """Run one turn and return the answer."""
        body = self.body(text, stand_in={"answer_tokens": tokens}, **extra)
        answer = (client or self.client).request(
            "POST",
            "/v1/chat/completions",
            body,
            self.headers(seq),
            retry=retry,
        )
        content = answer["choices"][0]["message"]["content"]
        self.add_turn(text, content)
        return content

    def add_turn(self, text: str, content: str) -> None:
        """Add a turn to the messages."""
        self.messages.append({"role": "user", "content": text})
        self.messages.append({"role": "assistant", "content": content})
        self.answers.append(content)

    def tool(
        self,
        key: str,
        *,
        non_idempotent: bool = True,
        client: Client | None = None,
        body: dict[str, Any] | None = None,
        seq: int | None = None,
        **headers: str,
    ) -> Any:
        """Call the tool service, by default as non-idempotent."""
        found = {"Idempotency-Key": key, **headers}
        if non_idempotent:
            found["X-Non-Idempotent"] = "true"
        if seq is not None:
            found["X-Call-Seq"] = str(seq)
        return (client or self.client).request(
            "POST", f"/v1/programs/{self.program}/tools/tools/run", body or {}, found
        )

    def stored_messages(self) -> list[dict[str, Any]]:
        """Return the messages in the stored history."""
        answer = self.client.request("GET", f"/v1/programs/{self.program}")
        return [message for entry in answer["history"] for message in entry["messages"]]


class SystemTestCase(unittest.TestCase):
    """Base of test classes that share one system."""

    system: SystemUnderTest

    @classmethod
    def make_system(cls) -> SystemUnderTest:
        """Return the system for the tests of the class, not yet started."""
        return SystemUnderTest()

    @classmethod
    def setUpClass(cls) -> None:
        """Start the system."""
        cls.system = cls.make_system().start()
        cls.addClassCleanup(cls.system.stop)

    def converse(self, program: str, gateway: str = "gateway-1") -> Conversation:
        """Return a conversation of a program through a gateway."""
        return Conversation(client=self.system.client(gateway), program=program)


def in_thread(work: Callable[[], T]) -> Future[T]:
    """Run a function in a new thread and return its future."""
    future: Future[T] = Future()

    def run() -> None:
        try:
            future.set_result(work())
        except BaseException as error:
            future.set_exception(error)

    threading.Thread(target=run, daemon=True).start()
    return future
