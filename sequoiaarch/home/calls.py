"""Follow one call of a program from admission to commit."""

from __future__ import annotations

import asyncio

import msgspec

from ..errors import Failure
from ..ids import CallKey, Seq
from ..wire.messages import CallKind, Chunk, Done

Event = Chunk | Done | Failure


class ActiveCall:
    """Hold a call that runs or was answered lately, for all who ask for it.

    A caller that lost its gateway asks again through another one and gets
    the same answer from its beginning, while the call goes on.
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
        self._followers: list[asyncio.Queue[Event]] = []
        self._done: Done | Failure | None = None
        self._committed: asyncio.Future[Failure | None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def done(self) -> Done | Failure | None:
        """Return how the call ended, or None while it runs."""
        return self._done

    @property
    def kept(self) -> bool:
        """Return whether the log holds the call."""
        return (
            self._committed.done()
            and not self._committed.cancelled()
            and self._committed.result() is None
        )

    def follow(self) -> asyncio.Queue[Event]:
        """Return a queue that gets all events of the call from the first."""
        events: asyncio.Queue[Event] = asyncio.Queue()
        for chunk in self._chunks:
            events.put_nowait(chunk)
        if self._done is not None:
            events.put_nowait(self._done)
        else:
            self._followers.append(events)
        return events

    def emit(self, payload: bytes) -> None:
        """Hand one piece of the answer to all followers."""
        if self._done is not None:
            return
        chunk = Chunk(data=payload)
        self._chunks.append(chunk)
        for follower in self._followers:
            follower.put_nowait(chunk)

    def end(self, done: Done | Failure) -> None:
        """End the call for all followers."""
        if self._done is not None:
            return
        self._done = done
        for follower in self._followers:
            follower.put_nowait(done)
        self._followers.clear()
        # The whole answer stands in `done`; the pieces are not needed again.
        if isinstance(done, Done):
            self._chunks.clear()
            if self.kept:
                self._done = msgspec.structs.replace(done, turn=None)

    def settle(self, failure: Failure | None) -> None:
        """Say that the log holds the call, or why it never will."""
        if not self._committed.done():
            self._committed.set_result(failure)
        if failure is None and isinstance(self._done, Done):
            # The log holds the turn; only the answer may be asked for again.
            self._done = msgspec.structs.replace(self._done, turn=None)

    async def settled(self) -> Failure | None:
        """Wait until the log holds the call, or will not."""
        return await asyncio.shield(self._committed)
