"""Decide who a caller is and whether its key is still good."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..errors import ErrorKind, fail
from ..ids import Workspace
from .directory import ANONYMOUS, Directory, RateLimit

# A process that was frozen follows the store again within a read. Seconds.
OUTDATED_RETRY = 0.1
# An outage of the store takes seconds; callers who come back sooner use up their
# tries before it ends. Seconds.
OUTAGE_RETRY = 1.0


class Caller(msgspec.Struct, frozen=True, kw_only=True):
    """Hold who a caller is.

    `workspace` is None where the configuration knows none, `priority` None where
    that of the route counts.
    """

    workspace: Workspace | None = None
    priority: int | None = None
    limit: RateLimit | None = None


OPEN_CALLER = Caller()


class Access:
    """Admit callers by a view of the keys whose age is known.

    Answers the load of callers that go on with a key that was taken away, at a
    process that is cut off, frozen or turned away by the store and can't know.
    `age` tells since when the view may be outdated, in seconds, and `limit` up to
    which age a key counts; None for any. `reached` tells whether the store served
    this process lately, by any way.
    """

    def __init__(
        self,
        *,
        limit: float | None = None,
        age: Callable[[], float] = lambda: 0.0,
        reached: Callable[[], bool] = lambda: True,
    ) -> None:
        self.limit = limit
        self.age = age
        self.reached = reached
        self.directory: Directory | None = None

    def identify(self, key: str | None, *, public: bool) -> Caller:
        """Return the caller that holds a key; raises FailureError if nobody does.

        On a public route a key that is not known is as good as none.
        """
        if self.directory is None:
            return OPEN_CALLER
        if not public:
            self._check_age()
        entry = self.directory.holder(key) if key else None
        if entry is not None:
            return Caller(
                workspace=entry.name, priority=entry.priority, limit=entry.limit
            )
        if public:
            return Caller(workspace=ANONYMOUS)
        reason = "the key is not known" if key else "a key is needed"
        raise fail(ErrorKind.UNAUTHORISED, reason)

    def limit_of(self, workspace: Workspace) -> RateLimit | None:
        """Return the limit of a workspace; None where it has none or is not known."""
        return self.directory.limit(workspace) if self.directory is not None else None

    def confirm(self, caller: Caller, key: str | None, *, public: bool) -> None:
        """Check again, as a request is sent, what held as it came in.

        It may have waited for a grant or a retry meanwhile; raises FailureError.
        """
        if public or caller.workspace is None:
            return
        if self.identify(key, public=False).workspace != caller.workspace:
            raise fail(ErrorKind.UNAUTHORISED, "the key is held by another workspace")

    def _check_age(self) -> None:
        age = self.age()
        if self.limit is not None and age > self.limit:
            reason = f"keys are known as of {age:.1f} s ago, over {self.limit:.1f} s"
            wait = OUTDATED_RETRY if self.reached() else OUTAGE_RETRY
            raise fail(ErrorKind.OUTDATED, reason, retry_after=wait)
