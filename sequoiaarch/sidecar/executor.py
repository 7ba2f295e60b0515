"""Run call attempts at the target, each at most once."""

from __future__ import annotations

import asyncio
from collections import OrderedDict

import logbook
import msgspec

from ..engines.interfaces import (
    Emit,
    EngineAnswer,
    EngineRequest,
    ModelEngine,
    Service,
    ServiceAnswer,
    ServiceRequest,
)
from ..errors import ErrorKind, Failure, FailureError, NotRun, fail
from ..ids import AttemptId, Epoch, ProgramId
from ..observe.metrics import Metrics
from ..observe.traces import Tracing
from ..policies.order import Ticket
from ..wire.messages import CallKind, DispatchRequest
from .prefix_cache import PrefixCacheManager
from .queue import TargetQueue

log = logbook.Logger("executor")

MAX_REMEMBERED_ATTEMPTS = 16_384
MAX_REMEMBERED_EPOCHS = 16_384
SMOOTHING_FACTOR = 0.1  # weight of the newest call in the average duration


class AttemptResult(msgspec.Struct, frozen=True, kw_only=True):
    """The result of an attempt; `seconds` is the time spent at the target."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    prompt_tokens: int = 0
    answer_tokens: int = 0
    cached_tokens: int = 0
    seconds: float = 0.0


class Executor:
    """Queue attempts for a slot of the target and run them."""

    def __init__(
        self,
        *,
        engine: ModelEngine | None,
        service: Service | None,
        prefix_cache: PrefixCacheManager | None,
        queue: TargetQueue,
        metrics: Metrics,
        tracing: Tracing,
    ) -> None:
        self._engine = engine
        self._service = service
        self._prefix_cache = prefix_cache
        self._queue = queue
        self._metrics = metrics
        self._tracing = tracing
        self._attempts: OrderedDict[AttemptId, None] = OrderedDict()
        self._call_seconds = 0.0
        self._epochs: OrderedDict[ProgramId, Epoch] = OrderedDict()

    @property
    def call_seconds(self) -> float:
        """Return the moving average of the seconds that a call takes at the target."""
        return self._call_seconds

    def _record_duration(self, seconds: float) -> None:
        average = self._call_seconds or seconds
        self._call_seconds = average + SMOOTHING_FACTOR * (seconds - average)

    async def run(
        self, dispatch: DispatchRequest, emit: Emit
    ) -> AttemptResult | Failure:
        """Run one attempt; a failure states whether the attempt was run."""
        span = self._tracing.start(
            "target",
            dispatch.trace,
            program=dispatch.program,
            target=dispatch.target,
            attempt=dispatch.attempt,
        )
        try:
            self._check_superseded(dispatch)
            async with asyncio.timeout(dispatch.deadline):
                return await self._queue_and_run(
                    dispatch, emit, self._tracing.traceparent(span)
                )
        except FailureError as error:
            span.set_attribute("error", error.failure.kind.value)
            return error.failure
        except TimeoutError:
            span.set_attribute("error", ErrorKind.DEADLINE_EXCEEDED.value)
            return Failure(
                kind=ErrorKind.DEADLINE_EXCEEDED,
                reason=f"no answer within {dispatch.deadline:.1f} s",
                not_run=NotRun.UNKNOWN,
            )
        finally:
            span.end()

    def _check_superseded(self, dispatch: DispatchRequest) -> None:
        """Refuse attempts from a superseded home and duplicate deliveries.

        All attempts pass through this sidecar, so this check also protects targets
        that don't support fencing.
        """
        current = self._epochs.get(dispatch.program, Epoch(0))
        if dispatch.epoch < current:
            raise fail(
                ErrorKind.SUPERSEDED,
                f"epoch {dispatch.epoch} is superseded by {current}",
                not_run=NotRun.YES,
            )
        self._epochs[dispatch.program] = dispatch.epoch
        self._epochs.move_to_end(dispatch.program)
        while len(self._epochs) > MAX_REMEMBERED_EPOCHS:
            self._epochs.popitem(last=False)
        if dispatch.attempt in self._attempts:
            raise fail(
                ErrorKind.OUTCOME_UNKNOWN, "this attempt was already delivered once"
            )
        self._attempts[dispatch.attempt] = None
        while len(self._attempts) > MAX_REMEMBERED_ATTEMPTS:
            self._attempts.popitem(last=False)

    async def _queue_and_run(
        self, dispatch: DispatchRequest, emit: Emit, trace: str
    ) -> AttemptResult | Failure:
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        prefix_cache = self._prefix_cache
        started = prefix_cache is None or prefix_cache.has_prefix(dispatch.program)
        ticket = Ticket(
            program=dispatch.program,
            arrived=arrived_at,
            attained=dispatch.attained,
            weight=dispatch.weight,
            started=started or dispatch.kind is CallKind.SERVICE,
            tokens=dispatch.tokens,
        )
        try:
            await self._queue.acquire_slot(ticket)
            if prefix_cache is not None and dispatch.kind is CallKind.MODEL:
                prefix_cache.call_started(
                    dispatch.program, dispatch.name, dispatch.tokens
                )
        except asyncio.CancelledError:
            # The deadline passed while the call was queued, so it was not run.
            raise fail(
                ErrorKind.DEADLINE_EXCEEDED,
                "the deadline passed while the call was queued at the target",
                not_run=NotRun.YES,
            ) from None
        self._metrics.wait.observe({}, loop.time() - arrived_at)
        started_at = loop.time()
        try:
            if dispatch.kind is CallKind.MODEL:
                return await self._run_model(dispatch, emit, trace, started_at)
            return await self._run_service(dispatch, trace, started_at)
        finally:
            self._record_duration(loop.time() - started_at)
            self._queue.release_slot()

    async def _run_model(
        self, dispatch: DispatchRequest, emit: Emit, trace: str, started_at: float
    ) -> AttemptResult | Failure:
        engine = self._engine
        prefix_cache = self._prefix_cache
        if engine is None or prefix_cache is None:
            raise fail(ErrorKind.NO_TARGET, "this target has no engine")
        await prefix_cache.prepare_call(dispatch.program)
        request = EngineRequest(
            program=dispatch.program,
            attempt=dispatch.attempt,
            epoch=dispatch.epoch,
            path=dispatch.path,
            body=dispatch.body,
            timeout=dispatch.deadline,
            trace=trace,
        )
        answer: EngineAnswer | Failure | None = None
        try:
            answer = await engine.complete(request, emit)
        finally:
            size = dispatch.tokens
            if isinstance(answer, EngineAnswer):
                size = answer.prompt_tokens + answer.answer_tokens
            prefix_cache.call_finished(dispatch.program, size)
        if isinstance(answer, Failure):
            return answer
        uncached_tokens = answer.prompt_tokens - answer.cached_tokens
        self._metrics.cached_tokens.add({"cached": "yes"}, answer.cached_tokens)
        self._metrics.cached_tokens.add({"cached": "no"}, uncached_tokens)
        return AttemptResult(
            prompt_tokens=answer.prompt_tokens,
            answer_tokens=answer.answer_tokens,
            cached_tokens=answer.cached_tokens,
            seconds=asyncio.get_running_loop().time() - started_at,
        )

    async def _run_service(
        self, dispatch: DispatchRequest, trace: str, started_at: float
    ) -> AttemptResult | Failure:
        if self._service is None:
            raise fail(ErrorKind.NO_TARGET, "this target has no service")
        request = ServiceRequest(
            method=dispatch.method,
            path=dispatch.path,
            body=dispatch.body,
            key=dispatch.key,
            epoch=dispatch.epoch,
            timeout=dispatch.deadline,
            trace=trace,
        )
        answer = await self._service.call(request)
        if not isinstance(answer, ServiceAnswer):
            return answer
        return AttemptResult(
            status=answer.status,
            body=answer.body,
            content_type=answer.content_type,
            seconds=asyncio.get_running_loop().time() - started_at,
        )
