"""Split a stream of server-sent events into whole events."""

from __future__ import annotations


class EventSplitter:
    """Collect bytes and return whole events.

    A target may break off in the middle of an event. Only whole ones are
    passed on, so that a stream can be continued elsewhere at its last event.
    """

    def __init__(self) -> None:
        self._pending = b""

    @property
    def pending(self) -> bytes:
        """Return the bytes of an event that has not ended."""
        return self._pending

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes and return the events that they complete."""
        self._pending += data
        events: list[bytes] = []
        while True:
            end = _event_end(self._pending)
            if end < 0:
                return events
            events.append(self._pending[:end])
            self._pending = self._pending[end:]


def event_data(event: bytes) -> bytes:
    """Return the data of an event; several lines are joined by line feeds."""
    lines = []
    for line in event.splitlines():
        if line.startswith(b"data:"):
            value = line[5:]
            lines.append(value[1:] if value.startswith(b" ") else value)
    return b"\n".join(lines)


def _event_end(data: bytes) -> int:
    ends = [
        place + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (place := data.find(mark)) >= 0
    ]
    return min(ends) if ends else -1
