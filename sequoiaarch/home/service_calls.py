"""Run service calls, those that may not be repeated among them."""

from __future__ import annotations

from ..config.documents import LogOutagePolicy, PolicySpecification, TargetType
from ..errors import ErrorKind, Failure, FailureError, NotRun, fail
from ..ids import AttemptId, RecordId, TargetName, new_id
from ..records.acceptance import Refusal
from ..records.types import (
    CallAnswer,
    Commit,
    Intent,
    IntentState,
    Outcome,
    Withdraw,
)
from ..sidecar.executor import Execution
from ..wire.messages import CallKind, CallRequest, DispatchRequest
from .answers import error_answer
from .dispatcher import Dispatcher
from .finder import UNKNOWN_REASON, fingerprint_of
from .parts import HomeParts, Work
from .program import RunningProgram, superseded

SERVICE_TRIES = 2


class ServiceCalls:
    """Run service calls of programs that are at home here."""

    def __init__(self, *, parts: HomeParts, dispatcher: Dispatcher) -> None:
        self._parts = parts
        self._dispatcher = dispatcher

    async def run(self, work: Work) -> Execution | Failure:
        """Run one call; a failure that is returned takes its place in order."""
        policy = self._parts.homes.policy(work.running.state.spec)
        if work.request.non_idempotent:
            return await self._run_once(work, policy)
        return await self._run_repeatable(work, policy)

    async def _run_repeatable(
        self, work: Work, policy: PolicySpecification
    ) -> Execution | Failure:
        tried: list[TargetName] = []
        failure = Failure(
            kind=ErrorKind.NO_TARGET,
            reason=f"no target runs {work.request.service!r} now",
        )
        while len(tried) < SERVICE_TRIES:
            target = self._target(work.request, tried)
            if target is None:
                break
            tried.append(target)
            dispatch = self._dispatch_of(
                work, policy, target, AttemptId(new_id("attempt"))
            )
            result = await self._dispatcher.run(dispatch, _ignore)
            if isinstance(result, Execution):
                return result
            failure = result
            if failure.kind is ErrorKind.DEADLINE_EXCEEDED:
                break
        if failure.run_state is NotRun.YES:
            raise FailureError(failure)
        return failure

    async def _run_once(
        self, work: Work, policy: PolicySpecification
    ) -> Execution | Failure:
        """Announce a call in the log, then dispatch it a single time.

        Where its executor says that it was not run, another may be announced.
        """
        tried: list[TargetName] = []
        while True:
            target = self._target(work.request, tried)
            if target is None:
                reason = f"no target runs {work.request.service!r} now"
                raise fail(ErrorKind.NO_TARGET, reason)
            tried.append(target)
            intent = await self._announce(work.running, work.request, target)
            if isinstance(intent, Failure):
                return intent
            dispatch = self._dispatch_of(work, policy, intent.executor, intent.attempt)
            result = await self._dispatcher.run(dispatch, _ignore)
            if isinstance(result, Execution):
                return result
            if result.run_state is not NotRun.YES:
                # The bytes may have left, so nobody can tell or may retry.
                return Failure(
                    kind=ErrorKind.OUTCOME_UNKNOWN,
                    reason=f"{UNKNOWN_REASON} ({result.reason})",
                )
            await self._withdraw(work.running, work.request, intent)
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
        reply = await self._parts.shards.submit(record, timeout=self._patience(request))
        if isinstance(reply, Failure):
            # Whatever becomes of the record, nothing was dispatched.
            running.abandoned.add(request.key)
            raise FailureError(reply.before_dispatch())
        if reply.verdict.refusal is Refusal.KEY_USED:
            running.take_state(reply.state)
            return unknown
        if not reply.verdict.valid:
            failure = superseded(running.id)
            running.lose(failure)
            raise FailureError(failure.before_dispatch())
        running.take_state(reply.state)
        return IntentState(
            epoch=record.epoch,
            request=record.request,
            executor=record.executor,
            attempt=record.attempt,
        )

    def _patience(self, request: CallRequest) -> float:
        """Return the seconds that an intent may wait for the log."""
        policy = self._parts.homes.policy(request.spec)
        if policy.log_away is LogOutagePolicy.WAIT:
            return min(request.deadline, policy.service_timeout)
        return self._parts.limits.submit_timeout

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
        reply = await self._parts.shards.submit(
            record, timeout=self._parts.limits.submit_timeout
        )
        if not isinstance(reply, Failure):
            running.take_state(reply.state)

    def _target(
        self, request: CallRequest, tried: list[TargetName]
    ) -> TargetName | None:
        names = [
            TargetName(document.name)
            for document in self._parts.catalogue.targets
            if document.spec.type is TargetType.SERVICE
            and document.spec.service == request.service
            and self._parts.membership.takes_work(document)
        ]
        if request.target in names and request.target not in tried:
            return request.target
        left = [name for name in names if name not in tried]
        return min(left, key=self._parts.membership.sent_since) if left else None

    def _dispatch_of(
        self,
        work: Work,
        policy: PolicySpecification,
        target: TargetName,
        attempt: AttemptId,
    ) -> DispatchRequest:
        running = work.running
        request = work.request
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
            trace=work.trace,
            weight=policy.priority,
        )

    def commit(self, work: Work, result: Execution | Failure) -> Commit:
        """Return the commit that keeps the outcome of a call."""
        running = work.running
        call = work.call
        request = work.request
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


def _ignore(payload: bytes) -> None:
    """Drop a piece; services answer whole."""
