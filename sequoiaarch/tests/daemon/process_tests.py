"""Test the form in which each daemon is a process of its own."""

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
    """Return a gateway, an engine's sidecar and a service's sidecar."""
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
    """Check the examples that are shipped."""

    def test_settings_are_valid(self) -> None:
        """Accept the settings of both deployments."""
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
    """Run a gateway, two sidecars and the stand-ins as processes."""

    def setUp(self) -> None:
        """Start the processes."""
        self.fleet = Cluster(deployment=small_deployment())
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def test_samples_and_commands(self) -> None:
        """Run the sample programs of both deployments, and ask as an operator."""
        for name in ("kunene", "presupuesto"):
            script = load_script(EXAMPLES / "samples" / f"{name}.jsonc")
            script = script.model_copy(update={"model": MODEL})
            lines: list[str] = []
            runner = ScriptRunner(
                client=self.fleet.caller(), script=script, write_line=lines.append
            )
            program = runner.run()
            path = f"/v1/admin/traces/{runner.trace_id}"
            tree = self.fleet.operator().request("GET", path)["tree"]
            self.assertTrue(any("sidecar tools-1" in line for line in tree))
            explained = self.command("program", "explain", f"bench:{program}")
            self.assertIn("placement", explained)
            self.assertIn("claimed", explained)
        self.assertIn("2 of 2 targets take work", self.command("status"))
        self.assertIn("tools-1", self.command("targets"))
        self.assertIn("Program/bench", self.command("config", "show"))
        self.assertIn("accepted", self.command("config", "history"))

    def command(self, *arguments: str) -> str:
        """Return what a command prints."""
        url = self.fleet.gateway_urls()[0]
        result = CliRunner().invoke(
            cli, ["--url", url, "--key", OPERATOR_KEY, *arguments]
        )
        self.assertEqual(result.exit_code, 0, result.output)
        return result.output


class PlannedStopTests(unittest.TestCase):
    """Stop each process under load; nothing may be cut off.

    Callers hold conversations while one process gets SIGTERM. What runs at
    that moment comes to its end; what comes later is refused as not run or
    served elsewhere. Every answer that was begun must be complete.
    """

    def under_load(self, stopped: str, gateways: int) -> list[str]:
        """Stop a process under load; return what went wrong for callers."""
        fleet = Cluster(deployment=small_deployment(gateways))
        self.addCleanup(fleet.stop)
        fleet.start()
        broken: list[str] = []
        halfway = threading.Barrier(PROGRAMS_UNDER_LOAD + 1)
        urls = fleet.gateway_urls()
        threads = [
            threading.Thread(
                target=talk, args=(urls, number, halfway, broken), daemon=True
            )
            for number in range(PROGRAMS_UNDER_LOAD)
        ]
        for thread in threads:
            thread.start()
        halfway.wait(60)
        fleet.processes[stopped].signal(signal.SIGTERM)
        code = fleet.processes[stopped].wait()
        for thread in threads:
            thread.join(60)
        self.assertEqual(code, 0, fleet.log_text(stopped))
        self.assertNotIn("work under way", fleet.log_text(stopped))
        return broken

    def test_gateway(self) -> None:
        """Stop one of two gateways."""
        self.assertEqual(self.under_load("gateway-1", 2), [])

    def test_engine_sidecar(self) -> None:
        """Stop the sidecar of the only engine."""
        self.assertEqual(self.under_load("engine-1", 1), [])

    def test_service_sidecar(self) -> None:
        """Stop the sidecar of the only service."""
        self.assertEqual(self.under_load("tools-1", 1), [])


def talk(
    urls: list[str], number: int, halfway: threading.Barrier, broken: list[str]
) -> None:
    """Hold a conversation and note every answer that was cut off."""
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
            halfway.wait(60)
        text = one_answer(urls, number, turn, body, broken)
        if text is None:
            return
        messages.append({"role": "assistant", "content": text})
        if turn == 0:
            one_tool(urls, number, broken)


def one_answer(
    urls: list[str], number: int, turn: int, body: dict[str, Any], broken: list[str]
) -> str | None:
    """Return one answer; a refusal that says "not run" ends the talk well."""
    parts: list[str] = []
    headers = {"X-Program-Id": f"stop-{number}"}
    for url in balanced(urls):
        client = Client(url=url, key=CALLER_KEY)
        try:
            for event in client.stream("/v1/chat/completions", body, headers):
                parts.append(event["choices"][0]["delta"].get("content") or "")
        except Exception as error:
            refused = getattr(error, "body", {}).get("not_run") is True
            unreached = "NewConnectionError" in repr(error)
            if not parts and (refused or unreached):
                continue
            broken.append(f"program {number} turn {turn}: {error!r}")
            return None
        return "".join(parts)
    return None


def balanced(urls: list[str]) -> list[str]:
    """Return the gateways that are ready, as the platform's balancer does."""
    ready = []
    for url in urls:
        try:
            reply = urllib3.request("GET", f"{url}/readyz", retries=False)
        except urllib3.exceptions.HTTPError:
            continue
        if reply.status == 200:
            ready.append(url)
    return ready


def one_tool(urls: list[str], number: int, broken: list[str]) -> None:
    """Call a tool that may not be run twice."""
    client = Client(url=balanced(urls)[0], key=CALLER_KEY)
    headers = {"Idempotency-Key": f"stop-{number}", "X-Non-Idempotent": "true"}
    path = f"/v1/programs/stop-{number}/tools/tools/run"
    try:
        client.request("POST", path, {"delay": 0.2}, headers)
    except Exception as error:
        if getattr(error, "body", {}).get("not_run") is not True:
            broken.append(f"program {number} tool: {error!r}")
