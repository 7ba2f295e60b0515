"""Run the calls of the programs whose home is this sidecar."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import logbook

from ..errors import ErrorKind, Failure, FailureError, fail
from ..ids import Epoch, Seq
from ..records.types import Commit
from ..wire.messages import (
    CallAdmitted,
    CallKind,
    CallRequest,
    Chunk,
    Committed,
    Done,
    Failed,
    PendingTurn,
    Reply,
)
from .calls import ActiveCall
from .context import CallJob, HomeContext
from .dispatcher import Dispatcher
from .finder import CallFinder, request_fingerprint
from .local_programs import OpenRequest
from .model_calls import ModelCalls
from .program import RunningProgram
from .service_calls import ServiceCalls

log = logbook.Logger("home")

NON_IDEMPOTENT_COMMIT_WAIT = 1.0  # seconds

Send = Callable[[Reply], Awaitable[None]]


class CallRunner:
    """Admit calls to their programs, run them and relay their answers."""

    def __init__(self, *, context: HomeContext) -> None:
        dispatcher = Dispatcher(context=context)
        self._context = context
        self._finder = CallFinder(context=context)
        self._model_calls = ModelCalls(context=context, dispatcher=dispatcher)
        self._service_calls = ServiceCalls(context=context, dispatcher=dispatcher)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def running_calls(self) -> int:
        """Return the number of calls that are running."""
        return len(self._tasks)

    async def handle(self, request: CallRequest, send: Send) -> Reply:
        """Run a call, or join an earlier one of the same request, and relay it."""
        try:
            running = await self._open_program(request)
            call = await self._finder.find(running, request)
            if call is None:
                call = self._start(running, request)
            return await self._relay(request, running.epoch, call, send)
        except FailureError as error:
            return await self._refuse(request, error.failure, send)

    async def _refuse(
        self, request: CallRequest, failure: Failure, send: Send
    ) -> Reply:
        try:
            call = await self._finder.find_after_end(request, failure)
        except FailureError as error:
            failure = error.failure
            call = None
        if call is not None:
            return await self._relay(request, Epoch(0), call, send)
        self._context.metrics.refusals.inc({"kind": failure.kind.value})
        return Failed(failure=failure, load=self._context.load())

    async def _open_program(self, request: CallRequest) -> RunningProgram:
        if (
            self._context.local_programs.uncommitted_bytes
            > self._context.limits.uncommitted_bytes
        ):
            raise fail(
                ErrorKind.LOG_UNAVAILABLE,
                "the buffer of uncommitted turns is full",
            )
        open_request = OpenRequest(
            program=request.program,
            spec=request.spec,
            first_call_tokens=len(request.body) + self._context.answer_limit(request),
            create=True,
            previous_home=request.previous_home,
            previous_silent=request.previous_silent,
        )
        running = await self._context.local_programs.open(open_request)
        if running.state.spec.workspace != request.spec.workspace:
            raise fail(ErrorKind.NOT_FOUND, f"no program {request.program}")
        await self._context.local_programs.commit_pending(running, request.pending)
        return running

    def _start(self, running: RunningProgram, request: CallRequest) -> ActiveCall:
        document = self._context.catalogue.program(request.spec.name)
        if document is not None and running.seq >= document.spec.max_calls:
            raise fail(
                ErrorKind.PROGRAM_LIMIT,
                f"the program has made {running.seq} calls, the limit of "
                f"Program {document.name}",
            )
        call = ActiveCall(
            kind=request.kind,
            fingerprint=request_fingerprint(request),
            seq=request.seq,
            key=request.key,
        )
        running.register(call)
        if request.kind is CallKind.MODEL:
            running.set_last_model_call(call)
        task = asyncio.create_task(self._run(running, call, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return call

    async def _run(
        self, running: RunningProgram, call: ActiveCall, request: CallRequest
    ) -> None:
        span = self._context.tracing.start(
            "home", request.trace, program=running.id, home=self._context.own_target
        )
        trace = self._context.tracing.traceparent(span)
        job = CallJob(running=running, call=call, request=request, trace=trace)
        result = "answered"
        try:
            await running.wait_turn(call)
            span.set_attribute("seq", call.seq or 0)
            if request.kind is CallKind.MODEL:
                await self._run_model(job)
            else:
                await self._run_service(job)
        except FailureError as error:
            result = error.failure.kind.value
            call.end(error.failure)
            call.resolve_commit(error.failure)
        except Exception as error:
            log.exception("Call of {} failed.", running.id)
            result = ErrorKind.INTERNAL.value
            failure = Failure(kind=ErrorKind.INTERNAL, reason=repr(error))
            call.end(failure)
            call.resolve_commit(failure)
        finally:
            span.set_attribute("result", result)
            span.end()
            running.end_turn(call)
            self._context.metrics.calls.inc(
                {"kind": request.kind.value, "result": result}
            )
        if request.single:
            await self._end_single_call_program(running, call)

    async def _end_single_call_program(
        self, running: RunningProgram, call: ActiveCall
    ) -> None:
        await call.wait_committed()
        if running.lost is None and not running.busy:
            await self._context.local_programs.end(running, "its only call ended")

    async def _run_model(self, job: CallJob) -> None:
        commit = await self._model_calls.run(job)
        job.running.finish(job.call, commit)
        await self._finish_call(job, commit)

    async def _run_service(self, job: CallJob) -> None:
        result = await self._service_calls.run(job)
        commit = self._service_calls.commit(job, result)
        job.running.finish(job.call, commit)
        if job.request.non_idempotent:
            # A repeated request must find the answer if this process fails.
            await _wait_committed(job.call, NON_IDEMPOTENT_COMMIT_WAIT)
        if isinstance(result, Failure):
            job.call.end(result)
            return
        await self._finish_call(job, commit)

    async def _finish_call(self, job: CallJob, commit: Commit) -> None:
        call = job.call
        wait = self._context.local_programs.policy(job.running.state.spec).commit_wait
        if wait > 0:
            await _wait_committed(call, wait)
        turn = None
        if not call.committed and commit.answer is not None:
            turn = PendingTurn(
                seq=commit.seq,
                prefix=commit.prefix,
                digest=commit.digest,
                messages=commit.messages,
                message_count=commit.message_count,
                answer=commit.answer,
                request=commit.request,
                used=commit.used,
            )
        call.end(
            Done(
                answer=commit.answer,
                committed=call.committed,
                turn=turn,
                used=commit.used,
            )
        )

    async def _relay(
        self, request: CallRequest, epoch: Epoch, call: ActiveCall, send: Send
    ) -> Reply:
        events = call.subscribe()
        seq = call.seq or Seq(0)
        await send(CallAdmitted(program=request.program, seq=seq, epoch=epoch))
        while True:
            event = await events.get()
            if isinstance(event, Chunk):
                await send(event)
                continue
            if isinstance(event, Failure):
                return Failed(failure=event, load=self._context.load())
            break
        await send(
            Done(
                answer=event.answer,
                seq=call.seq or Seq(0),
                committed=call.committed,
                turn=event.turn,
                used=event.used,
                load=self._context.load(),
            )
        )
        failure = await call.wait_committed()
        if failure is not None:
            return Failed(failure=failure)
        return Committed(seq=call.seq or Seq(0))


async def _wait_committed(call: ActiveCall, timeout: float) -> None:
    try:
        async with asyncio.timeout(timeout):
            await call.wait_committed()
    except TimeoutError:
        log.info("An answer is sent before its commit is in the log.")
