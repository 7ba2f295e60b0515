"""Tracing of calls across processes by W3C trace context."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace import (
    Span,
    format_span_id,
    format_trace_id,
    set_span_in_context,
)
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from ..wire.messages import SpanData

MAX_SPANS = 4096
TRACEPARENT = "traceparent"


class _SpanBuffer(SpanExporter):
    """Span exporter that keeps the latest spans in memory."""

    def __init__(self) -> None:
        self.spans: deque[ReadableSpan] = deque(maxlen=MAX_SPANS)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Add ended spans to the buffer."""
        self.spans.extend(spans)
        return SpanExportResult.SUCCESS


class Tracing:
    """Start spans and return those that ended in this process."""

    def __init__(self, *, name: str) -> None:
        self._buffer = _SpanBuffer()
        resource = Resource({"service.name": name})
        self._provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        self._provider.add_span_processor(SimpleSpanProcessor(self._buffer))
        self._tracer = self._provider.get_tracer("sequoiaarch")
        self._propagator = TraceContextTextMapPropagator()
        self._name = name

    def start(self, name: str, parent: str, **attributes: str | int) -> Span:
        """Start a span whose parent is given by a traceparent header, if any."""
        context = self._propagator.extract({TRACEPARENT: parent} if parent else {})
        span = self._tracer.start_span(name, context=context)
        span.set_attribute("process", self._name)
        for key, value in attributes.items():
            span.set_attribute(key, value)
        return span

    def traceparent(self, span: Span) -> str:
        """Return the traceparent header value of a span."""
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, set_span_in_context(span, Context()))
        return carrier.get(TRACEPARENT, "")

    def spans(self, trace_id: str) -> list[SpanData]:
        """Return the ended spans of a trace in this process."""
        ended_spans = [span for span in list(self._buffer.spans) if span.context]
        return [
            _span_data(span)
            for span in ended_spans
            if format_trace_id(span.context.trace_id) == trace_id
        ]


def trace_id_of(traceparent: str) -> str:
    """Return the trace id of a traceparent header, or an empty text."""
    parts = traceparent.split("-")
    return parts[1] if len(parts) == 4 else ""


def _span_data(span: ReadableSpan) -> SpanData:
    parent = format_span_id(span.parent.span_id) if span.parent else None
    return SpanData(
        trace_id=format_trace_id(span.context.trace_id),
        span_id=format_span_id(span.context.span_id),
        parent_id=parent,
        name=span.name,
        start=span.start_time or 0,
        end=span.end_time or 0,
        attributes={key: str(value) for key, value in (span.attributes or {}).items()},
    )


def render_tree(spans: list[SpanData]) -> list[str]:
    """Return the spans as an indented tree, ordered by start time."""
    span_ids = {span.span_id for span in spans}
    children: dict[str | None, list[SpanData]] = {}
    for span in sorted(spans, key=lambda span: span.start):
        parent = span.parent_id if span.parent_id in span_ids else None
        children.setdefault(parent, []).append(span)
    lines: list[str] = []
    _render_children(children, None, 0, lines)
    return lines


def _render_children(
    children: dict[str | None, list[SpanData]],
    parent: str | None,
    depth: int,
    lines: list[str],
) -> None:
    for span in children.get(parent, []):
        milliseconds = (span.end - span.start) / 1e6
        notes = " ".join(f"{key}={value}" for key, value in span.attributes.items())
        lines.append(f"{'  ' * depth}{span.name} {milliseconds:.1f} ms  {notes}")
        _render_children(children, span.span_id, depth + 1, lines)
