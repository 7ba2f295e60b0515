"""Ask the owners of engines for placements, and report to them."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict
from collections.abc import Callable, Coroutine
from typing import Any

from ..ids import DataCentre, HostName, InstanceId, ProgramId, ServiceName
from ..policies.pace import PaceSample, PaceTable, uneven
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
# Seconds for which engines count as uneven after they were last seen to be.
UNEVEN_HOLD = 10.0


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
        always: bool,
    ) -> None:
        """Place programs `always`, or only while engines are uneven."""
        self._own = own
        self._data_centre = data_centre
        self._peers = peers
        self._programs = programs
        self._engines = engines
        self._centre_of = centre_of
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
        self._samples: dict[InstanceId, PaceSample] = {}
        # Paces as returned by the owners.
        self._fleet_paces: dict[InstanceId, float] = {}
        self._uneven_until = -math.inf
        self._reported_centres: set[DataCentre] = set()

    @property
    def active(self) -> bool:
        """Return whether programs are placed by owners."""
        return self._always or self.uneven

    @property
    def uneven(self) -> bool:
        """Return whether engines differ in speed."""
        return asyncio.get_running_loop().time() < self._uneven_until

    def record_events(self, instance: InstanceId, seconds: float, events: int) -> None:
        """Record the seconds in which an engine sent a number of events."""
        sample = PaceSample(instance=instance, seconds=seconds, events=events)
        if not self._paces.add(sample, asyncio.get_running_loop().time()):
            return
        earlier = self._samples.get(instance)
        self._samples[instance] = sample if earlier is None else earlier.plus(sample)

    def slowdowns(self) -> dict[InstanceId, float]:
        """Return how many seconds longer a turn takes than on the fastest engine."""
        paces = self._known_paces(asyncio.get_running_loop().time())
        if not paces:
            return {}
        fastest = min(paces.values())
        events = self._paces.events_per_turn or 0.0
        return {instance: events * (pace - fastest) for instance, pace in paces.items()}

    def usable(self, instance: InstanceId | None, service: ServiceName) -> bool:
        """Return whether an engine still takes work."""
        return any(engine.instance == instance for engine in self._engines(service))

    async def place(
        self, program: ProgramId, demand: ProgramDemand
    ) -> InstanceId | PlacementRefused | None:
        """Return the engine for a program; None if no owner answers."""
        request = PlaceProgramRequest(program=program, demand=demand)
        placed = await self._ask(self._data_centre, request)
        if placed is not None and placed.centre is not None:
            request = PlaceProgramRequest(
                program=program, demand=demand, redirected=True
            )
            elsewhere = await self._ask(placed.centre, request)
            if elsewhere is not None and elsewhere.instance is not None:
                return elsewhere.instance
            placed = await self._ask(self._data_centre, request)
        if placed is None:
            return None
        if placed.instance is None and placed.retry_after is not None:
            return PlacementRefused(retry_after=placed.retry_after)
        return placed.instance

    def answer_place(self, request: PlaceProgramRequest) -> ProgramPlaced:
        """Place a program of any host as the owner."""
        return self.owner.place(request, asyncio.get_running_loop().time())

    def answer_report(self, request: LoadReportRequest) -> LoadReported:
        """Apply the report of any host as the owner."""
        return self.owner.report(request, asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Report to the owners, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            now = loop.time()
            if uneven(self._known_paces(now).values()):
                self._uneven_until = now + UNEVEN_HOLD
            if self.active:
                await self._report(now)

    def _known_paces(self, now: float) -> dict[InstanceId, float]:
        return {**self._paces.paces(now), **self._fleet_paces}

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
                    programs=programs.get(centre, []),
                    paces=samples.get(centre, []),
                    pause=self._programs.pause,
                ),
            )
            for centre in centres
        ]
        if self._owner_of(self._data_centre) == self._own:
            reports += self._owner_reports(now)
            self.owner.log_load(now)
        await asyncio.gather(*reports)

    def _owner_reports(self, now: float) -> list[Coroutine[Any, Any, None]]:
        """Report the free placements of this data centre to the other owners."""
        report = LoadReportRequest(
            host=self._own,
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
        owner = self._owner_of(centre)
        if owner is None:
            return
        if owner == self._own:
            self._fleet_paces.update(self.answer_report(report).paces)
            return
        link = self._peers.link(owner)
        if link is None:
            return
        reply = await link.call(report, timeout=ASK_TIMEOUT)
        if isinstance(reply, LoadReported):
            self._peer_health.request_succeeded(owner)
            self._fleet_paces.update(reply.paces)
        else:
            self._peer_health.request_failed(owner, str(reply))

    async def _ask(
        self, centre: DataCentre, request: PlaceProgramRequest
    ) -> ProgramPlaced | None:
        """Ask the owner of a data centre's engines; None if it doesn't answer."""
        owner = self._owner_of(centre)
        if owner is None:
            return None
        if owner == self._own:
            return self.answer_place(request)
        link = self._peers.link(owner)
        if link is None:
            return None
        reply = await link.call(request, timeout=ASK_TIMEOUT)
        if isinstance(reply, ProgramPlaced):
            self._peer_health.request_succeeded(owner)
            return reply
        self._peer_health.request_failed(owner, str(reply))
        return None

    def _owner_of(self, centre: DataCentre) -> HostName | None:
        """Return the first usable host by rank for the engines of a data centre."""
        ranking = self._owner_rankings.get(centre)
        usable = (host for host in ranking if self._peer_health.usable(host))
        return next(usable, None)

    def _rank_owners(self, centre: DataCentre) -> list[HostName]:
        hosts = self._peers.hosts_by_centre().get(centre, [])
        return ranked_by_size(f"engines/{centre}", hosts, self._peers.weights(centre))
