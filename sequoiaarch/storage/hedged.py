"""Hedge calls to the store: repeat a call whose reply is late."""

from __future__ import annotations

import asyncio

import logbook
import msgspec

from ..errors import Failure
from .calls import StoreCall, StoreClient, StoreReply

log = logbook.Logger("store")

# A call is repeated after this multiple of the usual latency. The bounds, in
# seconds, prevent repeats for one delayed packet and long waits at a slow store.
HEDGE_FACTOR = 4.0
MIN_HEDGE_DELAY = 0.06
MAX_HEDGE_DELAY = 0.5
INITIAL_LATENCY = 0.02
SMOOTHING = 0.1
MAX_CALLS = 4
# A peer is asked once two calls are late: after the hedge delay, then twice as long.
RELAY_DELAY_FACTOR = 3.0


class HedgedClient:
    """Store client that sends hedged requests.

    While no reply has arrived it repeats a call on a new connection, with
    exponential backoff, up to `MAX_CALLS` calls in all. Idle connections may have
    fallen silent together. Repeats are safe: appends carry a sequence number, and all
    other calls only read.
    """

    def __init__(self, *, client: StoreClient) -> None:
        self._client = client
        self._latency = INITIAL_LATENCY

    @property
    def hedge_delay(self) -> float:
        """Return the seconds without a reply before a call is repeated."""
        delay = HEDGE_FACTOR * self._latency
        return min(max(delay, MIN_HEDGE_DELAY), MAX_HEDGE_DELAY)

    @property
    def relay_delay(self) -> float:
        """Return the seconds without a reply before a peer is asked too."""
        return RELAY_DELAY_FACTOR * self.hedge_delay

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Make a call and return the first reply."""
        if call.waits:
            return await self._client.call(call)
        started = asyncio.get_running_loop().time()
        tasks: list[asyncio.Task[StoreReply | Failure]] = []
        try:
            reply = await self._first_reply(call, tasks)
        finally:
            for task in tasks:
                task.cancel()
        if not isinstance(reply, Failure):
            self._update_latency(started)
        return reply

    async def _first_reply(
        self, call: StoreCall, tasks: list[asyncio.Task[StoreReply | Failure]]
    ) -> StoreReply | Failure:
        delay = self.hedge_delay
        failure: Failure | None = None
        pending: set[asyncio.Task[StoreReply | Failure]] = set()
        while True:
            if len(tasks) < MAX_CALLS:
                if tasks:
                    call = msgspec.structs.replace(call, fresh=True)
                tasks.append(asyncio.create_task(self._client.call(call)))
                pending.add(tasks[-1])
            timeout = delay if len(tasks) < MAX_CALLS else None
            delay *= 2
            done, pending = await asyncio.wait(
                pending, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                reply = task.result()
                if not isinstance(reply, Failure):
                    return reply
                failure = reply
            # Two calls failed and none is open: the store is unavailable.
            if failure is not None and not pending and len(tasks) > 1:
                return failure

    def _update_latency(self, started: float) -> None:
        latency = asyncio.get_running_loop().time() - started
        self._latency += SMOOTHING * (latency - self._latency)
