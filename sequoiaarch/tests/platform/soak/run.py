"""Run one seed of the soak and report what was broken."""

from __future__ import annotations

import asyncio
import random
import tempfile
from pathlib import Path
from typing import Any

import msgspec

from ..site import ENGINES, ROUTES, TOOLS, config, route
from .callers import Caller, KeptCaller, Line
from .faults import Faults
from .gateways import MODULE, START_SECONDS, Gateway
from .keyed import LIMITED_CALLERS, KeyedCaller, Workspaces
from .links import LinkFaults, ProxiedStore
from .small import SmallCaller
from .tally import Promise, Tally
from .targets import SoakTarget

ZONES = ("here", "there")
ENGINE_COUNT = 4
TOOL_COUNT = 3
CALLERS_EACH = 4
KEPT_EACH = 3
SMALL_EACH = 3
ROTATED_CALLERS = 2
QUIET_SECONDS = 3.0
# Links are whole again for so long before the last check.
LINKS_QUIET_SECONDS = 1.0
LINES_CHECKED = 20


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Say how large and how long a run is; `module` is what gateways run.

    After `seconds` with all faults come `link_seconds` with none but harmed links.
    """

    seed: int
    seconds: float = 20.0
    link_seconds: float = 10.0
    gateways: int = 4
    module: str = MODULE


class Report(msgspec.Struct, kw_only=True):
    """Tell how a run went; `folder` holds the gateways' lines."""

    seed: int
    seconds: float
    counts: dict[str, int]
    faults: dict[str, int]
    broken: list[str]
    folder: str


