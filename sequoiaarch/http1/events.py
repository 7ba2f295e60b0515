"""Parse streams of server-sent events."""

from __future__ import annotations


class EventSplitter:
    """Split a byte stream into complete server-sent events.

    Incomplete events are held back, so that a broken stream can be resumed on
    another target after its last complete event.
    """

    def __init__(self) -> None:
        self._pending = b""

    @property
    def pending(self) -> bytes:
        """Return the bytes of an incomplete event."""
        return self._pending

    def feed(self, data: bytes) -> list[bytes]:
        """Append bytes and return the events that they complete."""
        self._pending += data
        events: list[bytes] = []
        while True:
            end = _event_end(self._pending)
            if end < 0:
                return events
            events.append(self._pending[:end])
            self._pending = self._pending[end:]


def event_data(event: bytes) -> bytes:
    """Return the data of an event, its lines joined by line feeds."""
    lines = []
    for line in event.splitlines():
        if line.startswith(b"data:"):
            value = line[5:]
            lines.append(value[1:] if value.startswith(b" ") else value)
    return b"\n".join(lines)


def _event_end(data: bytes) -> int:
    ends = [
        position + len(separator)
        for separator in (b"\n\n", b"\r\n\r\n")
        if (position := data.find(separator)) >= 0
    ]
    return min(ends) if ends else -1
