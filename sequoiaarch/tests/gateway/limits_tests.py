"""Test keys and limits of a daemon's own callers."""

from __future__ import annotations

import unittest
from typing import Any

from werkzeug.test import EnvironBuilder
from werkzeug.wrappers import Request

from ...config.settings import Caller, Role, Settings, WorkspaceLimit
from ...errors import ErrorKind, FailureError
from ...gateway.requests import KeyTable

LIMITED, FREE = "limited-key", "free-key-1"
CALLERS = [
    Caller(key=LIMITED, workspace="limited"),
    Caller(key="limited-key-2", workspace="limited"),
    Caller(key=FREE, workspace="free"),
]
LIMIT = WorkspaceLimit(workspace="limited", rate=2, burst=10)


def settings(**more: Any) -> Settings:
    """Return the settings of a stand-alone daemon."""
    options: dict[str, Any] = {"callers": CALLERS, "workspace_limits": [LIMIT], **more}
    return Settings(role=Role.STANDALONE, host="host", data_centre="here", **options)


def request(key: str) -> Request:
    """Return a request with a key."""
    headers = [("Authorization", f"Bearer {key}")]
    return Request(EnvironBuilder(path="/v1/models", headers=headers).get_environ())


class LimitTests(unittest.TestCase):
    """Send more than a limit to one daemon."""

    def setUp(self) -> None:
        """Know the callers."""
        self.keys = KeyTable(settings=settings())

    def refused(self, key: str, count: int) -> list[FailureError]:
        """Return the refusals of so many calls at once."""
        found = []
        for _ in range(count):
            try:
                self.keys.admit(request(key))
            except FailureError as error:
                found.append(error)
        return found

    def test_workspace_beyond_its_limit(self) -> None:
        """Refuse what is over a limit as not run, with the time to come back."""
        refused = self.refused(LIMITED, 40)
        self.assertTrue(refused)
        for error in refused:
            self.assertIs(error.failure.kind, ErrorKind.OVERLOADED)
            self.assertGreater(error.failure.retry_delay or 0.0, 0.0)

    def test_workspace_without_a_limit(self) -> None:
        """Refuse nothing of a workspace without a limit."""
        self.assertEqual(self.refused(FREE, 40), [])

    def test_keys_of_one_workspace(self) -> None:
        """Know a workspace by each of its keys, and nobody by another."""
        names = [self.keys.workspace(request(one.key)) for one in CALLERS]
        self.assertEqual(names, ["limited", "limited", "free"])
        with self.assertRaises(FailureError) as caught:
            self.keys.workspace(request("unknown-key"))
        self.assertEqual(caught.exception.failure.field, "Authorization")

    def test_invalid_settings(self) -> None:
        """Name what is wrong with callers and limits, and no key."""
        twice = [*CALLERS, Caller(key=FREE, workspace="limited")]
        nobody = WorkspaceLimit(workspace="nobody", rate=1)
        for more, text in (
            ({"callers": twice}, "one key to two workspaces"),
            ({"workspace_limits": [nobody]}, "workspace 'nobody' has no caller"),
        ):
            with self.subTest(text), self.assertRaisesRegex(ValueError, text):
                settings(**more)
