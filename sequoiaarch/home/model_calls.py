"""Run model calls: check the history, reserve budget and collect the answer."""

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
    max_prompt_tokens,
    parse_chat,
)
from .context import CallJob, HomeContext
from .dispatcher import Dispatcher
from .program import RunningProgram

log = logbook.Logger("home")

CHAT_PATH = "/v1/chat/completions"
OVERRUN_MARGIN = 64  # tokens reserved for engines that exceed their limit
MIN_ANSWER_TOKENS = 1
EXPECTED_ANSWER_TOKENS = 256
CALLS_PER_BLOCK = 2  # calls that a reserved block of the budget should cover


class ModelCalls:
    """Run model calls of programs whose home is this sidecar."""

    def __init__(self, *, context: HomeContext, dispatcher: Dispatcher) -> None:
        self._context = context
        self._dispatcher = dispatcher

    async def run(self, job: CallJob) -> Commit:
        """Run one call and return its commit."""
        running = job.running
        chat = parse_chat(job.request.body)
        extension = check_extension(running, chat)
        target = job.request.target or self._context.own_target
        prompt_tokens = max_prompt_tokens(chat, self._bytes_per_token(target))
        max_answer = self._context.answer_limit(job.request)
        answer_tokens = min(chat.max_tokens or max_answer, max_answer)
        reserved = await running.reserve(
            prompt_tokens + answer_tokens + OVERRUN_MARGIN,
            prompt_tokens + MIN_ANSWER_TOKENS + OVERRUN_MARGIN,
            self._context.limits.submit_timeout,
        )
        builder = AnswerBuilder()
        try:
            token_limit = reserved - prompt_tokens - OVERRUN_MARGIN
            execution = await self._dispatch(job, chat, builder, target, token_limit)
            used = execution.prompt_tokens + execution.answer_tokens
            if used > reserved:
                log.error(
                    "Target {} used {} tokens, only {} were reserved.",
                    target,
                    used,
                    reserved,
                )
                used = reserved
            commit = self._commit(job, extension, builder, used, reserved)
        finally:
            running.release_reservation(reserved)
        running.attained += execution.seconds
        return commit

    def _bytes_per_token(self, target: TargetName) -> float:
        document = self._context.catalogue.target(target)
        return document.spec.min_bytes_per_token if document else 1.0

    async def _dispatch(
        self,
        job: CallJob,
        chat: Chat,
        builder: AnswerBuilder,
        target: TargetName,
        token_limit: int,
    ) -> AttemptResult:
        running = job.running
        policy = self._context.local_programs.policy(running.state.spec)
        dispatch = DispatchRequest(
            program=running.id,
            workspace=running.state.spec.workspace,
            target=target,
            epoch=running.epoch,
            attempt=AttemptId(new_id("attempt")),
            kind=CallKind.MODEL,
            method="POST",
            path=CHAT_PATH,
            body=engine_body(chat, token_limit),
            deadline=min(job.request.deadline, policy.deadline),
            name=running.state.spec.name,
            trace=job.trace,
            attained=running.attained,
            weight=policy.priority,
            tokens=estimate_tokens(chat) + min(token_limit, EXPECTED_ANSWER_TOKENS),
        )

        def emit(payload: bytes) -> None:
            if builder.content_chunks < token_limit:
                builder.add(payload)
                job.call.emit(payload)
                return
            # The engine exceeds its token limit: drop the rest of the answer.
            if b'"usage"' in payload:
                builder.mark_truncated()

        result = await self._dispatcher.run(dispatch, emit)
        if isinstance(result, Failure):
            raise FailureError(result)
        return result

    def _commit(
        self,
        job: CallJob,
        extension: list[ChatMessage],
        builder: AnswerBuilder,
        used: int,
        reserved: int,
    ) -> Commit:
        running = job.running
        call = job.call
        messages = [*extension, builder.message]
        answer = CallAnswer(status=200, body=builder.body())
        assert call.seq is not None
        remaining = running.remaining + reserved - used
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
            block=max(0, reserved * CALLS_PER_BLOCK - remaining),
        )


def check_extension(running: RunningProgram, chat: Chat) -> list[ChatMessage]:
    """Return the messages after the history; fail if the history differs."""
    length = running.message_count
    if len(chat.messages) <= length and length:
        raise fail(
            ErrorKind.HISTORY_CONFLICT,
            f"the history has {length} messages and must be followed by new ones; "
            f"the request has {len(chat.messages)}",
            field="messages",
        )
    if digest_chain(chat.messages[:length]) != running.digest:
        raise fail(
            ErrorKind.HISTORY_CONFLICT,
            f"the first {length} messages differ from the history of the program",
            field="messages",
        )
    return chat.messages[length:]
