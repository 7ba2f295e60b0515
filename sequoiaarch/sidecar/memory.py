"""Manage the prefix memory of the engine behind the target."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from ..config.documents import PolicySpecification
from ..engines.interfaces import ModelEngine
from ..errors import Failure
from ..ids import ProgramId
from ..observe.decisions import Decisions
from ..observe.metrics import Metrics
from ..policies.retention import (
    PauseEstimator,
    Prefix,
    PrefixTable,
    Removal,
    make_retention,
)
from ..shards.client import ShardClient

log = logbook.Logger("memory")

LEARNING = 0.2
UNCERTAIN_AGE = 5.0


class EngineMemory:
    """Keep, export or drop prefixes, and free those of ended programs.

    The table is what this sidecar believes. The engine's events come late and
    with gaps, and a sidecar that restarts knows nothing, so the table is
    compared with the engine's own listing now and then.
    """

    def __init__(
        self,
        *,
        engine: ModelEngine,
        capacity: Callable[[], int],
        policy: Callable[[], PolicySpecification],
        shards: ShardClient,
        metrics: Metrics,
        decisions: Decisions,
    ) -> None:
        self._engine = engine
        self._capacity = capacity
        self._policy = policy
        self._shards = shards
        self._metrics = metrics
        self._decisions = decisions
        self._table = PrefixTable()
        self._pauses = PauseEstimator()
        self._growth: dict[str, float] = {}
        self._started: dict[ProgramId, tuple[str, int]] = {}
        self._to_import: set[ProgramId] = set()
        self._moving: dict[ProgramId, asyncio.Task[bool]] = {}

    @property
    def held(self) -> int:
        """Return the tokens that are believed to be in engine memory."""
        return self._table.resident_tokens

    @property
    def kept(self) -> int:
        """Return the tokens of all prefixes, exported ones included."""
        return self._table.total_tokens

    @property
    def running(self) -> int:
        """Return the tokens of prefixes whose calls are under way."""
        return self._table.running_tokens

    @property
    def programs(self) -> int:
        """Return how many programs have a prefix here."""
        return len(self._table.prefixes)

    @property
    def free(self) -> int:
        """Return the tokens of engine memory that no prefix uses."""
        return max(0, self._capacity() - self._table.resident_tokens)

    def knows(self, program: ProgramId) -> bool:
        """Return whether the program has a prefix here."""
        return self._table.get(program) is not None

    def growth(self) -> int:
        """Return the tokens by which a program is expected to grow."""
        if not self._growth:
            return 0
        return int(sum(self._growth.values()) / len(self._growth))

    def begin(self, program: ProgramId, name: str, tokens: int) -> None:
        """Count the memory of a call that has got a slot."""
        now = asyncio.get_running_loop().time()
        own = self._table.get(program)
        if own is not None and not own.running:
            self._pauses.record(name, now - own.last_used)
        exported = own is not None and own.exported
        before = own.tokens if own is not None else 0
        self._table.put(
            Prefix(
                program=program,
                name=name,
                tokens=max(tokens, before),
                last_used=now,
                running=True,
            )
        )
        self._started.setdefault(program, (name, tokens))
        if exported:
            self._to_import.add(program)

    async def prepare(self, program: ProgramId) -> None:
        """Make room for a call that has begun and bring its prefix back."""
        await self._make_room(asyncio.get_running_loop().time())
        moving = self._moving.get(program)
        if moving is not None:
            await moving
        if program in self._to_import:
            self._to_import.discard(program)
            await self._engine.import_(program)

    async def _make_room(self, now: float) -> None:
        needed = self._table.resident_tokens - self._capacity()
        if needed <= 0:
            return
        retention = make_retention(self._policy().retention, self._pauses)
        moves = []
        for victim in retention.victims(self._table.prefixes, needed, now):
            prefix = self._table.get(victim.program)
            if prefix is None:
                continue
            prefix.exported = True
            self._decisions.note(
                victim.program, "memory", victim.removal.value, victim.reason
            )
            move = asyncio.create_task(self._remove(victim.program, victim.removal))
            self._moving[victim.program] = move
            moves.append(move)
        if moves:
            await asyncio.gather(*moves)

    async def _remove(self, program: ProgramId, removal: Removal) -> bool:
        """Take a prefix out of memory; return whether it can come back."""
        try:
            if removal is Removal.EXPORT and await self._engine.export(program):
                return True
            prefix = self._table.get(program)
            if prefix is not None and not prefix.running:
                self._table.remove(program)
            return False
        finally:
            self._moving.pop(program, None)

    def finished(self, program: ProgramId, tokens: int) -> None:
        """Note the size of a prefix after its call."""
        prefix = self._table.get(program)
        if prefix is None:
            return
        prefix.running = False
        prefix.tokens = tokens
        prefix.last_used = asyncio.get_running_loop().time()

    async def forget(self, program: ProgramId, cause: str) -> None:
        """Free the memory of a program that ended or left."""
        prefix = self._table.get(program)
        name, first = self._started.pop(program, ("", 0))
        if prefix is not None and cause == "ended":
            grown = max(0, prefix.tokens - first)
            mean = self._growth.get(name, grown)
            self._growth[name] = mean + LEARNING * (grown - mean)
        self._table.remove(program)
        if await self._engine.free(program):
            self._metrics.freed.inc({"cause": cause})
        else:
            # The listing will show it again, and it is freed then.
            log.warning("The engine did not free program {}.", program)

    async def run(self, interval: float) -> None:
        """Compare the engine's listing with the programs that are alive."""
        while True:
            await asyncio.sleep(interval)
            await self.reconcile()

    async def reconcile(self) -> None:
        """Free what the engine holds for programs that ended or never were."""
        listing = await self._engine.listing()
        if isinstance(listing, Failure):
            return
        held = {**listing.cached, **listing.exported}
        now = asyncio.get_running_loop().time()
        self._drop_missing(set(held), now)
        by_shard: dict[int, list[ProgramId]] = {}
        for program in held:
            by_shard.setdefault(self._shards.shard_of(program), []).append(program)
        for shard, programs in by_shard.items():
            await self._free_dead(shard, programs, now)

    def _drop_missing(self, held: set[ProgramId], now: float) -> None:
        for prefix in self._table.prefixes:
            young = now - prefix.last_used < UNCERTAIN_AGE
            if prefix.program not in held and not prefix.running and not young:
                self._table.remove(prefix.program)

    async def _free_dead(
        self, shard: int, programs: list[ProgramId], now: float
    ) -> None:
        states = await self._shards.states(shard, programs)
        if isinstance(states, Failure):
            return
        alive = {state.program for state in states if state.ended is None}
        for program in programs:
            if program in alive:
                continue
            prefix = self._table.get(program)
            if prefix is not None and prefix.running:
                continue
            if prefix is not None and now - prefix.last_used < UNCERTAIN_AGE:
                # A claim may stand in the log that the keeper has yet to read.
                continue
            log.info("Freed program {}, which is not alive.", program)
            await self.forget(program, "found dead")
