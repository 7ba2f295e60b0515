"""Run the calls of the programs that are at home here."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import logbook

from ..errors import ErrorKind, Failure, FailureError, fail
from ..ids import Epoch, Seq
from ..records.types import Commit
from ..wire.messages import (
    CallKind,
    CallRequest,
    Chunk,
    Committed,
    Done,
    Failed,
    Head,
    Reply,
    Turn,
)
from .calls import ActiveCall
from .context import HomeContext, Work
from .dispatcher import Dispatcher
from .finder import CallFinder, fingerprint_of
from .local_programs import OpenRequest
from .model_calls import ModelCalls
from .program import RunningProgram
from .service_calls import ServiceCalls

log = logbook.Logger("home")

COMMIT_WAIT_ONCE = 1.0

Send = Callable[[Reply], Awaitable[None]]


class CallRunner:
    """Admit calls to their programs, run them and commit them."""

    def __init__(self, *, context: HomeContext) -> None:
        dispatcher = Dispatcher(context=context)
        self._context = context
        self._finder = CallFinder(context=context)
        self._model_calls = ModelCalls(context=context, dispatcher=dispatcher)
        self._service_calls = ServiceCalls(context=context, dispatcher=dispatcher)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def running_calls(self) -> int:
        """Return the calls that are under way."""
        return len(self._tasks)

    async def handle(self, request: CallRequest, send: Send) -> Reply:
        """Run a call, or join one that runs already, and relay its answer."""
        try:
            running = await self._open(request)
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
            call = await self._finder.call_of_ended(request, failure)
        except FailureError as error:
            failure = error.failure
            call = None
        if call is not None:
            return await self._relay(request, Epoch(0), call, send)
        self._context.metrics.refusals.inc({"kind": failure.kind.value})
        return Failed(failure=failure, load=self._context.load())

    async def _open(self, request: CallRequest) -> RunningProgram:
        if (
            self._context.local_programs.uncommitted_bytes
            > self._context.limits.uncommitted_bytes
        ):
            raise fail(
                ErrorKind.LOG_UNAVAILABLE,
                "turns that the log has not taken fill the buffer",
            )
        opening = OpenRequest(
            program=request.program,
            spec=request.spec,
            first_call=len(request.body) + self._context.answer_limit(request),
            create=True,
            previous_home=request.previous_home,
            previous_silent=request.previous_silent,
        )
        running = await self._context.local_programs.open(opening)
        if running.state.spec.workspace != request.spec.workspace:
            raise fail(ErrorKind.NOT_FOUND, f"no program {request.program}")
        await self._context.local_programs.take_pending(running, request.pending)
        return running

    def _start(self, running: RunningProgram, request: CallRequest) -> ActiveCall:
        document = self._context.catalogue.program(request.spec.name)
        if document is not None and running.seq >= document.spec.max_calls:
            raise fail(
                ErrorKind.PROGRAM_LIMIT,
                f"the program made {running.seq} calls, the most that "
                f"Program {document.name} allows",
            )
        call = ActiveCall(
            kind=request.kind,
            fingerprint=fingerprint_of(request),
            seq=request.seq,
            key=request.key,
        )
        running.register(call)
        if request.kind is CallKind.MODEL:
            running.note_model_call(call)
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
        work = Work(running=running, call=call, request=request, trace=trace)
        result = "answered"
        try:
            await running.take_turn(call)
            span.set_attribute("seq", call.seq or 0)
            if request.kind is CallKind.MODEL:
                await self._run_model(work)
            else:
                await self._run_service(work)
        except FailureError as error:
            result = error.failure.kind.value
            call.end(error.failure)
            call.settle(error.failure)
        except Exception as error:
            log.exception("Call of {} failed.", running.id)
            result = ErrorKind.INTERNAL.value
            failure = Failure(kind=ErrorKind.INTERNAL, reason=repr(error))
            call.end(failure)
            call.settle(failure)
        finally:
            span.set_attribute("result", result)
            span.end()
            running.end_turn(call)
            self._context.metrics.calls.inc(
                {"kind": request.kind.value, "result": result}
            )
        if request.single:
            await self._end_single(running, call)

    async def _end_single(self, running: RunningProgram, call: ActiveCall) -> None:
        await call.settled()
        if running.lost is None and not running.busy:
            await self._context.local_programs.end(running, "its only call ended")

    async def _run_model(self, work: Work) -> None:
        commit = await self._model_calls.run(work)
        work.running.finish(work.call, commit)
        await self._answer(work, commit)

    async def _run_service(self, work: Work) -> None:
        result = await self._service_calls.run(work)
        commit = self._service_calls.commit(work, result)
        work.running.finish(work.call, commit)
        if work.request.non_idempotent:
            # A repeat after this process's death must find the answer.
            await _wait_settled(work.call, COMMIT_WAIT_ONCE)
        if isinstance(result, Failure):
            work.call.end(result)
            return
        await self._answer(work, commit)

    async def _answer(self, work: Work, commit: Commit) -> None:
        call = work.call
        wait = self._context.local_programs.policy(work.running.state.spec).commit_wait
        if wait > 0:
            await _wait_settled(call, wait)
        turn = None
        if not call.kept and commit.answer is not None:
            turn = Turn(
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
            Done(answer=commit.answer, committed=call.kept, turn=turn, used=commit.used)
        )

    async def _relay(
        self, request: CallRequest, epoch: Epoch, call: ActiveCall, send: Send
    ) -> Reply:
        events = call.follow()
        seq = call.seq or Seq(0)
        await send(Head(program=request.program, seq=seq, epoch=epoch))
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
                committed=call.kept,
                turn=event.turn,
                used=event.used,
                load=self._context.load(),
            )
        )
        failure = await call.settled()
        if failure is not None:
            return Failed(failure=failure)
        return Committed(seq=call.seq or Seq(0))


async def _wait_settled(call: ActiveCall, timeout: float) -> None:
    try:
        async with asyncio.timeout(timeout):
            await call.settled()
    except TimeoutError:
        log.info("An answer goes out before the log has taken it.")
