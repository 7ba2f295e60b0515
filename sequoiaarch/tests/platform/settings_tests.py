"""Test the platform's settings file, and signals to the process."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import logbook

from ...ingress.options import IngressOptions
from ...observe.events import EventLog
from ...platform import program
from ...platform.settings import read_settings
from .deployment import ENGINES, TOOLS, DeploymentTestCase, stream_answer, tool_answer

SETTINGS = """
nodeName = "edge-1"
ip = "127.0.0.1"
zone = "here"
internalPortRange = [7000, 7015]
seeds = ["127.0.0.1:8144"]
{contracts}
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


def settings(*, control: str = "", contracts: str = "") -> str:
    """Return the text of a settings file."""
    return SETTINGS.format(control=control, contracts=contracts)


class SettingsTests(unittest.TestCase):
    """Read settings files."""

    def read(self, text: str) -> IngressOptions:
        """Return the options that are read from a file with the text."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(text)
            return read_settings(path)

    def test_known_fields(self) -> None:
        """Read known fields and ignore unknown ones."""
        options = self.read(settings(control=CONTROL))
        self.assertEqual(options.front, ("127.0.0.1", 8149))
        self.assertEqual(options.inner, "127.0.0.1:8144")
        self.assertEqual(options.stop_timeout, 6)
        self.assertEqual(options.memory_bytes, 170 * 2**20)
        self.assertEqual(options.drain_time, 2.0)
        self.assertEqual(options.registration_life, 0.0)

    def test_times_of_targets(self) -> None:
        """Read how long targets and their registrations last."""
        text = settings().replace("[bounds]", "[bounds]\ndrainMs = 3000")
        options = self.read(f"heartbeatMs = 1200\n{text}")
        self.assertEqual(options.drain_time, 3.0)
        self.assertAlmostEqual(options.registration_life, 3.6)
        with self.assertRaisesRegex(ValueError, r"\$\.heartbeatMs"):
            self.read(f"heartbeatMs = -1\n{text}")

    def test_no_control_address(self) -> None:
        """Use the first internal port if no control address is set."""
        options = self.read(settings())
        self.assertEqual(options.inner, "127.0.0.1:7000")

    def test_contracts(self) -> None:
        """Place programs by owners only where the settings list that contract."""
        for contracts, expected in (
            ("", False),
            ("contracts = []", False),
            ('contracts = ["quotas"]', False),
            ('contracts = ["quotas", "pressure", "aContractOfNextYear"]', True),
        ):
            options = self.read(settings(contracts=contracts))
            self.assertIs(options.place_programs, expected, contracts)

    def test_contracts_of_a_wrong_type(self) -> None:
        """Name the field if the contracts are no list of names.

        Ignoring it would silently serve a deployment without its contract.
        """
        for contracts in (
            'contracts = "pressure"',
            "contracts = { pressure = true }",
            "contracts = 3",
            "contracts = [3]",
        ):
            with self.assertRaisesRegex(ValueError, r"\$\.contracts"):
                self.read(settings(contracts=contracts))

    def test_bad_file(self) -> None:
        """Raise ValueError for an invalid file."""
        for text in ("not = [toml", "nodeName = 3"):
            with self.assertRaises(ValueError):
                self.read(text)

    def read_capacity(self, figures: str) -> tuple[float, list[str]]:
        """Return the capacity with these lines in the limits, and the log lines."""
        text = settings().replace("[limits]", f"[limits]\n{figures}")
        with logbook.TestHandler() as handler:
            capacity = self.read(text).capacity
        return capacity, [record.message for record in handler.records]

    def test_capacity(self) -> None:
        """Multiply share and cores; guards against a host without its capacity."""
        self.assertEqual(self.read_capacity("cpuShare = 0.29\ncores = 4"), (1.16, []))
        # The product of these floating point numbers is not exactly 0.3.
        self.assertEqual(self.read_capacity("cpuShare = 0.1\ncores = 3"), (0.3, []))

    def test_unknown_capacity(self) -> None:
        """Log nothing where no figure is set, as in files of earlier deployments."""
        self.assertEqual(self.read_capacity(""), (0.0, []))

    def test_invalid_capacity(self) -> None:
        """Start with unknown capacity; guards against weights from invalid figures."""
        invalid = ("0", "-1", "0.0001", "nan", "inf", "1e308", "true", '"many"', "[]")
        for value in invalid:
            for figures in (
                f"cpuShare = {value}\ncores = 2",
                f"cores = {value}\ncpuShare = 2",
            ):
                with self.subTest(figures=figures):
                    capacity, lines = self.read_capacity(figures)
                    self.assertEqual(capacity, 0.0)
                    self.assertEqual(len(lines), 1, lines)

    def test_incomplete_capacity(self) -> None:
        """Log the missing figure; guards against a silent lack of a capacity."""
        for figures, missing in (
            ("cpuShare = 0.5", "cores"),
            ("cores = 2", "cpuShare"),
        ):
            capacity, lines = self.read_capacity(figures)
            self.assertEqual(capacity, 0.0)
            self.assertIn(missing, lines[0])


# Runs the program and sends it SIGHUP while it is still importing its modules.
SIGHUP_DURING_START = """
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

    def test_sighup_during_start(self) -> None:
        """Survive SIGHUP during the import of the program.

        The exit status shows that the process reached the missing settings file.
        """
        command = [sys.executable, "-c", SIGHUP_DURING_START]
        environment = {**os.environ, "SEQUOIAARCH_SETTINGS": "/nowhere"}
        process = subprocess.run(
            command, env=environment, capture_output=True, check=False
        )
        self.assertEqual(process.returncode, EXIT_INVALID, process.stderr)


