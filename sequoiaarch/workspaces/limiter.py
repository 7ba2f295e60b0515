"""Keep the shares of limits that fall to this process."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ..ids import Workspace
from .directory import RateLimit
from .sliding_window import SHARES, QuotaBounds, ShareWindow, share_terms

# Over how long callers that were refused are counted, among whom what the rate
# brings is spread. Seconds.
REFUSED_SPAN = 1.0


class TokenGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Answer who asked for tokens of a share.

    `wait` says after how many seconds to come back where there are none; it is None
    where the share is not kept here.
    """

    count: int = 0
    wait: float | None = None


NOT_OWNED = TokenGrant()


@dataclass(kw_only=True, eq=False)
class _Share:
    count: ShareWindow
    term: int
    refused: deque[float] = field(default_factory=deque)


class Limiter:
    """Hand out the tokens of shares that are kept here.

    Answers the load of a workspace that sends more than its limit through many
    gateways at once, none of which sees more than a part of it. `keeps` tells which
    shares fall to this process, `since` from when on at the latest, on the clock, and
    `term` grows where another process may have kept them meanwhile.
    """

    def __init__(
        self,
        *,
        bounds: QuotaBounds,
        limits: Callable[[Workspace], RateLimit | None],
        owns: Callable[[Workspace, int], bool],
        term: Callable[[], int],
        since: Callable[[], float],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._bounds = bounds
        self._limits = limits
        self._owns = owns
        self._term = term
        self._since = since
        self._clock = clock
        self._rng = rng
        self._shares: dict[tuple[Workspace, int], _Share] = {}

    def take(
        self, workspace: Workspace, share: int, count: int, *, begins: bool
    ) -> TokenGrant:
        """Hand out some of the tokens that are asked for, or say when to come back."""
        found = self._share(workspace, share)
        if found is None:
            return NOT_OWNED
        now = self._clock()
        taken = found.count.take(count, now, begins=begins)
        if taken:
            return TokenGrant(count=taken)
        wait = found.count.wait(now, begins=begins)
        return TokenGrant(wait=wait + self._spread(found, now))

    def drop_unowned(self) -> None:
        """Forget shares that passed to another process."""
        for key in list(self._shares):
            if not self._owns(*key):
                del self._shares[key]

    def free(self) -> dict[tuple[Workspace, int], float]:
        """Return the tokens that each share has left."""
        now = self._clock()
        return {key: one.count.free(now) for key, one in self._shares.items()}

    def _share(self, workspace: Workspace, share: int) -> _Share | None:
        limit = self._limits(workspace)
        if limit is None or not self._owns(workspace, share):
            self._shares.pop((workspace, share), None)
            return None
        terms = share_terms(limit, self._bounds)
        term = self._term()
        found = self._shares.get((workspace, share))
        if found is None or found.term != term:
            count = ShareWindow(terms=terms, since=self._since())
            found = _Share(count=count, term=term)
            self._shares[workspace, share] = found
        found.count.change(terms)
        return found

    def _spread(self, share: _Share, now: float) -> float:
        """Return a time within that in which the rate serves those refused of late.

        All shares refuse each of them and serve them together.
        """
        refused = share.refused
        refused.append(now)
        while refused[0] < now - REFUSED_SPAN:
            refused.popleft()
        span = len(refused) / (SHARES * share.count.terms.rate)
        return self._rng.uniform(0.0, min(span, self._bounds.window))
