"""Have attempts run, here or at the sidecar of another target."""

from __future__ import annotations

from ..engines.interfaces import Emit
from ..errors import ErrorKind, Failure
from ..ids import TargetName
from ..sidecar.executor import AttemptResult
from ..wire.messages import Chunk, DispatchRequest, Executed, Failed
from .parts import HomeParts


class Dispatcher:
    """Deliver each attempt once."""

    def __init__(self, *, parts: HomeParts) -> None:
        self._parts = parts

    async def run(
        self, dispatch: DispatchRequest, emit: Emit
    ) -> AttemptResult | Failure:
        """Have an attempt run, here or at the sidecar of its target."""
        if dispatch.target == self._parts.me:
            return await self._parts.executor.run(dispatch, emit)
        address = self._parts.membership.address(dispatch.target)
        if address is None:
            return Failure(
                kind=ErrorKind.NO_TARGET, reason=f"target {dispatch.target} is gone"
            )
        self._parts.membership.note_sent(dispatch.target)
        async for reply in self._parts.links.to(address).stream(dispatch):
            if isinstance(reply, Chunk):
                emit(reply.data)
            elif isinstance(reply, Executed):
                self._parts.membership.note_load(reply.load)
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
                self._parts.membership.note_load(reply.load)
                return self._target_failure(dispatch.target, reply.failure)
        return Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason="no last reply")

    def _target_failure(self, target: TargetName, failure: Failure) -> Failure:
        """Return a failure in the words of the target's own failures.

        Only a gateway may conclude from an interruption that a home is lost.
        """
        if failure.kind is not ErrorKind.INTERRUPTED:
            return failure
        self._parts.membership.note_silent(target)
        return Failure(
            kind=ErrorKind.TARGET_FAILED,
            reason=failure.reason,
            not_run=failure.run_state,
        )
