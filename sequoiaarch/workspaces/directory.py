"""Map API keys to workspaces."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import msgspec

from ..ids import Workspace

IdT = TypeVar("IdT", bound=str)

SEPARATOR = ":"
# Scope of callers without a key where workspaces are configured.
ANONYMOUS = Workspace("")


class RateLimit(msgspec.Struct, frozen=True, kw_only=True):
    """Allow `rate` requests a second and a burst of `burst` more."""

    rate: float
    burst: float


class WorkspaceEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a workspace; its priority overrides that of a route."""

    name: Workspace
    keys: frozenset[str]
    priority: int | None = None
    limit: RateLimit | None = None


class Directory:
    """Hold the workspaces of one configuration version.

    Errors never contain keys, which are secret.
    """

    def __init__(self, entries: Iterable[WorkspaceEntry]) -> None:
        """Index the workspaces; raise ValueError on invalid or duplicate entries."""
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
        """Return the limit of a workspace, or None if it has none."""
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
    """Prefix an id with its workspace; unchanged if no workspaces are configured."""
    if workspace is None:
        return name
    return type(name)(f"{workspace}{SEPARATOR}{name}")
