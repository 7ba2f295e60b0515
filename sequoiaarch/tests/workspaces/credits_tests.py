"""Test what one request may use of its workspace's limit."""

from __future__ import annotations

import unittest

from ...errors import ErrorKind
from ...ids import Workspace
from ...workspaces.access import UNSCOPED_CALLER, Caller
from ...workspaces.directory import RateLimit
from ...workspaces.quotas import Refusal, RequestToken, quota_failure
from ...workspaces.sliding_window import TOKEN_LIFETIME
from ...workspaces.token_cache import TokenCache

WORKSPACE = Workspace("w")
CALLER = Caller(workspace=WORKSPACE, limit=RateLimit(rate=1.0, burst=1.0))


class _Quotas:
    """Hand out some tokens, and count them."""

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.time = 10.0
        self.returned = 0

    async def take(self, caller: Caller, *, begins: bool) -> float | Refusal:
        """Hand out a token while there are some."""
        if not self.tokens:
            return Refusal(wait=0.7)
        self.tokens -= 1
        return self.time + TOKEN_LIFETIME

    def give_back(self, caller: Caller, until: float) -> None:
        """Count what comes back."""
        self.returned += 1

    def now(self) -> float:
        """Return the time."""
        return self.time


class CreditTests(unittest.IsolatedAsyncioTestCase):
    """Send a request once and again."""

    def credit(self, tokens: int) -> tuple[RequestToken, _Quotas]:
        """Return the credit of a request and what it draws on."""
        quotas = _Quotas(tokens)
        return RequestToken(quotas=quotas, caller=CALLER), quotas

    async def test_each_send_takes_a_token(self) -> None:
        """Count the second target of a request too."""
        credit, quotas = self.credit(2)
        for _ in range(2):
            self.assertIsNone(await credit.ensure())
            credit.spend()
        self.assertIsInstance(await credit.ensure(), Refusal)
        self.assertEqual(quotas.tokens, 0)

    async def test_send_that_did_not_run(self) -> None:
        """Send to the next target under the same token where one did not run it."""
        credit, _ = self.credit(1)
        self.assertIsNone(await credit.ensure())
        credit.restore(credit.spend())
        self.assertIsNone(await credit.ensure())

    async def test_request_waits_for_longer_than_a_token_counts(self) -> None:
        """Take another token where the first was handed out in an earlier window."""
        credit, quotas = self.credit(1)
        self.assertIsNone(await credit.ensure())
        quotas.time += TOKEN_LIFETIME + 0.01
        self.assertIsInstance(await credit.ensure(), Refusal)

    async def test_request_that_was_never_sent(self) -> None:
        """Leave the token of a refused request to others."""
        credit, quotas = self.credit(1)
        self.assertIsNone(await credit.ensure())
        credit.close()
        credit.close()
        self.assertEqual(quotas.returned, 1)

    async def test_workspace_without_a_limit(self) -> None:
        """Ask for nothing where there is no limit."""
        credit = RequestToken(quotas=_Quotas(0), caller=UNSCOPED_CALLER)
        self.assertIsNone(await credit.ensure())

    def test_refusals(self) -> None:
        """Tell a workspace at its limit from one whose limit nobody can tell."""
        full = quota_failure(CALLER, Refusal(wait=0.7)).failure
        self.assertEqual((full.answer.status, full.wait), (429, 0.7))
        unknown = quota_failure(CALLER, Refusal(wait=0.3, kept=False)).failure
        self.assertIs(unknown.kind, ErrorKind.LIMIT_UNKNOWN)
        self.assertEqual((unknown.answer.status, unknown.wait), (503, 0.3))


class TokenCacheTests(unittest.TestCase):
    """Hold tokens for a while."""

    def setUp(self) -> None:
        """Begin with none."""
        self.time = 10.0
        self.token_cache = TokenCache(clock=lambda: self.time)

    def test_tokens_end(self) -> None:
        """Use no token after its time, as a process does that was frozen."""
        self.token_cache.put(WORKSPACE, 3, asked=self.time)
        self.assertIsNotNone(self.token_cache.take(WORKSPACE))
        self.time += TOKEN_LIFETIME
        self.assertIsNone(self.token_cache.take(WORKSPACE))

    def test_late_answer(self) -> None:
        """Count the life of tokens from when they were asked for."""
        asked = self.time
        self.time += TOKEN_LIFETIME + 0.1
        self.token_cache.put(WORKSPACE, 3, asked=asked)
        self.assertIsNone(self.token_cache.take(WORKSPACE))

    def test_older_lot_counts_for_both(self) -> None:
        """Let no token live longer through one that is younger."""
        self.token_cache.put(WORKSPACE, 1, asked=self.time)
        self.time += 0.2
        self.token_cache.put(WORKSPACE, 1, asked=self.time)
        self.time += 0.1
        self.assertIsNone(self.token_cache.take(WORKSPACE))

    def test_lots_are_asked_for_by_the_rate(self) -> None:
        """Ask for one token at a time, and for more where many are used at once."""
        self.token_cache.take(WORKSPACE)
        self.assertEqual(self.token_cache.wanted(WORKSPACE), 1)
        for _ in range(400):
            self.time += 0.002
            self.token_cache.take(WORKSPACE)
        self.assertGreater(self.token_cache.wanted(WORKSPACE), 5)
