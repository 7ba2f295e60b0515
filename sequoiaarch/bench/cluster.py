"""Run all processes of a deployment on loopback."""

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

START_TIMEOUT = 60.0  # seconds
STOP_TIMEOUT = 60.0  # seconds
POLL_INTERVAL = 0.05  # seconds
CALLER_KEY = "bench-caller-key"
OPERATOR_KEY = "bench-operator-key"
WORKSPACE = "bench"
MODEL = "bench-model"
SERVICE = "tools"
SHARDS = 4


@dataclass(frozen=True, kw_only=True)
class Node:
    """A gateway or sidecar process and its data centre."""

    name: str
    data_centre: str


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """Nodes and options of a deployment.

    `delay` is the one-way delay between data centres in seconds.
    """

    name: str
    gateways: list[Node]
    engines: list[Node]
    services: list[Node]
    delay: float = 0.0
    options: EngineOptions = field(default_factory=EngineOptions)
    limits: LimitOptions = field(default_factory=LimitOptions)
    silence_limit: float = 3.0


def free_port() -> int:
    """Return a free port for a process that has to restart on the same port.

    After a restart, connections in TIME_WAIT would block a port that was taken by
    listening on port 0.
    """
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class ChildProcess:
    """A process started by the cluster, with its log file and its URLs."""

    def __init__(self, *, name: str, arguments: list[str], log: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.log = log
        self.urls: list[str] = []
        self._stdout_lines: queue.SimpleQueue[str] = queue.SimpleQueue()
        self._process = self._start()

    def _start(self) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            self.arguments,
            stdout=subprocess.PIPE,
            stderr=self.log.open("a"),
            text=True,
        )
        threading.Thread(target=self._read_stdout, args=(process,), daemon=True).start()
        return process

    def _read_stdout(self, process: subprocess.Popen[str]) -> None:
        assert process.stdout is not None
        for line in process.stdout:
            self._stdout_lines.put(line)

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def alive(self) -> bool:
        """Return whether the process is running."""
        return self._process.poll() is None

    def wait_listening(self) -> list[str]:
        """Wait until the process prints its URLs and return them."""
        line = self._stdout_lines.get(timeout=START_TIMEOUT)
        keyword, *self.urls = line.split()
        if keyword != "listening":
            raise RuntimeError(
                f"{self.name} printed {line!r}, not the URLs that it listens on"
            )
        return self.urls

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(signal_number)

    def wait(self) -> int:
        """Wait until the process exits and return its exit code."""
        return self._process.wait(STOP_TIMEOUT)

    def kill(self) -> None:
        """Kill the process, also if it is stopped, and wait until it exits."""
        if self.alive:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        self._process.wait(STOP_TIMEOUT)


