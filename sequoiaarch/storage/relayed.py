"""Reach the store through a peer while it turns this process away."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import logbook

from ..errors import ErrorKind, Failure
from .calls import StoreCall, StoreCaller, StoreReply

log = logbook.Logger("store")

RelayCall = Callable[[StoreCall], Awaitable[StoreReply | Failure]]

# While peers carry the calls, one call in this time also tries the direct way.
PROBE_SECONDS = 0.5
TURNED_AWAY = frozenset({429, 503})


class RelayedCaller:
    """Make calls directly, and through a peer while the direct way fails.

    The store can turn away one process for seconds while it serves all
    others. Its turns could not be kept and its callers' programs would end.
    A call may arrive twice, by both ways: appends carry a sequence.
    """

    def __init__(self, *, direct: StoreCaller, relay: RelayCall) -> None:
        self._direct = direct
        self._relay = relay
        self._denied = False
        self._probe_at = 0.0
        self._probe: asyncio.Task[StoreReply | Failure] | None = None

    @property
    def denied(self) -> bool:
        """Return whether the direct way has failed last."""
        return self._denied

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Make a call by the way that works."""
        if self._denied:
            self._probe_beside(call)
            reply = await self._relay(call)
            if _served(reply):
                return reply
        reply = await self._try_direct(call)
        if _served(reply):
            return reply
        relayed = await self._relay(call)
        return relayed if _served(relayed) else reply

    async def _try_direct(self, call: StoreCall) -> StoreReply | Failure:
        reply = await self._direct.call(call)
        self._note(not _served(reply), _reason(reply))
        return reply

    def _probe_beside(self, call: StoreCall) -> None:
        """Try the direct way too, without waiting for what it brings."""
        now = asyncio.get_running_loop().time()
        if call.waits or now < self._probe_at:
            return
        self._probe_at = now + PROBE_SECONDS
        self._probe = asyncio.create_task(self._try_direct(call))

    def _note(self, denied: bool, reason: str) -> None:
        if denied == self._denied:
            return
        self._denied = denied
        if denied:
            log.warning("lost the store: {}", reason)
        else:
            log.info("regained the store")


def _served(reply: StoreReply | Failure) -> bool:
    return isinstance(reply, StoreReply) and reply.status not in TURNED_AWAY


def _reason(reply: StoreReply | Failure) -> str:
    if isinstance(reply, Failure):
        return reply.reason
    return f"answered {reply.status}"


def no_relay(call: StoreCall) -> Failure:
    """Return that no peer can carry a call."""
    return Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason="no peer reaches the store")