class CapacityTests(unittest.IsolatedAsyncioTestCase):
    """Pass the capacity on to the registration."""

    async def registered(self, contracts: str) -> float:
        """Return the capacity with which a gateway of two cores registers."""
        text = settings(control=CONTROL, contracts=contracts)
        text = text.replace("[limits]", "[limits]\ncpuShare = 0.5\ncores = 4")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(text)
            # The start ends where the peers are created.
            with (
                mock.patch("zmq.asyncio.Context"),
                mock.patch.object(program, "Peers", side_effect=ValueError) as peers,
                self.assertRaises(ValueError),
            ):
                await program._run_gateway(path, mock.Mock(spec=EventLog))
        capacity: float = peers.call_args.kwargs["capacity"]
        return capacity

    async def test_capacity_is_registered(self) -> None:
        """Guards against a capacity that is read but not registered."""
        self.assertEqual(await self.registered('contracts = ["pressure"]'), 2.0)

    async def test_capacity_without_the_setting(self) -> None:
        """Guards against accounts that move where no setting asks for it."""
        for contracts in ("", 'contracts = ["base"]'):
            self.assertEqual(await self.registered(contracts), 0.0)


class SignalTests(DeploymentTestCase):
    """Send signals to a running daemon."""

    async def test_sighup_while_serving(self) -> None:
        """Keep running after SIGHUP, which ends a process without a handler."""
        await self.add_target("i-1", TOOLS, tool_answer)
        daemon = await self.add_daemon("a")
        serving = asyncio.create_task(daemon.run_until_stopped())
        await asyncio.sleep(0)
        os.kill(os.getpid(), signal.SIGHUP)
        answer = await self.call(daemon, "/safe/x")
        self.assertEqual(answer.status, 200)
        self.assertFalse(serving.done())
        serving.cancel()
        await asyncio.wait([serving])

    async def test_sigterm(self) -> None:
        """Answer requests for a while after SIGTERM, then end.

        Load balancers send new connections until they notice that the daemon is not
        ready. Each is answered and closed.
        """
        await self.add_target("i-1", ENGINES, stream_answer)
        daemon = await self.add_daemon("a")
        serving = asyncio.create_task(daemon.run_until_stopped())
        await asyncio.sleep(0)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.2)
        self.assertFalse(daemon.ready)
        answer = await self.turn(daemon, b"one")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers.get("connection"), "close")
        async with asyncio.timeout(15):
            await serving
