"""Meet engines and services over HTTP."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

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

CONNECT_TIMEOUT = 1.0
CONTROL_TIMEOUT = 5.0
IDLE_TIMEOUT = 60.0
RESUMES = 3
RESUME_WAIT = 0.05
EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
END_OF_STREAM = b"[DONE]"


class _Details(msgspec.Struct):
    """Read the cached tokens of a usage report."""

    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    """Read a usage report."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _Details | None = None


class _UsageChunk(msgspec.Struct):
    """Read the usage of an event."""

    usage: _Usage | None = None


class _Broken(Exception):
    """Say that a stream ended before its end."""


class HttpEngine:
    """Drive an engine that speaks the usual chat completions."""

    def __init__(self, *, url: str, threads: int) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(maxsize=threads, block=False, retries=False)
        self._streams = ThreadPoolExecutor(threads, thread_name_prefix="engine")
        self._control = ThreadPoolExecutor(4, thread_name_prefix="control")
        self._mailbox: Mailbox | None = None

    async def complete(
        self, request: EngineRequest, emit: Emit
    ) -> EngineAnswer | Failure:
        """Run one request and emit the payload of each event in order."""
        loop = asyncio.get_running_loop()
        if self._mailbox is None or self._mailbox.loop is not loop:
            self._mailbox = Mailbox(loop=loop)
        mailbox = self._mailbox

        def emit_in_loop(data: bytes) -> None:
            mailbox.post(emit, data)

        run = loop.run_in_executor(self._streams, self._complete, request, emit_in_loop)
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
                for payload in self._open(request, sent, resumes > 0, deadline):
                    if payload == END_OF_STREAM:
                        return _answer(usage)
                    if b'"usage"' in payload:
                        usage = _read_usage(payload) or usage
                    emit(payload)
                    sent += 1
                raise _Broken("the stream ended early")
            except _Refused as refused:
                return refused.failure
            except (NewConnectionError, ConnectTimeoutError) as error:
                if sent == 0 and resumes == 0:
                    return _failed(ErrorKind.TARGET_FAILED, error, NotRun.YES)
                reason: Exception = error
            except ReadTimeoutError as error:
                if time.monotonic() >= deadline:
                    return _failed(ErrorKind.DEADLINE_EXCEEDED, error, NotRun.NO)
                reason = error
            except (HTTPError, OSError, _Broken) as error:
                reason = error
            resumes += 1
            if resumes > RESUMES or time.monotonic() >= deadline:
                return _failed(ErrorKind.TARGET_FAILED, reason, NotRun.NO)
            time.sleep(RESUME_WAIT)

    def _open(
        self, request: EngineRequest, sent: int, resume: bool, deadline: float
    ) -> Iterator[bytes]:
        left = max(0.01, min(IDLE_TIMEOUT, deadline - time.monotonic()))
        limits = urllib3.Timeout(connect=CONNECT_TIMEOUT, read=left)
        headers = {
            "Content-Type": "application/json",
            "X-Cache-Key": request.program,
            "X-Stream-Id": request.attempt,
            "X-Fencing": str(request.epoch),
            "traceparent": request.trace,
        }
        if resume:
            path = f"/v1/streams/{request.attempt}?from={sent}"
            reply = self._pool.request(
                "GET",
                self._url + path,
                headers=headers,
                timeout=limits,
                preload_content=False,
            )
        else:
            reply = self._pool.request(
                "POST",
                self._url + request.path,
                body=request.body,
                headers=headers,
                timeout=limits,
                preload_content=False,
            )
        if reply.status != 200:
            raise _Refused(_refusal(reply.status, reply.read(4096)))
        finished = False
        try:
            for payload in _payloads(reply):
                finished = payload == END_OF_STREAM
                yield payload
        finally:
            if finished:
                reply.drain_conn()
                reply.release_conn()
            else:
                reply.close()

    async def cancel(self, attempt: AttemptId) -> None:
        """Stop a stream that nobody waits for."""
        await self._ask("DELETE", f"/v1/streams/{attempt}")

    async def listing(self) -> CacheListing | Failure:
        """Return what the engine holds now."""
        reply = await self._ask("GET", "/v1/cache")
        if isinstance(reply, Failure):
            return reply
        return msgspec.json.decode(reply, type=CacheListing)

    async def events(self, start: int) -> list[CacheEvent] | Failure:
        """Return the cache events from a number on, as far as published."""
        reply = await self._ask("GET", f"/v1/cache/events?from={start}")
        if isinstance(reply, Failure):
            return reply
        return msgspec.json.decode(reply, type=list[CacheEvent])

    async def free(self, program: ProgramId) -> bool:
        """Drop the prefix of a program from all memory."""
        reply = await self._ask("DELETE", f"/v1/cache/{program}")
        return not isinstance(reply, Failure)

    async def export(self, program: ProgramId) -> bool:
        """Move a prefix out of engine memory; False where it is not held."""
        reply = await self._ask("POST", f"/v1/cache/{program}/export")
        return not isinstance(reply, Failure)

    async def import_(self, program: ProgramId) -> bool:
        """Move a prefix back; False where it was not exported."""
        reply = await self._ask("POST", f"/v1/cache/{program}/import")
        return not isinstance(reply, Failure)

    async def load(self) -> EngineLoad | Failure:
        """Return the load that the engine last reported."""
        reply = await self._ask("GET", "/v1/load")
        if isinstance(reply, Failure):
            return reply
        return msgspec.json.decode(reply, type=EngineLoad)

    async def order(self, order: EngineOrder, epoch: Epoch) -> Failure | None:
        """Give an order under a fencing number."""
        body = msgspec.json.encode(order)
        reply = await self._ask("POST", "/v1/orders", body, epoch)
        return reply if isinstance(reply, Failure) else None

    async def _ask(
        self, method: str, path: str, body: bytes | None = None, epoch: int = 0
    ) -> bytes | Failure:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self._control, self._ask_blocking, method, path, body, epoch
        )

    def _ask_blocking(
        self, method: str, path: str, body: bytes | None, epoch: int
    ) -> bytes | Failure:
        limits = urllib3.Timeout(connect=CONNECT_TIMEOUT, read=CONTROL_TIMEOUT)
        headers = {"X-Fencing": str(epoch)}
        try:
            reply = self._pool.request(
                method, self._url + path, body=body, headers=headers, timeout=limits
            )
        except HTTPError as error:
            return _failed(ErrorKind.TARGET_FAILED, error, NotRun.UNKNOWN)
        if reply.status != 200:
            return _refusal(reply.status, reply.data)
        return reply.data

    def close(self) -> None:
        """Let go of threads and connections."""
        self._streams.shutdown(wait=False, cancel_futures=True)
        self._control.shutdown(wait=False, cancel_futures=True)
        self._pool.clear()


