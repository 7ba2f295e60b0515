"""Dispatch attempts to the executor of this sidecar or of another."""

from __future__ import annotations

from ..engines.interfaces import Emit
from ..errors import ErrorKind, Failure
from ..ids import TargetName
from ..sidecar.executor import AttemptResult
from ..wire.messages import Chunk, DispatchRequest, Executed, Failed
from .context import HomeContext


class Dispatcher:
    """Dispatch each attempt to the sidecar of its target, without retries."""

    def __init__(self, *, context: HomeContext) -> None:
        self._context = context

    async def run(
        self, dispatch: DispatchRequest, emit: Emit
    ) -> AttemptResult | Failure:
        """Run an attempt at its target and emit the payloads of its answer."""
        if dispatch.target == self._context.own_target:
            return await self._context.executor.run(dispatch, emit)
        address = self._context.membership.address(dispatch.target)
        if address is None:
            return Failure(
                kind=ErrorKind.NO_TARGET,
                reason=f"target {dispatch.target} has no known address",
            )
        self._context.membership.note_sent(dispatch.target)
        async for reply in self._context.links.to(address).stream(dispatch):
            if isinstance(reply, Chunk):
                emit(reply.data)
            elif isinstance(reply, Executed):
                self._context.membership.note_load(reply.load)
                return AttemptResult(
                    status=reply.status,
                    body=reply.body,
                    content_type=reply.content_type,
                    prompt_tokens=reply.prompt_tokens,
                    answer_tokens=reply.answer_tokens,
                    cached_tokens=reply.cached_tokens,
                    seconds=reply.seconds,
                )
            elif isinstance(reply, Failed):
                self._context.membership.note_load(reply.load)
                return self._target_failure(dispatch.target, reply.failure)
        return Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            reason="the reply stream of the target ended early",
        )

    def _target_failure(self, target: TargetName, failure: Failure) -> Failure:
        """Return the failure to report for an attempt at another target.

        INTERRUPTED becomes TARGET_FAILED, since gateways take INTERRUPTED as the loss
        of the program's home.
        """
        if failure.kind is not ErrorKind.INTERRUPTED:
            return failure
        self._context.membership.note_silent(target)
        return Failure(
            kind=ErrorKind.TARGET_FAILED,
            reason=failure.reason,
            not_run=failure.run_state,
        )
