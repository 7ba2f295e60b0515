"""Run idempotent and non-idempotent service calls."""

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
from ..sidecar.executor import AttemptResult
from ..wire.messages import CallKind, CallRequest, DispatchRequest
from .answers import error_answer
from .context import CallJob, HomeContext
from .dispatcher import Dispatcher
from .finder import UNKNOWN_OUTCOME_REASON, request_fingerprint
from .program import RunningProgram, superseded_failure

MAX_SERVICE_ATTEMPTS = 2


class ServiceCalls:
    """Run service calls of programs whose home is this sidecar."""

    def __init__(self, *, context: HomeContext, dispatcher: Dispatcher) -> None:
        self._context = context
        self._dispatcher = dispatcher

    async def run(self, job: CallJob) -> AttemptResult | Failure:
        """Run one call; a returned failure is committed as its result."""
        policy = self._context.local_programs.policy(job.running.state.spec)
        if job.request.non_idempotent:
            return await self._run_non_idempotent(job, policy)
        return await self._run_idempotent(job, policy)

    async def _run_idempotent(
        self, job: CallJob, policy: PolicySpecification
    ) -> AttemptResult | Failure:
        tried: list[TargetName] = []
        failure = Failure(
            kind=ErrorKind.NO_TARGET,
            reason=f"no target is available for service {job.request.service!r}",
        )
        while len(tried) < MAX_SERVICE_ATTEMPTS:
            target = self._select_target(job.request, tried)
            if target is None:
                break
            tried.append(target)
            dispatch = self._dispatch_request(
                job, policy, target, AttemptId(new_id("attempt"))
            )
            result = await self._dispatcher.run(dispatch, _discard_event)
            if isinstance(result, AttemptResult):
                return result
            failure = result
            if failure.kind is ErrorKind.DEADLINE_EXCEEDED:
                break
        if failure.run_state is NotRun.YES:
            raise FailureError(failure)
        return failure

    async def _run_non_idempotent(
        self, job: CallJob, policy: PolicySpecification
    ) -> AttemptResult | Failure:
        """Write an intent to the log, then dispatch the call at most once.

        If the executor reports that the call was not run, the intent is withdrawn and
        another target is tried.
        """
        tried: list[TargetName] = []
        while True:
            target = self._select_target(job.request, tried)
            if target is None:
                reason = f"no target is available for service {job.request.service!r}"
                raise fail(ErrorKind.NO_TARGET, reason)
            tried.append(target)
            intent = await self._log_intent(job.running, job.request, target)
            if isinstance(intent, Failure):
                return intent
            dispatch = self._dispatch_request(
                job, policy, intent.executor, intent.attempt
            )
            result = await self._dispatcher.run(dispatch, _discard_event)
            if isinstance(result, AttemptResult):
                return result
            if result.run_state is not NotRun.YES:
                # The request may have been sent, so it is not safe to retry.
                return Failure(
                    kind=ErrorKind.OUTCOME_UNKNOWN,
                    reason=f"{UNKNOWN_OUTCOME_REASON} ({result.reason})",
                )
            await self._withdraw(job.running, job.request, intent)
            if len(tried) >= MAX_SERVICE_ATTEMPTS:
                raise FailureError(result)

    async def _log_intent(
        self, running: RunningProgram, request: CallRequest, target: TargetName
    ) -> IntentState | Failure:
        """Return the intent to dispatch, or a failure if the outcome is unknown."""
        assert request.key is not None
        unknown_outcome = Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN, reason=UNKNOWN_OUTCOME_REASON
        )
        known = running.intent(request.key)
        if known is not None and known.outcome is not Outcome.NOT_RUN:
            own_intent = known.epoch == running.epoch and known.outcome is Outcome.OPEN
            if own_intent and request.key in running.undispatched_keys:
                # This process failed to append the intent earlier and did not dispatch
                # the call; no other process may.
                running.undispatched_keys.discard(request.key)
                return known
            return unknown_outcome
        record = Intent(
            id=RecordId(new_id("intent")),
            program=running.id,
            epoch=running.epoch,
            key=request.key,
            request=request_fingerprint(request),
            executor=target,
            attempt=AttemptId(new_id("attempt")),
        )
        reply = await self._context.shards.submit(
            record, timeout=self._intent_timeout(request)
        )
        if isinstance(reply, Failure):
            # The record may still be appended, but nothing was dispatched.
            running.undispatched_keys.add(request.key)
            raise FailureError(reply.before_dispatch())
        if reply.verdict.refusal is Refusal.KEY_USED:
            running.update_state(reply.state)
            return unknown_outcome
        if not reply.verdict.valid:
            failure = superseded_failure(running.id)
            running.mark_lost(failure)
            raise FailureError(failure.before_dispatch())
        running.update_state(reply.state)
        return IntentState(
            epoch=record.epoch,
            request=record.request,
            executor=record.executor,
            attempt=record.attempt,
        )

    def _intent_timeout(self, request: CallRequest) -> float:
        """Return the timeout for appending an intent, in seconds."""
        policy = self._context.local_programs.policy(request.spec)
        if policy.log_away is LogOutagePolicy.WAIT:
            return min(request.deadline, policy.service_timeout)
        return self._context.limits.submit_timeout

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
        reply = await self._context.shards.submit(
            record, timeout=self._context.limits.submit_timeout
        )
        if not isinstance(reply, Failure):
            running.update_state(reply.state)

    def _select_target(
        self, request: CallRequest, tried: list[TargetName]
    ) -> TargetName | None:
        candidates = [
            TargetName(document.name)
            for document in self._context.catalogue.targets
            if document.spec.type is TargetType.SERVICE
            and document.spec.service == request.service
            and self._context.membership.takes_work(document)
        ]
        if request.target in candidates and request.target not in tried:
            return request.target
        untried = [name for name in candidates if name not in tried]
        return (
            min(untried, key=self._context.membership.sent_since) if untried else None
        )

    def _dispatch_request(
        self,
        job: CallJob,
        policy: PolicySpecification,
        target: TargetName,
        attempt: AttemptId,
    ) -> DispatchRequest:
        running = job.running
        request = job.request
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
            trace=job.trace,
            weight=policy.priority,
        )

    def commit(self, job: CallJob, result: AttemptResult | Failure) -> Commit:
        """Return the commit with the result of a call."""
        running = job.running
        call = job.call
        request = job.request
        assert call.seq is not None
        if isinstance(result, AttemptResult):
            answer = CallAnswer(
                status=result.status,
                body=result.body,
                content_type=result.content_type,
            )
        else:
            answer = error_answer(result)
        intent = running.intent(request.key) if request.key is not None else None
        intent_open = intent is not None and intent.outcome is Outcome.OPEN
        outcome = Outcome.DONE if isinstance(result, AttemptResult) else Outcome.UNKNOWN
        return Commit(
            id=RecordId(new_id("commit")),
            program=running.id,
            epoch=running.epoch,
            seq=call.seq,
            prefix=running.digest,
            digest=running.digest,
            answer=answer,
            request=call.fingerprint,
            key=request.key if intent_open else None,
            outcome=outcome if intent_open else None,
        )


def _discard_event(payload: bytes) -> None:
    """Ignore a payload; services do not stream."""
