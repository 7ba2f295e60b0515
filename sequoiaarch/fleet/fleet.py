"""Assemble what one gateway shares with the other gateways."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

import logbook
import msgspec

from ..background import Factory
from ..ids import (
    DataCentre,
    HostName,
    InstanceId,
    ServiceName,
    Workspace,
    WriterId,
)
from ..ledger.ledger import Ledger
from ..ledger.loans import LoanBook
from ..ledger.split import BudgetSplit
from ..ledger.turns import LocalTurns
from ..policies.health import TargetHealth
from ..routing.follower import TopicFollower, boottime_clock
from ..storage.keyed import KeyedLog, KeyedRecord, ListedRecord
from ..wire.links import Send
from ..wire.messages import (
    ClearExposuresRequest,
    FindOriginRequest,
    HostCheckRequest,
    LendRequest,
    ListExposuresRequest,
    LoadReportRequest,
    PlaceProgramRequest,
    RecordOriginRequest,
    RegistrationSeenRequest,
    Reply,
    ReportExposuresRequest,
    Request,
    SettleRequest,
    TakeTokensRequest,
    TargetReport,
)
from ..workspaces.directory import RateLimit
from ..workspaces.host_lease import CLOCK_MARGIN, HostLease, Registration
from ..workspaces.limiter import Limiter
from ..workspaces.shares import MovedShares, ShareOwners
from ..workspaces.sliding_window import QuotaBounds
from ..workspaces.token_cache import TokenCache
from .claims import TOPIC as CLAIMS_TOPIC, Claims
from .delegates import DelegatedTurns, DelegateSelector
from .engine_owner import Engine
from .exposure_log import ExposureLog
from .exposure_reports import SharedExposures
from .exposures import ExposureTracker
from .host_watch import HostWatch
from .loan_service import LoanService
from .peer_health import PeerHealth
from .peers import TOPIC as PEERS_TOPIC, PeerRecord, Peers
from .placed_turns import PlacedTurns
from .placement_service import PlacementService
from .program_table import ProgramTable
from .quotas import FleetQuotas
from .registration_check import RegistrationCheck
from .slot_claimer import SlotClaimer
from .stream_origins import SharedOrigins
from .target_reports import TargetReports
from .turn_server import TurnServer

log = logbook.Logger("limits")

# Long-poll time for claims, which change only when processes start and stop. A dead
# connection hides a change for as long. Seconds.
CLAIMS_READ_WAIT = 10.0
# In seconds.
SETTLED_CHECK_INTERVAL = 0.1
SETTLED_DELAY = 0.5
SETTLED_DELAY_PER_HOST = 0.02


class QuotaOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Rate limits of workspaces and how they are enforced.

    A process serves its shares of limits only while its view of the registrations is at
    most `lease` seconds old. It polls registrations for up to `wait` seconds at a
    time.
    """

    of: Callable[[Workspace], RateLimit | None]
    bounds: QuotaBounds
    lease: float
    wait: float


class PlacementOptions(msgspec.Struct, frozen=True, kw_only=True):
    """The engines that this process knows, and whether owners always place programs.

    Otherwise they do while engines differ in speed. `service_of` returns the service of
    a registered engine.
    """

    data_centre: DataCentre
    engines: Callable[[ServiceName], list[Engine]]
    centre_of: Callable[[InstanceId], DataCentre | None]
    service_of: Callable[[InstanceId], ServiceName | None]
    always: bool


