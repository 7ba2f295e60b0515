"""HTTP responses: JSON, server-sent events and errors."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from opentelemetry.trace import Span
from werkzeug.exceptions import HTTPException
from werkzeug.wrappers import Response

from ..errors import ErrorKind, Failure
from ..home.answers import error_body
from ..home.chat import replay_events
from ..wire.messages import Chunk
from .bridge import CallEvent

EMPTY_CHOICES = b'"choices":[]'


def end_span(span: Span, failure: Failure | None) -> None:
    """Record the result of a call in its span and end the span."""
    span.set_attribute("result", failure.kind.value if failure else "answered")
    span.end()


def event_stream(
    first: CallEvent, events: Iterator[CallEvent], span: Span, wants_usage: bool
) -> Iterator[bytes]:
    """Yield the events of a call as server-sent events."""
    chunk_count = 0
    event: CallEvent = first
    while isinstance(event, Chunk):
        chunk_count += 1
        if wants_usage or EMPTY_CHOICES not in event.data:
            yield b"data: " + event.data + b"\n\n"
        event = next(events)
    if isinstance(event, Failure):
        end_span(span, event)
        yield b"data: " + msgspec.json.encode(error_body(event)) + b"\n\n"
        return
    if chunk_count == 0 and event.answer is not None:
        # A repeated call returns the recorded answer without chunks.
        for payload in replay_events(event.answer.body):
            yield b"data: " + payload + b"\n\n"
    end_span(span, None)
    committed = b"true" if event.committed else b"false"
    yield b": seq %d committed %s\n\n" % (event.seq, committed)
    yield b"data: [DONE]\n\n"


def http_failure(error: HTTPException) -> Failure:
    """Return the failure for a request that matches no route."""
    kind = ErrorKind.NOT_FOUND
    if error.code != 404:
        kind = ErrorKind.MALFORMED
    return Failure(kind=kind, reason=error.description or error.name)


def json_response(value: object, status: int = 200) -> Response:
    """Return a JSON response."""
    body = msgspec.json.encode(value)
    return Response(body, status=status, mimetype="application/json")


def error_response(failure: Failure) -> Response:
    """Return the error response for a failure."""
    response = json_response(error_body(failure), failure.response.status)
    if failure.retry_delay is not None:
        response.headers["Retry-After"] = str(max(1, round(failure.retry_delay)))
    return response