class HttpService:
    """Call a plain service."""

    def __init__(self, *, url: str, threads: int) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(maxsize=threads, block=False, retries=False)
        self._threads = ThreadPoolExecutor(threads, thread_name_prefix="service")

    async def call(self, request: ServiceRequest) -> ServiceAnswer | Failure:
        """Send a request once, never again."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._threads, self._call, request)

    def _call(self, request: ServiceRequest) -> ServiceAnswer | Failure:
        limits = urllib3.Timeout(connect=CONNECT_TIMEOUT, read=request.timeout)
        headers = {
            "Content-Type": "application/json",
            "X-Fencing": str(request.epoch),
            "traceparent": request.trace,
        }
        if request.key is not None:
            headers["Idempotency-Key"] = request.key
        try:
            reply = self._pool.request(
                request.method,
                self._url + request.path,
                body=request.body or None,
                headers=headers,
                timeout=limits,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            # No connection stood, so no byte of the request left.
            return _failed(ErrorKind.TARGET_FAILED, error, NotRun.YES)
        except ReadTimeoutError as error:
            return _failed(ErrorKind.DEADLINE_EXCEEDED, error, NotRun.UNKNOWN)
        except HTTPError as error:
            return _failed(ErrorKind.OUTCOME_UNKNOWN, error, NotRun.UNKNOWN)
        content_type = reply.headers.get("Content-Type", "application/octet-stream")
        return ServiceAnswer(
            status=reply.status, body=reply.data, content_type=content_type
        )

    def close(self) -> None:
        """Let go of threads and connections."""
        self._threads.shutdown(wait=False, cancel_futures=True)
        self._pool.clear()


class _Refused(Exception):
    """Carry the failure that an engine answered with."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


def _payloads(reply: Any) -> Iterator[bytes]:
    buffer = b""
    for piece in reply.stream(None):
        buffer += piece
        while EVENT_END in buffer:
            event, buffer = buffer.split(EVENT_END, 1)
            if event.startswith(DATA_PREFIX):
                yield event[len(DATA_PREFIX) :]


def _read_usage(payload: bytes) -> _Usage | None:
    try:
        return msgspec.json.decode(payload, type=_UsageChunk).usage
    except msgspec.DecodeError:
        return None


def _answer(usage: _Usage) -> EngineAnswer:
    details = usage.prompt_tokens_details
    return EngineAnswer(
        prompt_tokens=usage.prompt_tokens,
        answer_tokens=usage.completion_tokens,
        cached_tokens=details.cached_tokens if details else 0,
    )


def _refusal(status: int, body: bytes) -> Failure:
    text = body.decode("utf-8", "replace")[:200]
    kind = ErrorKind.MALFORMED if status == 400 else ErrorKind.TARGET_FAILED
    return Failure(
        kind=kind, reason=f"the target answered {status}: {text}", not_run=NotRun.YES
    )


def _failed(kind: ErrorKind, error: Exception, not_run: NotRun) -> Failure:
    reason = f"{type(error).__name__}: {error}"
    return Failure(kind=kind, reason=reason, not_run=not_run)
