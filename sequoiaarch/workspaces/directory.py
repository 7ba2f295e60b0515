"""Say which workspace a key belongs to."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import msgspec

from ..ids import Workspace

IdT = TypeVar("IdT", bound=str)

SEPARATOR = ":"
# Whoever names no workspace, where there are some, shares ids with none of them.
ANONYMOUS = Workspace("")


class RateLimit(msgspec.Struct, frozen=True, kw_only=True):
    """Allow `rate` requests a second, and `burst` more at once."""

    rate: float
    burst: float


class WorkspaceEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a workspace; its priority goes before that of a route."""

    name: Workspace
    keys: frozenset[str]
    priority: int | None = None
    limit: RateLimit | None = None


class Directory:
    """Hold the workspaces of one configuration version.

    Errors name workspaces and never keys, which are secret.
    """

    def __init__(self, entries: Iterable[WorkspaceEntry]) -> None:
        """Take the workspaces; raises ValueError where names or keys clash."""
        self._by_name: dict[Workspace, WorkspaceEntry] = {}
        self._by_key: dict[str, WorkspaceEntry] = {}
        for entry in entries:
            self._add(entry)

    def __len__(self) -> int:
        return len(self._by_name)

    def holder(self, key: str) -> WorkspaceEntry | None:
        """Return the workspace that holds a key."""
        return self._by_key.get(key)

    def limit(self, name: Workspace) -> RateLimit | None:
        """Return the limit of a workspace; None where there is none."""
        entry = self._by_name.get(name)
        return entry.limit if entry is not None else None

    def _add(self, entry: WorkspaceEntry) -> None:
        if not entry.name.isprintable() or SEPARATOR in entry.name or not entry.name:
            raise ValueError(f"workspace name {entry.name!r} is not valid")
        if entry.name in self._by_name:
            raise ValueError(f"workspace {entry.name!r} is declared twice")
        self._by_name[entry.name] = entry
        for key in entry.keys:
            other = self._by_key.setdefault(key, entry)
            if not key or other is not entry:
                raise ValueError(f"workspace {entry.name!r} has an unusable key")


def scoped(workspace: Workspace | None, name: IdT) -> IdT:
    """Return an id that no other workspace has; as it is where there are none."""
    if workspace is None:
        return name
    return type(name)(f"{workspace}{SEPARATOR}{name}")
