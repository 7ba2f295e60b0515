"""Test the platform's settings file, and signals that concern it."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from ...ingress.options import IngressOptions
from ...platform.settings import read_settings
from .deployment import ENGINES, TOOLS, DeploymentTestCase, stream_answer, tool_answer

SETTINGS = """
nodeName = "edge-1"
ip = "127.0.0.1"
zone = "here"
internalPortRange = [7000, 7015]
seeds = ["127.0.0.1:8144"]
aFieldOfNextYear = {{ x = 1 }}
[listen]
front = "127.0.0.1:8149"
ready = "127.0.0.1:8141"
{control}
[limits]
memoryMb = 170
maxFds = 8200
[bounds]
graceS = 6
[platform]
address = "127.0.0.1:8142"
"""
CONTROL = 'control = "127.0.0.1:8144"'


class SettingsTests(unittest.TestCase):
    """Read files."""

    def read(self, text: str) -> IngressOptions:
        """Return the options in a file with a text."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(text)
            return read_settings(path)

    def test_known_fields(self) -> None:
        """Take what is needed and pass over what is not known."""
        options = self.read(SETTINGS.format(control=CONTROL))
        self.assertEqual(options.front, ("127.0.0.1", 8149))
        self.assertEqual(options.inner, "127.0.0.1:8144")
        self.assertEqual(options.stop_timeout, 6)
        self.assertEqual(options.memory_bytes, 170 * 2**20)

    def test_no_control_address(self) -> None:
        """Use the first inner port where no address is given."""
        options = self.read(SETTINGS.format(control=""))
        self.assertEqual(options.inner, "127.0.0.1:7000")

    def test_bad_file(self) -> None:
        """Say that a file can't be used."""
        for text in ("not = [toml", "nodeName = 3"):
            with self.assertRaises(ValueError):
                self.read(text)


# Sends the signal when the first large part of the program is imported, and runs
# the program then, without settings.
HANG_UP_DURING_START = """
import os, runpy, signal, sys

class HangUp:
    def find_spec(self, name, path, target=None):
        if name == "sequoiaarch.fleet.peers":
            os.kill(os.getpid(), signal.SIGHUP)
        return None

sys.meta_path.insert(0, HangUp())
runpy.run_module("sequoiaarch.platform", run_name="__main__")
"""
EXIT_INVALID = 2


class StartTests(unittest.TestCase):
    """Start the program as a process."""

    def test_hang_up_while_starting(self) -> None:
        """Go on where the settings change while the process is being started.

        The platform sends SIGHUP while the interpreter still imports the
        program. By default the signal ends the process, so that the gateway is
        missing until somebody starts it again. Here it lives on and says that
        it was given no settings.
        """
        command = [sys.executable, "-c", HANG_UP_DURING_START]
        environment = {**os.environ, "SEQUOIAARCH_SETTINGS": "/nowhere"}
        done = subprocess.run(
            command, env=environment, capture_output=True, check=False
        )
        self.assertEqual(done.returncode, EXIT_INVALID, done.stderr)


class SignalTests(DeploymentTestCase):
    """Send signals to a running daemon."""

    async def test_reload(self) -> None:
        """Go on after the signal that says that the settings have changed.

        Without a handler the process ends, and with it every open request;
        it came back with an old configuration.
        """
        await self.add_target("i-1", TOOLS, tool_answer)
        daemon = await self.add_daemon("a")
        running = asyncio.create_task(daemon.run_until_stopped())
        await asyncio.sleep(0)
        os.kill(os.getpid(), signal.SIGHUP)
        answer = await self.call(daemon, "/safe/x")
        self.assertEqual(answer.status, 200)
        self.assertFalse(running.done())
        running.cancel()
        await asyncio.wait([running])

    async def test_stop(self) -> None:
        """Answer what is open at a stop, take more for a while, then end.

        The balancer sends new connections until it has noticed. Every one of
        them is answered, and told to close.
        """
        await self.add_target("i-1", ENGINES, stream_answer)
        daemon = await self.add_daemon("a")
        running = asyncio.create_task(daemon.run_until_stopped())
        await asyncio.sleep(0)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.2)
        self.assertFalse(daemon.ready)
        answer = await self.turn(daemon, b"one")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers.get("connection"), "close")
        async with asyncio.timeout(15):
            await running
