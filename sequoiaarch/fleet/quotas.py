"""Ask the keepers of a workspace's limit for tokens, and keep shares for others."""

from __future__ import annotations

from ..ids import HostName, Workspace
from ..wire.messages import Reply, TakeTokens, TokensTaken
from ..workspaces.access import Caller
from ..workspaces.limiter import NOT_OWNED, Limiter, TokenGrant
from ..workspaces.quotas import Refusal, combined_refusal
from ..workspaces.shares import ShareOwners
from ..workspaces.token_cache import TokenCache
from .peers import Peers
from .standing import Standing

# A keeper answers from memory. One that does not within this time is dead, frozen
# or overloaded. Seconds.
ASK_TIMEOUT = 0.1


class FleetQuotas:
    """Take tokens from the keepers of shares, the nearest one first."""

    def __init__(
        self,
        *,
        own: HostName,
        peers: Peers,
        standing: Standing,
        owners: ShareOwners,
        limiter: Limiter,
        token_cache: TokenCache,
    ) -> None:
        self._own = own
        self._peers = peers
        self._standing = standing
        self._owners = owners
        self._limiter = limiter
        self._token_cache = token_cache

    async def take(self, caller: Caller, *, begins: bool) -> float | Refusal:
        """Return until when the token counts on the clock, or why there is none."""
        workspace = caller.workspace
        assert workspace is not None
        held = self._token_cache.take(workspace)
        if held is not None:
            return held
        wait = self._token_cache.refused(workspace, begins=begins)
        if wait is not None:
            return Refusal(wait=wait)
        answers = []
        for share, host in self._order(workspace):
            asked = self._token_cache.now()
            found = await self._ask(host, workspace, share, begins)
            if found.count:
                return self._token_cache.put(workspace, found.count - 1, asked=asked)
            answers.append(found)
        refusal = combined_refusal(answers)
        if refusal.kept:
            self._token_cache.refuse(workspace, refusal.wait, begins=begins)
        return refusal

    def release(self, caller: Caller, until: float) -> None:
        """Hold the token for another request of this process."""
        if caller.workspace is not None:
            self._token_cache.release(caller.workspace, until)

    def now(self) -> float:
        """Return the time of the clock, in seconds."""
        return self._token_cache.now()

    def answer(self, request: TakeTokens) -> Reply:
        """Answer another gateway."""
        found = self._limiter.take(
            request.workspace, request.share, request.count, begins=request.begins
        )
        return TokensTaken(tokens=found)

    def _order(self, workspace: Workspace) -> list[tuple[int, HostName]]:
        """Return the shares with their keepers, the nearest first."""
        near = {self._own, *self._peers.near()}
        shares = list(enumerate(self._owners.of(workspace)))
        shares.sort(key=lambda entry: (entry[1] != self._own, entry[1] not in near))
        return shares

    async def _ask(
        self, host: HostName, workspace: Workspace, share: int, begins: bool
    ) -> TokenGrant:
        count = self._token_cache.wanted(workspace)
        if host == self._own:
            return self._limiter.take(workspace, share, count, begins=begins)
        link = self._peers.link(host)
        if link is None or not self._standing.usable(host):
            return NOT_OWNED
        request = TakeTokens(
            workspace=workspace, share=share, count=count, begins=begins
        )
        reply = await link.call(request, timeout=ASK_TIMEOUT)
        if not isinstance(reply, TokensTaken):
            self._standing.failed(host, str(reply))
            return NOT_OWNED
        self._standing.served(host)
        return reply.tokens
