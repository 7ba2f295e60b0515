"""Test deployments with one process per daemon."""

from __future__ import annotations

import signal
import threading
import unittest
from pathlib import Path
from typing import Any

import urllib3
from click.testing import CliRunner

from ...__main__ import cli
from ...bench.cluster import (
    CALLER_KEY,
    MODEL,
    OPERATOR_KEY,
    Cluster,
    Deployment,
    Node,
)
from ...client import Client
from ...config.documents import parse_documents
from ...config.settings import LimitOptions, load_settings
from ...config.validation import load_jsonc
from ...samples.runner import ScriptRunner
from ...samples.script import load_script
from ...standins.engine import EngineOptions

EXAMPLES = Path(__file__).parents[3] / "examples"
PROGRAMS_UNDER_LOAD = 6
TURNS = 4


def small_deployment(gateways: int = 1) -> Deployment:
    """Return a deployment with one engine and one service."""
    return Deployment(
        name="small",
        gateways=[
            Node(name=f"gateway-{number + 1}", data_centre="here")
            for number in range(gateways)
        ],
        engines=[Node(name="engine-1", data_centre="here")],
        services=[Node(name="tools-1", data_centre="there")],
        options=EngineOptions(model=MODEL, step=0.002),
        limits=LimitOptions(lame_duck=0.3, drain_timeout=30.0),
    )


class ExampleTests(unittest.TestCase):
    """Test the shipped example files."""

    def test_settings_are_valid(self) -> None:
        """The settings and documents of both example deployments are valid."""
        for deployment in ("kunene", "presupuesto"):
            paths = sorted((EXAMPLES / deployment).glob("*.jsonc"))
            self.assertEqual(len(paths), 4)
            for path in paths:
                with self.subTest(path=path.name):
                    if path.name == "documents.jsonc":
                        self.assertTrue(parse_documents(load_jsonc(path)))
                    else:
                        load_settings(path)


class ThreeProcessTests(unittest.TestCase):
    """Test a gateway, two sidecars and the stand-ins, each as a process."""

    def setUp(self) -> None:
        """Start the processes."""
        self.cluster = Cluster(deployment=small_deployment())
        self.addCleanup(self.cluster.stop)
        self.cluster.start()

    def test_samples_and_commands(self) -> None:
        """Sample programs run, and operator commands show what they did."""
        for name in ("kunene", "presupuesto"):
            script = load_script(EXAMPLES / "samples" / f"{name}.jsonc")
            script = script.model_copy(update={"model": MODEL})
            lines: list[str] = []
            runner = ScriptRunner(
                client=self.cluster.caller(), script=script, write_line=lines.append
            )
            program = runner.run()
            path = f"/v1/admin/traces/{runner.trace_id}"
            tree = self.cluster.operator().request("GET", path)["tree"]
            self.assertTrue(any("sidecar tools-1" in line for line in tree))
            explained = self.command("program", "explain", f"bench:{program}")
            self.assertIn("placement", explained)
            self.assertIn("claimed", explained)
        self.assertIn("2 of 2 targets take work", self.command("status"))
        self.assertIn("tools-1", self.command("targets"))
        self.assertIn("Program/bench", self.command("config", "show"))
        self.assertIn("accepted", self.command("config", "history"))

    def command(self, *arguments: str) -> str:
        """Run a command of the CLI and return its output."""
        url = self.cluster.gateway_urls()[0]
        result = CliRunner().invoke(
            cli, ["--url", url, "--key", OPERATOR_KEY, *arguments]
        )
        self.assertEqual(result.exit_code, 0, result.output)
        return result.output


