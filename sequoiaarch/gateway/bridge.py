"""Let the threads that answer HTTP use the event loop."""

from __future__ import annotations

import asyncio
import queue
from collections.abc import Coroutine, Iterator
from typing import Any, TypeVar

from ..errors import ErrorKind, Failure, FailureError
from ..wire.messages import CallRequest, Chunk, Done
from .router import Router

T = TypeVar("T")
GRACE = 30.0

Event = Chunk | Done | Failure


class Bridge:
    """Run coroutines of the event loop from other threads."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop, router: Router) -> None:
        self._loop = loop
        self._router = router

    def wait(self, work: Coroutine[Any, Any, T], timeout: float = 60.0) -> T:
        """Run a coroutine in the loop and return its result."""
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        try:
            return future.result(timeout)
        except TimeoutError:
            future.cancel()
            failure = Failure(
                kind=ErrorKind.DEADLINE_EXCEEDED, reason=f"not done in {timeout} s"
            )
            raise FailureError(failure) from None

    def events(self, call: CallRequest, *, known: bool) -> Iterator[Event]:
        """Run a call and yield its events; the last is Done or a Failure."""
        events: queue.SimpleQueue[Event] = queue.SimpleQueue()
        work = self._router.run(call, events.put, known=known)
        asyncio.run_coroutine_threadsafe(work, self._loop)
        while True:
            try:
                event = events.get(timeout=call.deadline + GRACE)
            except queue.Empty:
                yield Failure(
                    kind=ErrorKind.DEADLINE_EXCEEDED, reason="no answer in time"
                )
                return
            yield event
            if not isinstance(event, Chunk):
                return
