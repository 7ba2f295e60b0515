"""Bridge between the HTTP worker threads and the event loop."""

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

ResultT = TypeVar("ResultT")
ANSWER_GRACE_SECONDS = 30.0  # on top of the deadline of the call

CallEvent = Chunk | Done | Failure
EventQueue = queue.SimpleQueue[CallEvent]


class LoopBridge:
    """Run coroutines on the event loop for HTTP worker threads.

    Closing the bridge fails all pending calls, so that no worker thread blocks the
    shutdown of the process by waiting for a response that will never come.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop, router: Router) -> None:
        self._loop = loop
        self._router = router
        self._lock = threading.Lock()
        self._closed = False
        self._event_queues: set[EventQueue] = set()
        self._futures: set[Future[Any]] = set()

    def close(self) -> None:
        """Fail all pending calls and refuse new ones."""
        with self._lock:
            self._closed = True
            event_queues = list(self._event_queues)
            futures = list(self._futures)
        for event_queue in event_queues:
            event_queue.put(_stopping_failure(NotRun.UNKNOWN))
        for future in futures:
            future.cancel()

    def run_coroutine(
        self, coroutine: Coroutine[Any, Any, ResultT], timeout: float = 60.0
    ) -> ResultT:
        """Run a coroutine on the event loop and return its result."""
        with self._lock:
            if self._closed:
                coroutine.close()
                raise FailureError(_stopping_failure(NotRun.YES))
            future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
            self._futures.add(future)
        try:
            return future.result(timeout)
        except TimeoutError:
            future.cancel()
            failure = Failure(
                kind=ErrorKind.DEADLINE_EXCEEDED,
                reason=f"not completed within {timeout} s",
            )
            raise FailureError(failure) from None
        except CancelledError:
            raise FailureError(_stopping_failure(NotRun.UNKNOWN)) from None
        finally:
            with self._lock:
                self._futures.discard(future)

    def stream_call(self, call: CallRequest, *, may_exist: bool) -> Iterator[CallEvent]:
        """Run a call and yield its events; the last one is Done or a Failure."""
        events: EventQueue = queue.SimpleQueue()
        with self._lock:
            if self._closed:
                yield _stopping_failure(NotRun.YES)
                return
            self._event_queues.add(events)
            coroutine = self._run(call, events, may_exist)
            asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        try:
            yield from _events_until_final(events, call.deadline + ANSWER_GRACE_SECONDS)
        finally:
            with self._lock:
                self._event_queues.discard(events)

    async def _run(
        self, call: CallRequest, events: EventQueue, may_exist: bool
    ) -> None:
        """Run a call and make sure that its queue gets a final event."""
        try:
            await self._router.run(call, events.put, may_exist=may_exist)
        except asyncio.CancelledError:
            events.put(_stopping_failure(NotRun.UNKNOWN))
            raise
        except Exception as error:
            log.exception("Unhandled error in a call of program {}.", call.program)
            events.put(Failure(kind=ErrorKind.INTERNAL, reason=repr(error)))


def _events_until_final(events: EventQueue, timeout: float) -> Iterator[CallEvent]:
    while True:
        try:
            event = events.get(timeout=timeout)
        except queue.Empty:
            yield Failure(kind=ErrorKind.DEADLINE_EXCEEDED, reason="no answer in time")
            return
        yield event
        if not isinstance(event, Chunk):
            return


def _stopping_failure(not_run: NotRun) -> Failure:
    kind = ErrorKind.STOPPING if not_run is NotRun.YES else ErrorKind.OUTCOME_UNKNOWN
    return Failure(kind=kind, reason="the gateway is stopping", not_run=not_run)
