"""Track how far clients have taken the responses that were written for them."""

from __future__ import annotations

import errno
from enum import Enum

import msgspec

CLIENT_ERRORS = (errno.ECONNRESET, errno.EPIPE)


class EndedBy(Enum):
    """Who ended a connection before its response was delivered."""

    CLIENT = "client"
    SERVER = "gateway"
    KERNEL = "kernel"


class UndeliveredResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A connection that ended before its response was delivered.

    `written` and `undelivered` are in bytes, the latter as far as the kernel tells.
    `stalled` is the time since the client took or was sent something, in seconds.
    """

    request: str
    ended_by: EndedBy
    reason: str
    written: int
    undelivered: int
    stalled: float


class Delivery:
    """Progress of the response to the latest request of a connection."""

    def __init__(self) -> None:
        self.request = ""
        self.written = 0
        self.responses = 0
        self._ended_by: EndedBy | None = None
        self._reason = ""
        self._undelivered = 0
        self._progress_at = 0.0

    def begin(self) -> None:
        """Start with the next request of the connection."""
        self.request = ""
        self.responses += 1
        self.written = 0

    def wrote(self, size: int, now: float) -> None:
        """Count bytes of the response."""
        self.written += size
        self._progress_at = now

    def observe(self, undelivered: int, now: float) -> None:
        """Record how many bytes the client has not taken yet."""
        if undelivered != self._undelivered:
            self._undelivered, self._progress_at = undelivered, now

    def stalled(self, now: float) -> float:
        """Return the seconds since the client took or was sent something."""
        return now - self._progress_at if self._undelivered else 0.0

    def end(self, ended_by: EndedBy, reason: str) -> None:
        """Record why the connection ends; the first reason counts."""
        if self._ended_by is None:
            self._ended_by, self._reason = ended_by, reason

    def end_with(self, error: Exception) -> None:
        """Record the error with which the kernel ended the connection."""
        by_client = isinstance(error, OSError) and error.errno in CLIENT_ERRORS
        self.end(EndedBy.CLIENT if by_client else EndedBy.KERNEL, repr(error))

    def undelivered_response(self, now: float) -> UndeliveredResponse:
        """Return the record of a response that was not delivered."""
        return UndeliveredResponse(
            request=self.request,
            ended_by=self._ended_by or EndedBy.SERVER,
            reason=self._reason,
            written=self.written,
            undelivered=self._undelivered,
            stalled=round(self.stalled(now), 3),
        )
