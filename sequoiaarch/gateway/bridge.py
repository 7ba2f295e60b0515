"""Let the threads that answer HTTP use the event loop."""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Coroutine, Iterator
from concurrent.futures import CancelledError, Future
from typing import Any, TypeVar

import logbook

from ..errors import ErrorKind, Failure, FailureError, NotRun
from ..wire.messages import CallRequest, Chunk, Done
from .router import Router

log = logbook.Logger("gateway")

T = TypeVar("T")
GRACE = 30.0

Event = Chunk | Done | Failure
Events = queue.SimpleQueue[Event]


class Bridge:
    """Run coroutines of the event loop from other threads.

    Closing it ends every wait: what would have answered is gone by then, and
    a thread that waits on holds up the stop of the whole process.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop, router: Router) -> None:
        self._loop = loop
        self._router = router
        self._lock = threading.Lock()
        self._closed = False
        self._waiting: set[Events] = set()
        self._futures: set[Future[Any]] = set()

    def close(self) -> None:
        """End all waits; calls that come later are refused."""
        with self._lock:
            self._closed = True
            waiting = list(self._waiting)
            futures = list(self._futures)
        for events in waiting:
            events.put(_stopped(NotRun.UNKNOWN))
        for future in futures:
            future.cancel()

    def wait(self, work: Coroutine[Any, Any, T], timeout: float = 60.0) -> T:
        """Run a coroutine in the loop and return its result."""
        with self._lock:
            if self._closed:
                work.close()
                raise FailureError(_stopped(NotRun.YES))
            future = asyncio.run_coroutine_threadsafe(work, self._loop)
            self._futures.add(future)
        try:
            return future.result(timeout)
        except TimeoutError:
            future.cancel()
            failure = Failure(
                kind=ErrorKind.DEADLINE_EXCEEDED, reason=f"not done in {timeout} s"
            )
            raise FailureError(failure) from None
        except CancelledError:
            raise FailureError(_stopped(NotRun.UNKNOWN)) from None
        finally:
            with self._lock:
                self._futures.discard(future)

    def events(self, call: CallRequest, *, known: bool) -> Iterator[Event]:
        """Run a call and yield its events; the last is Done or a Failure."""
        events: Events = queue.SimpleQueue()
        with self._lock:
            if self._closed:
                yield _stopped(NotRun.YES)
                return
            self._waiting.add(events)
            work = self._run(call, events, known)
            asyncio.run_coroutine_threadsafe(work, self._loop)
        try:
            yield from _until_last(events, call.deadline + GRACE)
        finally:
            with self._lock:
                self._waiting.discard(events)

    async def _run(self, call: CallRequest, events: Events, known: bool) -> None:
        """Run a call; whatever ends it, its caller is told."""
        try:
            await self._router.run(call, events.put, known=known)
        except asyncio.CancelledError:
            events.put(_stopped(NotRun.UNKNOWN))
            raise
        except Exception as error:
            log.exception("A call of {} failed.", call.program)
            events.put(Failure(kind=ErrorKind.INTERNAL, reason=repr(error)))


def _until_last(events: Events, timeout: float) -> Iterator[Event]:
    while True:
        try:
            event = events.get(timeout=timeout)
        except queue.Empty:
            yield Failure(kind=ErrorKind.DEADLINE_EXCEEDED, reason="no answer in time")
            return
        yield event
        if not isinstance(event, Chunk):
            return


def _stopped(not_run: NotRun) -> Failure:
    kind = ErrorKind.STOPPING if not_run is NotRun.YES else ErrorKind.OUTCOME_UNKNOWN
    return Failure(kind=kind, reason="this host stops", not_run=not_run)
