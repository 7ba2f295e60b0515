"""Run a daemon in the role given in its settings."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable, Iterable
from typing import Any

import logbook
import zmq.asyncio
from werkzeug.exceptions import HTTPException
from werkzeug.wrappers import Request

from ..config.settings import Role, Settings
from ..gateway.gateway import Gateway
from ..gateway.operators import probe_rules
from ..ids import TargetName
from ..sidecar.sidecar import Sidecar
from ..webserver import WebServer, WsgiApp, make_routes
from .allocator import bound_arenas
from .base import Core, connect_platform, make_core
from .standalone import run_standalone

log = logbook.Logger("daemon")


def probe_app(core: Core, ready: Callable[[], bool]) -> WsgiApp:
    """Return a WSGI application that serves only metrics and health probes."""
    routes = make_routes(probe_rules(core, ready))

    def app(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        try:
            handler, values = routes.bind_to_environ(environ).match()
            response = handler(Request(environ), **values)
        except HTTPException as error:
            response = error.get_response(environ)
        return response(environ, start_response)

    return app


def print_addresses(settings: Settings, port: int, inner_address: str | None) -> None:
    """Print the bound addresses, as ports may be chosen by the kernel."""
    line = f"listening http://{settings.http.address}:{port}"
    if inner_address is not None:
        line += f" {inner_address}"
    print(line, flush=True)


async def run_gateway(settings: Settings, stopped: asyncio.Event) -> None:
    """Run a gateway until `stopped` is set."""
    context = zmq.asyncio.Context()
    core = make_core(
        settings,
        name=f"gateway {settings.host}",
        own_target=None,
        context=context,
        platform=connect_platform(settings),
    )
    core.start()
    gateway = Gateway(core=core, rng=random.Random())
    starting = asyncio.create_task(gateway.start())
    print_addresses(settings, gateway.port, None)
    await stopped.wait()
    log.info("Stopping the gateway.")
    starting.cancel()
    await gateway.stop()
    gateway.close()
    core.close()
    context.destroy(linger=1000)


async def run_sidecar(settings: Settings, stopped: asyncio.Event) -> None:
    """Run a sidecar until `stopped` is set."""
    assert settings.target is not None
    context = zmq.asyncio.Context()
    target = TargetName(settings.target)
    core = make_core(
        settings,
        name=f"sidecar {target}",
        own_target=target,
        context=context,
        platform=connect_platform(settings),
    )
    sidecar = Sidecar(core=core, target=target)
    address = sidecar.bind()
    core.start()
    http = settings.http
    server = WebServer(
        app=probe_app(core, lambda: sidecar.ready),
        address=http.address,
        port=http.port,
        max_threads=64,
    )
    server.start()
    starting = asyncio.create_task(sidecar.start())
    print_addresses(settings, server.port, address)
    await stopped.wait()
    log.info("Stopping the sidecar of {}.", target)
    starting.cancel()
    await sidecar.stop()
    server.stop()
    sidecar.close()
    core.close()
    context.destroy(linger=1000)


def run_daemon(settings: Settings) -> None:
    """Run the daemon until SIGTERM or SIGINT."""
    bound_arenas()

    async def main() -> None:
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stopped.set)
        if settings.role is Role.GATEWAY:
            await run_gateway(settings, stopped)
        elif settings.role is Role.SIDECAR:
            await run_sidecar(settings, stopped)
        else:
            await run_standalone(settings, stopped)

    asyncio.run(main())
