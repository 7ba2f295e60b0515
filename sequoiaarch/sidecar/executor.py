"""Run attempts of calls at the target, each at most once."""

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
from .memory import EngineMemory
from .queue import TargetQueue

log = logbook.Logger("executor")

ATTEMPTS_KEPT = 16_384
EPOCHS_KEPT = 16_384
LEARNING = 0.1


class AttemptResult(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what an attempt brought; `seconds` is the time at the target."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    prompt_tokens: int = 0
    answer_tokens: int = 0
    cached_tokens: int = 0
    seconds: float = 0.0


class Executor:
    """Admit, gate and run what is dispatched to this target."""

    def __init__(
        self,
        *,
        engine: ModelEngine | None,
        service: Service | None,
        memory: EngineMemory | None,
        queue: TargetQueue,
        metrics: Metrics,
        tracing: Tracing,
    ) -> None:
        self._engine = engine
        self._service = service
        self._memory = memory
        self._queue = queue
        self._metrics = metrics
        self._tracing = tracing
        self._attempts: OrderedDict[AttemptId, None] = OrderedDict()
        self._call_seconds = 0.0
        self._epochs: OrderedDict[ProgramId, Epoch] = OrderedDict()

    @property
    def call_seconds(self) -> float:
        """Return the seconds that a call has lately taken at the target."""
        return self._call_seconds

    def _learn(self, seconds: float) -> None:
        mean = self._call_seconds or seconds
        self._call_seconds = mean + LEARNING * (seconds - mean)

    async def run(
        self, dispatch: DispatchRequest, emit: Emit
    ) -> AttemptResult | Failure:
        """Run one attempt; the failure says truly whether it ran."""
        span = self._tracing.start(
            "target",
            dispatch.trace,
            program=dispatch.program,
            target=dispatch.target,
            attempt=dispatch.attempt,
        )
        try:
            self._gate(dispatch)
            async with asyncio.timeout(dispatch.deadline):
                return await self._admit(
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

    def _gate(self, dispatch: DispatchRequest) -> None:
        """Refuse what an old home or a second delivery brings.

        Targets that ignore fencing numbers would run it; this sidecar is the
        only way to them, so refusing here is enough.
        """
        current = self._epochs.get(dispatch.program, Epoch(0))
        if dispatch.epoch < current:
            raise fail(
                ErrorKind.SUPERSEDED,
                f"epoch {dispatch.epoch} was replaced by {current}",
                not_run=NotRun.YES,
            )
        self._epochs[dispatch.program] = dispatch.epoch
        self._epochs.move_to_end(dispatch.program)
        while len(self._epochs) > EPOCHS_KEPT:
            self._epochs.popitem(last=False)
        if dispatch.attempt in self._attempts:
            raise fail(ErrorKind.OUTCOME_UNKNOWN, "this attempt was delivered before")
        self._attempts[dispatch.attempt] = None
        while len(self._attempts) > ATTEMPTS_KEPT:
            self._attempts.popitem(last=False)

    async def _admit(
        self, dispatch: DispatchRequest, emit: Emit, trace: str
    ) -> AttemptResult | Failure:
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        memory = self._memory
        started = memory is None or memory.knows(dispatch.program)
        ticket = Ticket(
            program=dispatch.program,
            arrived=arrived,
            attained=dispatch.attained,
            weight=dispatch.weight,
            started=started or dispatch.kind is CallKind.SERVICE,
            tokens=dispatch.tokens,
        )
        try:
            await self._queue.enter(ticket)
            if memory is not None and dispatch.kind is CallKind.MODEL:
                memory.begin(dispatch.program, dispatch.name, dispatch.tokens)
        except asyncio.CancelledError:
            # The deadline passed while the call waited: it never ran.
            raise fail(
                ErrorKind.DEADLINE_EXCEEDED,
                "the deadline passed in the queue of the target",
                not_run=NotRun.YES,
            ) from None
        self._metrics.wait.observe({}, loop.time() - arrived)
        begun = loop.time()
        try:
            if dispatch.kind is CallKind.MODEL:
                return await self._run_model(dispatch, emit, trace, begun)
            return await self._run_service(dispatch, trace, begun)
        finally:
            self._learn(loop.time() - begun)
            self._queue.leave()

    async def _run_model(
        self, dispatch: DispatchRequest, emit: Emit, trace: str, begun: float
    ) -> AttemptResult | Failure:
        engine = self._engine
        memory = self._memory
        if engine is None or memory is None:
            raise fail(ErrorKind.NO_TARGET, "no engine stands behind this target")
        await memory.prepare(dispatch.program)
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
            memory.finished(dispatch.program, size)
        if isinstance(answer, Failure):
            return answer
        missed = answer.prompt_tokens - answer.cached_tokens
        self._metrics.cached_tokens.add({"cached": "yes"}, answer.cached_tokens)
        self._metrics.cached_tokens.add({"cached": "no"}, missed)
        return AttemptResult(
            prompt_tokens=answer.prompt_tokens,
            answer_tokens=answer.answer_tokens,
            cached_tokens=answer.cached_tokens,
            seconds=asyncio.get_running_loop().time() - begun,
        )

    async def _run_service(
        self, dispatch: DispatchRequest, trace: str, begun: float
    ) -> AttemptResult | Failure:
        if self._service is None:
            raise fail(ErrorKind.NO_TARGET, "no service stands behind this target")
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
            seconds=asyncio.get_running_loop().time() - begun,
        )