class Soak:
    """Hold a site of gateway processes between stand-ins."""

    def __init__(self, *, plan: Plan, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._rng = random.Random(plan.seed)
        self._store = ProxiedStore()
        self._tally = Tally()
        self._version = 1
        self._workspaces = Workspaces(tally=self._tally)
        self._gateways = [
            Gateway(
                number=number,
                zone=ZONES[number % len(ZONES)],
                store=self._store,
                folder=folder,
                module=plan.module,
            )
            for number in range(plan.gateways)
        ]
        self._targets = [
            self._target(ENGINES if number < ENGINE_COUNT else TOOLS, number)
            for number in range(ENGINE_COUNT + TOOL_COUNT)
        ]
        self._faults = Faults(
            gateways=self._gateways,
            targets=self._targets,
            store=self._store,
            publish=self._publish,
            rotate=self._rotate,
            rng=self._fresh_rng(),
        )
        self._kept = [
            KeptCaller(gateway=one, tally=self._tally, rng=self._fresh_rng())
            for one in self._gateways
            for _ in range(KEPT_EACH)
        ]
        self._callers = [
            Caller(
                name=f"caller-{number}",
                gateways=self._gateways,
                tally=self._tally,
                rng=self._fresh_rng(),
            )
            for number in range(CALLERS_EACH * plan.gateways)
        ]
        self._keyed = [
            KeyedCaller(
                gateways=self._gateways,
                tally=self._tally,
                workspaces=self._workspaces,
                limited=number < LIMITED_CALLERS,
                rng=self._fresh_rng(),
            )
            for number in range(LIMITED_CALLERS + ROTATED_CALLERS)
        ]
        self._link_faults = LinkFaults(gateways=self._gateways, rng=self._fresh_rng())
        self._small = [
            SmallCaller(
                name=f"small-{number}",
                gateways=self._gateways,
                tally=self._tally,
                rng=self._fresh_rng(),
                undisturbed_since=self._faults.undisturbed_since,
            )
            for number in range(SMALL_EACH * plan.gateways)
        ]

    async def run(self) -> Report:
        """Run the site under faults, then quietly, and report."""
        try:
            await self._start()
            loop = asyncio.get_running_loop()
            until = loop.time() + self._plan.seconds
            end = until + self._plan.link_seconds
            await asyncio.gather(
                self._faults.run(until - QUIET_SECONDS),
                *(one.run(until) for one in self._callers),
                *(one.run(until) for one in self._kept),
                *(one.run(until) for one in self._keyed),
                self._link_faults.run(end - LINKS_QUIET_SECONDS),
                *(one.run(end) for one in self._small),
            )
            await self._check_end()
        finally:
            await asyncio.gather(*(one.close() for one in self._gateways))
            await asyncio.gather(*(one.stop() for one in self._targets))
        self._tally.close()
        for gateway in self._gateways:
            self._tally.counts["harmed between gateways"] += gateway.from_peers.harmed
        return Report(
            seed=self._plan.seed,
            seconds=self._plan.seconds,
            counts=dict(sorted(self._tally.counts.items())),
            faults=dict(
                sorted((self._faults.counts + self._link_faults.counts).items())
            ),
            broken=self._tally.broken,
            folder=str(self._folder),
        )

    def _fresh_rng(self) -> random.Random:
        return random.Random(self._rng.getrandbits(64))

    def _target(self, service: str, number: int) -> SoakTarget:
        return SoakTarget(
            service=service,
            engine=service == ENGINES,
            zone=ZONES[number % len(ZONES)],
            store=self._store,
            tally=self._tally,
            rng=self._fresh_rng(),
            calm_since=lambda: self._faults.calm_since(),
        )

    async def _start(self) -> None:
        await self._write_config()
        for target in self._targets:
            await target.start()
        for gateway in self._gateways:
            await gateway.listen()
            self._store.proxies[gateway.name] = gateway.inner
        for gateway in self._gateways:
            others = [one.inner for one in self._gateways[:3] if one is not gateway]
            gateway.write_settings(others)
        for gateway in self._gateways:
            await gateway.start()
        await self._all_ready()

    async def _publish(self) -> None:
        self._version += 1
        await self._write_config()
        for kept in self._kept:
            kept.newest = self._version

    async def _rotate(self) -> None:
        """Take a key away; the store's answer is when the bound begins."""
        gone = self._workspaces.rotate()
        await self._publish()
        self._tally.revoked[gone] = asyncio.get_running_loop().time()

    async def _write_config(self) -> None:
        routes: list[dict[str, Any]] = list(ROUTES)
        for version in range(2, self._version + 1):
            routes.append(route(f"/added-{version}/", "safe", TOOLS, maxAttempts=2))
        workspaces = self._workspaces.document()
        document = config(self._version, routes, tenants=workspaces)
        await self._store.put("keyed.op", "config", document)

    async def _all_ready(self) -> None:
        deadline = asyncio.get_running_loop().time() + START_SECONDS
        waiting = list(self._gateways)
        while waiting and asyncio.get_running_loop().time() < deadline:
            waiting = [one for one in waiting if not await one.ready()]
            await asyncio.sleep(0.05)
        for gateway in waiting:
            text = f"{gateway.name} is not ready, {gateway.standing}"
            self._tally.violate(Promise.BACK, text)

    async def _check_end(self) -> None:
        """Find every gateway at work, and kept turns to go on from."""
        await self._all_ready()
        caller = self._callers[0]
        lines = [
            line
            for one in self._callers
            for line in one.lines
            if line.kept and line.previous and line.counted < line.budget / 2
        ]
        for line in lines[-LINES_CHECKED:]:
            await self._check_line(caller, line)
        answer = await caller.tool("/safe/")
        if not answer.served:
            self._tally.violate(Promise.BACK, f"a tool is answered {answer.status}")

    async def _check_line(self, caller: Caller, line: Line) -> None:
        before = line.tokens
        if not await caller.turn(line) and line.tokens == before:
            text = f"{line.program} can't go on from {line.previous}"
            self._tally.violate(Promise.BACK, text)


def run_seed(plan: Plan, folder: Path | None = None) -> Report:
    """Run one seed; the lines of gateways are written to the folder."""
    where = folder or Path(tempfile.mkdtemp(prefix="soak-"))
    where.mkdir(parents=True, exist_ok=True)
    return asyncio.run(Soak(plan=plan, folder=where).run())
