"""Find earlier calls for repeated requests, in memory or in the log."""

from __future__ import annotations

import xxhash

from ..errors import ErrorKind, Failure, FailureError, fail
from ..ids import ProgramId, Seq
from ..records.types import Commit, IntentState, Outcome
from ..wire.messages import CallKind, CallRequest, Done
from .calls import ActiveCall
from .context import HomeContext
from .program import RunningProgram

UNKNOWN_OUTCOME_REASON = "the call may have been run; it is not run again"


class CallFinder:
    """Find a call by its sequence number, idempotency key or request fingerprint."""

    def __init__(self, *, context: HomeContext) -> None:
        self._context = context

    async def find(
        self, running: RunningProgram, request: CallRequest
    ) -> ActiveCall | None:
        """Return the earlier call of a repeated request, or None if the call is new."""
        fingerprint = request_fingerprint(request)
        if request.key is not None:
            call = await self._find_by_key(running, request)
            if call is not None:
                return call
        if request.seq is None:
            if request.kind is not CallKind.MODEL:
                return None
            repeat = running.find_repeat(fingerprint)
            return repeat or await self._find_repeat_in_log(running, fingerprint)
        call = running.call_with_seq(request.seq)
        if call is None and request.seq <= running.seq:
            call = await self._find_in_log(running, request.seq)
        if call is not None and call.fingerprint != fingerprint:
            raise fail(
                ErrorKind.OUT_OF_SEQUENCE,
                f"call {request.seq} was a different request",
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
            check_same_request(request, call.fingerprint)
            return call
        intent = running.intent(request.key)
        if intent is None:
            return None
        check_same_request(request, intent.request)
        return await self._find_by_intent(running.id, intent)

    async def _find_by_intent(
        self, program: ProgramId, intent: IntentState
    ) -> ActiveCall | None:
        """Return the finished call of an intent, or None if the log has no answer."""
        if intent.outcome is not Outcome.DONE:
            return None
        commits = await self._context.shards.commits(program)
        if isinstance(commits, Failure):
            raise FailureError(commits)
        for commit in commits:
            if commit.key is not None and commit.request == intent.request:
                return finished_call(commit)
        return None

    async def _find_in_log(self, running: RunningProgram, seq: Seq) -> ActiveCall:
        commit = await self._read_commit(running, seq)
        if commit is None:
            raise fail(
                ErrorKind.OUT_OF_SEQUENCE,
                f"call {seq} was answered and its answer is no longer stored",
                field="X-Call-Seq",
                expected_seq=running.seq + 1,
            )
        return finished_call(commit)

    async def _find_repeat_in_log(
        self, running: RunningProgram, fingerprint: str
    ) -> ActiveCall | None:
        """Return the last call of an earlier home if it had the same request.

        Clients without sequence numbers repeat a request whose answer they did not
        receive. After a takeover the call is not in memory, but its turn is already
        in the history.
        """
        if not running.seq or running.call_with_seq(running.seq) is not None:
            return None
        commit = await self._read_commit(running, running.seq)
        if commit is None or commit.request != fingerprint:
            return None
        return finished_call(commit)

    async def _read_commit(self, running: RunningProgram, seq: Seq) -> Commit | None:
        """Return the commit of an earlier call, or None if the log has none."""
        commit = await self._context.local_programs.find_commit(running, seq)
        if isinstance(commit, Failure):
            raise FailureError(commit)
        return commit

    async def find_after_end(
        self, request: CallRequest, failure: Failure
    ) -> ActiveCall | None:
        """Return the call with the request's key if its program has ended."""
        if failure.kind is not ErrorKind.PROGRAM_ENDED or request.key is None:
            return None
        state = await self._context.shards.state(request.program)
        if state is None or isinstance(state, Failure):
            return None
        intent = state.intents.get(request.key)
        if intent is None:
            return None
        check_same_request(request, intent.request)
        if intent.outcome is Outcome.UNKNOWN:
            raise fail(ErrorKind.OUTCOME_UNKNOWN, UNKNOWN_OUTCOME_REASON)
        return await self._find_by_intent(request.program, intent)


def request_fingerprint(request: CallRequest) -> str:
    """Return a digest that identifies the content of a request."""
    prefix = (
        f"{request.kind.value}\0{request.service}\0{request.method}\0{request.path}"
    )
    return xxhash.xxh3_128_hexdigest(prefix.encode() + b"\0" + request.body)


def check_same_request(request: CallRequest, fingerprint: str) -> None:
    """Fail if the key was used for a different request."""
    if request_fingerprint(request) != fingerprint:
        raise fail(
            ErrorKind.KEY_CONFLICT,
            f"key {request.key!r} was used for a different request",
            field="Idempotency-Key",
        )


def finished_call(commit: Commit) -> ActiveCall:
    """Return the finished call of a commit."""
    call = ActiveCall(
        kind=CallKind.MODEL if commit.messages else CallKind.SERVICE,
        fingerprint=commit.request,
        seq=commit.seq,
        key=commit.key,
    )
    if commit.outcome is Outcome.UNKNOWN:
        call.end(Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason=UNKNOWN_OUTCOME_REASON))
    else:
        call.end(Done(answer=commit.answer, committed=True, used=commit.used))
    call.resolve_commit(None)
    return call
