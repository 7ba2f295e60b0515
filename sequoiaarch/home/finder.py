"""Find calls that were asked before, here or in the log."""

from __future__ import annotations

import xxhash

from ..errors import ErrorKind, Failure, FailureError, fail
from ..ids import ProgramId, Seq
from ..records.types import Commit, IntentState, Outcome
from ..wire.messages import CallKind, CallRequest, Done
from .calls import ActiveCall
from .context import HomeContext
from .program import RunningProgram

UNKNOWN_REASON = "the call may have been run; it is not run again"


class CallFinder:
    """Find a call by its sequence number, its key, or its request."""

    def __init__(self, *, context: HomeContext) -> None:
        self._context = context

    async def find(
        self, running: RunningProgram, request: CallRequest
    ) -> ActiveCall | None:
        """Return the call where it was asked before."""
        fingerprint = fingerprint_of(request)
        if request.key is not None:
            call = await self._find_by_key(running, request)
            if call is not None:
                return call
        if request.seq is None:
            if request.kind is not CallKind.MODEL:
                return None
            repeated = running.repeat_of(fingerprint)
            return repeated or await self._repeat_in_log(running, fingerprint)
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
            check_key(request, call.fingerprint)
            return call
        intent = running.intent(request.key)
        if intent is None:
            return None
        check_key(request, intent.request)
        return await self._call_with_intent(running.id, intent)

    async def _call_with_intent(
        self, program: ProgramId, intent: IntentState
    ) -> ActiveCall | None:
        """Return the finished call of an intent, if the log holds its answer."""
        if intent.outcome is not Outcome.DONE:
            return None
        commits = await self._context.shards.commits(program)
        if isinstance(commits, Failure):
            raise FailureError(commits)
        for commit in commits:
            if commit.key is not None and commit.request == intent.request:
                return call_of(commit)
        return None

    async def _find_in_log(self, running: RunningProgram, seq: Seq) -> ActiveCall:
        commit = await self._commit_of(running, seq)
        if commit is None:
            raise fail(
                ErrorKind.OUT_OF_SEQUENCE,
                f"call {seq} was answered and its answer is no longer kept",
                field="X-Call-Seq",
                expected_seq=running.seq + 1,
            )
        return call_of(commit)

    async def _repeat_in_log(
        self, running: RunningProgram, fingerprint: str
    ) -> ActiveCall | None:
        """Return the last call of an earlier home where it had the same request.

        Clients without sequence numbers repeat a request whose answer they did
        not get. A home that was claimed since can't know it from memory, and
        its history already holds the turn that the request asks for.
        """
        if not running.seq or running.known_call(running.seq) is not None:
            return None
        commit = await self._commit_of(running, running.seq)
        if commit is None or commit.request != fingerprint:
            return None
        return call_of(commit)

    async def _commit_of(self, running: RunningProgram, seq: Seq) -> Commit | None:
        """Return the commit of an earlier call, if the log still keeps it."""
        commit = await self._context.local_programs.answered(running, seq)
        if isinstance(commit, Failure):
            raise FailureError(commit)
        return commit

    async def call_of_ended(
        self, request: CallRequest, failure: Failure
    ) -> ActiveCall | None:
        """Return the call that used a key of a program that has ended."""
        if failure.kind is not ErrorKind.PROGRAM_ENDED or request.key is None:
            return None
        state = await self._context.shards.state(request.program)
        if state is None or isinstance(state, Failure):
            return None
        intent = state.intents.get(request.key)
        if intent is None:
            return None
        check_key(request, intent.request)
        if intent.outcome is Outcome.UNKNOWN:
            raise fail(ErrorKind.OUTCOME_UNKNOWN, UNKNOWN_REASON)
        return await self._call_with_intent(request.program, intent)


def fingerprint_of(request: CallRequest) -> str:
    """Return a digest that tells requests of a program apart."""
    head = f"{request.kind.value}\0{request.service}\0{request.method}\0{request.path}"
    return xxhash.xxh3_128_hexdigest(head.encode() + b"\0" + request.body)


def check_key(request: CallRequest, fingerprint: str) -> None:
    """Refuse another request under a key that was used."""
    if fingerprint_of(request) != fingerprint:
        raise fail(
            ErrorKind.KEY_CONFLICT,
            f"key {request.key!r} was used for another request",
            field="Idempotency-Key",
        )


def call_of(commit: Commit) -> ActiveCall:
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
