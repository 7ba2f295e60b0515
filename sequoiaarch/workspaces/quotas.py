"""Take rate limit tokens for the requests of workspaces."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

import msgspec

from ..errors import ErrorKind, FailureError, fail
from ..ids import Workspace
from ..routing.follower import boottime_clock
from .access import Caller
from .directory import RateLimit
from .limiter import Limiter, TokenGrant
from .sliding_window import SHARES, QuotaBounds
from .token_cache import Token, TokenCache

# Time after which a lost owner of a share has likely been replaced. Seconds.
UNKNOWN_RETRY_AFTER = 0.3
# Tokens taken for one attempt; a process that reads all of them too late is too slow
# to serve the request.
MAX_TAKES = 3


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Refuse a token for `wait` seconds; `kept` is False if no owner could be asked."""

    wait: float
    kept: bool = True


class Quotas(Protocol):
    """Provide tokens for requests."""

    async def take(self, caller: Caller, *, begins: bool) -> Token | Refusal:
        """Take a token, or return a refusal."""

    def release(self, caller: Caller, token: Token) -> None:
        """Return an unused token."""

    def now(self) -> float:
        """Return the time of the clock, in seconds."""


class LocalQuotas:
    """Own all shares in this process, which is the only one."""

    def __init__(self, *, limiter: Limiter, token_cache: TokenCache) -> None:
        self._limiter = limiter
        self._token_cache = token_cache

    async def take(self, caller: Caller, *, begins: bool) -> Token | Refusal:
        """Take a token from any share."""
        return self.take_nowait(caller, begins=begins)

    def take_nowait(self, caller: Caller, *, begins: bool = False) -> Token | Refusal:
        """Take a token from any share without waiting."""
        workspace = caller.workspace
        assert workspace is not None
        requested_at = self._token_cache.now()
        cached = self._token_cache.take(workspace)
        if cached is not None:
            return cached
        waits = []
        for share in range(SHARES):
            grant = self._limiter.grant(workspace, share, 1, begins=begins)
            if grant.count:
                return self._token_cache.put(
                    workspace, 0, asked=requested_at, source=f"share {share}"
                )
            waits.append(grant.wait or 0.0)
        return Refusal(wait=min(waits))

    def release(self, caller: Caller, token: Token) -> None:
        """Keep an unused token for another request."""
        if caller.workspace is not None:
            self._token_cache.release(caller.workspace, token)

    def now(self) -> float:
        """Return the time of the clock, in seconds."""
        return self._token_cache.now()


def local_quotas(
    *, limits: Callable[[Workspace], RateLimit | None], bounds: QuotaBounds
) -> LocalQuotas:
    """Return the quotas of a process that owns all shares."""
    started = boottime_clock()
    limiter = Limiter(
        bounds=bounds,
        limits=limits,
        owns=lambda workspace, share: True,
        active=lambda: True,
        term=lambda: 0,
        since=lambda workspace, share: started,
        clock=boottime_clock,
        rng=random.Random(),
    )
    return LocalQuotas(limiter=limiter, token_cache=TokenCache(clock=boottime_clock))


class RequestToken:
    """Hold the token of one request, with a new token for each attempt.

    Every attempt that reaches a target uses a token. An attempt that the target did
    not run gets it back, and a request whose token expired takes another. `begins`
    tells that the request begins a program.
    """

    def __init__(self, *, quotas: Quotas, caller: Caller) -> None:
        self._quotas = quotas
        self._caller = caller
        self.begins = False
        self._token: Token | None = None

    @property
    def needed(self) -> bool:
        """Return whether the caller's workspace has a limit."""
        return self._caller.limit is not None

    @property
    def held(self) -> bool:
        """Return whether the next attempt has a valid token."""
        if not self.needed:
            return True
        return self._token is not None and self._quotas.now() < self._token.until

    async def ensure(self) -> Refusal | None:
        """Take a token for the next attempt; return the refusal if there is none.

        A process that was held up may read an answer after the token has expired.
        """
        for _ in range(MAX_TAKES):
            if self.held:
                return None
            self._token = None
            result = await self._quotas.take(self._caller, begins=self.begins)
            if isinstance(result, Refusal):
                return result
            self._token = result
        return None if self.held else Refusal(wait=UNKNOWN_RETRY_AFTER, kept=False)

    def spend(self) -> Token | None:
        """Use the token for an attempt and return it for a later `restore`."""
        spent, self._token = self._token, None
        return spent

    def restore(self, spent: Token | None) -> None:
        """Take back the token of an attempt that did not run."""
        if self._token is None:
            self._token = spent

    def describe(self, spent: Token) -> str:
        """Describe a token that is used now, for the request log."""
        age = spent.age(self._quotas.now())
        return f"token of {spent.source}, {age * 1000:.0f} ms old"

    def close(self) -> None:
        """Leave an unused token to other requests."""
        if self._token is not None:
            self._quotas.release(self._caller, self._token)
        self._token = None


def quota_failure(caller: Caller, refusal: Refusal) -> FailureError:
    """Return the failure of a request that got no token."""
    if refusal.kept:
        reason = f"workspace {caller.workspace} is at its limit"
        return fail(ErrorKind.OVERLOADED, reason, retry_after=refusal.wait)
    reason = f"no owner of the limit of {caller.workspace} answered in time"
    return fail(ErrorKind.LIMIT_UNKNOWN, reason, retry_after=refusal.wait)


def combined_refusal(answers: list[TokenGrant]) -> Refusal:
    """Combine the answers of all owners into a refusal with the shortest wait."""
    waits = [answer.wait for answer in answers if answer.wait is not None]
    if not waits:
        return Refusal(wait=UNKNOWN_RETRY_AFTER, kept=False)
    return Refusal(wait=min(waits))
