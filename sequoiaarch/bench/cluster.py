"""Run a whole deployment as separate processes on loopback."""

from __future__ import annotations

import queue
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import urllib3

from ..client import Client
from ..config.settings import LimitOptions
from ..ids import HostName, new_id
from ..standins.engine import EngineOptions
from ..standins.platform import Faults, HostChange
from ..storage.interfaces import HostState

START_LIMIT = 60.0
STOP_LIMIT = 60.0
POLL = 0.05
CALLER_KEY = "bench-caller-key"
OPERATOR_KEY = "bench-operator-key"
WORKSPACE = "bench"
MODEL = "bench-model"
SERVICE = "tools"
SHARDS = 4


@dataclass(frozen=True, kw_only=True)
class Node:
    """Name a process and its data centre."""

    name: str
    data_centre: str


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """Describe what a deployment is made of; delays in seconds, one way."""

    name: str
    gateways: list[Node]
    engines: list[Node]
    services: list[Node]
    delay: float = 0.0
    options: EngineOptions = field(default_factory=EngineOptions)
    limits: LimitOptions = field(default_factory=LimitOptions)
    silence_limit: float = 3.0


def free_port() -> int:
    """Return a port that the kernel chose and that is free again.

    A gateway that listened on port 0 could not be started again at its port:
    connections of the old process in TIME_WAIT bar it.
    """
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


class RunningProcess:
    """Hold one process that the bench started."""

    def __init__(self, *, name: str, arguments: list[str], log: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.log = log
        self.urls: list[str] = []
        self._lines: queue.SimpleQueue[str] = queue.SimpleQueue()
        self._process = self._start()

    def _start(self) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            self.arguments,
            stdout=subprocess.PIPE,
            stderr=self.log.open("a"),
            text=True,
        )
        threading.Thread(target=self._read, args=(process,), daemon=True).start()
        return process

    def _read(self, process: subprocess.Popen[str]) -> None:
        assert process.stdout is not None
        for line in process.stdout:
            self._lines.put(line)

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def alive(self) -> bool:
        """Return whether the process runs."""
        return self._process.poll() is None

    def listening(self) -> list[str]:
        """Wait until the process says where it listens."""
        line = self._lines.get(timeout=START_LIMIT)
        word, *self.urls = line.split()
        if word != "listening":
            raise RuntimeError(f"{self.name} said {line!r}")
        return self.urls

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def wait(self) -> int:
        """Wait until the process has ended and return its exit code."""
        return self._process.wait(STOP_LIMIT)

    def end(self) -> None:
        """End the process whatever its state."""
        if self.alive:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        self._process.wait(STOP_LIMIT)


