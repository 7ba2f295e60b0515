"""Share the events of one call between callers, from admission to commit."""

from __future__ import annotations

import asyncio

import msgspec

from ..errors import Failure
from ..ids import CallKey, Seq
from ..wire.messages import CallKind, Chunk, Done

Event = Chunk | Done | Failure


class ActiveCall:
    """Call that is running or was answered recently.

    A caller whose gateway failed can repeat its request through another one and
    receives the same answer from the start.
    """

    def __init__(
        self,
        *,
        kind: CallKind,
        fingerprint: str,
        seq: Seq | None,
        key: CallKey | None,
    ) -> None:
        self.kind = kind
        self.fingerprint = fingerprint
        self.seq = seq
        self.key = key
        self._chunks: list[Chunk] = []
        self._subscribers: list[asyncio.Queue[Event]] = []
        self._done: Done | Failure | None = None
        self._commit_result: asyncio.Future[Failure | None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def done(self) -> Done | Failure | None:
        """Return the result of the call, or None while it runs."""
        return self._done

    @property
    def committed(self) -> bool:
        """Return whether the call is committed to the log."""
        return (
            self._commit_result.done()
            and not self._commit_result.cancelled()
            and self._commit_result.result() is None
        )

    def subscribe(self) -> asyncio.Queue[Event]:
        """Return a queue that receives all events of the call from the first."""
        events: asyncio.Queue[Event] = asyncio.Queue()
        for chunk in self._chunks:
            events.put_nowait(chunk)
        if self._done is not None:
            events.put_nowait(self._done)
        else:
            self._subscribers.append(events)
        return events

    def emit(self, payload: bytes) -> None:
        """Send one chunk of the answer to all subscribers."""
        if self._done is not None:
            return
        chunk = Chunk(data=payload)
        self._chunks.append(chunk)
        for subscriber in self._subscribers:
            subscriber.put_nowait(chunk)

    def end(self, done: Done | Failure) -> None:
        """End the call and send its result to all subscribers."""
        if self._done is not None:
            return
        self._done = done
        for subscriber in self._subscribers:
            subscriber.put_nowait(done)
        self._subscribers.clear()
        # `done` holds the complete answer, so the chunks can be freed.
        if isinstance(done, Done):
            self._chunks.clear()
            if self.committed:
                self._done = msgspec.structs.replace(done, turn=None)

    def resolve_commit(self, failure: Failure | None) -> None:
        """Record that the call is committed, or why it never will be."""
        if not self._commit_result.done():
            self._commit_result.set_result(failure)
        if failure is None and isinstance(self._done, Done):
            # The turn is in the log, so only the answer is still needed.
            self._done = msgspec.structs.replace(self._done, turn=None)

    async def wait_committed(self) -> Failure | None:
        """Wait until the call is committed; return a failure if it never will be."""
        return await asyncio.shield(self._commit_result)
