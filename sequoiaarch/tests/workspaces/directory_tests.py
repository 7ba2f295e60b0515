"""Test the lookup of workspaces by key and the scopes of ids."""

from __future__ import annotations

import unittest

from ...errors import ErrorKind, FailureError
from ...ids import ProgramId, Workspace
from ...workspaces.access import UNSCOPED_CALLER, Access, Caller
from ...workspaces.directory import ANONYMOUS, Directory, WorkspaceEntry, scoped

ONE, TWO = Workspace("one"), Workspace("two")


def entry(name: str, *keys: str, priority: int | None = None) -> WorkspaceEntry:
    """Return a workspace with keys."""
    return WorkspaceEntry(name=Workspace(name), keys=frozenset(keys), priority=priority)


DIRECTORY = Directory([entry("one", "k1", "k2", priority=0), entry("two", "k3")])


def identify(directory: Directory | None, key: str | None, *, public: bool) -> Caller:
    """Return the caller that a directory identifies by a key."""
    access = Access()
    access.directory = directory
    return access.identify(key, public=public)


class DirectoryTests(unittest.TestCase):
    """Test keys, workspaces and scoped ids."""

    def test_keys_of_two_workspaces(self) -> None:
        """Find the workspace of each key."""
        callers = [identify(DIRECTORY, key, public=False) for key in ("k1", "k2", "k3")]
        self.assertEqual([caller.workspace for caller in callers], [ONE, ONE, TWO])
        self.assertEqual([caller.priority for caller in callers], [0, 0, None])

    def test_unknown_key(self) -> None:
        """Refuse an unknown or missing key without showing it."""
        for key in ("secret-text", "", None):
            with self.subTest(key=key), self.assertRaises(FailureError) as caught:
                identify(DIRECTORY, key, public=False)
            failure = caught.exception.failure
            self.assertIs(failure.kind, ErrorKind.UNAUTHORISED)
            self.assertNotIn("secret-text", str(caught.exception))

    def test_public_route(self) -> None:
        """Admit callers without a known key to a public route anonymously."""
        for key in ("unknown", None):
            caller = identify(DIRECTORY, key, public=True)
            self.assertEqual(caller.workspace, ANONYMOUS)
        self.assertEqual(identify(DIRECTORY, "k3", public=True).workspace, TWO)

    def test_no_workspaces_configured(self) -> None:
        """Need no key where no workspaces are configured."""
        self.assertIs(identify(None, None, public=False), UNSCOPED_CALLER)

    def test_invalid_entries(self) -> None:
        """Reject invalid and duplicate names and keys without showing a key."""
        cases = [
            [entry("", "k")],
            [entry("a:b", "k")],
            [entry("a\nb", "k")],
            [entry("a", "k"), entry("a", "l")],
            [entry("a", "secret"), entry("b", "secret")],
            [entry("a", "")],
        ]
        for entries in cases:
            with self.subTest(entries=entries):
                with self.assertRaises(ValueError) as caught:
                    Directory(entries)
                self.assertNotIn("secret", str(caught.exception))

    def test_scoped_ids_differ(self) -> None:
        """Scope equal ids of different workspaces differently."""
        name = ProgramId("two:p")
        ids = [scoped(workspace, name) for workspace in (ONE, TWO, ANONYMOUS, None)]
        ids.append(scoped(TWO, ProgramId("p")))
        self.assertEqual(len(set(ids[:3])), 3)
        self.assertEqual(scoped(None, name), name)
        self.assertNotEqual(scoped(ANONYMOUS, name), scoped(TWO, ProgramId("p")))
