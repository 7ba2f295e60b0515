"""Run the parts of gateways that place programs, over real sockets in one process."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable, Sequence

import msgspec
import zmq.asyncio

from ...errors import ErrorKind, Failure
from ...fleet.delegates import DelegatedTurns, DelegateSelector
from ...fleet.engine_owner import Engine
from ...fleet.peer_health import PeerHealth
from ...fleet.peers import PeerRecord, Peers, PeerServer
from ...fleet.placed_turns import PlacedTurns
from ...fleet.placement_service import REPORT_INTERVAL, PlacementService
from ...fleet.program_table import ProgramTable
from ...fleet.turn_server import TurnServer
from ...ids import (
    DataCentre,
    HostName,
    InstanceId,
    ProgramId,
    ServiceName,
    SessionId,
    TurnId,
    WriterId,
)
from ...ledger.ledger import Ledger
from ...ledger.partition_map import PartitionMap
from ...ledger.terms import TurnStart, TurnTerms
from ...ledger.turns import LocalTurns
from ...policies.program_placement import ProgramDemand
from ...standins.keyed_store import KeyedStore
from ...storage.keyed import KeyedRecord
from ...wire.links import Send
from ...wire.messages import (
    Failed,
    LoadReportRequest,
    OpenTurnRequest,
    PlaceProgramRequest,
    ProgramReport,
    Reply,
    Request,
    TurnOpened,
)
from .delegates_tests import FailingStoreClient

HERE = DataCentre("here")
THERE = DataCentre("there")
SERVICE = ServiceName("engines")
SLOTS = 2
BUDGET = 800
MAX_TOKENS = 100
TEST_TIMEOUT = 10.0

Answer = Callable[[Request, Send], Awaitable[Reply]]


def engine(number: int, centre: DataCentre = HERE) -> Engine:
    """Return an engine."""
    return Engine(
        instance=InstanceId(f"i-{number}"),
        data_centre=centre,
        slots=SLOTS,
        cache_tokens=0,
    )


def demand() -> ProgramDemand:
    """Return the demand of a program that may wait a little."""
    return ProgramDemand(service=SERVICE, max_wait=0.05, tokens=10)


def start(
    program: str,
    turn: str = "t1",
    *,
    previous: str | None = None,
    retry_if_full: float | None = None,
) -> TurnStart:
    """Return the start of a turn."""
    return TurnStart(
        terms=TurnTerms(
            turn=TurnId(f"{program}-{turn}"),
            program=ProgramId(program),
            budget=BUDGET,
            most=MAX_TOKENS,
            retention=60.0,
            session=SessionId("s"),
        ),
        previous=TurnId(f"{program}-{previous}") if previous else None,
        kept=True,
        lifetime=1.0,
        retry_if_full=retry_if_full,
    )


class PlacementHost:
    """One gateway with its turns and its placements."""

    def __init__(
        self,
        *,
        name: str,
        centre: DataCentre,
        context: zmq.asyncio.Context,
        store: KeyedStore,
        engines: Callable[[], list[Engine]],
        always: bool,
    ) -> None:
        self.name = HostName(name)
        self.centre = centre
        self.client = store.client()
        self.server = PeerServer(
            context=context, address="127.0.0.1:*", client=FailingStoreClient()
        )
        self.address = self.server.address.removeprefix("tcp://")
        self.peers = Peers(
            context=context,
            own=self.name,
            own_address=self.address,
            data_centre=centre,
            seeds=[],
            rng=random.Random(1),
        )
        self.ledger = Ledger(
            log=self.client,
            writer=WriterId(f"w-{name}"),
            partition_map=PartitionMap(per_topic=2),
        )
        self.programs = ProgramTable()
        centres = {listed.instance: listed.data_centre for listed in engines()}
        self.placements = PlacementService(
            own=self.name,
            process=WriterId(f"w-{name}"),
            data_centre=centre,
            peers=self.peers,
            programs=self.programs,
            engines=lambda service: engines(),
            centre_of=lambda instance: centres.get(instance),
            service_of=lambda instance: SERVICE if instance in centres else None,
            always=always,
        )
        local = LocalTurns(ledger=self.ledger)
        placed = PlacedTurns(
            local=local,
            ledger=self.ledger,
            programs=self.programs,
            placements=self.placements,
        )
        self.turn_server = TurnServer(local=placed, ledger=self.ledger)
        self.delegates = DelegateSelector(
            own=self.name, peers=self.peers, peer_health=PeerHealth()
        )
        self.turns = DelegatedTurns(
            delegates=self.delegates, local=local, placed=placed, ledger=self.ledger
        )
        self.requests: list[Request] = []
        self.handler: Answer = self.answer
        self.server.fallback = self._handle

    async def _handle(self, request: Request, send: Send) -> Reply:
        self.requests.append(request)
        return await self.handler(request, send)

    async def answer(self, request: Request, send: Send) -> Reply:
        """Handle a request as a gateway of this build."""
        if isinstance(request, PlaceProgramRequest):
            return self.placements.answer_place(request)
        if isinstance(request, LoadReportRequest):
            return self.placements.answer_report(request)
        return await self.turn_server.answer(request, send)

    async def answer_as_older(self, request: Request, send: Send) -> Reply:
        """Handle a request as a gateway of a build that places no programs."""
        if isinstance(request, PlaceProgramRequest | LoadReportRequest):
            reason = "cannot decode the request"
            return Failed(failure=Failure(kind=ErrorKind.MALFORMED, reason=reason))
        if isinstance(request, OpenTurnRequest):
            request = msgspec.structs.replace(request, demand=None)
        reply = await self.turn_server.answer(request, send)
        if isinstance(reply, TurnOpened):
            reply = msgspec.structs.replace(reply, home=None, judged=False)
        return reply

    async def freeze(self, request: Request, send: Send) -> Reply:
        """Never answer."""
        await asyncio.Event().wait()
        raise AssertionError

    def asked(self, kind: type[Request]) -> int:
        """Return how many requests of a type have arrived."""
        return sum(isinstance(request, kind) for request in self.requests)


class PlacementTestCase(unittest.IsolatedAsyncioTestCase):
    """Run three gateways of a data centre that share three engines."""

    always = True
    centres: Sequence[DataCentre] = (HERE, HERE, HERE)

    async def asyncSetUp(self) -> None:
        """Start the gateways."""
        self.store = KeyedStore()
        self.context = zmq.asyncio.Context()
        self.engines = [engine(1), engine(2), engine(3)]
        self.hosts: dict[HostName, PlacementHost] = {}
        self.tasks: list[asyncio.Task[None]] = []
        for number, centre in enumerate(self.centres):
            self.add_host(f"h{number}", centre)
        self.register()

    async def asyncTearDown(self) -> None:
        """Stop the gateways."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for host in self.hosts.values():
            host.peers.close()
            await host.ledger.close()
            host.server.close()
        self.context.destroy(linger=0)

    def add_host(self, name: str, centre: DataCentre = HERE) -> PlacementHost:
        """Start a gateway; it is not registered yet."""
        host = PlacementHost(
            name=name,
            centre=centre,
            context=self.context,
            store=self.store,
            engines=lambda: self.engines,
            always=self.always,
        )
        self.hosts[host.name] = host
        self.tasks.append(asyncio.create_task(host.server.run()))
        self.tasks.append(asyncio.create_task(host.placements.run()))
        return host

    def register(self, *, without: HostName | None = None) -> None:
        """Tell all gateways which ones are registered."""
        records = [
            KeyedRecord(
                key=host.name,
                value=msgspec.json.encode(
                    PeerRecord(
                        address=host.address,
                        data_centre=host.centre,
                        writer=WriterId(f"w-{host.name}"),
                    )
                ),
            )
            for host in self.hosts.values()
            if host.name != without
        ]
        for host in self.hosts.values():
            host.peers.replace(records)

    def owner(self, centre: DataCentre = HERE) -> PlacementHost:
        """Return the owner of the engines, as the first gateway sees it."""
        first = next(iter(self.hosts.values()))
        name = first.placements.owner_of(centre)
        assert name is not None
        return self.hosts[name]

    def others(self, *hosts: PlacementHost) -> list[PlacementHost]:
        """Return the gateways that are not among some."""
        return [host for host in self.hosts.values() if host not in hosts]

    def program(self, gateway: PlacementHost, delegate: PlacementHost) -> str:
        """Return a program that a gateway opens at a delegate."""
        wanted = None if gateway is delegate else delegate.name
        for number in range(10_000):
            name = f"p{number}"
            if gateway.delegates.delegate_of(ProgramId(name)) == wanted:
                return name
        raise AssertionError("no program with this delegate")

    async def connect(self) -> None:
        """Open the links between all gateways, as a first request may be late."""
        for host in self.hosts.values():
            for other in self.others(host):
                link = host.peers.link(other.name)
                assert link is not None
                await link.call(self.report_request([], host="nobody"))
        for host in self.hosts.values():
            host.requests.clear()

    def report_request(
        self, programs: list[ProgramReport], *, host: str
    ) -> LoadReportRequest:
        """Return a report of a process that is not among the gateways."""
        return LoadReportRequest(host=HostName(host), programs=programs)

    def full_reports(self, centre: DataCentre = HERE) -> list[LoadReportRequest]:
        """Return reports by which no engine of a data centre has room."""
        return [
            self.report_request(
                [
                    ProgramReport(
                        program=ProgramId(f"{full.instance}-{number}"),
                        instance=full.instance,
                        tokens=10,
                    )
                    for number in range(20)
                ],
                host=f"of-{full.instance}",
            )
            for full in self.engines
            if full.data_centre == centre
        ]

    async def fill(self, *owners: PlacementHost) -> None:
        """Report full engines to owners until these refuse programs."""
        for _ in range(4):
            for owner in owners:
                for report in self.full_reports(owner.centre):
                    owner.placements.answer_report(report)
            await asyncio.sleep(REPORT_INTERVAL)
        for owner in owners:
            for report in self.full_reports(owner.centre):
                owner.placements.answer_report(report)
