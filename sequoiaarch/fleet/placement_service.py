"""Ask the owners of engines for placements, and report to them."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any

import msgspec

from ..ids import (
    DataCentre,
    HostName,
    InstanceId,
    ProgramId,
    ServiceName,
    WriterId,
)
from ..policies.pace import GapTable, PaceSample, PaceTable, uneven
from ..policies.program_placement import PlacementRefused, ProgramDemand
from ..wire.messages import (
    LoadReported,
    LoadReportRequest,
    PlaceProgramRequest,
    ProgramPlaced,
    ProgramReport,
)
from .engine_owner import Engine, EngineOwner
from .peer_health import PeerHealth
from .peers import Peers
from .program_table import ProgramTable
from .ranking import RankingCache, ranked_by_size

# Interval of reports to owners, in seconds: short against a program's duration.
REPORT_INTERVAL = 0.2
# Timeout of requests to owners, which answer from memory. Seconds.
ASK_TIMEOUT = 0.1
# Timeout of all requests for one program. With that for a lost delegate, turns still
# open within 0.3 s. Seconds.
PLACE_TIMEOUT = 0.15
# Seconds for which the paces that an owner returned are used. Without reports none
# are returned, and this host's own measurements are newer.
OWNER_PACES_LIFE = 1.0
# Programs leave an engine on which a turn takes this much longer than on the fastest
# one. Moving costs a program the processing of its prompt, and the other engine room in
# its cache, which pays after a turn or two. Seconds.
MOVE_SECONDS = 0.1
# Seconds for which engines count as uneven after they were last seen to be.
UNEVEN_HOLD = 10.0


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """The engine for a program and the owner that named it."""

    instance: InstanceId
    owner: HostName


class RefusedBy(PlacementRefused, frozen=True, kw_only=True):
    """Returned if an owner has no room for a program, with its reason."""

    owner: HostName
    reason: str = ""


class _OwnerPace(msgspec.Struct, frozen=True, kw_only=True):
    """Pace of an engine as returned by an owner, with the time of the reply."""

    pace: float
    at: float


class PlacementService:
    """Find engines for programs through the owner of each data centre's engines.

    One host of each data centre, chosen by rendezvous hashing, is asked by all others
    and gets their reports. If it does not answer, the next one is asked after that.
    Small hosts are chosen only if no larger one is usable: an owner has more to do
    than the others.
    """

    def __init__(
        self,
        *,
        own: HostName,
        data_centre: DataCentre,
        peers: Peers,
        programs: ProgramTable,
        engines: Callable[[ServiceName], list[Engine]],
        centre_of: Callable[[InstanceId], DataCentre | None],
        service_of: Callable[[InstanceId], ServiceName | None],
        always: bool,
        process: WriterId | None = None,
    ) -> None:
        """Place programs `always`, or only while engines are uneven.

        `service_of` returns the service of a registered engine.
        """
        self._own = own
        self._process = process
        self._data_centre = data_centre
        self._peers = peers
        self._programs = programs
        self._engines = engines
        self._centre_of = centre_of
        self._service_of = service_of
        self._always = always
        # Separate from the health of peers for other requests, as processes of an
        # older build are healthy but can't place programs.
        self._peer_health = PeerHealth()
        self._owner_rankings = RankingCache(
            rank=self._rank_owners, version=lambda: peers.version
        )
        self.owner = EngineOwner(data_centre=data_centre, engines=engines)
        # Events seen by this host, and those of them that are not reported yet.
        self._paces = PaceTable()
        self._gaps = GapTable()
        self._samples: dict[InstanceId, PaceSample] = {}
        self._owner_paces: dict[InstanceId, _OwnerPace] = {}
        self._uneven_until = -math.inf
        self._slowdowns: dict[InstanceId, float] = {}
        self._slowdowns_until = -math.inf
        self._reported_centres: set[DataCentre] = set()

    @property
    def active(self) -> bool:
        """Return whether programs are placed by owners."""
        return self._always or self.uneven

    @property
    def refuses(self) -> bool:
        """Return whether owners refuse programs that no engine has room for.

        Without the setting they only choose the engines.
        """
        return self._always

    @property
    def uneven(self) -> bool:
        """Return whether engines differ in speed."""
        return asyncio.get_running_loop().time() < self._uneven_until

    def record_events(self, instance: InstanceId, seconds: float, events: int) -> None:
        """Record the seconds in which an engine sent a number of events."""
        if self._service_of(instance) is None:
            # It has left, or it is no engine.
            return
        sample = PaceSample(instance=instance, seconds=seconds, events=events)
        if not self._paces.add(sample, asyncio.get_running_loop().time()):
            return
        earlier = self._samples.get(instance)
        self._samples[instance] = sample if earlier is None else earlier.plus(sample)

    def record_gaps(self, instance: InstanceId, gaps: Sequence[float]) -> None:
        """Record the seconds between the events of a turn."""
        if self._service_of(instance) is not None:
            self._gaps.add(instance, gaps)

    def slowdowns(self) -> dict[InstanceId, float]:
        """Return how many seconds longer a turn takes than on the fastest engine.

        Each request needs this, so it is computed once in each report interval.
        """
        now = asyncio.get_running_loop().time()
        if now >= self._slowdowns_until:
            self._slowdowns_until = now + REPORT_INTERVAL
            events = self._paces.events_per_turn or 0.0
            self._slowdowns = {
                instance: events * (pace - min(paces.values()))
                for paces in self._by_service(self._known_paces(now)).values()
                for instance, pace in paces.items()
            }
        return self._slowdowns

    def is_slow(self, instance: InstanceId | None) -> bool:
        """Return whether programs gain by leaving an engine, if another has room."""
        if instance is None or not self.active:
            return False
        return self.slowdowns().get(instance, 0.0) > MOVE_SECONDS

    def forget(self, instance: InstanceId) -> None:
        """Discard what is known of the pace of an engine that has left."""
        self._paces.forget(instance)
        self._gaps.forget(instance)
        self._samples.pop(instance, None)
        self._owner_paces.pop(instance, None)
        self.owner.paces.forget(instance)

    def usable(self, instance: InstanceId | None, service: ServiceName) -> bool:
        """Return whether an engine still takes work."""
        return any(engine.instance == instance for engine in self._engines(service))

    async def place(
        self, program: ProgramId, demand: ProgramDemand
    ) -> Placement | RefusedBy | None:
        """Return the engine for a program; None if no owner answers in time."""
        deadline = asyncio.get_running_loop().time() + PLACE_TIMEOUT
        centre = self._data_centre
        request = PlaceProgramRequest(program=program, demand=demand)
        owner, placed = await self._ask(centre, request, deadline)
        if placed is not None and placed.centre is not None:
            request = msgspec.structs.replace(request, redirected=True)
            sent = msgspec.structs.replace(request, sent_from=centre)
            owner, elsewhere = await self._ask(placed.centre, sent, deadline)
            if elsewhere is None or elsewhere.instance is None:
                owner, placed = await self._ask(centre, request, deadline)
            else:
                placed = elsewhere
        if owner is None or placed is None:
            return None
        if placed.instance is not None:
            return Placement(instance=placed.instance, owner=owner)
        if placed.retry_after is not None:
            return RefusedBy(
                retry_after=placed.retry_after, owner=owner, reason=placed.reason
            )
        return None

    def answer_place(self, request: PlaceProgramRequest) -> ProgramPlaced:
        """Place a program of any host as the owner."""
        return self.owner.place(request, asyncio.get_running_loop().time())

    def answer_report(self, request: LoadReportRequest) -> LoadReported:
        """Apply the report of any host as the owner."""
        known = [
            sample
            for sample in request.paces
            if self._centre_of(sample.instance) is not None
        ]
        if len(known) < len(request.paces):
            # Engines that have left must not come back by the report of a host that
            # does not know it yet.
            request = msgspec.structs.replace(request, paces=known)
        return self.owner.report(request, asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Report to the owners, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            now = loop.time()
            self.owner.expire(now)
            speeds = self._by_service(self._gaps.speeds())
            if any(uneven(paces.values()) for paces in speeds.values()):
                self._uneven_until = now + UNEVEN_HOLD
            if self.active:
                await self._report(now)
            else:
                # The first report must tell the present pace, not that of hours.
                self._samples.clear()

    def _known_paces(self, now: float) -> dict[InstanceId, float]:
        """Return the paces of engines, as all hosts saw them if their owner told."""
        paces = self._paces.paces(now)
        paces.update(
            (instance, known.pace)
            for instance, known in self._owner_paces.items()
            if known.at > now - OWNER_PACES_LIFE
        )
        return paces

    def _by_service(
        self, paces: Mapping[InstanceId, float]
    ) -> dict[ServiceName, dict[InstanceId, float]]:
        """Return the paces of the engines of each service, as their models differ."""
        by_service: dict[ServiceName, dict[InstanceId, float]] = defaultdict(dict)
        for instance, pace in paces.items():
            service = self._service_of(instance)
            if service is not None:
                by_service[service][instance] = pace
        return by_service

    def _record_owner_paces(self, reported: LoadReported) -> None:
        now = asyncio.get_running_loop().time()
        for instance, pace in reported.paces.items():
            if self._service_of(instance) is not None and 0 < pace < math.inf:
                self._owner_paces[instance] = _OwnerPace(pace=pace, at=now)

    async def _report(self, now: float) -> None:
        programs = self._programs_by_centre(now)
        samples = self._samples_by_centre()
        # An empty report tells that the programs of the last one have ended.
        centres = programs.keys() | samples.keys() | self._reported_centres
        self._reported_centres = set(programs)
        reports = [
            self._send_report(
                centre,
                LoadReportRequest(
                    host=self._own,
                    process=self._process,
                    programs=programs.get(centre, []),
                    paces=samples.get(centre, []),
                    pause=self._programs.pause,
                ),
            )
            for centre in centres
        ]
        if self.is_owner:
            reports += self._owner_reports(now)
            self.owner.log_load(now)
        await asyncio.gather(*reports)

    def _owner_reports(self, now: float) -> list[Coroutine[Any, Any, None]]:
        """Report the free placements of this data centre to the other owners."""
        report = LoadReportRequest(
            host=self._own,
            process=self._process,
            programs=[],
            centre=self._data_centre,
            free=self.owner.free(now),
        )
        return [
            self._send_report(centre, report)
            for centre in self._peers.hosts_by_centre()
            if centre != self._data_centre
        ]

    def _programs_by_centre(self, now: float) -> dict[DataCentre, list[ProgramReport]]:
        reports = defaultdict(list)
        for name, program in self._programs.active(now).items():
            if program.home is None:
                continue
            centre = self._centre_of(program.home)
            if centre is None:
                continue
            reports[centre].append(
                ProgramReport(
                    program=name,
                    instance=program.home,
                    tokens=program.tokens,
                    workspace=program.workspace,
                    weight=self._programs.weight(program),
                    ran=program.ran,
                )
            )
        return reports

    def _samples_by_centre(self) -> dict[DataCentre, list[PaceSample]]:
        samples, self._samples = self._samples, {}
        by_centre = defaultdict(list)
        for instance, sample in samples.items():
            centre = self._centre_of(instance)
            if centre is not None:
                by_centre[centre].append(sample)
        return by_centre

    async def _send_report(self, centre: DataCentre, report: LoadReportRequest) -> None:
        owner = self.owner_of(centre)
        if owner is None:
            return
        if owner == self._own:
            self._record_owner_paces(self.answer_report(report))
            return
        link = self._peers.link(owner)
        if link is None:
            return
        reply = await link.call(report, timeout=ASK_TIMEOUT)
        if isinstance(reply, LoadReported):
            self._peer_health.request_succeeded(owner)
            self._record_owner_paces(reply)
        else:
            self._peer_health.request_failed(owner, str(reply))

    async def _ask(
        self, centre: DataCentre, request: PlaceProgramRequest, deadline: float
    ) -> tuple[HostName | None, ProgramPlaced | None]:
        """Ask the owner of a data centre's engines; no reply if it doesn't answer."""
        owner = self.owner_of(centre)
        if owner is None:
            return None, None
        if owner == self._own:
            return owner, self.answer_place(request)
        link = self._peers.link(owner)
        remaining = deadline - asyncio.get_running_loop().time()
        if link is None or remaining <= 0:
            return owner, None
        reply = await link.call(request, timeout=min(ASK_TIMEOUT, remaining))
        if isinstance(reply, ProgramPlaced):
            self._peer_health.request_succeeded(owner)
            return owner, reply
        if remaining >= ASK_TIMEOUT:
            self._peer_health.request_failed(owner, str(reply))
        return owner, None

    @property
    def is_owner(self) -> bool:
        """Return whether this host owns the engines of its data centre."""
        return self.owner_of(self._data_centre) == self._own

    def owner_of(self, centre: DataCentre) -> HostName | None:
        """Return the first usable host by rank for the engines of a data centre."""
        ranking = self._owner_rankings.get(centre)
        usable = (host for host in ranking if self._peer_health.usable(host))
        return next(usable, None)

    def _rank_owners(self, centre: DataCentre) -> list[HostName]:
        hosts = self._peers.hosts_by_centre().get(centre, [])
        return ranked_by_size(f"engines/{centre}", hosts, self._peers.weights(centre))
