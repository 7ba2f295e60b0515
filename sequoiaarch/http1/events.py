"""Parse streams of server-sent events."""

from __future__ import annotations

# Bytes of an incomplete event, and pieces in which it arrives.
MAX_EVENT_BYTES = 1024 * 1024
MAX_EVENT_PIECES = 4096
# Longest separator of events.
SEPARATOR_BYTES = 4


class EventTooLongError(ValueError):
    """An event has not ended within the limits."""


class EventSplitter:
    """Split a byte stream into complete server-sent events.

    Incomplete events are held back, so that a broken stream can be resumed on
    another target after its last complete event.
    """

    def __init__(self) -> None:
        self._pending = bytearray()
        self._pieces = 0

    @property
    def pending(self) -> bytes:
        """Return the bytes of an incomplete event."""
        return bytes(self._pending)

    @property
    def pending_bytes(self) -> int:
        """Return the number of bytes of an incomplete event."""
        return len(self._pending)

    def feed(self, data: bytes) -> list[bytes]:
        """Append bytes and return the events that they complete.

        Raises EventTooLongError if an event exceeds the limits.
        """
        # What was searched before holds no whole separator.
        searched = max(0, len(self._pending) - SEPARATOR_BYTES + 1)
        self._pending += data
        self._pieces += 1
        events: list[bytes] = []
        begin = 0
        while (end := _event_end(self._pending, max(begin, searched))) >= 0:
            events.append(bytes(self._pending[begin:end]))
            begin = end
        del self._pending[:begin]
        if events:
            self._pieces = 1
        if len(self._pending) > MAX_EVENT_BYTES or self._pieces > MAX_EVENT_PIECES:
            raise EventTooLongError(
                f"an event has more than {len(self._pending)} bytes"
            )
        return events


def event_data(event: bytes) -> bytes:
    """Return the data of an event, its lines joined by line feeds."""
    lines = []
    for line in event.splitlines():
        if line.startswith(b"data:"):
            value = line[5:]
            lines.append(value[1:] if value.startswith(b" ") else value)
    return b"\n".join(lines)


def _event_end(data: bytearray, begin: int) -> int:
    ends = [
        position + len(separator)
        for separator in (b"\n\n", b"\r\n\r\n")
        if (position := data.find(separator, begin)) >= 0
    ]
    return min(ends) if ends else -1