class Cluster:
    """Start, disturb and stop the processes of a deployment."""

    def __init__(self, *, deployment: Deployment) -> None:
        self._deployment = deployment
        self._folder = Path(tempfile.mkdtemp(prefix="sequoiaarch-"))
        self.processes: dict[str, RunningProcess] = {}
        self._ports: dict[str, int] = {}
        self._http = urllib3.PoolManager(maxsize=8)

    @property
    def deployment(self) -> Deployment:
        """Return what the fleet runs."""
        return self._deployment

    def start(self) -> None:
        """Start all processes, publish the configuration, wait for readiness."""
        plan = self._deployment
        self._stand_in("platform", "platform")
        for place in plan.engines:
            options = msgspec.json.encode(plan.options).decode()
            self._stand_in(f"{place.name}-engine", "engine", "--options", options)
        for place in plan.services:
            self._stand_in(f"{place.name}-service", "service")
        for process in self.processes.values():
            process.listening()
        for place in [*plan.engines, *plan.services]:
            self.set_host(place.name, HostState.LIVE)
            self._daemon(place, self._sidecar_settings(place, "tcp://127.0.0.1:*"))
        for place in [*plan.engines, *plan.services]:
            self.processes[place.name].listening()
        for place in plan.gateways:
            self._daemon(place, self._gateway_settings(place))
        for place in plan.gateways:
            self.processes[place.name].listening()
        self.publish(self.documents(), wait_ready=False)
        for place in [*plan.gateways, *plan.engines, *plan.services]:
            self.wait_ready(place.name)

    def stop(self) -> None:
        """End all processes and remove their logs."""
        for process in self.processes.values():
            process.end()
        shutil.rmtree(self._folder, ignore_errors=True)

    def _stand_in(self, name: str, kind: str, *arguments: str) -> None:
        command = [sys.executable, "-m", "sequoiaarch.standins", kind, *arguments]
        self._launch(name, command)

    def _daemon(self, place: Node, settings: dict[str, Any]) -> None:
        path = self._folder / f"{place.name}.jsonc"
        path.write_bytes(msgspec.json.encode(settings))
        module = "sequoiaarch.daemon"
        command = [sys.executable, "-m", module, "--settings", str(path)]
        self._launch(place.name, command)

    def _launch(self, name: str, command: list[str]) -> None:
        log = self._folder / f"{name}.log"
        process = RunningProcess(name=name, arguments=command, log=log)
        self.processes[name] = process

    def log_text(self, name: str) -> str:
        """Return what a process has logged."""
        return (self._folder / f"{name}.log").read_text()

    def _common(self, place: Node) -> dict[str, Any]:
        plan = self._deployment
        platform = self.processes["platform"].urls[0]
        others = {one.data_centre for one in [*plan.gateways, *plan.engines]}
        near = {name: plan.delay for name in others if name != place.data_centre}
        return {
            "host": f"host-{place.name}",
            "data_centre": place.data_centre,
            "platform": {"log": platform, "hosts": platform},
            "shards": SHARDS,
            "limits": plan.limits.model_dump(),
            "near": near,
            "logging": {"level": "info"},
        }

    def _sidecar_settings(self, place: Node, inner: str) -> dict[str, Any]:
        return {
            **self._common(place),
            "role": "sidecar",
            "target": place.name,
            "inner": {
                "address": inner,
                "silence_limit": self._deployment.silence_limit,
            },
        }

    def _gateway_settings(self, place: Node) -> dict[str, Any]:
        return {
            **self._common(place),
            "role": "gateway",
            "callers": [{"key": CALLER_KEY, "workspace": WORKSPACE}],
            "operator_keys": [OPERATOR_KEY],
            "inner": {"silence_limit": self._deployment.silence_limit},
            "http": {"port": self._ports.setdefault(place.name, free_port())},
        }

    # Configuration.

    def documents(self) -> list[dict[str, Any]]:
        """Return the documents that describe the deployment."""
        plan = self._deployment
        found: list[dict[str, Any]] = []
        for place in plan.engines:
            spec = {
                "type": "engine",
                "model": MODEL,
                "slots": plan.options.slots,
                "cache_tokens": plan.options.cache_tokens,
                "export_tokens": plan.options.host_tokens,
                "min_bytes_per_token": 2.0,
            }
            found.append(self._target(place, "engine", spec))
        for place in plan.services:
            spec = {"type": "service", "service": SERVICE, "slots": 64}
            found.append(self._target(place, "service", spec))
        found.append(
            {
                "kind": "Program",
                "name": "bench",
                "labels": {"deployment": plan.name},
                "spec": {
                    "workspace": WORKSPACE,
                    "model": MODEL,
                    "services": [SERVICE],
                    "budget": 1_000_000_000,
                },
            }
        )
        found.append({"kind": "Policy", "name": "default", "selector": {}, "spec": {}})
        return found

    def _target(self, place: Node, kind: str, spec: dict[str, Any]) -> dict[str, Any]:
        return {
            "kind": "Target",
            "name": place.name,
            "labels": {"type": kind},
            "spec": {
                "url": self.processes[f"{place.name}-{kind}"].urls[0],
                "address": self.processes[place.name].urls[1],
                "host": f"host-{place.name}",
                "data_centre": place.data_centre,
                **spec,
            },
        }

    def publish(self, documents: list[dict[str, Any]], *, wait_ready: bool) -> None:
        """Publish documents through the first gateway."""
        operator = self.operator()
        known = operator.request("GET", "/v1/admin/config")["documents"]
        changes = []
        for document in documents:
            key = f"{document['kind']}/{document['name']}"
            base = known.get(key, {}).get("version", 0)
            changes.append({"key": key, "base": base, "document": document})
        body = {"id": new_id("publication"), "author": "bench", "changes": changes}
        verdict = operator.request("POST", "/v1/admin/config", body, patient=True)
        if wait_ready:
            for place in self._deployment.gateways:
                self._wait_version(place.name, verdict["offset"] + 1)

    def _wait_version(self, name: str, version: int) -> None:
        operator = self.operator(name)
        deadline = time.monotonic() + START_LIMIT
        while operator.request("GET", "/v1/admin/status")["config_version"] < version:
            if time.monotonic() > deadline:
                raise RuntimeError(f"{name} never saw version {version}")
            time.sleep(POLL)

    def wait_ready(self, name: str) -> None:
        """Wait until a daemon takes work."""
        url = self.processes[name].urls[0] + "/readyz"
        deadline = time.monotonic() + START_LIMIT
        while time.monotonic() < deadline:
            try:
                if self._http.request("GET", url, retries=False).status == 200:
                    return
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(POLL)
        raise RuntimeError(f"{name} never became ready: {self.log_text(name)}")

    # Using and disturbing.

    def operator(self, gateway: str | None = None) -> Client:
        """Return an operator's client of a gateway."""
        return Client(url=self._gateway_url(gateway), key=OPERATOR_KEY)

    def caller(self, gateway: str | None = None) -> Client:
        """Return a caller's client of a gateway."""
        return Client(url=self._gateway_url(gateway), key=CALLER_KEY)

    def _gateway_url(self, gateway: str | None) -> str:
        name = gateway or self._deployment.gateways[0].name
        return self.processes[name].urls[0]

    def gateway_urls(self) -> list[str]:
        """Return where all gateways answer."""
        names = [place.name for place in self._deployment.gateways]
        return [self.processes[name].urls[0] for name in names]

    def set_host(self, name: str, state: HostState | None) -> None:
        """Change the platform's host list."""
        change = HostChange(host=HostName(f"host-{name}"), state=state)
        self._tell_platform("/hosts", change)

    def set_faults(self, faults: Faults) -> None:
        """Change how the platform's log misbehaves."""
        self._tell_platform("/faults", faults)

    def _tell_platform(self, path: str, body: object) -> None:
        url = self.processes["platform"].urls[0] + path
        self._http.request("POST", url, body=msgspec.json.encode(body))

    def get(self, name: str, path: str) -> Any:
        """Get a JSON answer of a process, stand-ins included."""
        reply = self._http.request("GET", self.processes[name].urls[0] + path)
        return msgspec.json.decode(reply.data)

    def restart(self, name: str) -> None:
        """Start a daemon again, at the addresses that it had."""
        old = self.processes[name]
        old.end()
        urls = list(old.urls)
        places = self._deployment.engines + self._deployment.services
        sidecar = next((one for one in places if one.name == name), None)
        if sidecar is not None:
            self._daemon(sidecar, self._sidecar_settings(sidecar, urls[1]))
        else:
            gateway = next(one for one in self._deployment.gateways if one.name == name)
            self._daemon(gateway, self._gateway_settings(gateway))
        self.processes[name].listening()
