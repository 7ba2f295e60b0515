"""Test how long a key is accepted that may have been revoked."""

from __future__ import annotations

import unittest

from ...errors import ErrorKind, FailureError
from ...ids import Workspace
from ...workspaces.access import OUTAGE_RETRY_AFTER, OUTDATED_RETRY_AFTER, Access
from ...workspaces.directory import Directory, WorkspaceEntry

LIMIT = 4.0


def directory(**keys: str) -> Directory:
    """Return a directory of workspaces with one key each."""
    return Directory(
        WorkspaceEntry(name=Workspace(name), keys=frozenset({key}))
        for name, key in keys.items()
    )


class AccessTests(unittest.TestCase):
    """Identify callers by keys that may be outdated."""

    def setUp(self) -> None:
        """Load current keys."""
        self.age = 0.0
        self.access = Access(limit=LIMIT, age=lambda: self.age)
        self.access.directory = directory(one="k1", two="k2")

    def refusal_kind(self, key: str | None) -> ErrorKind | None:
        """Return the kind of failure for a key, or None if it is accepted."""
        try:
            self.access.identify(key, public=False)
        except FailureError as error:
            self.assertTrue(
                error.failure.retry_delay or error.failure.response.status == 401
            )
            return error.failure.kind
        return None

    def retry_after(self) -> float | None:
        """Return the retry delay of a refused caller."""
        with self.assertRaises(FailureError) as caught:
            self.access.identify("k1", public=False)
        return caught.exception.failure.retry_delay

    def test_stale_keys_are_refused(self) -> None:
        """Refuse every key beyond the age limit, as it may have been revoked."""
        for age, kind in ((0.0, None), (LIMIT, None), (4.1, ErrorKind.OUTDATED)):
            self.age = age
            self.assertIs(self.refusal_kind("k1"), kind)

    def test_unknown_key_with_stale_keys(self) -> None:
        """Report outdated keys instead of an unknown key, which may be new."""
        self.assertIs(self.refusal_kind("new"), ErrorKind.UNAUTHORISED)
        self.age = 5.0
        self.assertIs(self.refusal_kind("new"), ErrorKind.OUTDATED)

    def test_retry_delay_during_outage(self) -> None:
        """Return a longer delay in an outage, so that callers keep some retries."""
        self.age = LIMIT + 1.0
        self.assertEqual(self.retry_after(), OUTDATED_RETRY_AFTER)
        self.access.reached = lambda: False
        self.assertEqual(self.retry_after(), OUTAGE_RETRY_AFTER)

    def test_key_is_revoked_while_request_waits(self) -> None:
        """Refuse to send a request whose key was revoked while it waited."""
        caller = self.access.identify("k1", public=False)
        self.access.confirm(caller, "k1", public=False)
        self.access.directory = directory(two="k2")
        with self.assertRaises(FailureError):
            self.access.confirm(caller, "k1", public=False)

    def test_key_is_reassigned_while_request_waits(self) -> None:
        """Refuse to send a request for the former workspace of its key."""
        caller = self.access.identify("k1", public=False)
        self.access.directory = directory(two="k1")
        with self.assertRaises(FailureError):
            self.access.confirm(caller, "k1", public=False)

    def test_keys_turn_stale_before_dispatch(self) -> None:
        """Refuse to send a request if the keys are outdated since its first check."""
        caller = self.access.identify("k1", public=False)
        self.age = LIMIT + 0.1
        with self.assertRaises(FailureError) as caught:
            self.access.confirm(caller, "k1", public=False)
        self.assertIs(caught.exception.failure.kind, ErrorKind.OUTDATED)

    def test_public_route_with_stale_keys(self) -> None:
        """Serve public routes at any age of the keys."""
        self.age = 100.0
        self.access.identify(None, public=True)

    def test_no_age_limit(self) -> None:
        """Accept keys of any age where no limit is configured."""
        access = Access(age=lambda: 100.0)
        access.directory = directory(one="k1")
        self.assertEqual(access.identify("k1", public=False).workspace, "one")
