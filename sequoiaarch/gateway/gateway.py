"""Assemble a gateway from its router, HTTP application and web server."""

from __future__ import annotations

import asyncio
import random

import logbook

from ..daemon.base import Core
from ..webserver import WebServer
from .app import GatewayApp
from .bridge import LoopBridge
from .operators import OperatorApi
from .router import Router

log = logbook.Logger("gateway")

STOP_POLL_INTERVAL = 0.02  # seconds
QUIET_TIMEOUT = 5.0  # seconds


class Gateway:
    """Serve the HTTP API on an entry host."""

    def __init__(self, *, core: Core, rng: random.Random) -> None:
        self._core = core
        self._router = Router(core=core, rng=rng)
        self._started = False
        self._bridge = LoopBridge(loop=asyncio.get_running_loop(), router=self._router)
        operators = OperatorApi(
            core=core,
            router=self._router,
            bridge=self._bridge,
            ready=lambda: self.ready,
        )
        self._app = GatewayApp(
            core=core, router=self._router, bridge=self._bridge, operators=operators
        )
        http = core.settings.http
        self._server = WebServer(
            app=self._app,
            address=http.address,
            port=http.port,
            max_threads=http.max_threads,
            max_body=http.max_body * 2,
        )

    @property
    def port(self) -> int:
        """Return the HTTP port."""
        return self._server.port

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return self._started and not self._app.lame_duck

    @property
    def pending_programs(self) -> int:
        """Return the number of programs whose uncommitted turns are buffered here."""
        return self._router.pending_programs

    async def start(self) -> None:
        """Start the web server and wait for the configuration.

        Probes are answered meanwhile; the gateway is ready afterwards.
        """
        self._server.start()
        await self._core.config_follower.wait_ready()
        self._started = True
        log.info("Gateway is listening on port {}.", self.port)

    async def stop(self) -> None:
        """Drain the gateway before it is closed.

        At first only the readiness probe fails, so that the load balancer sends
        requests elsewhere. Then new requests are refused and open ones finish. The
        port stays open until no request has arrived for a while: closing it would
        reset connections that wait in the accept queue, and their callers could not
        tell whether the call was run.
        """
        limits = self._core.settings.limits
        self._app.lame_duck = True
        await asyncio.sleep(limits.lame_duck)
        self._app.refusing_requests = True
        loop = asyncio.get_running_loop()
        started = loop.time()
        while loop.time() < started + limits.drain_timeout and self._has_open_calls():
            await asyncio.sleep(STOP_POLL_INTERVAL)
        while loop.time() < started + QUIET_TIMEOUT and not self._is_quiet():
            await asyncio.sleep(STOP_POLL_INTERVAL)
        if self._has_open_calls():
            log.warning("Stopping with {} open requests.", self._app.open_requests)
            self._server.abort()

    def _has_open_calls(self) -> bool:
        return bool(self._app.open_requests or self._router.open_calls)

    def _is_quiet(self) -> bool:
        return self._app.seconds_since_request >= self._core.settings.limits.lame_duck

    def abort(self) -> None:
        """Abort all connections."""
        self._server.abort()

    def close(self) -> None:
        """Fail all pending calls and stop the web server."""
        self._bridge.close()
        self._server.stop()
