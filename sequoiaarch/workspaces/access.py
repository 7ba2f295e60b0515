"""Identify callers by their keys and check that the keys are still valid."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..errors import ErrorKind, fail
from ..ids import Workspace
from .directory import ANONYMOUS, Directory, RateLimit

# Retry delay while the store is reachable: the next read updates the keys. Seconds.
OUTDATED_RETRY_AFTER = 0.1
# Retry delay during an outage of the store, long enough that callers do not use up
# their retries before it ends. Seconds.
OUTAGE_RETRY_AFTER = 1.0


class Caller(msgspec.Struct, frozen=True, kw_only=True):
    """Identify a caller.

    `workspace` is None if no workspaces are configured, `priority` is None if that
    of the route applies.
    """

    workspace: Workspace | None = None
    priority: int | None = None
    limit: RateLimit | None = None


UNSCOPED_CALLER = Caller()


class Access:
    """Admit callers by a copy of the keys of limited age.

    A process that can't read the store may hold keys that were revoked since. `age`
    returns for how many seconds the copy may have been outdated, and `limit` is the
    maximum age in seconds, None for any. `reached` returns whether the store
    answered this process recently, directly or through a peer.
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
        """Return the caller that holds a key; raise FailureError if there is none.

        On a public route an unknown key counts as no key.
        """
        if self.directory is None:
            return UNSCOPED_CALLER
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
        """Return the limit of a workspace, or None if it has none or is unknown."""
        return self.directory.limit(workspace) if self.directory is not None else None

    def confirm(self, caller: Caller, key: str | None, *, public: bool) -> None:
        """Check the key again before a request is sent, which may have waited.

        Raise FailureError if it is no longer valid for the caller's workspace.
        """
        if public or caller.workspace is None:
            return
        if self.identify(key, public=False).workspace != caller.workspace:
            raise fail(ErrorKind.UNAUTHORISED, "the key is held by another workspace")

    def _check_age(self) -> None:
        age = self.age()
        if self.limit is not None and age > self.limit:
            reason = f"keys are known as of {age:.1f} s ago, over {self.limit:.1f} s"
            wait = OUTDATED_RETRY_AFTER if self.reached() else OUTAGE_RETRY_AFTER
            raise fail(ErrorKind.OUTDATED, reason, retry_after=wait)
