"""Define a call to the store and its reply, independent of the transport."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..errors import ErrorKind, Failure

REJECTED_STATUSES = frozenset({429, 503})


class StoreCall(msgspec.Struct, frozen=True, kw_only=True):
    """One HTTP call to the store; `timeout` in seconds.

    `waits` marks a long poll, which the store may hold open. A `fresh` call is made on
    a new connection.
    """

    method: str
    path: str
    timeout: float
    body: bytes = b""
    waits: bool = False
    fresh: bool = False


class StoreReply(msgspec.Struct, frozen=True, kw_only=True):
    """Status and body of the store's response to a call."""

    status: int
    body: bytes

    @property
    def rejected(self) -> bool:
        """Return whether the store rejected the call without handling it."""
        return self.status in REJECTED_STATUSES


def unavailable(call: StoreCall, detail: str) -> Failure:
    """Return the failure of a call that got no usable response."""
    path = call.path.partition("?")[0]
    return Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason=f"{path}: {detail}")


class StoreClient(Protocol):
    """Client that makes calls to the store."""

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Make a call; return its reply, or why there is none."""
