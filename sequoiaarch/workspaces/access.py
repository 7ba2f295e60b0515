"""Decide who a caller is and whether its key is still good."""

from __future__ import annotations

import msgspec

from ..errors import ErrorKind, fail
from ..ids import Workspace
from .directory import ANONYMOUS, Directory, RateLimit


class Caller(msgspec.Struct, frozen=True, kw_only=True):
    """Hold who a caller is.

    `workspace` is None where the configuration knows none, `priority` None where
    that of the route counts.
    """

    workspace: Workspace | None = None
    priority: int | None = None
    limit: RateLimit | None = None


OPEN_CALLER = Caller()


def identify(directory: Directory | None, key: str | None, *, public: bool) -> Caller:
    """Return the caller that holds a key; raises FailureError with no key to it.

    On a public route a key that is not known is as good as none.
    """
    if directory is None:
        return OPEN_CALLER
    entry = directory.holder(key) if key else None
    if entry is not None:
        return Caller(workspace=entry.name, priority=entry.priority, limit=entry.limit)
    if public:
        return Caller(workspace=ANONYMOUS)
    raise fail(
        ErrorKind.UNAUTHORISED, "the key is not known" if key else "a key is needed"
    )
