"""Test the command line against a running system."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from typing import Any

from click.testing import CliRunner, Result

from ...__main__ import cli
from ...commands.base import ExitCode
from ...daemon.__main__ import main as daemon
from ..base import OPERATOR_KEY, SystemTestCase, wait_until


class CommandTests(SystemTestCase):
    """Run the commands of operators."""

    def invoke(self, *arguments: str, key: str = OPERATOR_KEY) -> Result:
        """Run a command against the first gateway."""
        gateway = self.system.nodes["gateway-1"].gateway
        assert gateway is not None
        url = f"http://127.0.0.1:{gateway.port}"
        return CliRunner().invoke(cli, ["--url", url, "--key", key, *arguments])

    def as_json(self, *arguments: str) -> Any:
        """Run a command with `--json` and return its output."""
        result = self.invoke(*arguments, "--json")
        self.assertEqual(result.exit_code, 0, result.output)
        return json.loads(result.stdout)

    def write(self, value: Any) -> str:
        """Write a document to a file and return its path."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "document.jsonc"
        path.write_text("// a comment\n" + json.dumps(value))
        return str(path)

    def test_publish_show_history(self) -> None:
        """Compare, publish, show and remove a document, and list the publications."""
        document = {"kind": "Policy", "name": "cli", "selector": {"a": "b"}}
        path = self.write(document)
        self.assertIn("+", self.invoke("config", "diff", path).output)
        verdict = self.as_json("config", "publish", "--yes", path)
        self.assertTrue(verdict["accepted"])
        self.assertIn("no change", self.invoke("config", "diff", path).output)
        shown = self.as_json("config", "show", "Policy/cli")
        self.assertEqual(shown["document"]["selector"], {"a": "b"})
        history = self.as_json("config", "history")["publications"]
        self.assertEqual(history[-1]["keys"], ["Policy/cli"])
        removed = self.as_json("config", "remove", "Policy/cli")
        self.assertTrue(removed["accepted"])
        removed_document = self.invoke("config", "show", "Policy/cli")
        self.assertEqual(removed_document.exit_code, ExitCode.REFUSED)

    def test_validate_reports_all_problems(self) -> None:
        """Print all problems and exit with INVALID."""
        path = self.write([{"kind": "Policy", "name": "P!"}, {"kind": "No"}])
        result = self.invoke("config", "validate", path)
        self.assertEqual(result.exit_code, ExitCode.INVALID)
        self.assertIn("[0].name", result.output)
        self.assertIn("[1].kind", result.output)

    def test_status_and_targets(self) -> None:
        """Show the number of targets and their names."""
        self.assertEqual(self.as_json("status")["targets"], 3)
        names = [entry["name"] for entry in self.as_json("targets")["targets"]]
        self.assertEqual(names, ["engine-1", "engine-2", "tools-1"])

    def test_drain_and_undo(self) -> None:
        """Drain a target and let it take work again."""
        answer = self.as_json("drain", "engine-2")
        self.assertTrue(answer["load"]["draining"])
        self.assertFalse(answer["takes_work"])
        self.as_json("drain", "engine-2", "--undo")
        wait_until(
            lambda: all(
                entry["takes_work"] for entry in self.as_json("targets")["targets"]
            ),
            "all targets to take work",
        )

    def test_program(self) -> None:
        """Show, explain and end a program."""
        conversation = self.converse("shown")
        conversation.say("hello")
        wait_until(lambda: self.system.state("shown").seq == 1, "commit")
        name = "alpha:shown"
        self.assertEqual(self.as_json("program", "show", name)["seq"], 1)
        decisions = self.as_json("program", "explain", name)["decisions"]
        self.assertIn("placement", [entry["part"] for entry in decisions])
        ended = self.as_json("program", "end", name)
        self.assertIn("operator", ended["ended"])

    def test_exit_codes(self) -> None:
        """Exit with the code for a rejected request or an unreachable gateway."""
        refused = self.invoke("status", key="no-such-key")
        self.assertEqual(refused.exit_code, ExitCode.REFUSED)
        unknown = self.invoke("program", "show", "alpha:none")
        self.assertEqual(unknown.exit_code, ExitCode.REFUSED)
        unreachable = CliRunner().invoke(cli, ["--url", "http://127.0.0.1:1", "status"])
        self.assertEqual(unreachable.exit_code, ExitCode.UNREACHABLE)

    def test_daemon_check(self) -> None:
        """Validate the settings of a daemon without starting it."""
        valid = self.write({"role": "standalone", "host": "h", "data_centre": "d"})
        result = CliRunner().invoke(daemon, ["--settings", valid, "--check"])
        self.assertEqual(result.exit_code, 0, result.output)
        invalid = self.write({"role": "standalone", "hos": "h"})
        result = CliRunner().invoke(daemon, ["--settings", invalid, "--check"])
        self.assertEqual(result.exit_code, ExitCode.INVALID)
        self.assertIn("did you mean 'host'?", result.output)