class PlannedStopTests(unittest.TestCase):
    """Test that a planned stop of a process under load cuts off no answer.

    Calls that are open at SIGTERM must complete; later ones are served elsewhere or
    refused as not run.
    """

    def stop_under_load(self, stopped: str, gateways: int) -> list[str]:
        """Send SIGTERM to a process under load; return the errors of callers."""
        cluster = Cluster(deployment=small_deployment(gateways))
        self.addCleanup(cluster.stop)
        cluster.start()
        errors: list[str] = []
        load_started = threading.Barrier(PROGRAMS_UNDER_LOAD + 1)
        urls = cluster.gateway_urls()
        threads = [
            threading.Thread(
                target=hold_conversation,
                args=(urls, number, load_started, errors),
                daemon=True,
            )
            for number in range(PROGRAMS_UNDER_LOAD)
        ]
        for thread in threads:
            thread.start()
        load_started.wait(60)
        cluster.processes[stopped].signal(signal.SIGTERM)
        exit_code = cluster.processes[stopped].wait()
        for thread in threads:
            thread.join(60)
        self.assertEqual(exit_code, 0, cluster.log_text(stopped))
        self.assertNotIn("work under way", cluster.log_text(stopped))
        return errors

    def test_stop_gateway(self) -> None:
        """Stopping one of two gateways cuts off no answer."""
        self.assertEqual(self.stop_under_load("gateway-1", 2), [])

    def test_stop_engine_sidecar(self) -> None:
        """Stopping the sidecar of the only engine cuts off no answer."""
        self.assertEqual(self.stop_under_load("engine-1", 1), [])

    def test_stop_service_sidecar(self) -> None:
        """Stopping the sidecar of the only service cuts off no answer."""
        self.assertEqual(self.stop_under_load("tools-1", 1), [])


def hold_conversation(
    urls: list[str], number: int, load_started: threading.Barrier, errors: list[str]
) -> None:
    """Hold a conversation; append a message to `errors` for each incomplete answer."""
    messages: list[dict[str, Any]] = []
    for turn in range(TURNS):
        messages.append({"role": "user", "content": f"turn {turn}"})
        body = {
            "model": MODEL,
            "messages": messages,
            "stream": True,
            "stand_in": {"answer_tokens": 60},
        }
        if turn == 1:
            load_started.wait(60)
        text = request_answer(urls, number, turn, body, errors)
        if text is None:
            return
        messages.append({"role": "assistant", "content": text})
        if turn == 0:
            call_tool(urls, number, errors)


def request_answer(
    urls: list[str], number: int, turn: int, body: dict[str, Any], errors: list[str]
) -> str | None:
    """Return one answer, or None if it failed or every gateway refused the call.

    A call that was certainly not run is retried at other gateways, without an error.
    """
    parts: list[str] = []
    headers = {"X-Program-Id": f"stop-{number}"}
    for url in ready_gateways(urls):
        client = Client(url=url, key=CALLER_KEY)
        try:
            for event in client.stream("/v1/chat/completions", body, headers):
                parts.append(event["choices"][0]["delta"].get("content") or "")
        except Exception as error:
            not_run = getattr(error, "body", {}).get("not_run") is True
            not_connected = "NewConnectionError" in repr(error)
            if not parts and (not_run or not_connected):
                continue
            errors.append(f"program {number} turn {turn}: {error!r}")
            return None
        return "".join(parts)
    return None


def ready_gateways(urls: list[str]) -> list[str]:
    """Return the ready gateways, as the load balancer of the platform does."""
    ready = []
    for url in urls:
        try:
            reply = urllib3.request("GET", f"{url}/readyz", retries=False)
        except urllib3.exceptions.HTTPError:
            continue
        if reply.status == 200:
            ready.append(url)
    return ready


def call_tool(urls: list[str], number: int, errors: list[str]) -> None:
    """Call a non-idempotent tool; append a message to `errors` if it fails."""
    client = Client(url=ready_gateways(urls)[0], key=CALLER_KEY)
    headers = {"Idempotency-Key": f"stop-{number}", "X-Non-Idempotent": "true"}
    path = f"/v1/programs/stop-{number}/tools/tools/run"
    try:
        client.request("POST", path, {"delay": 0.2}, headers)
    except Exception as error:
        if getattr(error, "body", {}).get("not_run") is not True:
            errors.append(f"program {number} tool: {error!r}")
