"""Encode failures as JSON error responses."""

from __future__ import annotations

import msgspec

from ..errors import Failure, NotRun
from ..records.types import CallAnswer


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of an error response; `error` repeats it in the OpenAI format."""

    kind: str
    reason: str
    not_run: bool | str
    field: str | None = None
    retry_after: float | None = None
    expected_seq: int | None = None
    error: dict[str, str | None] = {}


def error_body(failure: Failure) -> ErrorBody:
    """Return the error body of a failure."""
    run_state = failure.run_state
    not_run: bool | str = run_state is NotRun.YES
    if run_state is NotRun.UNKNOWN:
        not_run = NotRun.UNKNOWN.value
    return ErrorBody(
        kind=failure.kind.value,
        reason=failure.reason,
        not_run=not_run,
        field=failure.field,
        retry_after=failure.retry_delay,
        expected_seq=failure.expected_seq,
        error={
            "message": failure.reason,
            "type": failure.kind.value,
            "param": failure.field,
            "code": failure.kind.value,
        },
    )


def error_answer(failure: Failure) -> CallAnswer:
    """Return the complete error response for a failure."""
    body = msgspec.json.encode(error_body(failure))
    return CallAnswer(status=failure.response.status, body=body)
