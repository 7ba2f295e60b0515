"""Run the calls of the programs that are at home here."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import logbook
import xxhash

from ..config.documents import PolicySpecification, TargetType, WhenLogIsAway
from ..config.settings import LimitOptions
from ..config.store import Catalogue
from ..errors import ErrorKind, Failure, FailureError, NotRun, fail
from ..ids import AttemptId, Epoch, ProgramId, RecordId, Seq, TargetName, new_id
from ..membership.view import Membership
from ..observe.decisions import Decisions
from ..observe.metrics import Metrics
from ..observe.traces import Tracing
from ..records.acceptance import Refusal
from ..records.types import (
    CallAnswer,
    Commit,
    Intent,
    IntentState,
    Outcome,
    Withdraw,
)
from ..shards.client import Shards
from ..sidecar.executor import Execution, Executor
from ..wire.links import Links
from ..wire.messages import (
    CallKind,
    CallRequest,
    Chunk,
    Committed,
    DispatchRequest,
    Done,
    Executed,
    Failed,
    Head,
    Load,
    Reply,
    Turn,
)
from .answers import error_answer
from .calls import ActiveCall
from .chat import (
    AnswerBuilder,
    Chat,
    digest_chain,
    encode_messages,
    engine_body,
    estimate_tokens,
    parse_chat,
    prompt_bound,
)
from .homes import Homes, Opening
from .program import RunningProgram, superseded

log = logbook.Logger("home")

CHAT_PATH = "/v1/chat/completions"
CUT_SLACK = 64
LEAST_ANSWER = 1
EXPECTED_ANSWER = 256
SERVICE_TRIES = 2
COMMIT_WAIT_ONCE = 1.0

Send = Callable[[Reply], Awaitable[None]]


class CallRunner:
    """Admit calls to their programs, run them and commit them."""

    def __init__(
        self,
        *,
        me: TargetName,
        homes: Homes,
        executor: Executor,
        catalogue: Catalogue,
        membership: Membership,
        links: Links,
        shards: Shards,
        limits: LimitOptions,
        metrics: Metrics,
        tracing: Tracing,
        decisions: Decisions,
        load: Callable[[], Load],
    ) -> None:
        self._me = me
        self._homes = homes
        self._executor = executor
        self._catalogue = catalogue
        self._membership = membership
        self._links = links
        self._shards = shards
        self._limits = limits
        self._metrics = metrics
        self._tracing = tracing
        self._decisions = decisions
        self._load = load
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def running(self) -> int:
        """Return the calls that are under way."""
        return len(self._tasks)

    async def handle(self, request: CallRequest, send: Send) -> Reply:
        """Run a call, or join one that runs already, and relay its answer."""
        try:
            running = await self._open(request)
            call = await self._find(running, request)
            if call is None:
                call = self._start(running, request)
            return await self._relay(request, running.epoch, call, send)
        except FailureError as error:
            return await self._refuse(request, error.failure, send)

    async def _refuse(
        self, request: CallRequest, failure: Failure, send: Send
    ) -> Reply:
        try:
            call = await self._call_of_ended(request, failure)
        except FailureError as error:
            failure = error.failure
            call = None
        if call is not None:
            return await self._relay(request, Epoch(0), call, send)
        self._metrics.refusals.inc({"kind": failure.kind.value})
        return Failed(failure=failure, load=self._load())

    async def _call_of_ended(
        self, request: CallRequest, failure: Failure
    ) -> ActiveCall | None:
        """Return the call that used a key of a program that has ended."""
        if failure.kind is not ErrorKind.PROGRAM_ENDED or request.key is None:
            return None
        state = await self._shards.state(request.program)
        if state is None or isinstance(state, Failure):
            return None
        intent = state.intents.get(request.key)
        if intent is None:
            return None
        _check_key(request, intent.request)
        if intent.outcome is Outcome.UNKNOWN:
            raise fail(ErrorKind.OUTCOME_UNKNOWN, UNKNOWN_REASON)
        return await self._call_with_intent(request.program, intent)

    async def _open(self, request: CallRequest) -> RunningProgram:
        if self._homes.uncommitted_bytes > self._limits.uncommitted_bytes:
            raise fail(
                ErrorKind.LOG_UNAVAILABLE,
                "turns that the log has not taken fill the buffer",
            )
        opening = Opening(
            program=request.program,
            spec=request.spec,
            first_call=len(request.body) + self._answer_limit(request),
            create=True,
            previous_home=request.previous_home,
            previous_silent=request.previous_silent,
        )
        running = await self._homes.open(opening)
        if running.state.spec.workspace != request.spec.workspace:
            raise fail(ErrorKind.NOT_FOUND, f"no program {request.program}")
        await self._homes.take_pending(running, request.pending)
        return running

    def _answer_limit(self, request: CallRequest) -> int:
        document = self._catalogue.program(request.spec.name)
        return document.spec.max_answer_tokens if document else 1024

    # Finding calls again.

    async def _find(
        self, running: RunningProgram, request: CallRequest
    ) -> ActiveCall | None:
        """Return the call where it was asked before."""
        fingerprint = fingerprint_of(request)
        if request.key is not None:
            call = await self._find_by_key(running, request)
            if call is not None:
                return call
        if request.seq is None:
            if request.kind is CallKind.MODEL:
                return running.repeat_of(fingerprint)
            return None
        call = running.known_call(request.seq)
        if call is None and request.seq <= running.seq:
            call = await self._find_in_log(running, request.seq)
        if call is not None and call.fingerprint != fingerprint:
            raise fail(
                ErrorKind.OUT_OF_SEQUENCE,
                f"call {request.seq} was another request",
                field="X-Call-Seq",
                expected_seq=running.seq + 1,
            )
        return call

    async def _find_by_key(
        self, running: RunningProgram, request: CallRequest
    ) -> ActiveCall | None:
        assert request.key is not None
        call = running.call_with_key(request.key)
        if call is not None:
            _check_key(request, call.fingerprint)
            return call
        intent = running.intent(request.key)
        if intent is None:
            return None
        _check_key(request, intent.request)
        return await self._call_with_intent(running.id, intent)

    async def _call_with_intent(
        self, program: ProgramId, intent: IntentState
    ) -> ActiveCall | None:
        """Return the finished call of an intent, if the log holds its answer."""
        if intent.outcome is not Outcome.DONE:
            return None
        commits = await self._shards.commits(program)
        if isinstance(commits, Failure):
            raise FailureError(commits)
        for commit in commits:
            if commit.key is not None and commit.request == intent.request:
                return _call_of(commit)
        return None

    async def _find_in_log(self, running: RunningProgram, seq: Seq) -> ActiveCall:
        commit = await self._homes.answered(running, seq)
        if isinstance(commit, Failure):
            raise FailureError(commit)
        if commit is None:
            raise fail(
                ErrorKind.OUT_OF_SEQUENCE,
                f"call {seq} was answered and its answer is no longer kept",
                field="X-Call-Seq",
                expected_seq=running.seq + 1,
            )
        return _call_of(commit)

    # Running.

    def _start(self, running: RunningProgram, request: CallRequest) -> ActiveCall:
        document = self._catalogue.program(request.spec.name)
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
        span = self._tracing.start(
            "home", request.trace, program=running.id, home=self._me
        )
        trace = self._tracing.text(span)
        result = "answered"
        try:
            await running.take_turn(call)
            span.set_attribute("seq", call.seq or 0)
            if request.kind is CallKind.MODEL:
                await self._run_model(running, call, request, trace)
            else:
                await self._run_service(running, call, request, trace)
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
            self._metrics.calls.inc({"kind": request.kind.value, "result": result})
        if request.single:
            await self._end_single(running, call)

    async def _end_single(self, running: RunningProgram, call: ActiveCall) -> None:
        await call.settled()
        if running.lost is None and not running.busy:
            await self._homes.end(running, "its only call ended")

    async def _run_model(
        self,
        running: RunningProgram,
        call: ActiveCall,
        request: CallRequest,
        trace: str,
    ) -> None:
        chat = parse_chat(request.body)
        extension = check_extension(running, chat)
        target = request.target or self._me
        document = self._catalogue.target(target)
        ratio = document.spec.min_bytes_per_token if document else 1.0
        prompt = prompt_bound(chat, ratio)
        most = self._answer_limit(request)
        answer = min(chat.max_tokens or most, most)
        given = await running.reserve(
            prompt + answer + CUT_SLACK,
            prompt + LEAST_ANSWER + CUT_SLACK,
            self._limits.submit_timeout,
        )
        limit = given - prompt - CUT_SLACK
        builder = AnswerBuilder()
        try:
            execution = await self._dispatch_model(
                running, call, request, chat, builder, target, limit, trace
            )
            used = execution.prompt_tokens + execution.answer_tokens
            if used > given:
                log.error("Target {} used {} of {} tokens.", target, used, given)
                used = given
            commit = self._model_commit(running, call, extension, builder, used, given)
        finally:
            running.give_back(given)
        running.attained += execution.seconds
        running.finish(call, commit)
        await self._answer(running, call, commit)

    async def _dispatch_model(
        self,
        running: RunningProgram,
        call: ActiveCall,
        request: CallRequest,
        chat: Chat,
        builder: AnswerBuilder,
        target: TargetName,
        limit: int,
        trace: str,
    ) -> Execution:
        policy = self._homes.policy(running.state.spec)
        dispatch = DispatchRequest(
            program=running.id,
            workspace=running.state.spec.workspace,
            target=target,
            epoch=running.epoch,
            attempt=AttemptId(new_id("attempt")),
            kind=CallKind.MODEL,
            method="POST",
            path=CHAT_PATH,
            body=engine_body(chat, limit),
            deadline=min(request.deadline, policy.deadline),
            name=running.state.spec.name,
            trace=trace,
            attained=running.attained,
            weight=policy.priority,
            tokens=estimate_tokens(chat) + min(limit, EXPECTED_ANSWER),
        )

        def emit(payload: bytes) -> None:
            if builder.pieces < limit:
                builder.add(payload)
                call.emit(payload)
                return
            # The engine gives more than it was asked for. The caller's
            # budget must not pay for that.
            if b'"usage"' in payload:
                builder.cut()

        result = await self._dispatch(dispatch, emit)
        if isinstance(result, Failure):
            raise FailureError(result)
        return result

    def _model_commit(
        self,
        running: RunningProgram,
        call: ActiveCall,
        extension: list,
        builder: AnswerBuilder,
        used: int,
        given: int,
    ) -> Commit:
        messages = [*extension, builder.message]
        answer = CallAnswer(status=200, body=builder.body())
        assert call.seq is not None
        after = running.remaining + given - used
        return Commit(
            id=RecordId(new_id("commit")),
            program=running.id,
            epoch=running.epoch,
            seq=call.seq,
            prefix=running.digest,
            digest=digest_chain(messages, running.digest),
            messages=encode_messages(messages),
            message_count=len(messages),
            answer=answer,
            request=call.fingerprint,
            used=used,
            block=max(0, given * 2 - after),
        )

    async def _dispatch(
        self, dispatch: DispatchRequest, emit: Callable[[bytes], None]
    ) -> Execution | Failure:
        """Have an attempt run, here or at the sidecar of its target."""
        if dispatch.target == self._me:
            return await self._executor.run(dispatch, emit)
        address = self._membership.address(dispatch.target)
        if address is None:
            return Failure(
                kind=ErrorKind.NO_TARGET, reason=f"target {dispatch.target} is gone"
            )
        self._membership.note_sent(dispatch.target)
        async for reply in self._links.to(address).stream(dispatch):
            if isinstance(reply, Chunk):
                emit(reply.data)
            elif isinstance(reply, Executed):
                self._membership.note_load(reply.load)
                return Execution(
                    status=reply.status,
                    body=reply.body,
                    content_type=reply.content_type,
                    prompt_tokens=reply.prompt_tokens,
                    answer_tokens=reply.answer_tokens,
                    cached_tokens=reply.cached_tokens,
                    seconds=reply.seconds,
                )
            elif isinstance(reply, Failed):
                self._membership.note_load(reply.load)
                return self._target_failure(dispatch.target, reply.failure)
        return Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason="no last reply")

    def _target_failure(self, target: TargetName, failure: Failure) -> Failure:
        """Return a failure in the words of the target's own failures.

        Only a gateway may conclude from an interruption that a home is lost.
        """
        if failure.kind is not ErrorKind.INTERRUPTED:
            return failure
        self._membership.note_silent(target)
        return Failure(
            kind=ErrorKind.TARGET_FAILED,
            reason=failure.reason,
            not_run=failure.run_state,
        )

    # Services.

    async def _run_service(
        self,
        running: RunningProgram,
        call: ActiveCall,
        request: CallRequest,
        trace: str,
    ) -> None:
        policy = self._homes.policy(running.state.spec)
        if request.non_idempotent:
            result = await self._run_once(running, request, policy, trace)
        else:
            result = await self._run_repeatable(running, request, policy, trace)
        commit = self._service_commit(running, call, request, result)
        running.finish(call, commit)
        if request.non_idempotent:
            # A repeat after this process's death must find the answer.
            await _wait_settled(call, COMMIT_WAIT_ONCE)
        if isinstance(result, Failure):
            call.end(result)
            return
        await self._answer(running, call, commit)

    async def _run_repeatable(
        self,
        running: RunningProgram,
        request: CallRequest,
        policy: PolicySpecification,
        trace: str,
    ) -> Execution | Failure:
        tried: list[TargetName] = []
        failure = Failure(
            kind=ErrorKind.NO_TARGET, reason=f"no target runs {request.service!r} now"
        )
        while len(tried) < SERVICE_TRIES:
            target = self._service_target(request, tried)
            if target is None:
                break
            tried.append(target)
            dispatch = self._service_dispatch(
                running, request, policy, trace, target, AttemptId(new_id("attempt"))
            )
            result = await self._dispatch(dispatch, _ignore)
            if isinstance(result, Execution):
                return result
            failure = result
            if failure.kind is ErrorKind.DEADLINE_EXCEEDED:
                break
        if failure.run_state is NotRun.YES:
            raise FailureError(failure)
        return failure

    async def _run_once(
        self,
        running: RunningProgram,
        request: CallRequest,
        policy: PolicySpecification,
        trace: str,
    ) -> Execution | Failure:
        """Announce a call in the log, then dispatch it a single time.

        Where its executor says that it was not run, another may be announced.
        """
        tried: list[TargetName] = []
        while True:
            target = self._service_target(request, tried)
            if target is None:
                reason = f"no target runs {request.service!r} now"
                raise fail(ErrorKind.NO_TARGET, reason)
            tried.append(target)
            intent = await self._announce(running, request, target)
            if isinstance(intent, Failure):
                return intent
            dispatch = self._service_dispatch(
                running, request, policy, trace, intent.executor, intent.attempt
            )
            result = await self._dispatch(dispatch, _ignore)
            if isinstance(result, Execution):
                return result
            if result.run_state is not NotRun.YES:
                # The bytes may have left, so nobody can tell or may retry.
                return Failure(
                    kind=ErrorKind.OUTCOME_UNKNOWN,
                    reason=f"{UNKNOWN_REASON} ({result.reason})",
                )
            await self._withdraw(running, request, intent)
            if len(tried) >= SERVICE_TRIES:
                raise FailureError(result)

    async def _announce(
        self, running: RunningProgram, request: CallRequest, target: TargetName
    ) -> IntentState | Failure:
        """Return the intent to act on, or that the outcome is unknown."""
        assert request.key is not None
        unknown = Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason=UNKNOWN_REASON)
        known = running.intent(request.key)
        if known is not None and known.outcome is not Outcome.NOT_RUN:
            mine = known.epoch == running.epoch and known.outcome is Outcome.OPEN
            if mine and request.key in running.abandoned:
                # This process announced it and then answered "not run"; it
                # alone may dispatch it, and it never did.
                running.abandoned.discard(request.key)
                return known
            return unknown
        record = Intent(
            id=RecordId(new_id("intent")),
            program=running.id,
            epoch=running.epoch,
            key=request.key,
            request=fingerprint_of(request),
            executor=target,
            attempt=AttemptId(new_id("attempt")),
        )
        reply = await self._shards.submit(record, timeout=self._patience(request))
        if isinstance(reply, Failure):
            # Whatever becomes of the record, nothing was dispatched.
            running.abandoned.add(request.key)
            raise fail(reply.kind, reply.reason, not_run=NotRun.YES)
        if reply.verdict.refusal is Refusal.KEY_USED:
            running.take_state(reply.state)
            return unknown
        if not reply.verdict.valid:
            failure = superseded(running.id)
            running.lose(failure)
            raise fail(failure.kind, failure.reason, not_run=NotRun.YES)
        running.take_state(reply.state)
        return IntentState(
            epoch=record.epoch,
            request=record.request,
            executor=record.executor,
            attempt=record.attempt,
        )

    def _patience(self, request: CallRequest) -> float:
        """Return the seconds that an intent may wait for the log."""
        policy = self._homes.policy(request.spec)
        if policy.log_away is WhenLogIsAway.WAIT:
            return min(request.deadline, policy.service_timeout)
        return self._limits.submit_timeout

    async def _withdraw(
        self, running: RunningProgram, request: CallRequest, intent: IntentState
    ) -> None:
        assert request.key is not None
        record = Withdraw(
            id=RecordId(new_id("withdraw")),
            program=running.id,
            epoch=running.epoch,
            key=request.key,
            attempt=intent.attempt,
        )
        reply = await self._shards.submit(record, timeout=self._limits.submit_timeout)
        if not isinstance(reply, Failure):
            running.take_state(reply.state)

    def _service_target(
        self, request: CallRequest, tried: list[TargetName]
    ) -> TargetName | None:
        names = [
            TargetName(document.name)
            for document in self._catalogue.targets
            if document.spec.type is TargetType.SERVICE
            and document.spec.service == request.service
            and self._membership.takes_work(document)
        ]
        if request.target in names and request.target not in tried:
            return request.target
        left = [name for name in names if name not in tried]
        return min(left, key=self._membership.sent_since) if left else None

    def _service_dispatch(
        self,
        running: RunningProgram,
        request: CallRequest,
        policy: PolicySpecification,
        trace: str,
        target: TargetName,
        attempt: AttemptId,
    ) -> DispatchRequest:
        return DispatchRequest(
            program=running.id,
            workspace=running.state.spec.workspace,
            target=target,
            epoch=running.epoch,
            attempt=attempt,
            kind=CallKind.SERVICE,
            method=request.method,
            path=request.path,
            body=request.body,
            deadline=min(request.deadline, policy.service_timeout),
            key=request.key,
            trace=trace,
            weight=policy.priority,
        )

    def _service_commit(
        self,
        running: RunningProgram,
        call: ActiveCall,
        request: CallRequest,
        result: Execution | Failure,
    ) -> Commit:
        assert call.seq is not None
        if isinstance(result, Execution):
            answer = CallAnswer(
                status=result.status,
                body=result.body,
                content_type=result.content_type,
            )
        else:
            answer = error_answer(result)
        intent = running.intent(request.key) if request.key is not None else None
        once = intent is not None and intent.outcome is Outcome.OPEN
        outcome = Outcome.DONE if isinstance(result, Execution) else Outcome.UNKNOWN
        return Commit(
            id=RecordId(new_id("commit")),
            program=running.id,
            epoch=running.epoch,
            seq=call.seq,
            prefix=running.digest,
            digest=running.digest,
            answer=answer,
            request=call.fingerprint,
            key=request.key if once else None,
            outcome=outcome if once else None,
        )

    # Answering.

    async def _answer(
        self, running: RunningProgram, call: ActiveCall, commit: Commit
    ) -> None:
        wait = self._homes.policy(running.state.spec).commit_wait
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
                return Failed(failure=event, load=self._load())
            break
        await send(
            Done(
                answer=event.answer,
                seq=call.seq or Seq(0),
                committed=call.kept,
                turn=event.turn,
                used=event.used,
                load=self._load(),
            )
        )
        failure = await call.settled()
        if failure is not None:
            return Failed(failure=failure)
        return Committed(seq=call.seq or Seq(0))


UNKNOWN_REASON = "the call may have been run; it is not run again"


def fingerprint_of(request: CallRequest) -> str:
    """Return a digest that tells requests of a program apart."""
    head = f"{request.kind.value}\0{request.service}\0{request.method}\0{request.path}"
    return xxhash.xxh3_128_hexdigest(head.encode() + b"\0" + request.body)


def _check_key(request: CallRequest, fingerprint: str) -> None:
    if fingerprint_of(request) != fingerprint:
        raise fail(
            ErrorKind.KEY_CONFLICT,
            f"key {request.key!r} was used for another request",
            field="Idempotency-Key",
        )


def check_extension(running: RunningProgram, chat: Chat) -> list:
    """Return the messages that go beyond the history, or fail."""
    known = running.message_count
    if len(chat.messages) <= known and known:
        raise fail(
            ErrorKind.HISTORY_CONFLICT,
            f"the history has {known} messages and must be followed by new ones; "
            f"the request has {len(chat.messages)}",
            field="messages",
        )
    if digest_chain(chat.messages[:known]) != running.digest:
        raise fail(
            ErrorKind.HISTORY_CONFLICT,
            f"the first {known} messages differ from the history of the program",
            field="messages",
        )
    return chat.messages[known:]


def _call_of(commit: Commit) -> ActiveCall:
    """Return the finished call that a commit holds."""
    call = ActiveCall(
        kind=CallKind.MODEL if commit.messages else CallKind.SERVICE,
        fingerprint=commit.request,
        seq=commit.seq,
        key=commit.key,
    )
    if commit.outcome is Outcome.UNKNOWN:
        call.end(Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason=UNKNOWN_REASON))
    else:
        call.end(Done(answer=commit.answer, committed=True, used=commit.used))
    call.settle(None)
    return call


async def _wait_settled(call: ActiveCall, timeout: float) -> None:
    try:
        async with asyncio.timeout(timeout):
            await call.settled()
    except TimeoutError:
        log.info("An answer goes out before the log has taken it.")


def _ignore(payload: bytes) -> None:
    """Drop a piece; services answer whole."""
