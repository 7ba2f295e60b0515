"""Hold what requests and responses say of themselves, and how to read it."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..http1.messages import Headers, RequestMessage, ResponseHead
from ..ids import AttemptId, InstanceId, ProgramId, SessionId, TurnId, Workspace


class Secret:
    """Hold a key so that no log line or error can show it."""

    def __init__(self, value: str) -> None:
        self._value = value

    def __repr__(self) -> str:
        return "Secret()"

    def reveal(self) -> str:
        """Return the key."""
        return self._value


class PromptPart(msgspec.Struct, frozen=True, kw_only=True):
    """Name a part of a prompt that several requests may share."""

    part: str
    tokens: int


class CallInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a request says of itself; times in seconds from its arrival.

    `most_tokens` is the most that it may generate, `expected_tokens` the
    caller's estimate; `previous` names the turn that it continues from. The key is
    secret and shows in no representation.
    """

    attempt: AttemptId
    host: str
    path: str
    deadline: float | None
    program: ProgramId
    session: SessionId
    program_deadline: float | None
    budget: int | None
    prompt_tokens: int
    most_tokens: int
    expected_tokens: int | None
    previous: TurnId | None
    prefix: tuple[PromptPart, ...]
    key: Secret | None = None

    @property
    def key_text(self) -> str | None:
        """Return the caller's key, which must not be logged or sent."""
        return self.key.reveal() if self.key is not None else None


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """Say how a request goes to a target; the deadline in seconds.

    The most urgent requests have urgency 0, the least 9. `workspace` is the one
    of the caller's key, if there is one.
    """

    instance: InstanceId
    deadline: float
    body: bytes
    urgency: int | None
    workspace: Workspace | None = None


class AnswerInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a target's response says of itself.

    `not_run` says that the target did not run the request, `idle_limit` after
    how many seconds it closes an idle connection, `coded` that the body is
    encoded; `headers` are those for the caller.
    """

    attempt: AttemptId | None
    not_run: bool
    instance: InstanceId
    idle_limit: float | None
    coded: bool
    headers: Headers


class CallCodec(Protocol):
    """Read callers' headers and write those for targets."""

    def read(self, message: RequestMessage) -> CallInfo:
        """Return what a request says of itself; raises ValueError."""

    def forward(self, message: RequestMessage, dispatch: Dispatch) -> RequestMessage:
        """Return the request as the target is to receive it."""

    def answer(self, head: ResponseHead) -> AnswerInfo:
        """Return what a target's response says of itself."""

    def failure_headers(self, attempt: AttemptId, retry_after: float | None) -> Headers:
        """Return the headers of an answer of the system's own."""
