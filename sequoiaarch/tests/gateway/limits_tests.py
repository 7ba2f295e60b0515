"""Test the keys of callers and the rate limits of workspaces."""

from __future__ import annotations

import unittest
from typing import Any

from werkzeug.test import EnvironBuilder
from werkzeug.wrappers import Request

from ...config.settings import Caller, Role, Settings, WorkspaceLimit
from ...errors import ErrorKind, FailureError
from ...gateway.requests import RequestAuthenticator

LIMITED_KEY, UNLIMITED_KEY = "limited-key", "free-key-1"
CALLERS = [
    Caller(key=LIMITED_KEY, workspace="limited"),
    Caller(key="limited-key-2", workspace="limited"),
    Caller(key=UNLIMITED_KEY, workspace="free"),
]
WORKSPACE_LIMIT = WorkspaceLimit(workspace="limited", rate=2, burst=10)


def settings(**overrides: Any) -> Settings:
    """Return the settings of a standalone daemon."""
    options: dict[str, Any] = {
        "callers": CALLERS,
        "workspace_limits": [WORKSPACE_LIMIT],
        **overrides,
    }
    return Settings(role=Role.STANDALONE, host="host", data_centre="here", **options)


def request(key: str) -> Request:
    """Return a request with the given bearer key."""
    headers = [("Authorization", f"Bearer {key}")]
    return Request(EnvironBuilder(path="/v1/models", headers=headers).get_environ())


class LimitTests(unittest.TestCase):
    """Test the authentication and rate limits of one process."""

    def setUp(self) -> None:
        """Create the authenticator."""
        self.authenticator = RequestAuthenticator(settings=settings())

    def refused(self, key: str, count: int) -> list[FailureError]:
        """Send `count` calls and return the failures of those that were refused."""
        errors = []
        for _ in range(count):
            try:
                self.authenticator.admit(request(key))
            except FailureError as error:
                errors.append(error)
        return errors

    def test_workspace_beyond_its_limit(self) -> None:
        """Calls over the limit are refused as overloaded, with a retry time."""
        refused = self.refused(LIMITED_KEY, 40)
        self.assertTrue(refused)
        for error in refused:
            self.assertIs(error.failure.kind, ErrorKind.OVERLOADED)
            self.assertGreater(error.failure.retry_delay or 0.0, 0.0)

    def test_workspace_without_a_limit(self) -> None:
        """No call of a workspace without a limit is refused."""
        self.assertEqual(self.refused(UNLIMITED_KEY, 40), [])

    def test_keys_of_one_workspace(self) -> None:
        """Each key identifies its workspace, and an unknown key is refused."""
        names = [
            self.authenticator.workspace(request(caller.key)) for caller in CALLERS
        ]
        self.assertEqual(names, ["limited", "limited", "free"])
        with self.assertRaises(FailureError) as caught:
            self.authenticator.workspace(request("unknown-key"))
        self.assertEqual(caught.exception.failure.field, "Authorization")

    def test_invalid_settings(self) -> None:
        """Errors in callers and limits are named, and keys are not shown."""
        duplicate_key = [*CALLERS, Caller(key=UNLIMITED_KEY, workspace="limited")]
        unknown_workspace = WorkspaceLimit(workspace="nobody", rate=1)
        for options, text in (
            ({"callers": duplicate_key}, "one key to two workspaces"),
            (
                {"workspace_limits": [unknown_workspace]},
                "workspace 'nobody' has no caller",
            ),
        ):
            with self.subTest(text), self.assertRaisesRegex(ValueError, text):
                settings(**options)
