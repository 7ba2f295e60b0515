"""Reach the store through a peer while it turns this process away."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any

import logbook

from ..errors import Failure
from .calls import StoreCall, StoreClient, StoreReply, unavailable

log = logbook.Logger("store")

RelayCall = Callable[[StoreCall], Coroutine[Any, Any, StoreReply | Failure]]

# While peers carry the calls, one call in this time also tries the direct way.
PROBE_SECONDS = 0.5
# While nobody reaches the store, one call in this time finds out whether it is
# back; all others fail at once, so that their callers are told at once too.
AWAY_PROBE_SECONDS = 0.25
# A direct call that is silent for this time is also made through a peer; its
# answer takes 10 ms as a rule, and its connection may be cut. Seconds.
SILENCE = 0.18
# The store is away for all only if it has served nothing for this time.
AWAY_AFTER_SECONDS = 0.8


class StoreAccess(Enum):
    """Say how calls reach the store at present."""

    DIRECT = "directly"
    RELAYED = "through a peer"
    NONE = "not at all"


class RelayedClient:
    """Make calls directly, and through a peer while the direct way fails.

    The store can turn away one process for seconds while it serves all
    others. Its turns could not be kept and its callers' programs would end.
    A call may arrive twice, by both ways: appends carry a sequence.
    """

    def __init__(
        self,
        *,
        direct: StoreClient,
        relay: RelayCall,
        relay_delay: Callable[[], float] = lambda: SILENCE,
    ) -> None:
        """Take both ways; `silence` is the time after which to try the second."""
        self._direct = direct
        self._relay = relay
        self._relay_delay = relay_delay
        self._way = StoreAccess.DIRECT
        self._probe_at = 0.0
        self._served_at = float("-inf")
        self._probe: asyncio.Task[StoreReply | Failure] | None = None

    @property
    def access(self) -> StoreAccess:
        """Return how the last call reached the store."""
        return self._way

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Make a call by the way that works."""
        if self._way is StoreAccess.NONE and not self._probe_due(AWAY_PROBE_SECONDS):
            return unavailable(call, "the store is away")
        if self._way is StoreAccess.RELAYED:
            if not call.waits and self._probe_due(PROBE_SECONDS):
                self._probe = asyncio.create_task(self._try_direct(call))
            reply = await self._relay(call)
            # The direct way may be back by now; only a failure says something.
            if not _served(reply) and self._way is StoreAccess.RELAYED:
                self._note(StoreAccess.NONE, _reason(reply))
            return reply
        return await self._both_ways(call)

    async def _both_ways(self, call: StoreCall) -> StoreReply | Failure:
        """Make a call directly, and through a peer where it fails or is silent.

        A process that is cut off from the store hears nothing. Each of its calls
        waited for a second until its connection was given up, and so did the
        ends of its callers' turns.
        """
        begun = asyncio.get_running_loop().time()
        direct = asyncio.create_task(self._try_direct(call))
        relay: asyncio.Task[StoreReply | Failure] | None = None
        try:
            timeout = None if call.waits else self._relay_delay()
            await asyncio.wait([direct], timeout=timeout)
            if direct.done() and _served(direct.result()):
                return direct.result()
            relay = asyncio.create_task(self._relay(call))
            return await self._first_served(direct, relay, begun)
        finally:
            direct.cancel()
            if relay is not None:
                relay.cancel()

    async def _first_served(
        self,
        direct: asyncio.Task[StoreReply | Failure],
        relay: asyncio.Task[StoreReply | Failure],
        begun: float,
    ) -> StoreReply | Failure:
        left = {direct, relay}
        while left:
            done, left = await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED)
            if direct in done and _served(direct.result()):
                return direct.result()
            if relay in done and _served(relay.result()):
                # While other calls are answered the direct way is only slow.
                if self._served_at < begun:
                    reason = _reason(direct.result()) if direct.done() else "silent"
                    self._note(StoreAccess.RELAYED, reason)
                return relay.result()
        reply = direct.result()
        # A call that lost all its answers says nothing while others are served.
        now = asyncio.get_running_loop().time()
        if now > self._served_at + AWAY_AFTER_SECONDS:
            self._note(StoreAccess.NONE, _reason(reply))
        return reply

    async def _try_direct(self, call: StoreCall) -> StoreReply | Failure:
        reply = await self._direct.call(call)
        if _served(reply):
            self._served_at = asyncio.get_running_loop().time()
            self._note(StoreAccess.DIRECT, "")
        return reply

    def _probe_due(self, interval: float) -> bool:
        now = asyncio.get_running_loop().time()
        if now < self._probe_at:
            return False
        self._probe_at = now + interval
        return True

    def _note(self, way: StoreAccess, reason: str) -> None:
        if way is self._way:
            return
        log.info(
            "the store is reached {}, before {}; {}", way.value, self._way.value, reason
        )
        self._way = way


def _served(reply: StoreReply | Failure) -> bool:
    return isinstance(reply, StoreReply) and not reply.rejected


def _reason(reply: StoreReply | Failure) -> str:
    if isinstance(reply, Failure):
        return reply.reason
    return f"answered {reply.status}"
