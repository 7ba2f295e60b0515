"""Parse, validate and authenticate the requests of callers and operators."""

from __future__ import annotations

import re
import threading
from collections import defaultdict
from typing import Any, TypeVar

import msgspec
from werkzeug.wrappers import Request

from ..config.settings import Settings
from ..errors import ErrorKind, FailureError, fail
from ..ids import CHILD_SEPARATOR, ProgramId, Seq, Workspace
from ..webserver import BODIES_KEY, BodyError, LongBodies
from ..workspaces.access import Access, Caller
from ..workspaces.directory import ANONYMOUS, Directory, RateLimit, WorkspaceEntry
from ..workspaces.quotas import Refusal, local_quotas, quota_failure
from ..workspaces.sliding_window import QuotaBounds

PROGRAM_ID = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")
IDEMPOTENCY_KEY = re.compile(r"^[\x21-\x7e]{1,255}$")
WORKSPACE_SEPARATOR = ":"
# Seconds until a place for a long body is likely to be free.
BUSY_RETRY_AFTER = 1.0
DEFAULT_DEADLINE = 600.0  # seconds
TRUE_VALUES = {"true", "1", "yes"}
FALSE_VALUES = {"", "false", "0", "no"}


class ProgramBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Request body: create a program."""

    id: str | None = None
    program: str | None = None
    model: str | None = None
    labels: dict[str, str] = {}
    budget: int | None = None


class ChildBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Request body: create a sub-agent with a part of its parent's budget."""

    id: str | None = None
    budget: int
    labels: dict[str, str] = {}


class PublishChange(msgspec.Struct, frozen=True, kw_only=True):
    """Replace one document, or remove it if `document` is null."""

    key: str
    base: int
    document: dict[str, Any] | None


class PublishBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Request body: publish a set of configuration changes atomically."""

    id: str
    author: str = "operator"
    changes: list[PublishChange]


class DrainBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Request body: drain a target, or let it take work again."""

    target: str
    drain: bool = True


BodyT = TypeVar("BodyT")


def read_body(request: Request, limit: int) -> bytes:
    """Return the body of a request; fail if it is longer than `limit` bytes."""
    length = request.content_length
    if length is not None and length > limit:
        raise fail(
            ErrorKind.TOO_LARGE, f"the body has {length} bytes, the limit is {limit}"
        )
    bodies: LongBodies = request.environ[BODIES_KEY]
    try:
        body = bodies.read(request.stream, length=length, limit=limit)
    except BodyError as error:
        kind = ErrorKind.OVERLOADED if error.busy else ErrorKind.MALFORMED
        retry_after = BUSY_RETRY_AFTER if error.busy else None
        raise fail(kind, str(error), retry_after=retry_after) from None
    if len(body) > limit:
        raise fail(ErrorKind.TOO_LARGE, f"the body has more than {limit} bytes")
    return body


def decode_body(body: bytes, kind: type[BodyT]) -> BodyT:
    """Decode a JSON body; the error names the invalid field."""
    try:
        return msgspec.json.decode(body or b"{}", type=kind)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at ")
        field = path.strip("`").removeprefix("$.") or None
        raise fail(ErrorKind.MALFORMED, reason, field=field) from None
    except msgspec.DecodeError as error:
        raise fail(
            ErrorKind.MALFORMED, f"the body is not valid JSON: {error}"
        ) from None