class Cluster:
    """The processes of a deployment, with access to them for tests and load."""

    def __init__(self, *, deployment: Deployment) -> None:
        self._deployment = deployment
        self._directory = Path(tempfile.mkdtemp(prefix="sequoiaarch-"))
        self.processes: dict[str, ChildProcess] = {}
        self._ports: dict[str, int] = {}
        self._http = urllib3.PoolManager(maxsize=8)

    @property
    def deployment(self) -> Deployment:
        """Return the deployment that the cluster runs."""
        return self._deployment

    def start(self) -> None:
        """Start all processes, publish the configuration and wait for readiness."""
        deployment = self._deployment
        self._start_stand_in("platform", "platform")
        for node in deployment.engines:
            options = msgspec.json.encode(deployment.options).decode()
            self._start_stand_in(f"{node.name}-engine", "engine", "--options", options)
        for node in deployment.services:
            self._start_stand_in(f"{node.name}-service", "service")
        for process in self.processes.values():
            process.wait_listening()
        for node in [*deployment.engines, *deployment.services]:
            self.set_host(node.name, HostState.LIVE)
            self._start_daemon(node, self._sidecar_settings(node, "tcp://127.0.0.1:*"))
        for node in [*deployment.engines, *deployment.services]:
            self.processes[node.name].wait_listening()
        for node in deployment.gateways:
            self._start_daemon(node, self._gateway_settings(node))
        for node in deployment.gateways:
            self.processes[node.name].wait_listening()
        self.publish(self.documents(), wait_applied=False)
        for node in [*deployment.gateways, *deployment.engines, *deployment.services]:
            self.wait_ready(node.name)

    def stop(self) -> None:
        """Kill all processes and remove their logs."""
        for process in self.processes.values():
            process.kill()
        shutil.rmtree(self._directory, ignore_errors=True)

    def _start_stand_in(self, name: str, kind: str, *arguments: str) -> None:
        command = [sys.executable, "-m", "sequoiaarch.standins", kind, *arguments]
        self._launch(name, command)

    def _start_daemon(self, node: Node, settings: dict[str, Any]) -> None:
        path = self._directory / f"{node.name}.jsonc"
        path.write_bytes(msgspec.json.encode(settings))
        module = "sequoiaarch.daemon"
        command = [sys.executable, "-m", module, "--settings", str(path)]
        self._launch(node.name, command)

    def _launch(self, name: str, command: list[str]) -> None:
        log = self._directory / f"{name}.log"
        process = ChildProcess(name=name, arguments=command, log=log)
        self.processes[name] = process

    def log_text(self, name: str) -> str:
        """Return the log of a process."""
        return (self._directory / f"{name}.log").read_text()

    def _common_settings(self, node: Node) -> dict[str, Any]:
        deployment = self._deployment
        platform = self.processes["platform"].urls[0]
        data_centres = {
            other.data_centre for other in [*deployment.gateways, *deployment.engines]
        }
        near = {
            name: deployment.delay for name in data_centres if name != node.data_centre
        }
        return {
            "host": f"host-{node.name}",
            "data_centre": node.data_centre,
            "platform": {"log": platform, "hosts": platform},
            "shards": SHARDS,
            "limits": deployment.limits.model_dump(),
            "near": near,
            "logging": {"level": "info"},
        }

    def _sidecar_settings(self, node: Node, inner: str) -> dict[str, Any]:
        return {
            **self._common_settings(node),
            "role": "sidecar",
            "target": node.name,
            "inner": {
                "address": inner,
                "silence_limit": self._deployment.silence_limit,
            },
        }

    def _gateway_settings(self, node: Node) -> dict[str, Any]:
        return {
            **self._common_settings(node),
            "role": "gateway",
            "callers": [{"key": CALLER_KEY, "workspace": WORKSPACE}],
            "operator_keys": [OPERATOR_KEY],
            "inner": {"silence_limit": self._deployment.silence_limit},
            "http": {"port": self._ports.setdefault(node.name, free_port())},
        }

    # Configuration.

    def documents(self) -> list[dict[str, Any]]:
        """Return the configuration documents of the deployment."""
        deployment = self._deployment
        documents: list[dict[str, Any]] = []
        for node in deployment.engines:
            spec = {
                "type": "engine",
                "model": MODEL,
                "slots": deployment.options.slots,
                "cache_tokens": deployment.options.cache_tokens,
                "export_tokens": deployment.options.host_tokens,
                "min_bytes_per_token": 2.0,
            }
            documents.append(self._target_document(node, "engine", spec))
        for node in deployment.services:
            spec = {"type": "service", "service": SERVICE, "slots": 64}
            documents.append(self._target_document(node, "service", spec))
        documents.append(
            {
                "kind": "Program",
                "name": "bench",
                "labels": {"deployment": deployment.name},
                "spec": {
                    "workspace": WORKSPACE,
                    "model": MODEL,
                    "services": [SERVICE],
                    "budget": 1_000_000_000,
                },
            }
        )
        documents.append(
            {"kind": "Policy", "name": "default", "selector": {}, "spec": {}}
        )
        return documents

    def _target_document(
        self, node: Node, kind: str, spec: dict[str, Any]
    ) -> dict[str, Any]:
        return {
            "kind": "Target",
            "name": node.name,
            "labels": {"type": kind},
            "spec": {
                "url": self.processes[f"{node.name}-{kind}"].urls[0],
                "address": self.processes[node.name].urls[1],
                "host": f"host-{node.name}",
                "data_centre": node.data_centre,
                **spec,
            },
        }

    def publish(self, documents: list[dict[str, Any]], *, wait_applied: bool) -> None:
        """Publish documents through the first gateway, replacing current versions."""
        operator = self.operator()
        current = operator.request("GET", "/v1/admin/config")["documents"]
        changes = []
        for document in documents:
            key = f"{document['kind']}/{document['name']}"
            base = current.get(key, {}).get("version", 0)
            changes.append({"key": key, "base": base, "document": document})
        body = {"id": new_id("publication"), "author": "bench", "changes": changes}
        verdict = operator.request("POST", "/v1/admin/config", body, retry=True)
        if wait_applied:
            for node in self._deployment.gateways:
                self._wait_version(node.name, verdict["offset"] + 1)

    def _wait_version(self, name: str, version: int) -> None:
        operator = self.operator(name)
        deadline = time.monotonic() + START_TIMEOUT
        while operator.request("GET", "/v1/admin/status")["config_version"] < version:
            if time.monotonic() > deadline:
                raise RuntimeError(
                    f"{name} did not apply configuration version {version}"
                )
            time.sleep(POLL_INTERVAL)

    def wait_ready(self, name: str) -> None:
        """Wait until a daemon reports that it is ready."""
        url = self.processes[name].urls[0] + "/readyz"
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline:
            try:
                if self._http.request("GET", url, retries=False).status == 200:
                    return
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(POLL_INTERVAL)
        raise RuntimeError(f"{name} did not become ready: {self.log_text(name)}")

    # Clients and fault injection.

    def operator(self, gateway: str | None = None) -> Client:
        """Return an operator's client for a gateway, by default the first."""
        return Client(url=self._gateway_url(gateway), key=OPERATOR_KEY)

    def caller(self, gateway: str | None = None) -> Client:
        """Return a caller's client for a gateway, by default the first."""
        return Client(url=self._gateway_url(gateway), key=CALLER_KEY)

    def _gateway_url(self, gateway: str | None) -> str:
        name = gateway or self._deployment.gateways[0].name
        return self.processes[name].urls[0]

    def gateway_urls(self) -> list[str]:
        """Return the URLs of all gateways."""
        names = [node.name for node in self._deployment.gateways]
        return [self.processes[name].urls[0] for name in names]

    def set_host(self, name: str, state: HostState | None) -> None:
        """Change the state of a host in the platform's host list; None removes it."""
        change = HostChange(host=HostName(f"host-{name}"), state=state)
        self._post_to_platform("/hosts", change)

    def set_faults(self, faults: Faults) -> None:
        """Set the faults that the platform injects."""
        self._post_to_platform("/faults", faults)

    def _post_to_platform(self, path: str, body: object) -> None:
        url = self.processes["platform"].urls[0] + path
        self._http.request("POST", url, body=msgspec.json.encode(body))

    def get(self, name: str, path: str) -> Any:
        """Send a GET request to a process and return the decoded JSON response."""
        reply = self._http.request("GET", self.processes[name].urls[0] + path)
        return msgspec.json.decode(reply.data)

    def restart(self, name: str) -> None:
        """Restart a daemon on the addresses that it had."""
        previous = self.processes[name]
        previous.kill()
        urls = list(previous.urls)
        sidecar_nodes = self._deployment.engines + self._deployment.services
        sidecar = next((node for node in sidecar_nodes if node.name == name), None)
        if sidecar is not None:
            self._start_daemon(sidecar, self._sidecar_settings(sidecar, urls[1]))
        else:
            gateway = next(
                node for node in self._deployment.gateways if node.name == name
            )
            self._start_daemon(gateway, self._gateway_settings(gateway))
        self.processes[name].wait_listening()
