"""Run model calls: history, budget and the answer."""

from __future__ import annotations

import logbook

from ..errors import ErrorKind, Failure, FailureError, fail
from ..ids import AttemptId, RecordId, TargetName, new_id
from ..records.types import CallAnswer, Commit
from ..sidecar.executor import AttemptResult
from ..wire.messages import CallKind, DispatchRequest
from .chat import (
    AnswerBuilder,
    Chat,
    ChatMessage,
    digest_chain,
    encode_messages,
    engine_body,
    estimate_tokens,
    parse_chat,
    prompt_bound,
)
from .dispatcher import Dispatcher
from .parts import HomeParts, Work
from .program import RunningProgram

log = logbook.Logger("home")

CHAT_PATH = "/v1/chat/completions"
CUT_SLACK = 64
LEAST_ANSWER = 1
EXPECTED_ANSWER = 256
BLOCK_CALLS = 2


class ModelCalls:
    """Run model calls of programs that are at home here."""

    def __init__(self, *, parts: HomeParts, dispatcher: Dispatcher) -> None:
        self._parts = parts
        self._dispatcher = dispatcher

    async def run(self, work: Work) -> Commit:
        """Run one call and return the commit that adds it to the history."""
        running = work.running
        chat = parse_chat(work.request.body)
        extension = check_extension(running, chat)
        target = work.request.target or self._parts.me
        prompt = prompt_bound(chat, self._bytes_per_token(target))
        most = self._parts.answer_limit(work.request)
        answer = min(chat.max_tokens or most, most)
        given = await running.reserve(
            prompt + answer + CUT_SLACK,
            prompt + LEAST_ANSWER + CUT_SLACK,
            self._parts.limits.submit_timeout,
        )
        builder = AnswerBuilder()
        try:
            limit = given - prompt - CUT_SLACK
            execution = await self._dispatch(work, chat, builder, target, limit)
            used = execution.prompt_tokens + execution.answer_tokens
            if used > given:
                log.error("Target {} used {} of {} tokens.", target, used, given)
                used = given
            commit = self._commit(work, extension, builder, used, given)
        finally:
            running.give_back(given)
        running.attained += execution.seconds
        return commit

    def _bytes_per_token(self, target: TargetName) -> float:
        document = self._parts.catalogue.target(target)
        return document.spec.min_bytes_per_token if document else 1.0

    async def _dispatch(
        self,
        work: Work,
        chat: Chat,
        builder: AnswerBuilder,
        target: TargetName,
        limit: int,
    ) -> AttemptResult:
        running = work.running
        policy = self._parts.homes.policy(running.state.spec)
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
            deadline=min(work.request.deadline, policy.deadline),
            name=running.state.spec.name,
            trace=work.trace,
            attained=running.attained,
            weight=policy.priority,
            tokens=estimate_tokens(chat) + min(limit, EXPECTED_ANSWER),
        )

        def emit(payload: bytes) -> None:
            if builder.pieces < limit:
                builder.add(payload)
                work.call.emit(payload)
                return
            # The engine gives more than it was asked for. The caller's
            # budget must not pay for that.
            if b'"usage"' in payload:
                builder.cut()

        result = await self._dispatcher.run(dispatch, emit)
        if isinstance(result, Failure):
            raise FailureError(result)
        return result

    def _commit(
        self,
        work: Work,
        extension: list[ChatMessage],
        builder: AnswerBuilder,
        used: int,
        given: int,
    ) -> Commit:
        running = work.running
        call = work.call
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
            block=max(0, given * BLOCK_CALLS - after),
        )


def check_extension(running: RunningProgram, chat: Chat) -> list[ChatMessage]:
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
