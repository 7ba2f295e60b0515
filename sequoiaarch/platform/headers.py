"""Decode and encode the platform's request and response headers."""

from __future__ import annotations

from ..http1.messages import Headers, RequestMessage, ResponseHead, end_to_end
from ..ids import AttemptId, InstanceId, ProgramId, SessionId, TurnId
from ..ingress.calls import Dispatch, PromptPart, RequestInfo, ResponseInfo, Secret

ATTEMPT = b"x-attempt-id"
DEADLINE = b"x-deadline-ms"
PROGRAM = b"x-program-id"
SESSION = b"x-session-id"
PROGRAM_DEADLINE = b"x-program-deadline-ms"
BUDGET = b"x-token-budget"
USAGE = b"x-token-usage"  # prompt tokens, maximum output tokens
PREFIX = b"x-prompt-prefix"
PREVIOUS = b"x-previous-turn"
HINT = b"x-length-hint"
RESUMES = b"resumes"
LAST_EVENT = b"last-event-id"
EXPECT_INSTANCE = b"x-expect-instance"
INSTANCE = b"x-instance-id"
SIGNATURE = b"x-server-stamp"
NOT_RUN = b"x-not-executed"
PRIORITY = b"x-request-priority"
KEY = b"api-key"
WORKSPACE = b"x-tenant"
MISDIRECTED = 421

# Headers that are never forwarded from callers: those that control engine memory,
# priority or the caller's identity, and the caller's API key.
STRIPPED = frozenset(
    {
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"x-expect-version",
        EXPECT_INSTANCE,
        PRIORITY,
        KEY,
        WORKSPACE,
    }
)


class PlatformCallCodec:
    """Call codec for the platform's header names."""

    def read_request(self, message: RequestMessage) -> RequestInfo:
        """Return the metadata of a request; raises ValueError."""
        headers = {name.lower(): value.strip() for name, value in message.headers}
        usage = _decode_ints(headers.get(USAGE))
        previous = _decode_text(headers.get(PREVIOUS))
        resumes = _decode_text(headers.get(RESUMES))
        key = _decode_text(headers.get(KEY))
        return RequestInfo(
            attempt=AttemptId(_decode_text(headers.get(ATTEMPT)) or ""),
            host=_decode_text(headers.get(b"host")) or "",
            path=message.target.split(b"?", 1)[0].decode("latin-1"),
            deadline=_decode_milliseconds(headers.get(DEADLINE)),
            program=ProgramId(_decode_text(headers.get(PROGRAM)) or ""),
            session=SessionId(_decode_text(headers.get(SESSION)) or ""),
            program_deadline=_decode_milliseconds(headers.get(PROGRAM_DEADLINE)),
            budget=_decode_int(headers.get(BUDGET)),
            prompt_tokens=usage[0] if usage else 0,
            most_tokens=usage[1] if len(usage) > 1 else 0,
            expected_tokens=_decode_int(headers.get(HINT)),
            previous=TurnId(previous) if previous else None,
            prefix=_decode_prefix(headers.get(PREFIX)),
            resumes=AttemptId(resumes) if resumes else None,
            last_event=_decode_text(headers.get(LAST_EVENT)) or None,
            key=Secret(key) if key else None,
        )

    def forward(self, message: RequestMessage, dispatch: Dispatch) -> RequestMessage:
        """Return the request to send to the target."""
        headers = [
            (name, value)
            for name, value in end_to_end(message.headers)
            if name.lower() not in STRIPPED and name.lower() != DEADLINE
        ]
        remaining = max(1, int(dispatch.deadline * 1000))
        headers.append((b"X-Deadline-Ms", str(remaining).encode()))
        headers.append((b"X-Expect-Instance", dispatch.instance.encode()))
        if dispatch.urgency is not None:
            headers.append((b"X-Request-Priority", str(dispatch.urgency).encode()))
        if dispatch.workspace:
            headers.append((b"X-Tenant", dispatch.workspace.encode()))
        return RequestMessage(
            method=message.method,
            target=message.target,
            headers=headers,
            body=dispatch.body,
        )

    def read_response(self, head: ResponseHead) -> ResponseInfo:
        """Return the metadata of a target's response."""
        headers = {name.lower(): value.strip() for name, value in head.headers}
        not_run = NOT_RUN in headers or head.status == MISDIRECTED
        attempt = _decode_text(headers.get(ATTEMPT))
        return ResponseInfo(
            attempt=AttemptId(attempt) if attempt else None,
            not_run=not_run,
            instance=InstanceId(_decode_text(headers.get(INSTANCE)) or ""),
            idle_limit=_idle_limit(headers),
            coded=b"content-encoding" in headers,
            signed=bool(headers.get(SIGNATURE)),
            headers=end_to_end(head.headers),
        )

    def failure_headers(self, attempt: AttemptId, retry_after: float | None) -> Headers:
        """Return the headers of an error response that the gateway generates."""
        headers: Headers = [(b"Content-Type", b"application/json")]
        if attempt:
            headers.append((b"X-Attempt-Id", attempt.encode()))
        if retry_after is not None:
            headers.append((b"Retry-After", f"{retry_after:.3f}".encode()))
        return headers


def _decode_text(value: bytes | None) -> str | None:
    return value.decode("latin-1") if value is not None else None


def _decode_int(value: bytes | None) -> int | None:
    return int(value) if value else None


def _decode_ints(value: bytes | None) -> list[int]:
    return [int(part) for part in value.split(b",")] if value else []


def _decode_milliseconds(value: bytes | None) -> float | None:
    return float(value) / 1000 if value else None


def _decode_prefix(value: bytes | None) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for entry in value.split(b","):
        name, _, tokens = entry.strip().partition(b":")
        parts.append(PromptPart(part=name.decode("latin-1"), tokens=int(tokens or 0)))
    return tuple(parts)


def _idle_limit(headers: dict[bytes, bytes]) -> float | None:
    """Return the target's idle timeout in seconds, or None if it names none."""
    if b"close" in headers.get(b"connection", b"").lower():
        return 0.0
    for part in headers.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None