def bearer_key(request: Request) -> str:
    """Return the bearer key of a request."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise fail(
            ErrorKind.UNAUTHORISED, "a bearer key is required", field="Authorization"
        )
    return key.strip()


class RequestAuthenticator:
    """Authenticate bearer keys and enforce the rate limits of workspaces.

    Each process enforces the limits alone; gateways do not share their counts.
    """

    def __init__(self, *, settings: Settings) -> None:
        self._access = Access()
        self._access.directory = _directory(settings)
        bounds = QuotaBounds(overage=0.0, slack=0.0)
        self._quotas = local_quotas(limits=self._access.limit_of, bounds=bounds)
        self._operators = set(settings.operator_keys)
        self._lock = threading.Lock()

    def workspace(self, request: Request) -> Workspace:
        """Return the workspace of the caller without counting the request."""
        return self._caller(request).workspace or ANONYMOUS

    def admit(self, request: Request) -> Workspace:
        """Count a call against the limit of its workspace; return the workspace."""
        caller = self._caller(request)
        if caller.limit is not None:
            with self._lock:
                result = self._quotas.take_nowait(caller)
            if isinstance(result, Refusal):
                raise quota_failure(caller, result)
        return caller.workspace or ANONYMOUS

    def _caller(self, request: Request) -> Caller:
        key = bearer_key(request)
        try:
            return self._access.identify(key, public=False)
        except FailureError as error:
            failure = msgspec.structs.replace(error.failure, field="Authorization")
            raise FailureError(failure) from None

    def check_operator(self, request: Request) -> None:
        """Fail unless the request has the key of an operator."""
        if bearer_key(request) not in self._operators:
            raise fail(
                ErrorKind.UNAUTHORISED,
                "the key is not an operator key",
                field="Authorization",
            )


def _directory(settings: Settings) -> Directory:
    limits = {
        limit.workspace: RateLimit(rate=limit.rate, burst=limit.burst)
        for limit in settings.workspace_limits
    }
    keys_by_workspace: dict[str, set[str]] = defaultdict(set)
    for caller in settings.callers:
        keys_by_workspace[caller.workspace].add(caller.key)
    return Directory(
        WorkspaceEntry(
            name=Workspace(name), keys=frozenset(keys), limit=limits.get(name)
        )
        for name, keys in keys_by_workspace.items()
    )


def qualified_id(workspace: Workspace, program: str, field: str) -> ProgramId:
    """Return the internal id of a program, which includes its workspace."""
    if not PROGRAM_ID.match(program):
        raise fail(
            ErrorKind.MALFORMED,
            "must be 1 to 128 letters, digits, '.', '_' or '-'",
            field=field,
        )
    return ProgramId(f"{workspace}{WORKSPACE_SEPARATOR}{program}")


def public_id(program: ProgramId) -> str:
    """Return the id of a program without its workspace, as callers see it."""
    return program.split(WORKSPACE_SEPARATOR, 1)[1]


def child_id(parent: ProgramId, name: str) -> ProgramId:
    """Return the id of a sub-agent."""
    return ProgramId(f"{parent}{CHILD_SEPARATOR}{name}")


def read_seq(request: Request) -> Seq | None:
    """Return the sequence number of a call, None if the header is absent."""
    text = request.headers.get("X-Call-Seq")
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or not 1 <= int(text) < 2**31:
        raise fail(
            ErrorKind.MALFORMED,
            f"must be an integer from 1 to 2147483647; got {text!r}",
            field="X-Call-Seq",
        )
    return Seq(int(text))


def read_key(request: Request) -> str | None:
    """Return the idempotency key of a call, None if the header is absent."""
    key = request.headers.get("Idempotency-Key")
    if key is not None and not IDEMPOTENCY_KEY.match(key):
        raise fail(
            ErrorKind.MALFORMED,
            "must be 1 to 255 printable ASCII characters without spaces",
            field="Idempotency-Key",
        )
    return key


def read_flag(request: Request, name: str) -> bool:
    """Return a boolean header, False if it is absent."""
    text = request.headers.get(name, "").lower()
    if text in TRUE_VALUES:
        return True
    if text in FALSE_VALUES:
        return False
    raise fail(ErrorKind.MALFORMED, "must be true or false", field=name)


def read_deadline(request: Request) -> float:
    """Return the request timeout in seconds."""
    text = request.headers.get("X-Request-Timeout")
    if text is None:
        return DEFAULT_DEADLINE
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= 86_400:
        raise fail(
            ErrorKind.MALFORMED,
            f"must be a number of seconds above 0; got {text!r}",
            field="X-Request-Timeout",
        )
    return seconds
