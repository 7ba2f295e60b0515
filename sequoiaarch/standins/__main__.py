"""Run one stand-in as a separate process."""

from __future__ import annotations

import signal
import threading
from typing import Protocol

import click
import msgspec

from .engine import EngineOptions, EngineStandIn
from .platform import PlatformStandIn
from .service import ServiceStandIn


class StandIn(Protocol):
    """Interface of all stand-in servers."""

    @property
    def url(self) -> str:
        """Return the base URL."""

    def start(self) -> None:
        """Start the server."""

    def stop(self) -> None:
        """Stop the server."""


def serve(stand_in: StandIn) -> None:
    """Run a stand-in until SIGTERM or SIGINT."""
    stopped = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopped.set())
    stand_in.start()
    click.echo(f"listening {stand_in.url}")
    stopped.wait()
    stand_in.stop()


@click.group()
def main() -> None:
    """Stand in for the platform, an engine or a service."""


@main.command()
@click.option("--port", default=0, help="The port; 0 lets the kernel choose.")
def platform(port: int) -> None:
    """Serve a log, a host list and a weight store."""
    serve(PlatformStandIn(port=port))


@main.command()
@click.option("--port", default=0, help="The port; 0 lets the kernel choose.")
@click.option("--options", default="{}", help="Costs of the engine, as JSON.")
def engine(port: int, options: str) -> None:
    """Serve a fake model engine."""
    engine_options = msgspec.json.decode(options, type=EngineOptions)
    serve(EngineStandIn(options=engine_options, port=port))


@main.command()
@click.option("--port", default=0, help="The port; 0 lets the kernel choose.")
def service(port: int) -> None:
    """Serve a fake tool or plain service."""
    serve(ServiceStandIn(port=port))


if __name__ == "__main__":
    main()
