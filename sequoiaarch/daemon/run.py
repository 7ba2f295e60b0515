"""Run a daemon in the role that its settings give it."""

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
from .base import Core, connect_platform, make_core
from .standalone import run_standalone

log = logbook.Logger("daemon")


def probe_app(core: Core, ready: Callable[[], bool]) -> WsgiApp:
    """Return an application that answers metrics and probes only."""
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


def announce(settings: Settings, port: int, inner: str | None) -> None:
    """Print the addresses that the kernel may have chosen."""
    line = f"listening http://{settings.http.address}:{port}"
    if inner is not None:
        line += f" {inner}"
    print(line, flush=True)


async def run_gateway(settings: Settings, stopped: asyncio.Event) -> None:
    """Run a gateway until it is told to stop."""
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
    announce(settings, gateway.port, None)
    await stopped.wait()
    log.info("Gateway stops.")
    starting.cancel()
    await gateway.stop()
    gateway.close()
    core.close()
    context.destroy(linger=1000)


async def run_sidecar(settings: Settings, stopped: asyncio.Event) -> None:
    """Run a sidecar until it is told to stop."""
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
    announce(settings, server.port, address)
    await stopped.wait()
    log.info("Sidecar of {} stops.", target)
    starting.cancel()
    await sidecar.stop()
    server.stop()
    sidecar.close()
    core.close()
    context.destroy(linger=1000)


def run_daemon(settings: Settings) -> None:
    """Run the daemon until SIGTERM or SIGINT."""

    async def main() -> None:
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        if settings.role is Role.GATEWAY:
            await run_gateway(settings, stopped)
        elif settings.role is Role.SIDECAR:
            await run_sidecar(settings, stopped)
        else:
            await run_standalone(settings, stopped)

    asyncio.run(main())
