"""Read what callers and operators send."""

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
from ..workspaces.access import Access, Caller
from ..workspaces.directory import ANONYMOUS, Directory, RateLimit, WorkspaceEntry
from ..workspaces.quotas import Refusal, local_quotas, quota_failure
from ..workspaces.sliding_window import QuotaBounds

PROGRAM_ID = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")
KEY = re.compile(r"^[\x21-\x7e]{1,255}$")
WORKSPACE_SEPARATOR = ":"
DEFAULT_DEADLINE = 600.0
TRUE_TEXTS = {"true", "1", "yes"}
FALSE_TEXTS = {"", "false", "0", "no"}


class ProgramBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Ask for a new program."""

    id: str | None = None
    program: str | None = None
    model: str | None = None
    labels: dict[str, str] = {}
    budget: int | None = None


class ChildBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Ask for a sub-agent; the budget is moved out of its parent's."""

    id: str | None = None
    budget: int
    labels: dict[str, str] = {}


class PublishChange(msgspec.Struct, frozen=True, kw_only=True):
    """Ask to replace one document, or to remove it."""

    key: str
    base: int
    document: dict[str, Any] | None


class PublishBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Ask to publish changes together."""

    id: str
    author: str = "operator"
    changes: list[PublishChange]


class DrainBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Ask a target to drain, or to take work again."""

    target: str
    drain: bool = True


BodyT = TypeVar("BodyT")


def read_body(request: Request, limit: int) -> bytes:
    """Return the body of a request, which must not pass the limit."""
    length = request.content_length
    if length is not None and length > limit:
        raise fail(ErrorKind.TOO_LARGE, f"the body has {length} bytes, over {limit}")
    body = request.stream.read(limit + 1)
    if len(body) > limit:
        raise fail(ErrorKind.TOO_LARGE, f"the body has over {limit} bytes")
    return body


def decode_body(body: bytes, kind: type[BodyT]) -> BodyT:
    """Return a typed body, or fail with the field at fault."""
    try:
        return msgspec.json.decode(body or b"{}", type=kind)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at ")
        field = place.strip("`").removeprefix("$.") or None
        raise fail(ErrorKind.MALFORMED, reason, field=field) from None
    except msgspec.DecodeError as error:
        raise fail(ErrorKind.MALFORMED, f"the body is not JSON: {error}") from None


def bearer(request: Request) -> str:
    """Return the bearer key of a request."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise fail(
            ErrorKind.UNAUTHORISED, "a bearer key is needed", field="Authorization"
        )
    return key.strip()


class KeyTable:
    """Know callers and operators by their bearer keys, and hold callers to limits.

    Each daemon keeps its limits by itself.
    """

    def __init__(self, *, settings: Settings) -> None:
        self._access = Access()
        self._access.directory = _directory(settings)
        bounds = QuotaBounds(overage=0.0, slack=0.0)
        self._quotas = local_quotas(limits=self._access.limit_of, bounds=bounds)
        self._operators = set(settings.operator_keys)
        self._lock = threading.Lock()

    def workspace(self, request: Request) -> Workspace:
        """Return the workspace of the caller."""
        return self._caller(request).workspace or ANONYMOUS

    def admit(self, request: Request) -> Workspace:
        """Return the workspace of the caller, which has room for a call more."""
        caller = self._caller(request)
        if caller.limit is not None:
            with self._lock:
                found = self._quotas.take_nowait(caller)
            if isinstance(found, Refusal):
                raise quota_failure(caller, found)
        return caller.workspace or ANONYMOUS

    def _caller(self, request: Request) -> Caller:
        key = bearer(request)
        try:
            return self._access.identify(key, public=False)
        except FailureError as error:
            failure = msgspec.structs.replace(error.failure, field="Authorization")
            raise FailureError(failure) from None

    def check_operator(self, request: Request) -> None:
        """Refuse whoever is no operator."""
        if bearer(request) not in self._operators:
            raise fail(
                ErrorKind.UNAUTHORISED,
                "the key is not an operator's",
                field="Authorization",
            )


def _directory(settings: Settings) -> Directory:
    limits = {
        one.workspace: RateLimit(rate=one.rate, burst=one.burst)
        for one in settings.workspace_limits
    }
    keys: dict[str, set[str]] = defaultdict(set)
    for caller in settings.callers:
        keys[caller.workspace].add(caller.key)
    return Directory(
        WorkspaceEntry(
            name=Workspace(name), keys=frozenset(held), limit=limits.get(name)
        )
        for name, held in keys.items()
    )


def inner_id(workspace: Workspace, program: str, field: str) -> ProgramId:
    """Return the identifier of a program of a workspace."""
    if not PROGRAM_ID.match(program):
        raise fail(
            ErrorKind.MALFORMED,
            "must be 1 to 128 letters, digits, '.', '_' or '-'",
            field=field,
        )
    return ProgramId(f"{workspace}{WORKSPACE_SEPARATOR}{program}")


def outer_id(program: ProgramId) -> str:
    """Return the identifier of a program as its caller knows it."""
    return program.split(WORKSPACE_SEPARATOR, 1)[1]


def child_id(parent: ProgramId, name: str) -> ProgramId:
    """Return the identifier of a sub-agent."""
    return ProgramId(f"{parent}{CHILD_SEPARATOR}{name}")


def read_seq(request: Request) -> Seq | None:
    """Return the sequence number of a call, if its caller gives one."""
    text = request.headers.get("X-Call-Seq")
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or not 1 <= int(text) < 2**31:
        raise fail(
            ErrorKind.MALFORMED,
            f"must be a whole number from 1; given {text!r}",
            field="X-Call-Seq",
        )
    return Seq(int(text))


def read_key(request: Request) -> str | None:
    """Return the idempotency key of a call."""
    key = request.headers.get("Idempotency-Key")
    if key is not None and not KEY.match(key):
        raise fail(
            ErrorKind.MALFORMED,
            "must be 1 to 255 visible characters",
            field="Idempotency-Key",
        )
    return key


def read_flag(request: Request, name: str) -> bool:
    """Return a header that is true or false."""
    text = request.headers.get(name, "").lower()
    if text in TRUE_TEXTS:
        return True
    if text in FALSE_TEXTS:
        return False
    raise fail(ErrorKind.MALFORMED, "must be true or false", field=name)


def read_deadline(request: Request) -> float:
    """Return the seconds within which the caller wants its answer."""
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
            f"must be seconds above 0; given {text!r}",
            field="X-Request-Timeout",
        )
    return seconds
