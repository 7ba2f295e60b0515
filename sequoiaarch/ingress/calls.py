"""Request and response metadata, independent of the header format."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..http1.messages import Headers, RequestMessage, ResponseHead
from ..ids import AttemptId, InstanceId, ProgramId, SessionId, TurnId, Workspace


class Secret:
    """Wrap an API key so that its representation never reveals it."""

    def __init__(self, value: str) -> None:
        self._value = value

    def __repr__(self) -> str:
        return "Secret()"

    def reveal(self) -> str:
        """Return the plain API key."""
        return self._value


class PromptPart(msgspec.Struct, frozen=True, kw_only=True):
    """Identify a prompt part that requests may share, with its token count."""

    part: str
    tokens: int


class RequestInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata of a caller's request; times in seconds from its arrival.

    `most_tokens` is the maximum number of generated tokens and `expected_tokens`
    the caller's estimate of it. `previous` is the turn that the request continues.
    A request that resumes a stream has the id of the caller's last event in
    `last_event` and the attempt that brought the first one in `resumes`.
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
    resumes: AttemptId | None = None
    last_event: str | None = None
    key: Secret | None = None

    @property
    def resumes_stream(self) -> bool:
        """Return whether the request goes on with a stream that has begun."""
        return self.resumes is not None or self.last_event is not None

    @property
    def key_text(self) -> str | None:
        """Return the caller's API key, which must not be logged or forwarded."""
        return self.key.reveal() if self.key is not None else None


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters for forwarding a request to a target.

    `deadline` is in seconds from now. `urgency` ranges from 0, the most urgent, to
    9. `workspace` is the one that the caller's API key belongs to.
    """

    instance: InstanceId
    deadline: float
    body: bytes
    urgency: int | None
    workspace: Workspace | None = None


class ResponseInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata of a target's response.

    `attempt` is the one that the response belongs to; None if it doesn't tell.
    `not_run` tells that the target did not run the request, `idle_limit` after how
    many seconds the target closes an idle connection, `coded` that the body has a
    content encoding, and `signed` that the response has the target's signature.
    `headers` are forwarded to the caller.
    """

    attempt: AttemptId | None
    not_run: bool
    instance: InstanceId
    idle_limit: float | None
    coded: bool
    signed: bool
    headers: Headers


class CallCodec(Protocol):
    """Decode and encode the headers of callers and targets."""

    def read_request(self, message: RequestMessage) -> RequestInfo:
        """Return the metadata of a request; raises ValueError."""

    def forward(self, message: RequestMessage, dispatch: Dispatch) -> RequestMessage:
        """Return the request to send to the target."""

    def read_response(self, head: ResponseHead) -> ResponseInfo:
        """Return the metadata of a target's response."""

    def failure_headers(self, attempt: AttemptId, retry_after: float | None) -> Headers:
        """Return the headers of an error response that the gateway generates."""
