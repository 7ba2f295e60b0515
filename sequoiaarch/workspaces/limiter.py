"""Grant tokens of the limit shares that this process owns."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import logbook
import msgspec

from ..ids import Workspace
from .directory import RateLimit
from .sliding_window import SHARES, QuotaBounds, ShareWindow, share_bounds

log = logbook.Logger("limits")

# Refused callers of this time share the tokens that become available next. Seconds.
REFUSED_SPAN = 1.0


class TokenGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Answer a request for tokens of a share.

    `wait` is the seconds after which to retry if there are none, or None if this
    process does not own the share.
    """

    count: int = 0
    wait: float | None = None


NOT_OWNED = TokenGrant()


@dataclass(kw_only=True, eq=False)
class _Share:
    """Hold the window of a share and the times of recent refusals."""

    window: ShareWindow
    term: int
    refused: deque[float] = field(default_factory=deque)


class Limiter:
    """Grant the tokens of the shares that this process owns.

    Gateways take tokens here, as none of them sees all requests of a workspace.
    `owns` tells which shares this process owns by its view of the hosts, `active`
    whether that view is recent enough to act on, `since` the latest clock time from
    which it owns a share, and `term` increases when another process may have owned
    them in between.

    While this process is not active, or the limit is unknown, a share keeps counting
    what it granted: only another owner makes that irrelevant.
    """

    def __init__(
        self,
        *,
        bounds: QuotaBounds,
        limits: Callable[[Workspace], RateLimit | None],
        owns: Callable[[Workspace, int], bool],
        active: Callable[[], bool],
        term: Callable[[], int],
        since: Callable[[Workspace, int], float],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._bounds = bounds
        self._limits = limits
        self._owns = owns
        self._active = active
        self._term = term
        self._since = since
        self._clock = clock
        self._rng = rng
        self._shares: dict[tuple[Workspace, int], _Share] = {}

    def grant(
        self, workspace: Workspace, share: int, count: int, *, begins: bool
    ) -> TokenGrant:
        """Grant up to `count` tokens, or return when to retry."""
        share_state = self._share(workspace, share)
        if share_state is None:
            return NOT_OWNED
        now = self._clock()
        granted = share_state.window.grant(count, now, begins=begins)
        if granted:
            return TokenGrant(count=granted)
        wait = share_state.window.wait(now, begins=begins)
        return TokenGrant(wait=wait + self._spread(share_state, now))

    def drop_unowned(self) -> None:
        """Drop the shares that another process owns now."""
        for key in list(self._shares):
            if not self._owns(*key):
                self._drop(*key, reason="the hosts changed")

    def free(self) -> dict[tuple[Workspace, int], float]:
        """Return the available tokens of each share."""
        now = self._clock()
        return {key: share.window.free(now) for key, share in self._shares.items()}

    def _share(self, workspace: Workspace, share: int) -> _Share | None:
        limit = self._limits(workspace)
        if limit is None or not self._active() or not self._owns(workspace, share):
            return None
        bounds = share_bounds(limit, self._bounds)
        term = self._term()
        share_state = self._shares.get((workspace, share))
        if share_state is None or share_state.term != term:
            self._drop(workspace, share, reason="another process may have owned it")
            since = self._since(workspace, share)
            window = ShareWindow(bounds=bounds, since=since)
            share_state = _Share(window=window, term=term)
            self._shares[workspace, share] = share_state
            log.info(
                "share {} of {} is counted from {:.2f} s ago on, term {}",
                share,
                workspace,
                self._clock() - since,
                term,
            )
        share_state.window.change(bounds)
        return share_state

    def _drop(self, workspace: Workspace, share: int, *, reason: str) -> None:
        """Forget what a share granted."""
        dropped = self._shares.pop((workspace, share), None)
        if dropped is None:
            return
        granted = dropped.window.granted(self._clock())
        log.info(
            "share {} of {} is dropped, {:.0f} granted in the last {:.2f} s: {}",
            share,
            workspace,
            granted,
            dropped.window.bounds.span,
            reason,
        )

    def _spread(self, share: _Share, now: float) -> float:
        """Return a random delay over the time needed to serve recent refusals.

        Each refused caller has asked all shares, which serve it together.
        """
        refused = share.refused
        refused.append(now)
        while refused[0] < now - REFUSED_SPAN:
            refused.popleft()
        span = len(refused) / (SHARES * share.window.bounds.rate)
        return self._rng.uniform(0.0, min(span, self._bounds.window))
