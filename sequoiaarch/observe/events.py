"""Structured logging that never blocks the process."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from collections import deque
from collections.abc import Callable, Iterator

import logbook
import msgspec

# Lines per second, and the burst in lines; lines beyond the rate are dropped. A gateway
# answers about 100 requests a second at its peak, with a line each.
LINE_RATE = 300.0
LINE_BURST = 600.0
# Bytes buffered for a slow reader before lines are dropped.
BUFFER_BYTES = 512 * 1024
FLUSH_INTERVAL = 0.05
# Bytes; the default capacity of a pipe on Linux.
MAX_WRITE_BYTES = 64 * 1024

Value = str | int | float | bool | None | list[str]


class EventLog:
    """Buffer JSON lines and write them without blocking.

    A slow reader must not block requests: lines beyond the rate limit or the buffer
    are dropped, and the next line has their number in `omitted`.
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
        self._buffered_bytes = 0
        self._tokens = LINE_BURST
        self._refilled_at = clock()
        self._omitted = 0

    @property
    def omitted(self) -> int:
        """Return the number of lines dropped since the last buffered one."""
        return self._omitted

    def emit(self, event: str, **fields: Value) -> None:
        """Buffer a line with the current Unix time in `time`."""
        if not self._take_token():
            self._omitted += 1
            return
        line: dict[str, Value] = {"time": round(time.time(), 4), "event": event}
        if self._omitted:
            line["omitted"] = self._omitted
            self._omitted = 0
        line.update(fields)
        data = msgspec.json.encode(line) + b"\n"
        self._lines.append(data)
        self._buffered_bytes += len(data)

    def flush(self) -> None:
        """Write as much of the buffer as the writer accepts."""
        while self._lines:
            chunk = self._next_chunk()
            written = self._write(chunk)
            self._buffered_bytes -= written
            if written < len(chunk):
                self._lines.appendleft(chunk[written:])
                return

    async def run(self) -> None:
        """Flush the buffer periodically."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL)
            self.flush()

    def _next_chunk(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        return b"".join(parts)

    def _take_token(self) -> bool:
        now = self._clock()
        refill = (now - self._refilled_at) * LINE_RATE
        self._tokens = min(LINE_BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1 or self._buffered_bytes > BUFFER_BYTES:
            return False
        self._tokens -= 1
        return True


class EventHandler(logbook.Handler):
    """Logbook handler that writes records to an event log."""

    def __init__(self, *, events: EventLog) -> None:
        super().__init__(level=logbook.INFO)
        self._events = events

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a log record as an event named by its channel."""
        fields: dict[str, Value] = {
            "level": record.level_name.lower(),
            "message": record.message,
        }
        if record.exc_info:
            fields["exception"] = record.formatted_exception
        self._events.emit(record.channel, **fields)


def nonblocking_writer(descriptor: int) -> Callable[[bytes], int]:
    """Return a function that writes to a descriptor without blocking."""
    os.set_blocking(descriptor, False)

    def write(data: bytes) -> int:
        try:
            return os.write(descriptor, data)
        except BlockingIOError:
            return 0

    return write


@contextlib.contextmanager
def events_written_to(descriptor: int) -> Iterator[EventLog]:
    """Write all log records of the process to a descriptor."""
    events = EventLog(write=nonblocking_writer(descriptor))
    with EventHandler(events=events).applicationbound():
        try:
            yield events
        finally:
            events.flush()
