"""Send several times the limit of a workspace, in bursts."""

from __future__ import annotations

import asyncio
import contextlib
import random

from ....http1.client import ClientConnection, connect
from ....http1.idle import IdleConnections
from ....http1.messages import ExchangeError, RequestMessage
from ..deployment import HOST
from .gateways import Gateway
from .limit_windows import LimitWindows
from .proxy import LOOPBACK

CONNECT_SECONDS = 1.0
DEADLINE = 3.0
# Seconds. Gateways may finish an answer after its deadline.
ANSWER_TIMEOUT = DEADLINE + 2.0
# Pairs are ranges: seconds of a burst and of the quiet time after it, and the load of a
# burst as a multiple of what a window allows.
BURST_SECONDS = (4.0, 8.0)
QUIET_SECONDS = (2.0, 7.0)
BURST_LOAD = (2.0, 3.0)
FIRST_BURST_DELAY = 0.1
MAX_OPEN_REQUESTS = 80
IDLE_LIMIT = 12.0
TURN_FRACTION = 0.3


class Bursts:
    """Times of the bursts, which all workspaces send together."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._started = asyncio.Condition()
        self.until = 0.0

    async def run(self, until: float) -> None:
        """Start bursts until the loop time `until`."""
        loop = asyncio.get_running_loop()
        # All callers wait for the first burst by then.
        await asyncio.sleep(FIRST_BURST_DELAY)
        while loop.time() < until:
            self.until = min(until, loop.time() + self._rng.uniform(*BURST_SECONDS))
            async with self._started:
                self._started.notify_all()
            await asyncio.sleep(self.until - loop.time())
            await asyncio.sleep(self._rng.uniform(*QUIET_SECONDS))

    async def next(self) -> None:
        """Wait until a burst starts."""
        async with self._started:
            await self._started.wait()


class LimitCaller:
    """Call through all gateways in bursts, on connections that stay open."""

    def __init__(
        self,
        *,
        workspace: str,
        key: str,
        gateways: list[Gateway],
        bursts: Bursts,
        windows: LimitWindows,
        rng: random.Random,
    ) -> None:
        self._workspace = workspace
        self._key = key
        self._gateways = gateways
        self._bursts = bursts
        self._windows = windows
        self._rng = rng
        self._idle: IdleConnections[Gateway] = IdleConnections()
        self._calls: set[asyncio.Task[None]] = set()
        # Gateways with open connections, also those that were replaced since.
        self._known: list[Gateway] = []

    async def run(self, until: float) -> None:
        """Send bursts until the loop time `until`."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(until):
                    await self._bursts.next()
                    await self._burst()
        for call in self._calls:
            call.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)
        self._idle.close()

    async def _burst(self) -> None:
        bounds = self._windows.bounds
        allowed = bounds.allowed(self._windows.limits[self._workspace])
        rate = self._rng.uniform(*BURST_LOAD) * allowed / bounds.window
        # Each burst goes to some gateways only, as callers keep their connections.
        share = self._rng.randint(1, len(self._gateways))
        chosen = self._rng.sample(self._gateways, share)
        while asyncio.get_running_loop().time() < self._bursts.until:
            if len(self._calls) < MAX_OPEN_REQUESTS:
                call = asyncio.create_task(self._call(self._choose(chosen)))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
            await asyncio.sleep(self._rng.expovariate(rate))

    def _choose(self, chosen: list[Gateway]) -> Gateway:
        """Return a gateway of the burst, or at times one that was replaced."""
        replaced = [
            known
            for known in self._known
            if known not in self._gateways and known.running
        ]
        if replaced and self._rng.random() < 0.3:
            return self._rng.choice(replaced)
        reachable = [one for one in chosen if one in self._gateways]
        return self._rng.choice(reachable or self._gateways)

    async def call_once(self, gateway: Gateway) -> int:
        """Send a request on its own connection; return its status, 0 without one."""
        address = (LOOPBACK, gateway.caller_proxy.port)
        try:
            connection = await connect(address, timeout=CONNECT_SECONDS)
        except (ExchangeError, TimeoutError):
            return 0
        try:
            return await self._exchange(connection)
        except (ExchangeError, TimeoutError):
            return 0
        finally:
            connection.abort()

    async def _call(self, gateway: Gateway) -> None:
        connection = self._idle.acquire(gateway)
        try:
            if connection is None:
                address = (LOOPBACK, gateway.caller_proxy.port)
                connection = await connect(address, timeout=CONNECT_SECONDS)
                if gateway not in self._known:
                    self._known.append(gateway)
            status = await self._exchange(connection)
        except (ExchangeError, TimeoutError):
            if gateway in self._known:
                self._known.remove(gateway)
            status = 0
        finally:
            if connection is not None:
                self._idle.release(gateway, connection, IDLE_LIMIT)
        self._windows.counts[f"status {status}"] += 1

    async def _exchange(self, connection: ClientConnection) -> int:
        attempt = f"{self._rng.getrandbits(64):016x}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(int(DEADLINE * 1000)),
            "Api-Key": self._key,
        }
        path = "/safe/x"
        if self._rng.random() < TURN_FRACTION:
            path = "/free/a"
            headers |= {
                "X-Program-Id": attempt,
                "X-Token-Budget": "1000",
                "X-Token-Usage": "10,100",
            }
        message = RequestMessage(
            method=b"POST",
            target=path.encode(),
            headers=[(name.encode(), text.encode()) for name, text in headers.items()],
            body=b"",
        )
        self._windows.sent_at[attempt] = asyncio.get_running_loop().time()
        async with asyncio.timeout(ANSWER_TIMEOUT):
            await connection.send(message)
            head = await connection.read_head()
            while await connection.read_body_part() is not None:
                pass
        return head.status
