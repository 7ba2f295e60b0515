"""Test how long a key counts that may have been taken away."""

from __future__ import annotations

import unittest

from ...errors import ErrorKind, FailureError
from ...ids import Workspace
from ...workspaces.access import OUTAGE_RETRY, OUTDATED_RETRY, Access
from ...workspaces.directory import Directory, WorkspaceEntry

LIMIT = 4.0


def directory(**keys: str) -> Directory:
    """Return workspaces, each with a key."""
    return Directory(
        WorkspaceEntry(name=Workspace(name), keys=frozenset({key}))
        for name, key in keys.items()
    )


class AccessTests(unittest.TestCase):
    """Present keys while the view of them grows old."""

    def setUp(self) -> None:
        """Begin with a fresh view."""
        self.age = 0.0
        self.access = Access(limit=LIMIT, age=lambda: self.age)
        self.access.directory = directory(one="k1", two="k2")

    def refused(self, key: str | None) -> ErrorKind | None:
        """Return why a key is refused now."""
        try:
            self.access.identify(key, public=False)
        except FailureError as error:
            self.assertTrue(error.failure.wait or error.failure.answer.status == 401)
            return error.failure.kind
        return None

    def told(self) -> float | None:
        """Return when a refused caller is told to come back."""
        with self.assertRaises(FailureError) as caught:
            self.access.identify("k1", public=False)
        return caught.exception.failure.wait

    def test_process_is_cut_off_from_the_store(self) -> None:
        """Refuse every key from the limit on, as it may have been taken away."""
        for age, kind in ((0.0, None), (LIMIT, None), (4.1, ErrorKind.OUTDATED)):
            self.age = age
            self.assertIs(self.refused("k1"), kind)

    def test_unknown_key_at_a_process_that_is_cut_off(self) -> None:
        """Promise nothing about a key that a later configuration may have added."""
        self.assertIs(self.refused("new"), ErrorKind.UNAUTHORISED)
        self.age = 5.0
        self.assertIs(self.refused("new"), ErrorKind.OUTDATED)

    def test_callers_outlast_an_outage(self) -> None:
        """Send callers back for longer while the store serves nobody.

        A caller has a handful of tries. Told to come back in a tenth of a second, it
        uses them up in the first second of an outage of some seconds.
        """
        self.age = LIMIT + 1.0
        self.assertEqual(self.told(), OUTDATED_RETRY)
        self.access.reached = lambda: False
        self.assertEqual(self.told(), OUTAGE_RETRY)

    def test_key_is_taken_away_while_a_request_waits(self) -> None:
        """Refuse to send a request whose key went while it waited for a grant."""
        caller = self.access.identify("k1", public=False)
        self.access.confirm(caller, "k1", public=False)
        self.access.directory = directory(two="k2")
        with self.assertRaises(FailureError):
            self.access.confirm(caller, "k1", public=False)

    def test_key_is_given_to_another_while_a_request_waits(self) -> None:
        """Refuse to send a request in the name of its key's former workspace."""
        caller = self.access.identify("k1", public=False)
        self.access.directory = directory(two="k1")
        with self.assertRaises(FailureError):
            self.access.confirm(caller, "k1", public=False)

    def test_process_is_frozen_between_check_and_dispatch(self) -> None:
        """Refuse to send a request that was checked before a long pause."""
        caller = self.access.identify("k1", public=False)
        self.age = LIMIT + 0.1
        with self.assertRaises(FailureError) as caught:
            self.access.confirm(caller, "k1", public=False)
        self.assertIs(caught.exception.failure.kind, ErrorKind.OUTDATED)

    def test_public_route_at_a_process_that_is_cut_off(self) -> None:
        """Serve public routes, which need no key, at any age."""
        self.age = 100.0
        self.access.identify(None, public=True)

    def test_no_limit(self) -> None:
        """Take keys at any age where the deployment sets no bound."""
        access = Access(age=lambda: 100.0)
        access.directory = directory(one="k1")
        self.assertEqual(access.identify("k1", public=False).workspace, "one")
