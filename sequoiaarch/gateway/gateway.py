"""Put the parts of a gateway together."""

from __future__ import annotations

import asyncio
import random

import logbook

from ..daemon.base import Core
from ..webserver import WebServer
from .app import CallerApp
from .bridge import Bridge
from .operators import OperatorApi
from .router import Router

log = logbook.Logger("gateway")

STOP_CHECK = 0.02
QUIET_LIMIT = 5.0


class Gateway:
    """Answer HTTP on an entry host."""

    def __init__(self, *, core: Core, rng: random.Random) -> None:
        self._core = core
        self._router = Router(core=core, rng=rng)
        self._started = False
        self._bridge = Bridge(loop=asyncio.get_running_loop(), router=self._router)
        operators = OperatorApi(
            core=core,
            router=self._router,
            bridge=self._bridge,
            ready=lambda: self.ready,
        )
        self._app = CallerApp(
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
        """Return the port that callers reach."""
        return self._server.port

    @property
    def ready(self) -> bool:
        """Return whether the balancer should send callers here."""
        return self._started and not self._app.leaving

    @property
    def held_copies(self) -> int:
        """Return the programs of which uncommitted turns are held here."""
        return self._router.held_copies

    async def start(self) -> None:
        """Answer probes at once, and callers when the configuration is known."""
        self._server.start()
        await self._core.follower.wait_ready()
        self._started = True
        log.info("Gateway answers on port {}.", self.port)

    async def stop(self) -> None:
        """Leave in an orderly way.

        First the readiness probe fails while calls are still taken, so that
        the balancer looks elsewhere; then new calls are refused and those
        under way come to their ends. The port closes after a quiet while: a
        connection that the kernel has accepted and nobody has read would be
        reset, and its caller could not tell whether its call was run.
        """
        limits = self._core.settings.limits
        self._app.leaving = True
        await asyncio.sleep(limits.lame_duck)
        self._app.refusing = True
        loop = asyncio.get_running_loop()
        begun = loop.time()
        while loop.time() < begun + limits.drain_timeout and self._busy():
            await asyncio.sleep(STOP_CHECK)
        while loop.time() < begun + QUIET_LIMIT and not self._quiet():
            await asyncio.sleep(STOP_CHECK)
        if self._busy():
            log.warning("Stopping with {} calls open.", self._app.open_requests)
            self._server.abort()

    def _busy(self) -> bool:
        return bool(self._app.open_requests or self._router.open_calls)

    def _quiet(self) -> bool:
        return self._app.quiet_for >= self._core.settings.limits.lame_duck

    def abort(self) -> None:
        """Break all connections off."""
        self._server.abort()

    def close(self) -> None:
        """End the waits of all callers and close the server."""
        self._bridge.close()
        self._server.stop()
