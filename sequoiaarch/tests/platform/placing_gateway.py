"""Run a gateway that owns engines and places programs on them."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

import zmq.asyncio

from ...fleet.peers import Peers
from ...fleet.placement_book import WARM_UP
from ...fleet.placement_service import REPORT_INTERVAL
from ...ids import DataCentre, HostName, InstanceId, ProgramId
from ...ingress.daemon import IngressDaemon
from ...observe.events import EventLog
from ...wire.messages import LoadReportRequest, ProgramReport
from .deployment import ENGINES, LOOPBACK, DeploymentTestCase, stream_answer

FULL = 40


class PlacingGatewayTestCase(DeploymentTestCase):
    """Run one gateway, which owns its engines, and two targets."""

    async def asyncSetUp(self) -> None:
        """Start the targets and prepare the peers of the gateway."""
        await super().asyncSetUp()
        self.context = zmq.asyncio.Context()
        self.peers = Peers(
            context=self.context,
            own=HostName("one"),
            own_address=f"{LOOPBACK}:1",
            data_centre=DataCentre("here"),
            seeds=[],
            rng=random.Random(1),
        )
        self.lines: list[bytes] = []
        for name in ("i-1", "i-2"):
            await self.add_target(name, ENGINES, stream_answer)

    async def asyncTearDown(self) -> None:
        """Stop the gateway and its peer connections."""
        await super().asyncTearDown()
        self.peers.close()
        self.context.destroy(linger=0)

    async def start(self, *, place_programs: bool = True) -> IngressDaemon:
        """Start the gateway and wait until it knows that it is registered."""

        def write(line: bytes) -> int:
            self.lines.append(line)
            return len(line)

        daemon = await self.add_daemon(
            "one",
            peers=self.peers,
            events=EventLog(write=write),
            place_programs=place_programs,
        )
        async with asyncio.timeout(10.0):
            while not self.peers.hosts_by_centre():
                await asyncio.sleep(0.01)
        return daemon

    def placements(self, daemon: IngressDaemon) -> Any:
        """Return the placements of the gateway."""
        assert daemon._fleet is not None
        return daemon._fleet.placements

    async def fill(self, daemon: IngressDaemon) -> None:
        """Report so many programs that no engine has room."""
        placements = self.placements(daemon)
        for _ in range(round(WARM_UP / REPORT_INTERVAL) + 2):
            for name in ("i-1", "i-2"):
                reports = [
                    ProgramReport(
                        program=ProgramId(f"{name}-{number}"),
                        instance=InstanceId(name),
                        tokens=10,
                    )
                    for number in range(FULL)
                ]
                report = LoadReportRequest(host=HostName(name), programs=reports)
                placements.answer_report(report)
            await asyncio.sleep(REPORT_INTERVAL)

    def logged_lines(self) -> list[dict[str, Any]]:
        """Return all lines that the gateway has written."""
        return [json.loads(line) for line in b"".join(self.lines).splitlines()]

    async def logged(self, attempt: str) -> dict[str, Any]:
        """Return the request log's line of an attempt."""
        async with asyncio.timeout(10.0):
            while True:
                for fields in self.logged_lines():
                    if fields.get("id") == attempt:
                        return fields
                await asyncio.sleep(0.02)
