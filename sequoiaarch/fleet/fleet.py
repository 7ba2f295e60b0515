"""Put together what one gateway does with the others and for them."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import msgspec

from ..ids import HostName, Workspace, WriterId
from ..ledger.ledger import Ledger
from ..ledger.loans import LoanBook
from ..ledger.split import BudgetSplit
from ..ledger.turns import LocalTurns
from ..policies.health import TargetHealth
from ..routing.follower import TopicFollower, boottime_clock
from ..storage.keyed import KeyedLog, KeyedRecord, ListedRecord
from ..wire.links import Send
from ..wire.messages import (
    LendRequest,
    Reply,
    Request,
    SeenRequest,
    SettleRequest,
    TakeTokens,
    TargetReport,
)
from ..workspaces.directory import RateLimit
from ..workspaces.host_lease import HostLease
from ..workspaces.limiter import Limiter
from ..workspaces.shares import ShareOwners
from ..workspaces.sliding_window import QuotaBounds
from ..workspaces.token_cache import TokenCache
from .claiming import Claiming
from .claims import TOPIC as CLAIMS_TOPIC, Claims
from .delegates import DelegatedTurns, Delegates
from .joining import Joining
from .lenders import Lenders
from .peers import TOPIC as PEERS_TOPIC, Peers
from .quotas import FleetQuotas
from .standing import Standing
from .target_reports import TargetReports
from .turn_server import TurnServer

# Claims change when processes start and stop. A connection that has fallen silent
# hides a change for this long, which costs a request to a lender that has left.
# Seconds.
CLAIMS_WAIT = 10.0


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Say what workspaces are held to.

    A process keeps shares of limits by a view of the fleet that is at most `lease`
    seconds old, and reads registrations for up to `wait` seconds at a time.
    """

    of: Callable[[Workspace], RateLimit | None]
    bounds: QuotaBounds
    lease: float
    wait: float


class Fleet:
    """Hold one gateway's part in the fleet: registration, accounts, loans, limits."""

    def __init__(
        self,
        *,
        own: HostName,
        writer: WriterId,
        peers: Peers,
        keyed_log: KeyedLog,
        ledger: Ledger,
        split: BudgetSplit,
        health: TargetHealth,
        limits: Limits,
    ) -> None:
        self._own = own
        self._writer = writer
        self._peers = peers
        self._log = keyed_log
        claims = Claims()
        standing = Standing()
        self.loans = LoanBook(split=split, carried=claims.carried)
        self._claiming = Claiming(
            writer=writer,
            own=own,
            peers=peers,
            book=self.loans,
            claims=claims,
            standing=standing,
            seen_from=self._seen_from,
        )
        self._lenders = Lenders(
            writer=writer,
            own=own,
            peers=peers,
            book=self.loans,
            claims=claims,
            claiming=self._claiming,
            standing=standing,
        )
        local = LocalTurns(ledger=ledger, lender=self._lenders)
        self._server = TurnServer(local=local, ledger=ledger)
        self.turns = DelegatedTurns(
            delegates=Delegates(own=own, peers=peers, standing=standing),
            local=local,
            ledger=ledger,
        )
        self.reports = TargetReports(own=own, peers=peers, health=health)
        self.host_lease = HostLease(lease=limits.lease, clock=boottime_clock)
        self._registrations = TopicFollower(
            log=keyed_log,
            topic=PEERS_TOPIC,
            replace=self._replace_peers,
            change=self._change_peer,
            wait=limits.wait,
            on_read=self.host_lease.renew,
        )
        self._joining = Joining(
            own=own, writer=writer, peers=peers, host_lease=self.host_lease
        )
        peers.own_changed = self._own_changed
        self._hosts_seen = peers.hosts_version
        self._owners = ShareOwners(
            hosts=peers.by_centre, version=lambda: peers.hosts_version
        )
        self.limiter = Limiter(
            bounds=limits.bounds,
            limits=limits.of,
            owns=self._owns,
            term=lambda: self.host_lease.term,
            since=lambda: self.host_lease.since,
            clock=boottime_clock,
            rng=random.Random(),
        )
        self.quotas = FleetQuotas(
            own=own,
            peers=peers,
            standing=standing,
            owners=self._owners,
            limiter=self.limiter,
            token_cache=TokenCache(clock=boottime_clock),
        )
        self._followers = [
            self._registrations,
            TopicFollower(
                log=keyed_log,
                topic=CLAIMS_TOPIC,
                replace=claims.replace,
                change=claims.change,
                wait=CLAIMS_WAIT,
            ),
        ]

    @property
    def open_turns(self) -> int:
        """Return how many turns of other gateways are open here."""
        return self._server.open_turns

    def parts(self, retention: Callable[[], float]) -> list[Coroutine[Any, Any, None]]:
        """Return what runs for ever; `retention` is the longest one of turns."""
        return [
            *(one.follow() for one in self._followers),
            self._peers.register(self._log, self._writer),
            self._claiming.run(self._log, retention),
            self._joining.run(),
        ]

    async def answer(self, request: Request, send: Send) -> Reply:
        """Answer another gateway."""
        if isinstance(request, LendRequest | SettleRequest):
            return self._lenders.answer(request)
        if isinstance(request, TargetReport):
            return self.reports.take(request)
        if isinstance(request, TakeTokens):
            return self.quotas.answer(request)
        if isinstance(request, SeenRequest):
            return self._joining.answer(request)
        return await self._server.answer(request, send)

    def refuse_new(self) -> None:
        """Open no more turns for others, as this process is to stop."""
        self._server.stopping = True

    async def leave(self) -> None:
        """Take back claims and registration."""
        await self._claiming.stop(self._log)
        self.host_lease.release()
        await self._peers.unregister(self._log, self._writer)

    def _seen_from(self) -> float:
        """Return since when claims and registrations are known, in boot time."""
        return min(one.as_of for one in self._followers)

    def _replace_peers(self, records: Sequence[KeyedRecord]) -> None:
        self._peers.replace(records)
        self._hosts_changed()

    def _change_peer(self, record: ListedRecord) -> None:
        self._peers.change(record)
        self._hosts_changed()

    def _hosts_changed(self) -> None:
        if self._hosts_seen == self._peers.hosts_version:
            return
        self._hosts_seen = self._peers.hosts_version
        self.host_lease.hosts_changed()
        self.limiter.drop_unowned()

    def _own_changed(self, writer: WriterId | None, ordered: bool) -> None:
        if writer is None:
            self.host_lease.unregistered()
        else:
            self.host_lease.registered(own=writer == self._writer, ordered=ordered)

    def _owns(self, workspace: Workspace, share: int) -> bool:
        """Return whether a share of a workspace's limit is kept here."""
        owners = self._owners.of(workspace)
        ranked = share < len(owners) and owners[share] == self._own
        return ranked and self.host_lease.active
