"""Write structured lines without ever holding up the process."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from collections import deque
from collections.abc import Callable, Iterator

import logbook
import msgspec

# A gateway answers about 100 requests a second at its peak, with a line each.
# Beyond this rate lines are left out and counted. Lines a second.
LINE_RATE = 300.0
LINE_BURST = 600.0
# What a reader of the output may be behind before lines are dropped. Bytes.
BUFFER_BYTES = 512 * 1024
FLUSH_SECONDS = 0.05
PIPE_BYTES = 64 * 1024

Value = str | int | float | bool | None | list[str]


class EventLog:
    """Collect lines of JSON and write them when the descriptor takes them.

    A log that blocks stops every request of the process when whoever reads it
    is slow. Lines that don't fit are dropped; the next one says how many.
    """

    def __init__(
        self,
        *,
        write: Callable[[bytes], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._write = write
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._tokens = LINE_BURST
        self._filled = clock()
        self._omitted = 0

    @property
    def omitted(self) -> int:
        """Return the lines left out since the last one that was kept."""
        return self._omitted

    def emit(self, event: str, **fields: Value) -> None:
        """Add a line; `time` is the process's own time of day."""
        if not self._admit():
            self._omitted += 1
            return
        line: dict[str, Value] = {"time": round(time.time(), 4), "event": event}
        if self._omitted:
            line["omitted"] = self._omitted
            self._omitted = 0
        line.update(fields)
        data = msgspec.json.encode(line) + b"\n"
        self._lines.append(data)
        self._size += len(data)

    def flush(self) -> None:
        """Write what the descriptor takes."""
        while self._lines:
            chunk = self._chunk()
            written = self._write(chunk)
            self._size -= written
            if written < len(chunk):
                self._lines.appendleft(chunk[written:])
                return

    async def run(self) -> None:
        """Write lines again and again."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()

    def _chunk(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while self._lines and size < PIPE_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        return b"".join(parts)

    def _admit(self) -> bool:
        now = self._clock()
        gained = (now - self._filled) * LINE_RATE
        self._tokens = min(LINE_BURST, self._tokens + gained)
        self._filled = now
        if self._tokens < 1 or self._size > BUFFER_BYTES:
            return False
        self._tokens -= 1
        return True


class EventHandler(logbook.Handler):
    """Pass the log lines of all parts on to the event log."""

    def __init__(self, *, events: EventLog) -> None:
        super().__init__(level=logbook.INFO)
        self._events = events

    def emit(self, record: logbook.LogRecord) -> None:
        """Add a line for a record."""
        fields: dict[str, Value] = {
            "level": record.level_name.lower(),
            "message": record.message,
        }
        if record.exc_info:
            fields["exception"] = record.formatted_exception
        self._events.emit(record.channel, **fields)


def write_or_skip(descriptor: int) -> Callable[[bytes], int]:
    """Return a function that writes to a descriptor what fits, or nothing."""
    os.set_blocking(descriptor, False)

    def write(data: bytes) -> int:
        try:
            return os.write(descriptor, data)
        except BlockingIOError:
            return 0

    return write


@contextlib.contextmanager
def events_to(descriptor: int) -> Iterator[EventLog]:
    """Send all log lines of the process to a descriptor."""
    events = EventLog(write=write_or_skip(descriptor))
    with EventHandler(events=events).applicationbound():
        try:
            yield events
        finally:
            events.flush()
