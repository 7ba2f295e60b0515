"""Run one seed of the soak and report violated properties."""

from __future__ import annotations

import asyncio
import random
import tempfile
from pathlib import Path
from typing import Any

import msgspec

from ....standins.keyed_store import KeyedStore
from ..deployment import ENGINES, ROUTES, TOOLS, config, route
from .bad_records import BadRecords
from .burst_callers import BURST_CALLERS, BurstCaller
from .callers import Caller, Conversation, KeepAliveCaller
from .faults import FaultInjector
from .gateways import MODULE, START_SECONDS, Gateway
from .leaving import LeavingTargets, SilentConnections
from .link_faults import LinkFaults
from .property_checker import Property, PropertyChecker
from .releases import VERSIONS, Releases
from .resuming_callers import ResumingCaller
from .small import SmallBudgetCaller
from .targets import EVENT_SECONDS, FIRST_VERSION, UNLIMITED_SLOTS, SoakTarget
from .workspace_callers import LIMITED_CALLERS, WorkspaceCaller, Workspaces

ZONES = ("here", "there")
ENGINE_COUNT = 4
TOOL_COUNT = 3
CALLERS_PER_GATEWAY = 4
KEEP_ALIVE_CALLERS_PER_GATEWAY = 3
SMALL_BUDGET_CALLERS_PER_GATEWAY = 3
ROTATED_CALLERS = 2
RESUMING_CALLERS_PER_GATEWAY = 2
FAULT_FREE_SECONDS = 3.0
# Time without link faults before the final check.
LINK_FAULT_FREE_SECONDS = 1.0
CONVERSATIONS_CHECKED = 20
# Engines of runs with placements: the cache holds the prompts of eight programs, less
# a tenth that owners leave free.
PLACED_SLOTS = 4
PLACED_CACHE_TOKENS = 90
PLACED_EVENT_SECONDS = 0.04
# The burst in runs with placements starts after this fraction of the run. Seconds.
BURST_START = 0.3
BURST_SECONDS = 5.0
# Seconds until no program counts any more: a pause that counts as one (1.5), a report
# (0.2) and the life of the last report of a lost process (1.0), almost doubled for a
# busy machine.
FREED_SECONDS = 5.0


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Size and duration of a run; `module` is the program that gateways run.

    `seconds` with all kinds of faults are followed by `link_seconds` with link faults
    only. With `placements`, owners place programs on small engines, and there is a
    burst. With `leaving_only`, targets leave and connections fall silent, and there are
    no other faults.
    """

    seed: int
    seconds: float = 20.0
    link_seconds: float = 10.0
    gateways: int = 4
    module: str = MODULE
    placements: bool = False
    leaving_only: bool = False


class Report(msgspec.Struct, kw_only=True):
    """Result of a run; `folder` holds the logs of the gateways."""

    seed: int
    seconds: float
    counts: dict[str, int]
    faults: dict[str, int]
    broken: list[str]
    folder: str


class Soak:
    """Run gateway processes between a stand-in store and stand-in targets."""

    def __init__(self, *, plan: Plan, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._rng = random.Random(plan.seed)
        self._store = KeyedStore()
        proxies: dict[str, str] = {}
        self._checker = PropertyChecker()
        self._version = 1
        self._workspaces = Workspaces(checker=self._checker)
        self._gateways = [
            Gateway(
                number=number,
                zone=ZONES[number % len(ZONES)],
                store=self._store,
                proxies=proxies,
                folder=folder,
                module=plan.module,
                contracts=("pressure",) if plan.placements else (),
            )
            for number in range(plan.gateways)
        ]
        self._targets = [
            self._make_target(ENGINES if number < ENGINE_COUNT else TOOLS, number)
            for number in range(ENGINE_COUNT + TOOL_COUNT)
        ]
        self._fault_injector = FaultInjector(
            gateways=self._gateways,
            targets=self._targets,
            store=self._store,
            publish=self._publish,
            rotate=self._rotate,
            rng=self._fresh_rng(),
        )
        self._checker.store_available_since = self._fault_injector.store_available_since
        self._checker.store_stable_since = self._fault_injector.store_stable_since
        self._keep_alive_callers = [
            KeepAliveCaller(
                gateway=gateway, checker=self._checker, rng=self._fresh_rng()
            )
            for gateway in self._gateways
            for _ in range(KEEP_ALIVE_CALLERS_PER_GATEWAY)
        ]
        self._callers = [
            Caller(
                name=f"caller-{number}",
                gateways=self._gateways,
                checker=self._checker,
                rng=self._fresh_rng(),
            )
            for number in range(CALLERS_PER_GATEWAY * plan.gateways)
        ]
        self._workspace_callers = [
            WorkspaceCaller(
                gateways=self._gateways,
                checker=self._checker,
                workspaces=self._workspaces,
                rate_limited=number < LIMITED_CALLERS,
                rng=self._fresh_rng(),
            )
            for number in range(LIMITED_CALLERS + ROTATED_CALLERS)
        ]
        self._link_faults = LinkFaults(gateways=self._gateways, rng=self._fresh_rng())
        self._small_budget_callers = [
            SmallBudgetCaller(
                name=f"small-{number}",
                gateways=self._gateways,
                checker=self._checker,
                rng=self._fresh_rng(),
                undisturbed_since=self._fault_injector.undisturbed_since,
            )
            for number in range(SMALL_BUDGET_CALLERS_PER_GATEWAY * plan.gateways)
        ]
        self._burst_callers = [
            BurstCaller(
                name=f"{workspace}-{number}",
                workspace=workspace,
                gateways=self._gateways,
                checker=self._checker,
                rng=self._fresh_rng(),
            )
            for workspace, count in BURST_CALLERS.items()
            for number in range(count if plan.placements else 0)
        ]

        # Drawn last, so that the other faults of a seed are as without releases.
        engines = self._targets[:ENGINE_COUNT]
        self._releases = Releases(engines=engines, rng=self._fresh_rng())
        self._resuming_callers = [
            ResumingCaller(
                name=f"resuming-{number}",
                gateways=self._gateways,
                engines=engines,
                checker=self._checker,
                rng=self._fresh_rng(),
                store_available_since=self._fault_injector.store_available_since,
            )
            for number in range(RESUMING_CALLERS_PER_GATEWAY * plan.gateways)
        ]
        self._leaving_targets = LeavingTargets(
            targets=self._targets, rng=self._fresh_rng()
        )
        self._silent_connections = SilentConnections(
            gateways=self._gateways,
            rng=self._fresh_rng(),
        )

        self._bad_records = BadRecords(store=self._store, rng=self._fresh_rng())

    async def run(self) -> Report:
        """Run callers and faults, check the state without faults, and report."""
        try:
            await self._start()
            loop = asyncio.get_running_loop()
            until = loop.time() + self._plan.seconds
            end = until + self._plan.link_seconds
            await asyncio.gather(
                self._disturb(until - FAULT_FREE_SECONDS, end),
                *(caller.run(until) for caller in self._callers),
                *(caller.run(until) for caller in self._keep_alive_callers),
                *(caller.run(until) for caller in self._workspace_callers),
                *(caller.run(end) for caller in self._small_budget_callers),
                self._burst(),
                *(caller.run(until) for caller in self._resuming_callers),
                self._leaving_targets.run(until - FAULT_FREE_SECONDS),
                self._silent_connections.run(until - FAULT_FREE_SECONDS),
                self._bad_records.run(until - FAULT_FREE_SECONDS),
            )
            await self._check_end()
            if self._plan.placements:
                await self._check_freed()
        finally:
            await asyncio.gather(*(gateway.close() for gateway in self._gateways))
            await asyncio.gather(*(target.stop() for target in self._targets))
        self._checker.check_end()
        for gateway in self._gateways:
            self._checker.counts["harmed between gateways"] += (
                gateway.peer_proxy.disturbed_reads
            )
        return Report(
            seed=self._plan.seed,
            seconds=self._plan.seconds,
            counts=dict(sorted(self._checker.counts.items())),
            faults=dict(
                sorted(
                    (
                        self._fault_injector.counts
                        + self._link_faults.counts
                        + self._releases.counts
                        + self._leaving_targets.counts
                        + self._silent_connections.counts
                        + self._bad_records.counts
                    ).items()
                )
            ),
            broken=self._checker.violations,
            folder=str(self._folder),
        )

    async def _disturb(self, until: float, end: float) -> None:
        if self._plan.leaving_only:
            return
        await asyncio.gather(
            self._fault_injector.run(until),
            self._releases.run(until),
            self._link_faults.run(end - LINK_FAULT_FREE_SECONDS),
        )

    async def _burst(self) -> None:
        await asyncio.sleep(BURST_START * self._plan.seconds)
        began_at = asyncio.get_running_loop().time()
        until = began_at + BURST_SECONDS
        await asyncio.gather(*(caller.run(until) for caller in self._burst_callers))
        self._checker.check_shares(began_at)

    def _fresh_rng(self) -> random.Random:
        return random.Random(self._rng.getrandbits(64))

    def _make_target(self, service: str, number: int) -> SoakTarget:
        engine = service == ENGINES
        placed = engine and self._plan.placements
        # Two versions serve from the start, both in each data centre.
        version = VERSIONS[number // len(ZONES) % 2] if engine else FIRST_VERSION
        return SoakTarget(
            version=version,
            slots=PLACED_SLOTS if placed else UNLIMITED_SLOTS,
            event_seconds=PLACED_EVENT_SECONDS if placed else EVENT_SECONDS,
            service=service,
            engine=engine,
            zone=ZONES[number % len(ZONES)],
            store=self._store,
            checker=self._checker,
            rng=self._fresh_rng(),
        )

    async def _start(self) -> None:
        await self._write_config()
        for target in self._targets:
            await target.start()
        for gateway in self._gateways:
            await gateway.listen()
        for gateway in self._gateways:
            others = [
                other.peer_address
                for other in self._gateways[:3]
                if other is not gateway
            ]
            gateway.write_settings(others)
        for gateway in self._gateways:
            await gateway.start()
        await self._wait_until_ready()

    async def _publish(self) -> None:
        self._version += 1
        await self._write_config()
        for caller in self._keep_alive_callers:
            caller.newest_version = self._version

    async def _rotate(self) -> None:
        """Revoke a key; the time limit for it starts when the store has answered."""
        revoked_key = self._workspaces.rotate()
        await self._publish()
        self._checker.revoked_at[revoked_key] = asyncio.get_running_loop().time()

    async def _write_config(self) -> None:
        routes: list[dict[str, Any]] = list(ROUTES)
        for version in range(2, self._version + 1):
            routes.append(route(f"/added-{version}/", "safe", TOOLS, maxAttempts=2))
        workspaces = self._workspaces.document()
        cache = {"cache": PLACED_CACHE_TOKENS} if self._plan.placements else {}
        document = config(self._version, routes, tenants=workspaces, **cache)
        await self._store.put("keyed.op", "config", document)

    async def _wait_until_ready(self) -> None:
        deadline = asyncio.get_running_loop().time() + START_SECONDS
        waiting = list(self._gateways)
        while waiting and asyncio.get_running_loop().time() < deadline:
            waiting = [
                candidate for candidate in waiting if not await candidate.ready()
            ]
            await asyncio.sleep(0.05)
        for gateway in waiting:
            text = f"{gateway.name} is not ready: {gateway.process_state}"
            self._checker.report_violation(Property.BACK, text)

    async def _check_end(self) -> None:
        """Check that gateways are ready and that retained turns can be continued."""
        await self._wait_until_ready()
        caller = self._callers[0]
        conversations = [
            conversation
            for owner in self._callers
            for conversation in owner.conversations
            if conversation.retained
            and conversation.previous
            and conversation.counted < conversation.budget / 2
        ]
        for conversation in conversations[-CONVERSATIONS_CHECKED:]:
            await self._check_conversation(caller, conversation)
        answer = await caller.tool("/safe/")
        if not answer.served:
            self._checker.report_violation(
                Property.BACK, f"a service call got status {answer.status}"
            )

    async def _check_freed(self) -> None:
        """Check that the owners soon count no programs, as all have ended."""
        deadline = asyncio.get_running_loop().time() + FREED_SECONDS
        most = 0.0
        while True:
            programs = {
                gateway.name: await gateway.programs_on_engines()
                for gateway in self._gateways
            }
            most = max(most, sum(count or 0.0 for count in programs.values()))
            freed = all(count == 0 for count in programs.values())
            if freed or asyncio.get_running_loop().time() > deadline:
                break
            await asyncio.sleep(0.1)
        self._checker.counts["programs to be freed"] = round(most)
        if not freed:
            text = f"programs by owner are {programs} after {FREED_SECONDS} s"
            self._checker.report_violation(Property.FREED, text)

    async def _check_conversation(
        self, caller: Caller, conversation: Conversation
    ) -> None:
        before = conversation.tokens
        if not await caller.turn(conversation) and conversation.tokens == before:
            text = f"{conversation.program} can't continue {conversation.previous}"
            self._checker.report_violation(Property.BACK, text)


def run_seed(plan: Plan, folder: Path | None = None) -> Report:
    """Run one seed; the gateways write their logs to the folder."""
    log_folder = folder or Path(tempfile.mkdtemp(prefix="soak-"))
    log_folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(Soak(plan=plan, folder=log_folder).run())
