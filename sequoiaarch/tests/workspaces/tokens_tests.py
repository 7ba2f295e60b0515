"""Test the rate limit tokens of requests and their cache."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from ...errors import ErrorKind
from ...ids import Workspace
from ...workspaces.access import UNSCOPED_CALLER, Caller
from ...workspaces.directory import RateLimit
from ...workspaces.quotas import Refusal, RequestToken, quota_failure
from ...workspaces.sliding_window import TOKEN_LIFE
from ...workspaces.token_cache import Token, TokenCache

WORKSPACE = Workspace("w")
CALLER = Caller(workspace=WORKSPACE, limit=RateLimit(rate=1.0, burst=1.0))


class _FakeQuotas:
    """Grant a fixed number of tokens and count returned ones."""

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.time = 10.0
        self.seconds = 0.0
        self.on_take: Callable[[], None] = lambda: None
        self.returned = 0

    async def take(self, caller: Caller, *, begins: bool) -> Token | Refusal:
        """Grant a token while there are some."""
        if not self.tokens:
            return Refusal(wait=0.7)
        self.tokens -= 1
        asked = self.time
        self.time += self.seconds
        self.on_take()
        return Token(until=asked + TOKEN_LIFE, source="share 1 at h1")

    def release(self, caller: Caller, token: Token) -> None:
        """Count a returned token."""
        self.returned += 1

    def now(self) -> float:
        """Return the time."""
        return self.time


class RequestTokenTests(unittest.IsolatedAsyncioTestCase):
    """Test the token of a request that is sent once or several times."""

    def request_token(self, tokens: int) -> tuple[RequestToken, _FakeQuotas]:
        """Return the token of a request and the quotas that it uses."""
        quotas = _FakeQuotas(tokens)
        return RequestToken(quotas=quotas, caller=CALLER), quotas

    async def test_each_attempt_takes_a_token(self) -> None:
        """Take another token for a second attempt."""
        request_token, quotas = self.request_token(2)
        for _ in range(2):
            self.assertIsNone(await request_token.ensure())
            request_token.spend()
        self.assertIsInstance(await request_token.ensure(), Refusal)
        self.assertEqual(quotas.tokens, 0)

    async def test_attempt_that_did_not_run(self) -> None:
        """Reuse the token of an attempt that the target did not run."""
        request_token, _ = self.request_token(1)
        self.assertIsNone(await request_token.ensure())
        request_token.restore(request_token.spend())
        self.assertIsNone(await request_token.ensure())

    async def test_token_expires_while_request_waits(self) -> None:
        """Take another token after the first one has expired."""
        request_token, quotas = self.request_token(1)
        self.assertIsNone(await request_token.ensure())
        quotas.time += TOKEN_LIFE + 0.01
        self.assertIsInstance(await request_token.ensure(), Refusal)

    async def test_answer_is_read_after_expiry(self) -> None:
        """Send with no token that expired before its answer was read."""
        request_token, quotas = self.request_token(10)
        quotas.seconds = 4.0
        refusal = await request_token.ensure()
        assert refusal is not None
        self.assertFalse(refusal.kept)
        self.assertGreater(refusal.wait, 0)

    async def test_next_answer_is_read_in_time(self) -> None:
        """Take another token if the first expired before its answer was read."""
        request_token, quotas = self.request_token(2)
        quotas.seconds = 4.0
        taking = request_token.ensure()
        quotas.on_take = lambda: setattr(quotas, "seconds", 0.0)
        self.assertIsNone(await taking)
        self.assertTrue(request_token.held)

    async def test_request_that_was_never_sent(self) -> None:
        """Return the unused token of a refused request, only once."""
        request_token, quotas = self.request_token(1)
        self.assertIsNone(await request_token.ensure())
        request_token.close()
        request_token.close()
        self.assertEqual(quotas.returned, 1)

    async def test_log_names_source_and_age(self) -> None:
        """Describe who granted a token and how old it was at its use."""
        request_token, quotas = self.request_token(1)
        await request_token.ensure()
        quotas.time += 0.04
        spent = request_token.spend()
        assert spent is not None
        self.assertEqual(
            request_token.describe(spent), "token of share 1 at h1, 40 ms old"
        )

    async def test_workspace_without_a_limit(self) -> None:
        """Take no token for a workspace without a limit."""
        request_token = RequestToken(quotas=_FakeQuotas(0), caller=UNSCOPED_CALLER)
        self.assertIsNone(await request_token.ensure())

    def test_refusals(self) -> None:
        """Distinguish a reached limit from one whose owners can't be asked."""
        full = quota_failure(CALLER, Refusal(wait=0.7)).failure
        self.assertEqual((full.response.status, full.retry_delay), (429, 0.7))
        unknown = quota_failure(CALLER, Refusal(wait=0.3, kept=False)).failure
        self.assertIs(unknown.kind, ErrorKind.LIMIT_UNKNOWN)
        self.assertEqual((unknown.response.status, unknown.retry_delay), (503, 0.3))


class TokenCacheTests(unittest.TestCase):
    """Test the expiry and prefetching of cached tokens."""

    def setUp(self) -> None:
        """Create an empty cache."""
        self.time = 10.0
        self.token_cache = TokenCache(clock=lambda: self.time)

    def test_tokens_expire(self) -> None:
        """Use no expired token, also after the process was frozen."""
        self.token_cache.put(WORKSPACE, 3, asked=self.time)
        self.assertIsNotNone(self.token_cache.take(WORKSPACE))
        self.time += TOKEN_LIFE
        self.assertIsNone(self.token_cache.take(WORKSPACE))

    def test_late_answer(self) -> None:
        """Count the lifetime of tokens from their request, not the answer."""
        requested_at = self.time
        self.time += TOKEN_LIFE + 0.1
        self.token_cache.put(WORKSPACE, 3, asked=requested_at)
        self.assertIsNone(self.token_cache.take(WORKSPACE))

    def test_tokens_share_earliest_expiry(self) -> None:
        """Extend the expiry of no token when a newer one is added."""
        self.token_cache.put(WORKSPACE, 1, asked=self.time)
        self.time += 0.2
        self.token_cache.put(WORKSPACE, 1, asked=self.time)
        self.time += 0.1
        self.assertIsNone(self.token_cache.take(WORKSPACE))

    def test_prefetch_grows_with_request_rate(self) -> None:
        """Request one token at first, and several at a high request rate."""
        self.token_cache.take(WORKSPACE)
        self.assertEqual(self.token_cache.wanted(WORKSPACE), 1)
        for _ in range(400):
            self.time += 0.002
            self.token_cache.take(WORKSPACE)
        self.assertGreater(self.token_cache.wanted(WORKSPACE), 5)
