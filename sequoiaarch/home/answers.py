"""Write the JSON body that tells a caller of an error."""

from __future__ import annotations

import msgspec

from ..errors import Failure, NotRun
from ..records.types import CallAnswer


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Tell what went wrong; `error` repeats it as usual clients expect."""

    kind: str
    reason: str
    not_run: bool | str
    field: str | None = None
    retry_after: float | None = None
    expected_seq: int | None = None
    error: dict[str, str | None] = {}


def error_body(failure: Failure) -> ErrorBody:
    """Return the body for a failure."""
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
    """Return the whole answer for a failure."""
    body = msgspec.json.encode(error_body(failure))
    return CallAnswer(status=failure.response.status, body=body)
