"""Relay calls to the store through a peer while it can't be reached directly."""

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

# Seconds between attempts to call directly while calls are relayed.
DIRECT_PROBE_INTERVAL = 0.5
# Seconds between attempts to call an unavailable store. All other calls fail at
# once, like behind an open circuit breaker.
UNAVAILABLE_PROBE_INTERVAL = 0.25
# Seconds without a reply after which a direct call is also made through a peer.
DEFAULT_RELAY_DELAY = 0.18
# Seconds without any successful direct call before a failure on both paths marks
# the store as unavailable.
UNAVAILABLE_AFTER = 0.8


class StorePath(Enum):
    """How calls reach the store at present."""

    DIRECT = "directly"
    RELAYED = "through a peer"
    NONE = "not at all"


class RelayedClient:
    """Store client that calls directly, and through a peer while that fails.

    The store may reject one process for seconds while it serves the others. A
    call may arrive on both paths; the store detects a duplicate append by its
    sequence number.
    """

    def __init__(
        self,
        *,
        direct: StoreClient,
        relay: RelayCall,
        relay_delay: Callable[[], float] = lambda: DEFAULT_RELAY_DELAY,
    ) -> None:
        """Store both paths.

        `relay_delay` returns the seconds without a direct reply before a peer is
        asked too.
        """
        self._direct = direct
        self._relay = relay
        self._relay_delay = relay_delay
        self._path = StorePath.DIRECT
        self._next_probe = 0.0
        self._last_direct_success = float("-inf")
        self._probe: asyncio.Task[StoreReply | Failure] | None = None

    @property
    def path(self) -> StorePath:
        """Return how calls reach the store at present."""
        return self._path

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Make a call directly or through a peer, whichever works at present."""
        if self._path is StorePath.NONE and not self._probe_due(
            UNAVAILABLE_PROBE_INTERVAL
        ):
            return unavailable(call, "the store is unavailable")
        if self._path is StorePath.RELAYED:
            if self._probe_due(DIRECT_PROBE_INTERVAL):
                self._probe = asyncio.create_task(self._try_direct(call))
            reply = await self._relay(call)
            # A direct call may have succeeded meanwhile; only a failure matters.
            if not _succeeded(reply) and self._path is StorePath.RELAYED:
                self._set_path(StorePath.NONE, _reason(reply))
            return reply
        return await self._call_both(call)

    async def _call_both(self, call: StoreCall) -> StoreReply | Failure:
        """Call directly, and through a peer if that fails or gets no reply in time.

        A process that is cut off from the store gets no errors, so it can't wait
        for the direct call to fail.
        """
        started = asyncio.get_running_loop().time()
        direct = asyncio.create_task(self._try_direct(call))
        relay: asyncio.Task[StoreReply | Failure] | None = None
        try:
            timeout = None if call.waits else self._relay_delay()
            await asyncio.wait([direct], timeout=timeout)
            if direct.done() and _succeeded(direct.result()):
                return direct.result()
            relay = asyncio.create_task(self._relay(call))
            return await self._first_success(direct, relay, started)
        finally:
            direct.cancel()
            if relay is not None:
                relay.cancel()

    async def _first_success(
        self,
        direct: asyncio.Task[StoreReply | Failure],
        relay: asyncio.Task[StoreReply | Failure],
        started: float,
    ) -> StoreReply | Failure:
        pending = {direct, relay}
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            if direct in done and _succeeded(direct.result()):
                return direct.result()
            if relay in done and _succeeded(relay.result()):
                # If other direct calls succeeded meanwhile, this one is only slow.
                if self._last_direct_success < started:
                    reason = _reason(direct.result()) if direct.done() else "silent"
                    self._set_path(StorePath.RELAYED, reason)
                return relay.result()
        reply = direct.result()
        # One failed call doesn't matter while other direct calls succeed.
        now = asyncio.get_running_loop().time()
        if now > self._last_direct_success + UNAVAILABLE_AFTER:
            self._set_path(StorePath.NONE, _reason(reply))
        return reply

    async def _try_direct(self, call: StoreCall) -> StoreReply | Failure:
        reply = await self._direct.call(call)
        if _succeeded(reply):
            self._last_direct_success = asyncio.get_running_loop().time()
            self._set_path(StorePath.DIRECT, "")
        return reply

    def _probe_due(self, interval: float) -> bool:
        now = asyncio.get_running_loop().time()
        if now < self._next_probe:
            return False
        self._next_probe = now + interval
        return True

    def _set_path(self, path: StorePath, reason: str) -> None:
        if path is self._path:
            return
        log.info(
            "the store is reached {}, before {}; {}",
            path.value,
            self._path.value,
            reason,
        )
        self._path = path


def _succeeded(reply: StoreReply | Failure) -> bool:
    return isinstance(reply, StoreReply) and not reply.rejected


def _reason(reply: StoreReply | Failure) -> str:
    if isinstance(reply, Failure):
        return reply.reason
    return f"answered {reply.status}"
