"""Run sample programs through a whole system in one process."""

from __future__ import annotations

import asyncio
import sys
import threading
from pathlib import Path

import click

from ..client import Client
from ..config.settings import LimitOptions, LoggingOptions, LogLevel, Role, Settings
from ..daemon.standalone import TRIAL_KEY, TRIAL_OPERATOR_KEY, Standalone
from ..observe.logs import set_up_logs
from .runner import ScriptRunner
from .script import load_script

START_STOP_TIMEOUT = 30.0  # seconds


class DemoSystem:
    """Run a stand-alone system with its event loop in a background thread."""

    def __init__(self) -> None:
        self._settings = Settings(
            role=Role.STANDALONE,
            host="demo-1",
            data_centre="here",
            limits=LimitOptions(lame_duck=0.0),
        )
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._loop: asyncio.AbstractEventLoop | None = None
        self._stop_requested: asyncio.Event | None = None
        self.port = 0

    def start(self) -> None:
        """Start the system and wait until it serves requests."""
        self._thread.start()
        if not self._started.wait(START_STOP_TIMEOUT):
            raise click.ClickException("the system did not start")

    def stop(self) -> None:
        """Stop the system gracefully."""
        assert self._loop is not None and self._stop_requested is not None
        self._loop.call_soon_threadsafe(self._stop_requested.set)
        self._thread.join(START_STOP_TIMEOUT)

    def _run(self) -> None:
        asyncio.run(self._main())

    async def _main(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stop_requested = asyncio.Event()
        system = Standalone(settings=self._settings)
        await system.start()
        self.port = system.port
        self._started.set()
        await self._stop_requested.wait()
        await system.stop()


@click.command()
@click.argument("scripts", nargs=-1, type=click.Path(path_type=Path, exists=True))
def main(scripts: tuple[Path, ...]) -> None:
    """Run sample programs through a system of their own."""
    set_up_logs(LoggingOptions(level=LogLevel.WARNING))
    system = DemoSystem()
    system.start()
    url = f"http://127.0.0.1:{system.port}"
    operator = Client(url=url, key=TRIAL_OPERATOR_KEY)
    for path in scripts:
        client = Client(url=url, key=TRIAL_KEY)
        runner = ScriptRunner(
            client=client, script=load_script(path), write_line=click.echo
        )
        runner.run()
        trace = operator.request("GET", f"/v1/admin/traces/{runner.trace_id}")
        click.echo("  trace:")
        for line in trace["tree"]:
            click.echo(f"    {line}")
        click.echo("")
    system.stop()
    click.echo("Both programs ended.")
    sys.exit(0)


if __name__ == "__main__":
    main()
