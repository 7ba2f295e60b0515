"""Carry single calls to the store, however they get there."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..errors import ErrorKind, Failure

TURNED_AWAY = frozenset({429, 503})


class StoreCall(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one call; `waits` says that the store may hold it open.

    The timeout is in seconds.
    """

    method: str
    path: str
    timeout: float
    body: bytes = b""
    waits: bool = False


class StoreReply(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the store's answer to a call."""

    status: int
    body: bytes

    @property
    def rejected(self) -> bool:
        """Return whether the store did not serve the caller at all."""
        return self.status in TURNED_AWAY


def unavailable(call: StoreCall, detail: str) -> Failure:
    """Return the failure of a call that was not answered as it should be."""
    path = call.path.partition("?")[0]
    return Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason=f"{path}: {detail}")


class StoreClient(Protocol):
    """Make calls to the store."""

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Make a call and return its answer, or why there is none."""
