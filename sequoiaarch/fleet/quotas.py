"""Take rate-limit tokens from the hosts that own shares of a limit."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import logbook

from ..ids import HostName, Workspace
from ..wire.messages import Reply, TakeTokensRequest, TokensTaken
from ..workspaces.access import Caller
from ..workspaces.limiter import NOT_OWNED, Limiter, TokenGrant
from ..workspaces.quotas import UNKNOWN_RETRY_AFTER, Refusal, combined_refusal
from ..workspaces.shares import ShareOwners
from ..workspaces.token_cache import Token, TokenCache
from .peer_health import PeerHealth
from .peers import Peers

log = logbook.Logger("limits")

# Timeout of requests to share owners, which answer from memory: one that does not
# answer by then is dead, frozen or overloaded. Seconds.
ASK_TIMEOUT = 0.1
# Seconds between log lines about the owners of a limit that can't be asked.
UNKNOWN_LOG_INTERVAL = 1.0


class FleetQuotas:
    """Take rate-limit tokens from the owners of shares, the nearest first."""

    def __init__(
        self,
        *,
        own: HostName,
        peers: Peers,
        peer_health: PeerHealth,
        owners: ShareOwners,
        limiter: Limiter,
        token_cache: TokenCache,
        takeover_in: Callable[[HostName], float | None] = lambda host: None,
    ) -> None:
        """Refuse for `takeover_in` seconds while all owners are suspected lost."""
        self._own = own
        self._peers = peers
        self._peer_health = peer_health
        self._owners = owners
        self._limiter = limiter
        self._token_cache = token_cache
        self._takeover_in = takeover_in
        self._logged_unknown_at = float("-inf")

    async def take(self, caller: Caller, *, begins: bool) -> Token | Refusal:
        """Take a token, or return the refusal."""
        workspace = caller.workspace
        assert workspace is not None
        cached = self._token_cache.take(workspace)
        if cached is not None:
            return cached
        wait = self._token_cache.refused(workspace, begins=begins)
        if wait is not None:
            return Refusal(wait=wait)
        grants = []
        outcomes = []
        for share, host in self._shares_nearest_first(workspace):
            asked_at = self._token_cache.now()
            tokens, outcome = await self._take_from(host, workspace, share, begins)
            if tokens.count:
                return self._token_cache.put(
                    workspace,
                    tokens.count - 1,
                    asked=asked_at,
                    source=f"share {share} at {host}",
                )
            grants.append(tokens)
            outcomes.append(f"share {share} at {host}: {outcome}")
        refusal = combined_refusal(grants)
        if refusal.kept:
            self._token_cache.record_refusal(workspace, refusal.wait, begins=begins)
            return refusal
        self._log_unknown(workspace, outcomes)
        return Refusal(wait=self._owner_in(workspace), kept=False)

    def release(self, caller: Caller, token: Token) -> None:
        """Keep an unused token for another request of this process."""
        if caller.workspace is not None:
            self._token_cache.release(caller.workspace, token)

    def now(self) -> float:
        """Return the time of the clock, in seconds."""
        return self._token_cache.now()

    def answer(self, request: TakeTokensRequest) -> Reply:
        """Handle a request of another gateway for tokens."""
        tokens = self._limiter.grant(
            request.workspace, request.share, request.count, begins=request.begins
        )
        return TokensTaken(tokens=tokens)

    def _owner_in(self, workspace: Workspace) -> float:
        """Return the seconds after which some share is likely to have an owner.

        An owner that is not suspected may be back at any moment.
        """
        waits = [self._takeover_in(host) for host in self._owners.of(workspace)]
        known = [wait for wait in waits if wait is not None]
        if not known or len(known) < len(waits):
            return UNKNOWN_RETRY_AFTER
        return max(UNKNOWN_RETRY_AFTER, min(known))

    def _shares_nearest_first(self, workspace: Workspace) -> list[tuple[int, HostName]]:
        """Return the shares with their owners, nearest first."""
        near = {self._own, *self._peers.neighbours()}
        shares = list(enumerate(self._owners.of(workspace)))
        shares.sort(key=lambda entry: (entry[1] != self._own, entry[1] not in near))
        return shares

    async def _take_from(
        self, host: HostName, workspace: Workspace, share: int, begins: bool
    ) -> tuple[TokenGrant, str]:
        """Return the tokens of a share, and the outcome for the log."""
        count = self._token_cache.wanted(workspace)
        if host == self._own:
            tokens = self._limiter.grant(workspace, share, count, begins=begins)
            return tokens, _describe(tokens)
        link = self._peers.link(host)
        if link is None:
            return NOT_OWNED, "not registered"
        if not self._peer_health.usable(host):
            return NOT_OWNED, "not asked, as it failed before"
        request = TakeTokensRequest(
            workspace=workspace, share=share, count=count, begins=begins
        )
        reply = await link.call(request, timeout=ASK_TIMEOUT)
        if not isinstance(reply, TokensTaken):
            self._peer_health.request_failed(host, str(reply))
            return NOT_OWNED, "no answer"
        self._peer_health.request_succeeded(host)
        return reply.tokens, _describe(reply.tokens)

    def _log_unknown(self, workspace: Workspace, outcomes: Sequence[str]) -> None:
        """Log why no owner of a limit could be asked."""
        now = self._token_cache.now()
        if now < self._logged_unknown_at + UNKNOWN_LOG_INTERVAL:
            return
        self._logged_unknown_at = now
        log.warning(
            "no owner of the limit of {} answered: {}", workspace, "; ".join(outcomes)
        )


def _describe(tokens: TokenGrant) -> str:
    return "does not own it" if tokens.wait is None else "no tokens"
