"""Cache rate limit tokens that were granted to this process."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ..ids import Workspace
from .sliding_window import TOKEN_LIFE

# Time constant of the average of a workspace's request rate. Seconds.
RATE_SECONDS = 1.0
# Fraction of the requests expected within a token's lifetime to prefetch tokens for:
# the workspace loses tokens that expire unused.
PREFETCH_FRACTION = 0.25


class Token(msgspec.Struct, frozen=True, kw_only=True):
    """Allow one request until `until`, on the clock; `source` is the share."""

    until: float
    source: str = ""

    def age(self, now: float) -> float:
        """Return the seconds since the token was requested."""
        return now - (self.until - TOKEN_LIFE)


@dataclass(kw_only=True)
class _WorkspaceTokens:
    """Hold the tokens of a workspace until they expire, and its recent requests.

    No token is available until `refused_until`, and none for requests that begin a
    program until `refused_starts_until`; `wait` is the retry delay.
    """

    tokens: int = 0
    until: float = 0.0
    source: str = ""
    recent_requests: float = 0.0
    updated: float = 0.0
    wait: float = 0.0
    refused_until: float = 0.0
    refused_starts_until: float = 0.0


class TokenCache:
    """Hold granted tokens by workspace until they expire, and recent refusals.

    `clock` must count suspends of the machine: a process that was frozen must not
    use tokens of a past window.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._entries: dict[Workspace, _WorkspaceTokens] = {}

    def now(self) -> float:
        """Return the time of the clock, in seconds."""
        return self._clock()

    def take(self, workspace: Workspace) -> Token | None:
        """Use a cached token and return it, or None if there is none."""
        entry = self._entry(workspace)
        now = self._clock()
        decayed = entry.recent_requests * math.exp(
            -(now - entry.updated) / RATE_SECONDS
        )
        entry.recent_requests, entry.updated = decayed + 1, now
        if entry.tokens < 1 or now >= entry.until:
            return None
        entry.tokens -= 1
        return Token(until=entry.until, source=entry.source)

    def wanted(self, workspace: Workspace) -> int:
        """Return the number of tokens to request."""
        expected = self._entry(workspace).recent_requests / RATE_SECONDS * TOKEN_LIFE
        return max(1, int(PREFETCH_FRACTION * expected))

    def put(
        self, workspace: Workspace, tokens: int, *, asked: float, source: str = ""
    ) -> Token:
        """Add tokens that were requested at `asked` and return another of them."""
        token = Token(until=asked + TOKEN_LIFE, source=source)
        if tokens:
            self._add(workspace, tokens, token)
        return token

    def release(self, workspace: Workspace, token: Token) -> None:
        """Add an unused token again."""
        if self._clock() < token.until:
            self._add(workspace, 1, token)

    def record_refusal(
        self, workspace: Workspace, wait: float, *, begins: bool
    ) -> None:
        """Remember that no token is available for `wait` seconds."""
        entry = self._entry(workspace)
        entry.wait = wait
        entry.refused_starts_until = self._clock() + min(wait, TOKEN_LIFE)
        if not begins:
            entry.refused_until = entry.refused_starts_until

    def refused(self, workspace: Workspace, *, begins: bool) -> float | None:
        """Return the seconds until a retry if a recent refusal still holds."""
        entry = self._entry(workspace)
        until = entry.refused_starts_until if begins else entry.refused_until
        return entry.wait if self._clock() < until else None

    def _add(self, workspace: Workspace, tokens: int, token: Token) -> None:
        entry = self._entry(workspace)
        if entry.until <= self._clock():
            entry.tokens = 0
        # All cached tokens share the earliest expiry.
        entry.until = min(entry.until, token.until) if entry.tokens else token.until
        entry.source = token.source
        entry.tokens += tokens

    def _entry(self, workspace: Workspace) -> _WorkspaceTokens:
        return self._entries.setdefault(workspace, _WorkspaceTokens())
