"""Access model engines and services over HTTP."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from ..connection_pool import connection_pool, timeouts
from ..errors import ErrorKind, Failure, NotRun
from ..ids import AttemptId, Epoch, ProgramId
from ..mailbox import Mailbox
from .interfaces import (
    CacheEvent,
    CacheListing,
    Emit,
    EngineAnswer,
    EngineLoad,
    EngineOrder,
    EngineRequest,
    ServiceAnswer,
    ServiceRequest,
)

CONTROL_TIMEOUT = 5.0
IDLE_TIMEOUT = 60.0
MAX_RESUMES = 3
RESUME_DELAY = 0.05
EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
END_OF_STREAM = b"[DONE]"


class _PromptDetails(msgspec.Struct):
    """Number of prompt tokens that were in the prefix cache."""

    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    """Token counts of a request, as the engine reports them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails | None = None


class _UsageChunk(msgspec.Struct):
    """The usage field of a stream event."""

    usage: _Usage | None = None


class _StreamTruncated(Exception):
    """Raised when a stream ends without its end marker."""


class HttpEngine:
    """Engine with an API for chat completions and for control of its cache."""

    def __init__(self, *, url: str, threads: int) -> None:
        self._url = url.rstrip("/")
        self._pool = connection_pool(threads)
        self._stream_threads = ThreadPoolExecutor(threads, thread_name_prefix="engine")
        self._control_threads = ThreadPoolExecutor(4, thread_name_prefix="control")
        self._mailbox: Mailbox | None = None

    async def complete(
        self, request: EngineRequest, emit: Emit
    ) -> EngineAnswer | Failure:
        """Run a request and emit the payload of each event in order."""
        loop = asyncio.get_running_loop()
        if self._mailbox is None or self._mailbox.loop is not loop:
            self._mailbox = Mailbox(loop=loop)
        mailbox = self._mailbox

        def emit_in_loop(data: bytes) -> None:
            mailbox.post(emit, data)

        run = loop.run_in_executor(
            self._stream_threads, self._complete, request, emit_in_loop
        )
        try:
            return await asyncio.shield(run)
        except asyncio.CancelledError:
            await self.cancel(request.attempt)
            raise

    def _complete(self, request: EngineRequest, emit: Emit) -> EngineAnswer | Failure:
        usage = _Usage()
        sent = 0
        resumes = 0
        deadline = time.monotonic() + request.timeout
        while True:
            try:
                for payload in self._stream_payloads(
                    request, sent, resumes > 0, deadline
                ):
                    if payload == END_OF_STREAM:
                        return _engine_answer(usage)
                    if b'"usage"' in payload:
                        usage = _read_usage(payload) or usage
                    emit(payload)
                    sent += 1
                raise _StreamTruncated("the stream ended early")
            except _RequestRejected as rejection:
                return rejection.failure
            except (NewConnectionError, ConnectTimeoutError) as error:
                if sent == 0 and resumes == 0:
                    return _error_failure(ErrorKind.TARGET_FAILED, error, NotRun.YES)
                reason: Exception = error
            except ReadTimeoutError as error:
                if time.monotonic() >= deadline:
                    return _error_failure(ErrorKind.DEADLINE_EXCEEDED, error, NotRun.NO)
                reason = error
            except (HTTPError, OSError, _StreamTruncated) as error:
                reason = error
            resumes += 1
            if resumes > MAX_RESUMES or time.monotonic() >= deadline:
                return _error_failure(ErrorKind.TARGET_FAILED, reason, NotRun.NO)
            time.sleep(RESUME_DELAY)

    def _stream_payloads(
        self, request: EngineRequest, sent: int, resume: bool, deadline: float
    ) -> Iterator[bytes]:
        read_timeout = max(0.01, min(IDLE_TIMEOUT, deadline - time.monotonic()))
        limits = timeouts(read_timeout)
        headers = {
            "Content-Type": "application/json",
            "X-Cache-Key": request.program,
            "X-Stream-Id": request.attempt,
            "X-Fencing": str(request.epoch),
            "traceparent": request.trace,
        }
        if resume:
            path = f"/v1/streams/{request.attempt}?from={sent}"
            response = self._pool.request(
                "GET",
                self._url + path,
                headers=headers,
                timeout=limits,
                preload_content=False,
            )
        else:
            response = self._pool.request(
                "POST",
                self._url + request.path,
                body=request.body,
                headers=headers,
                timeout=limits,
                preload_content=False,
            )
        if response.status != 200:
            raise _RequestRejected(
                _rejection_failure(response.status, response.read(4096))
            )
        finished = False
        try:
            for payload in _payloads(response):
                finished = payload == END_OF_STREAM
                yield payload
        finally:
            if finished:
                response.drain_conn()
                response.release_conn()
            else:
                response.close()

    async def cancel(self, attempt: AttemptId) -> None:
        """Cancel a stream whose answer is no longer needed."""
        await self._control_request("DELETE", f"/v1/streams/{attempt}")

    async def listing(self) -> CacheListing | Failure:
        """Return the current contents of the prefix cache."""
        response = await self._control_request("GET", "/v1/cache")
        if isinstance(response, Failure):
            return response
        return msgspec.json.decode(response, type=CacheListing)

    async def events(self, start: int) -> list[CacheEvent] | Failure:
        """Return the cache events published so far, from number `start` on."""
        response = await self._control_request("GET", f"/v1/cache/events?from={start}")
        if isinstance(response, Failure):
            return response
        return msgspec.json.decode(response, type=list[CacheEvent])

    async def free(self, program: ProgramId) -> bool:
        """Delete the cached and exported prefix of a program."""
        response = await self._control_request("DELETE", f"/v1/cache/{program}")
        return not isinstance(response, Failure)

    async def export(self, program: ProgramId) -> bool:
        """Move a prefix out of engine memory; return False if it is not cached."""
        response = await self._control_request("POST", f"/v1/cache/{program}/export")
        return not isinstance(response, Failure)

    async def import_(self, program: ProgramId) -> bool:
        """Move a prefix back to engine memory; return False if it is not exported."""
        response = await self._control_request("POST", f"/v1/cache/{program}/import")
        return not isinstance(response, Failure)

    async def load(self) -> EngineLoad | Failure:
        """Return the load that the engine reported last."""
        response = await self._control_request("GET", "/v1/load")
        if isinstance(response, Failure):
            return response
        return msgspec.json.decode(response, type=EngineLoad)

    async def order(self, order: EngineOrder, epoch: Epoch) -> Failure | None:
        """Send an order with a fencing token; return why it failed, or None."""
        body = msgspec.json.encode(order)
        response = await self._control_request("POST", "/v1/orders", body, epoch)
        return response if isinstance(response, Failure) else None

    async def _control_request(
        self, method: str, path: str, body: bytes | None = None, epoch: int = 0
    ) -> bytes | Failure:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self._control_threads,
            self._control_request_blocking,
            method,
            path,
            body,
            epoch,
        )

    def _control_request_blocking(
        self, method: str, path: str, body: bytes | None, epoch: int
    ) -> bytes | Failure:
        limits = timeouts(CONTROL_TIMEOUT)
        headers = {"X-Fencing": str(epoch)}
        try:
            response = self._pool.request(
                method, self._url + path, body=body, headers=headers, timeout=limits
            )
        except HTTPError as error:
            return _error_failure(ErrorKind.TARGET_FAILED, error, NotRun.UNKNOWN)
        if response.status != 200:
            return _rejection_failure(response.status, response.data)
        return response.data

    def close(self) -> None:
        """Shut down the threads and close the connections."""
        self._stream_threads.shutdown(wait=False, cancel_futures=True)
        self._control_threads.shutdown(wait=False, cancel_futures=True)
        self._pool.clear()


