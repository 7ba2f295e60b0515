"""Soak of limits: real processes under bursts of several times each limit."""

from __future__ import annotations

import asyncio
import json
import random
import shutil
import sys
from pathlib import Path

import click
import msgspec

from ....standins.keyed_store import KeyedStore
from ....standins.target import TargetExchange, TargetStandIn
from ....workspaces.directory import RateLimit
from ....workspaces.sliding_window import QuotaBounds
from ..deployment import (
    ENGINES,
    ROUTES,
    TOOLS,
    attempt_of,
    config,
    registration,
    stream_answer,
    tenant,
    tool_answer,
)
from .gateways import MODULE, START_SECONDS, Gateway
from .limit_callers import Bursts, LimitCaller
from .limit_faults import LimitFaults
from .limit_windows import LimitWindows
from .link_faults import LinkFaults
from .proxy import LOOPBACK

ZONES = ("one", "two", "three")
TARGETS = {"engine-1": ENGINES, "engine-2": ENGINES, "tool-1": TOOLS, "tool-2": TOOLS}
# Requests a second; the burst is a second's rate.
RATES = (2.0, 2.0, 3.0, 4.0, 6.0, 9.0, 14.0, 20.0)
BOUNDS = QuotaBounds(window=5.0, overage=0.1, slack=20.0)
# Gateways without faults serve their shares after a lease.
SETTLING_SECONDS = 6.0
FAULT_FREE_SECONDS = 2.0
HARMED_LINKS_FRACTION = 0.3
# Seconds within which a deployment of this kind recovers from a loss (`recoveryS`).
TAKEOVER_SECONDS = 15.0
SERVED = 200
SERVED_TRIES = 5
SERVED_INTERVAL = 0.5


class LimitPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Size and duration of a run; `module` is the program that gateways run."""

    seed: int
    seconds: float = 40.0
    gateways: int = 6
    module: str = MODULE


class LimitReport(msgspec.Struct, kw_only=True):
    """Result of a run; `fullest` is the largest used part of a window's limit."""

    seed: int
    gateways: int
    seconds: float
    counts: dict[str, int]
    faults: dict[str, int]
    fullest: float
    broken: list[str]
    folder: str