class Fleet:
    """One gateway's registration, budget accounts, loans and rate limits."""

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
        exposures: ExposureTracker,
        quota_options: QuotaOptions,
        placement_options: PlacementOptions,
    ) -> None:
        self._own = own
        self._writer = writer
        self._peers = peers
        self._log = keyed_log
        self._stopping = False
        claims = Claims()
        peer_health = self._peer_health = PeerHealth()
        self.loans = LoanBook(split=split, carried=claims.carried)
        self._claimer = SlotClaimer(
            writer=writer,
            own=own,
            peers=peers,
            book=self.loans,
            claims=claims,
            peer_health=peer_health,
            view_as_of=self._view_as_of,
            still_known=ledger.has_records,
        )
        self._loan_service = LoanService(
            writer=writer,
            own=own,
            peers=peers,
            book=self.loans,
            claims=claims,
            claimer=self._claimer,
            peer_health=peer_health,
        )
        local = LocalTurns(ledger=ledger, lender=self._loan_service)
        programs = ProgramTable()
        self.placements = PlacementService(
            own=own,
            data_centre=placement_options.data_centre,
            peers=peers,
            programs=programs,
            engines=placement_options.engines,
            centre_of=placement_options.centre_of,
            service_of=placement_options.service_of,
            always=placement_options.always,
            process=writer,
        )
        placed = PlacedTurns(
            local=local, ledger=ledger, programs=programs, placements=self.placements
        )
        self._server = TurnServer(local=placed, ledger=ledger)
        self.turns = DelegatedTurns(
            delegates=DelegateSelector(own=own, peers=peers, peer_health=peer_health),
            local=local,
            placed=placed,
            ledger=ledger,
        )
        self.origins = SharedOrigins(own=own, peers=peers)
        self._exposure_log = ExposureLog(
            process=exposures.process,
            keyed_log=keyed_log,
            tracker=exposures,
            processes=lambda: len(peers) + 1,
            rng=random.Random(),
        )
        self.exposures = SharedExposures(
            own=own, peers=peers, tracker=exposures, durable=self._exposure_log
        )
        exposures.sharing = self.exposures
        self.reports = TargetReports(own=own, peers=peers, health=health)
        self.host_lease = HostLease(lease=quota_options.lease, clock=boottime_clock)
        self._registrations = TopicFollower(
            log=keyed_log,
            topic=PEERS_TOPIC,
            replace=self._replace_peers,
            apply=self._apply_peer,
            wait=quota_options.wait,
            on_regained=self._registrations_regained,
            on_read=self._renew_lease,
        )
        self._host_watch = HostWatch(
            own=own,
            writer=writer,
            peers=peers,
            wait=quota_options.lease * CLOCK_MARGIN,
            view_as_of=lambda: self._registrations.as_of,
        )
        # Set while this process has to register, or to register that it is settled.
        self._unregistered = asyncio.Event()
        self._unsettled = asyncio.Event()
        self._registration_check = RegistrationCheck(
            own=own, writer=writer, peers=peers, host_lease=self.host_lease
        )
        peers.on_own_registration = self._on_own_registration
        self._hosts_version_seen = peers.hosts_version
        self._owners = ShareOwners(
            hosts=peers.hosts_by_centre, version=lambda: peers.hosts_version
        )
        self._moved_shares = MovedShares(
            own=own,
            wait=quota_options.lease * CLOCK_MARGIN,
            registered=peers.registered,
            clock=boottime_clock,
        )
        self._hosts = peers.hosts_by_centre()
        self.limiter = Limiter(
            bounds=quota_options.bounds,
            limits=quota_options.of,
            owns=self._owns_share,
            active=lambda: self.host_lease.active,
            term=lambda: self.host_lease.term,
            since=self._shares_owned_since,
            clock=boottime_clock,
            rng=random.Random(),
        )
        self.quotas = FleetQuotas(
            own=own,
            peers=peers,
            peer_health=peer_health,
            owners=self._owners,
            limiter=self.limiter,
            takeover_in=self._host_watch.takeover_in,
            token_cache=TokenCache(clock=boottime_clock),
        )
        self._followers = [
            self._registrations,
            TopicFollower(
                log=keyed_log,
                topic=CLAIMS_TOPIC,
                replace=claims.replace,
                apply=claims.apply,
                wait=CLAIMS_READ_WAIT,
            ),
        ]

    @property
    def open_turns(self) -> int:
        """Return how many turns of other gateways are open here."""
        return self._server.open_turns

    def background_tasks(self, retention: Callable[[], float]) -> list[Factory]:
        """Return the coroutine functions of the background tasks.

        `retention` returns the longest retention of any turn, in seconds.
        """
        return [
            *(follower.follow for follower in self._followers),
            self._register,
            self._claim_slots(retention),
            self._registration_check.run,
            self._mark_settled,
            self._watch_hosts,
            self.placements.run,
            self.exposures.run,
            self._exposure_log.follow,
            self._exposure_log.run,
        ]

    async def _register(self) -> None:
        """Register, and again when the registration is suspected, removed or lost."""
        await self._peers.wait_previous()
        while not self._stopping:
            self._unregistered.clear()
            await self._peers.register(self._log, self._writer)
            await self._unregistered.wait()

    async def _watch_hosts(self) -> None:
        await self._host_watch.run(self._log)

    def _claim_slots(self, retention: Callable[[], float]) -> Factory:
        async def claim_slots() -> None:
            await self._claimer.run(self._log, retention)

        return claim_slots

    async def answer(self, request: Request, send: Send) -> Reply:
        """Handle a request of another gateway."""
        if isinstance(request, LendRequest | SettleRequest):
            return self._loan_service.answer(request)
        if isinstance(request, TargetReport):
            return self.reports.receive(request)
        if isinstance(request, RecordOriginRequest | FindOriginRequest):
            return self.origins.answer(request)
        if isinstance(
            request,
            ReportExposuresRequest | ClearExposuresRequest | ListExposuresRequest,
        ):
            return self.exposures.answer(request)
        if isinstance(request, TakeTokensRequest):
            return self.quotas.answer(request)
        if isinstance(request, PlaceProgramRequest):
            return self.placements.answer_place(request)
        if isinstance(request, LoadReportRequest):
            return self.placements.answer_report(request)
        if isinstance(request, HostCheckRequest):
            return self._host_watch.answer(request)
        if isinstance(request, RegistrationSeenRequest):
            return self._registration_check.answer(request)
        return await self._server.answer(request, send)

    def refuse_new(self) -> None:
        """Refuse to open turns for other gateways, ahead of a shutdown."""
        self._server.stopping = True

    async def leave(self) -> None:
        """Remove the claims and the registration of this process.

        Other hosts take over the shares of a host that is not registered, which an
        earlier process of it may still serve.
        """
        self._stopping = True
        self._host_watch.stop()
        await self._claimer.stop(self._log)
        self.host_lease.release()
        if self.host_lease.earlier_may_act:
            return
        await self._peers.unregister(self._log, self._writer)

    def _view_as_of(self) -> float:
        """Return the boot time as of which claims and registrations are known."""
        return min(follower.as_of for follower in self._followers)

    def _replace_peers(self, records: Sequence[KeyedRecord]) -> None:
        self._peers.replace(records)
        self._host_watch.registrations_changed()
        self._hosts_changed()

    def _registrations_regained(self) -> None:
        self._host_watch.store_regained()

    def _apply_peer(self, record: ListedRecord) -> None:
        host = HostName(record.key)
        before = self._peers.registrations().get(host)
        self._peers.apply(record)
        after = self._peers.registrations().get(host)
        if after is not None and (before is None or before.process != after.process):
            self._peer_health.restarted(host)
        self._host_watch.registrations_changed()
        self._hosts_changed()

    def _hosts_changed(self) -> None:
        if self._hosts_version_seen == self._peers.hosts_version:
            return
        self._hosts_version_seen = self._peers.hosts_version
        before, self._hosts = self._hosts, self._peers.hosts_by_centre()
        self._moved_shares.hosts_changed(before, self._hosts)
        self.host_lease.hosts_changed()
        self.limiter.drop_unowned()

    def _renew_lease(self, since: float) -> None:
        served = self.host_lease.active
        term = self.host_lease.term
        gap = since - self.host_lease.last_read
        self.host_lease.renew(since)
        if term == self.host_lease.term and served == self.host_lease.active:
            return
        log.info(
            "shares are {}, the hosts were read {:.2f} s ago and {:.2f} s before"
            " that; term {}",
            "served" if self.host_lease.active else "not served",
            boottime_clock() - since,
            gap,
            self.host_lease.term,
        )

    def _on_own_registration(self, record: PeerRecord | None, ordered: bool) -> None:
        if record is None:
            self.host_lease.unregistered()
            self._unregistered.set()
            log.info("this host is not registered")
            return
        if record.writer != self._writer and self._peers.listens_at(record):
            # Nobody else listens here: the registration of an earlier process was
            # written late.
            self._unregistered.set()
        if record.writer == self._writer and not record.settled:
            self._unsettled.set()
        if record.suspicion is not None and record.process == self._writer:
            self.host_lease.suspected()
            self._unregistered.set()
            log.warning(
                "this host is suspected to be lost, by {}; it registers again",
                record.suspicion.author,
            )
            return
        registration = Registration(
            own=record.writer == self._writer,
            ended=self._peers.listens_at(record),
            settled=record.settled,
        )
        self.host_lease.registered(registration, ordered=ordered)
        log.info(
            "this host is registered by process {} at {}, settled: {}; shares are"
            " counted from {:.2f} s ago on",
            record.writer,
            record.address,
            record.settled,
            boottime_clock() - self.host_lease.since,
        )

    async def _mark_settled(self) -> None:
        """Write that this process owns its shares whenever it does."""
        while True:
            await self._unsettled.wait()
            while not self.host_lease.active:
                await asyncio.sleep(SETTLED_CHECK_INTERVAL)
            # All hosts may have started at once, and each write excludes the others.
            most = SETTLED_DELAY + SETTLED_DELAY_PER_HOST * len(self._peers)
            await asyncio.sleep(random.uniform(0.0, most))
            self._unsettled.clear()
            await self._peers.mark_settled(self._log, self._writer)

    def _owns_share(self, workspace: Workspace, share: int) -> bool:
        """Return whether this host owns a share by its view of the hosts."""
        owners = self._owners.of(workspace)
        if share >= len(owners) or owners[share] != self._own:
            return False
        return self._moved_shares.owned_from(workspace, share) <= boottime_clock()

    def _shares_owned_since(self, workspace: Workspace, share: int) -> float:
        moved = self._moved_shares.owned_from(workspace, share)
        return max(self.host_lease.since, moved)