class HttpService:
    """Service that is called over HTTP."""

    def __init__(self, *, url: str, threads: int) -> None:
        self._url = url.rstrip("/")
        self._pool = connection_pool(threads)
        self._threads = ThreadPoolExecutor(threads, thread_name_prefix="service")

    async def call(self, request: ServiceRequest) -> ServiceAnswer | Failure:
        """Send a request once, without retries."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._threads, self._call, request)

    def _call(self, request: ServiceRequest) -> ServiceAnswer | Failure:
        limits = timeouts(request.timeout)
        headers = {
            "Content-Type": "application/json",
            "X-Fencing": str(request.epoch),
            "traceparent": request.trace,
        }
        if request.key is not None:
            headers["Idempotency-Key"] = request.key
        try:
            response = self._pool.request(
                request.method,
                self._url + request.path,
                body=request.body or None,
                headers=headers,
                timeout=limits,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            # Nothing was sent, since no connection was established.
            return _error_failure(ErrorKind.TARGET_FAILED, error, NotRun.YES)
        except ReadTimeoutError as error:
            return _error_failure(ErrorKind.DEADLINE_EXCEEDED, error, NotRun.UNKNOWN)
        except HTTPError as error:
            return _error_failure(ErrorKind.OUTCOME_UNKNOWN, error, NotRun.UNKNOWN)
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return ServiceAnswer(
            status=response.status, body=response.data, content_type=content_type
        )

    def close(self) -> None:
        """Shut down the threads and close the connections."""
        self._threads.shutdown(wait=False, cancel_futures=True)
        self._pool.clear()


class _RequestRejected(Exception):
    """Raised when an engine responds with an error status."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


def _payloads(response: Any) -> Iterator[bytes]:
    buffer = b""
    for chunk in response.stream(None):
        buffer += chunk
        while EVENT_END in buffer:
            event, buffer = buffer.split(EVENT_END, 1)
            if event.startswith(DATA_PREFIX):
                yield event[len(DATA_PREFIX) :]


def _read_usage(payload: bytes) -> _Usage | None:
    try:
        return msgspec.json.decode(payload, type=_UsageChunk).usage
    except msgspec.DecodeError:
        return None


def _engine_answer(usage: _Usage) -> EngineAnswer:
    details = usage.prompt_tokens_details
    return EngineAnswer(
        prompt_tokens=usage.prompt_tokens,
        answer_tokens=usage.completion_tokens,
        cached_tokens=details.cached_tokens if details else 0,
    )


def _rejection_failure(status: int, body: bytes) -> Failure:
    text = body.decode("utf-8", "replace")[:200]
    kind = ErrorKind.MALFORMED if status == 400 else ErrorKind.TARGET_FAILED
    return Failure(
        kind=kind, reason=f"the target answered {status}: {text}", not_run=NotRun.YES
    )


def _error_failure(kind: ErrorKind, error: Exception, not_run: NotRun) -> Failure:
    reason = f"{type(error).__name__}: {error}"
    return Failure(kind=kind, reason=reason, not_run=not_run)