class LimitSoak:
    """Run gateway processes whose callers exceed the limits of all workspaces."""

    def __init__(self, *, plan: LimitPlan, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._rng = random.Random(plan.seed)
        self._store = KeyedStore()
        self._proxies: dict[str, str] = {}
        self._version = 0
        self._limits = {
            f"w{number}": RateLimit(rate=rate, burst=rate)
            for number, rate in enumerate(RATES)
        }
        self._windows = LimitWindows(bounds=BOUNDS, limits=self._limits)
        self._bursts = Bursts(rng=self._fresh_rng())
        self._gateways: list[Gateway] = []
        self._all_gateways: list[Gateway] = []
        self._targets: list[TargetStandIn] = []
        self._unserved: list[str] = []

    async def run(self) -> LimitReport:
        """Run callers and faults, and report the fullest windows."""
        faults = LimitFaults(
            gateways=self._gateways,
            replace=self._replace,
            add=self._add,
            publish=self._publish,
            bursts=self._bursts,
            rng=self._fresh_rng(),
        )
        try:
            await self._start()
            until = asyncio.get_running_loop().time() + self._plan.seconds
            await asyncio.gather(
                self._bursts.run(until),
                faults.run(until - FAULT_FREE_SECONDS),
                self._harm_links(until - FAULT_FREE_SECONDS),
                *(self._caller(name).run(until) for name in self._limits),
            )
            await faults.lose_all_but_one()
            await self._check_served()
        finally:
            await asyncio.gather(*(gateway.close() for gateway in self._all_gateways))
            await asyncio.gather(*(target.stop() for target in self._targets))
        return LimitReport(
            seed=self._plan.seed,
            gateways=self._plan.gateways,
            seconds=self._plan.seconds,
            counts=dict(sorted(self._windows.counts.items())),
            faults=dict(sorted(faults.counts.items())),
            fullest=round(self._windows.fullest_share(), 3),
            broken=self._windows.violations() + self._unserved,
            folder=str(self._folder),
        )

    async def _harm_links(self, until: float) -> None:
        """Harm the links between gateways in some seeds."""
        rng = self._fresh_rng()
        if rng.random() < HARMED_LINKS_FRACTION:
            await LinkFaults(gateways=self._gateways, rng=rng).run(until)

    def _fresh_rng(self) -> random.Random:
        return random.Random(self._rng.getrandbits(64))

    def _caller(self, workspace: str) -> LimitCaller:
        return LimitCaller(
            workspace=workspace,
            key=f"key-of-{workspace}",
            gateways=self._gateways,
            bursts=self._bursts,
            windows=self._windows,
            rng=self._fresh_rng(),
        )

    async def _start(self) -> None:
        await self._publish()
        for name, service in TARGETS.items():
            target = TargetStandIn(behaviour=self._behave)
            await target.start()
            self._targets.append(target)
            entry = registration(service, f"{LOOPBACK}:{target.port}", zone=ZONES[0])
            await self._store.put("keyed.servers", name, json.dumps(entry).encode())
        for number in range(self._plan.gateways):
            self._gateways.append(await self._gateway(ZONES[number % len(ZONES)]))
        await asyncio.gather(*(gateway.start() for gateway in self._gateways))
        await self._wait_until_ready()
        await asyncio.sleep(SETTLING_SECONDS)

    async def _gateway(self, zone: str, name: str | None = None) -> Gateway:
        gateway = Gateway(
            number=len(self._all_gateways),
            name=name,
            zone=zone,
            store=self._store,
            proxies=self._proxies,
            folder=self._folder,
            module=self._plan.module,
        )
        self._all_gateways.append(gateway)
        await gateway.listen()
        gateway.write_settings([one.peer_address for one in self._gateways[:3]])
        return gateway

    async def _replace(self, gateway: Gateway) -> None:
        """Start another process of a host, to which new connections go."""
        replacement = await self._gateway(gateway.zone, gateway.name)
        await replacement.start()
        self._gateways[self._gateways.index(gateway)] = replacement

    async def _add(self, zone: str) -> None:
        """Start a gateway of a host that is new."""
        gateway = await self._gateway(zone)
        await gateway.start()
        self._gateways.append(gateway)

    async def _check_served(self) -> None:
        """Check that each gateway serves each workspace once hosts were taken over."""
        await asyncio.sleep(TAKEOVER_SECONDS)
        callers = {name: self._caller(name) for name in self._limits}
        checks = [
            self._check_one(name, callers[name], gateway)
            for gateway in self._gateways
            for name in self._limits
        ]
        await asyncio.gather(*checks)

    async def _check_one(
        self, name: str, caller: LimitCaller, gateway: Gateway
    ) -> None:
        for _ in range(SERVED_TRIES):
            if await caller.call_once(gateway) == SERVED:
                return
            await asyncio.sleep(SERVED_INTERVAL)
        self._unserved.append(f"{name} is not served at {gateway.name}")

    async def _publish(self) -> None:
        self._version += 1
        workspaces = [
            tenant(name, f"key-of-{name}", ratePerS=limit.rate, burst=limit.burst)
            for name, limit in self._limits.items()
        ]
        document = config(self._version, ROUTES, tenants=workspaces)
        await self._store.put("keyed.op", "config", document)

    async def _behave(self, exchange: TargetExchange) -> None:
        workspace = (exchange.request.header(b"x-tenant") or b"").decode() or None
        now = asyncio.get_running_loop().time()
        self._windows.record_run(attempt_of(exchange), workspace, now)
        self._windows.counts["runs"] += 1
        if exchange.request.target.startswith(b"/free/"):
            await stream_answer(exchange)
        else:
            await tool_answer(exchange)

    async def _wait_until_ready(self) -> None:
        deadline = asyncio.get_running_loop().time() + START_SECONDS
        waiting = list(self._gateways)
        while waiting and asyncio.get_running_loop().time() < deadline:
            waiting = [gateway for gateway in waiting if not await gateway.ready()]
            await asyncio.sleep(0.1)


def run_seed(plan: LimitPlan, folder: Path) -> LimitReport:
    """Run one seed; the gateways write their logs to the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(LimitSoak(plan=plan, folder=folder).run())


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=1, help="How many seeds, one after the other.")
@click.option("--seconds", default=40.0, help="Seconds of each run.")
@click.option("--gateways", default=6, help="Gateway processes.")
@click.option("--module", default=MODULE, help="Module that gateways run.")
@click.option("--folder", type=Path, default=Path("results/limits"))
def soak(
    seed: int, seeds: int, seconds: float, gateways: int, module: str, folder: Path
) -> None:
    """Print one line of JSON for each seed; exit with 1 if a limit was exceeded.

    The gateways' logs of a seed that exceeded a limit stay in the folder.
    """
    failed = 0
    for number in range(seed, seed + seeds):
        plan = LimitPlan(seed=number, seconds=seconds, gateways=gateways, module=module)
        seed_folder = folder / f"seed-{number}"
        shutil.rmtree(seed_folder, ignore_errors=True)
        report = run_seed(plan, seed_folder.resolve())
        click.echo(msgspec.json.encode(report).decode())
        if report.broken:
            failed += 1
        else:
            shutil.rmtree(seed_folder, ignore_errors=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    soak()
