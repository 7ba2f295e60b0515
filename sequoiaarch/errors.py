"""Define the kinds of error and the HTTP response of each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec


class NotRun(Enum):
    """Whether it is certain that a failed request was not run, so may be repeated."""

    YES = "true"
    NO = "false"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Kinds of error that callers and operators can see."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    UNAUTHORISED = "unauthorised"
    NOT_FOUND = "not_found"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    HISTORY_CONFLICT = "history_conflict"
    OUT_OF_SEQUENCE = "out_of_sequence"
    KEY_CONFLICT = "key_conflict"
    BUDGET_EXHAUSTED = "budget_exhausted"
    PROGRAM_ENDED = "program_ended"
    PROGRAM_LIMIT = "program_limit"
    OVERLOADED = "overloaded"
    STARTING = "starting"
    STOPPING = "stopping"
    MOVED = "moved"
    NO_TARGET = "no_target"
    NOT_RESUMABLE = "not_resumable"
    TARGETS_LOST = "targets_lost"
    LOG_UNAVAILABLE = "log_unavailable"
    OUTDATED = "outdated"
    LIMIT_UNKNOWN = "limit_unknown"
    SUPERSEDED = "superseded"
    INTERRUPTED = "interrupted"
    OUTCOME_UNKNOWN = "outcome_unknown"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    TARGET_FAILED = "target_failed"
    CONFIG_INVALID = "config_invalid"
    CONFIG_CONFLICT = "config_conflict"
    INTERNAL = "internal"


@dataclass(frozen=True, kw_only=True)
class ErrorResponse:
    """HTTP response of a kind of error; `retry_after` is in seconds."""

    status: int
    not_run: NotRun
    retry_after: float | None = None


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.MALFORMED: ErrorResponse(status=400, not_run=NotRun.YES),
    ErrorKind.TOO_LARGE: ErrorResponse(status=413, not_run=NotRun.YES),
    ErrorKind.UNAUTHORISED: ErrorResponse(status=401, not_run=NotRun.YES),
    ErrorKind.NOT_FOUND: ErrorResponse(status=404, not_run=NotRun.YES),
    ErrorKind.UNKNOWN_MODEL: ErrorResponse(status=404, not_run=NotRun.YES),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(status=404, not_run=NotRun.YES),
    ErrorKind.HISTORY_CONFLICT: ErrorResponse(status=409, not_run=NotRun.YES),
    ErrorKind.OUT_OF_SEQUENCE: ErrorResponse(status=409, not_run=NotRun.YES),
    ErrorKind.KEY_CONFLICT: ErrorResponse(status=409, not_run=NotRun.YES),
    ErrorKind.BUDGET_EXHAUSTED: ErrorResponse(status=402, not_run=NotRun.YES),
    ErrorKind.PROGRAM_ENDED: ErrorResponse(status=410, not_run=NotRun.YES),
    ErrorKind.PROGRAM_LIMIT: ErrorResponse(status=403, not_run=NotRun.YES),
    ErrorKind.OVERLOADED: ErrorResponse(
        status=429, not_run=NotRun.YES, retry_after=1.0
    ),
    ErrorKind.STARTING: ErrorResponse(status=503, not_run=NotRun.YES, retry_after=0.3),
    ErrorKind.STOPPING: ErrorResponse(status=503, not_run=NotRun.YES, retry_after=0.2),
    ErrorKind.MOVED: ErrorResponse(status=503, not_run=NotRun.YES, retry_after=0.2),
    ErrorKind.NO_TARGET: ErrorResponse(status=503, not_run=NotRun.YES, retry_after=1.0),
    ErrorKind.NOT_RESUMABLE: ErrorResponse(
        status=503, not_run=NotRun.YES, retry_after=0.2
    ),
    ErrorKind.TARGETS_LOST: ErrorResponse(
        status=503, not_run=NotRun.YES, retry_after=1.0
    ),
    ErrorKind.LOG_UNAVAILABLE: ErrorResponse(
        status=503, not_run=NotRun.YES, retry_after=2.0
    ),
    ErrorKind.OUTDATED: ErrorResponse(status=503, not_run=NotRun.YES, retry_after=0.2),
    ErrorKind.LIMIT_UNKNOWN: ErrorResponse(
        status=503, not_run=NotRun.YES, retry_after=0.3
    ),
    ErrorKind.SUPERSEDED: ErrorResponse(status=409, not_run=NotRun.NO, retry_after=0.2),
    ErrorKind.INTERRUPTED: ErrorResponse(
        status=502, not_run=NotRun.NO, retry_after=0.2
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(status=502, not_run=NotRun.UNKNOWN),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(status=504, not_run=NotRun.UNKNOWN),
    ErrorKind.TARGET_FAILED: ErrorResponse(status=502, not_run=NotRun.NO),
    ErrorKind.CONFIG_INVALID: ErrorResponse(status=422, not_run=NotRun.YES),
    ErrorKind.CONFIG_CONFLICT: ErrorResponse(status=409, not_run=NotRun.YES),
    ErrorKind.INTERNAL: ErrorResponse(status=500, not_run=NotRun.UNKNOWN),
}


class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """Returned in place of a result, with the kind of error and its reason.

    `not_run` and `retry_after` (seconds) override the defaults of the kind.
    """

    kind: ErrorKind
    reason: str
    field: str | None = None
    not_run: NotRun | None = None
    retry_after: float | None = None
    expected_seq: int | None = None

    @property
    def response(self) -> ErrorResponse:
        """Return the HTTP response of this kind of error."""
        return ERROR_RESPONSES[self.kind]

    @property
    def run_state(self) -> NotRun:
        """Return whether it is certain that the request was not run."""
        return self.not_run or self.response.not_run

    @property
    def retry_delay(self) -> float | None:
        """Return the seconds until a retry, or None if a retry is of no use."""
        if self.retry_after is not None:
            return self.retry_after
        return self.response.retry_after

    def before_dispatch(self) -> Failure:
        """Return this failure for a request that was not yet dispatched.

        Such a request was certainly not run, even if it is unknown whether a record
        about it was appended to the log.
        """
        return msgspec.structs.replace(self, not_run=NotRun.YES)


class FailureError(Exception):
    """Raised to end a request with a failure."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.kind.value}: {failure.reason}")
        self.failure = failure


def fail(kind: ErrorKind, reason: str, **details: object) -> FailureError:
    """Return an exception for a failure of the kind, to be raised by the caller."""
    return FailureError(Failure(kind=kind, reason=reason, **details))  # type: ignore[arg-type]
