"""Manage the prefix cache of the engine at the target."""

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

SMOOTHING_FACTOR = 0.2  # weight of the newest program in the average growth
MIN_UNUSED_SECONDS = 5.0  # before a prefix may be considered stale


class PrefixCacheManager:
    """Export or drop prefixes to make room, and free those of ended programs.

    The prefix table is only an estimate: it misses evictions by the engine and starts
    empty when the sidecar restarts. It is therefore reconciled with the engine's own
    listing at intervals.
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
        self._average_growth: dict[str, float] = {}
        self._first_sizes: dict[ProgramId, tuple[str, int]] = {}
        self._pending_imports: set[ProgramId] = set()
        self._removals: dict[ProgramId, asyncio.Task[bool]] = {}

    @property
    def resident_tokens(self) -> int:
        """Return the estimated number of tokens in engine memory."""
        return self._table.resident_tokens

    @property
    def total_tokens(self) -> int:
        """Return the tokens of all prefixes, including exported ones."""
        return self._table.total_tokens

    @property
    def running_tokens(self) -> int:
        """Return the tokens of the prefixes of running calls."""
        return self._table.running_tokens

    @property
    def program_count(self) -> int:
        """Return the number of programs with a prefix here."""
        return len(self._table.prefixes)

    @property
    def free_tokens(self) -> int:
        """Return the tokens of engine memory that no prefix uses."""
        return max(0, self._capacity() - self._table.resident_tokens)

    def has_prefix(self, program: ProgramId) -> bool:
        """Return whether the program has a prefix here."""
        return self._table.get(program) is not None

    def expected_growth(self) -> int:
        """Return the mean number of tokens by which a program grows until it ends."""
        if not self._average_growth:
            return 0
        return int(sum(self._average_growth.values()) / len(self._average_growth))

    def call_started(self, program: ProgramId, name: str, tokens: int) -> None:
        """Account for the memory of a call that got a slot."""
        now = asyncio.get_running_loop().time()
        previous = self._table.get(program)
        if previous is not None and not previous.running:
            self._pauses.record(name, now - previous.last_used)
        exported = previous is not None and previous.exported
        previous_tokens = previous.tokens if previous is not None else 0
        self._table.put(
            Prefix(
                program=program,
                name=name,
                tokens=max(tokens, previous_tokens),
                last_used=now,
                running=True,
            )
        )
        self._first_sizes.setdefault(program, (name, tokens))
        if exported:
            self._pending_imports.add(program)

    async def prepare_call(self, program: ProgramId) -> None:
        """Make room for a started call and import its prefix if it was exported."""
        await self._evict_prefixes(asyncio.get_running_loop().time())
        removal = self._removals.get(program)
        if removal is not None:
            await removal
        if program in self._pending_imports:
            self._pending_imports.discard(program)
            await self._engine.import_(program)

    async def _evict_prefixes(self, now: float) -> None:
        excess = self._table.resident_tokens - self._capacity()
        if excess <= 0:
            return
        retention = make_retention(self._policy().retention, self._pauses)
        removals = []
        for victim in retention.victims(self._table.prefixes, excess, now):
            prefix = self._table.get(victim.program)
            if prefix is None:
                continue
            prefix.exported = True
            self._decisions.note(
                victim.program, "memory", victim.removal.value, victim.reason
            )
            removal_task = asyncio.create_task(
                self._remove(victim.program, victim.removal)
            )
            self._removals[victim.program] = removal_task
            removals.append(removal_task)
        if removals:
            await asyncio.gather(*removals)

    async def _remove(self, program: ProgramId, removal: Removal) -> bool:
        """Remove a prefix from engine memory; return whether it was exported."""
        try:
            if removal is Removal.EXPORT and await self._engine.export(program):
                return True
            prefix = self._table.get(program)
            if prefix is not None and not prefix.running:
                self._table.remove(program)
            return False
        finally:
            self._removals.pop(program, None)

    def call_finished(self, program: ProgramId, tokens: int) -> None:
        """Record the size of the prefix at the end of a call."""
        prefix = self._table.get(program)
        if prefix is None:
            return
        prefix.running = False
        prefix.tokens = tokens
        prefix.last_used = asyncio.get_running_loop().time()

    async def free_program(self, program: ProgramId, cause: str) -> None:
        """Free the memory of a program that ended or moved to another home."""
        prefix = self._table.get(program)
        name, first_size = self._first_sizes.pop(program, ("", 0))
        if prefix is not None and cause == "ended":
            grown = max(0, prefix.tokens - first_size)
            average = self._average_growth.get(name, grown)
            self._average_growth[name] = average + SMOOTHING_FACTOR * (grown - average)
        self._table.remove(program)
        if await self._engine.free(program):
            self._metrics.freed.inc({"cause": cause})
        else:
            # The next reconciliation finds the prefix again and retries.
            log.warning("The engine did not free the prefix of {}.", program)

    async def run(self, interval: float) -> None:
        """Reconcile the prefix table with the engine at intervals, in seconds."""
        while True:
            await asyncio.sleep(interval)
            await self.reconcile()

    async def reconcile(self) -> None:
        """Free the prefixes of programs that have ended or don't exist."""
        listing = await self._engine.listing()
        if isinstance(listing, Failure):
            return
        prefixes = {**listing.cached, **listing.exported}
        now = asyncio.get_running_loop().time()
        self._remove_missing(set(prefixes), now)
        by_shard: dict[int, list[ProgramId]] = {}
        for program in prefixes:
            by_shard.setdefault(self._shards.shard_of(program), []).append(program)
        for shard, programs in by_shard.items():
            await self._free_ended(shard, programs, now)

    def _remove_missing(self, listed: set[ProgramId], now: float) -> None:
        for prefix in self._table.prefixes:
            recently_used = now - prefix.last_used < MIN_UNUSED_SECONDS
            if (
                prefix.program not in listed
                and not prefix.running
                and not recently_used
            ):
                self._table.remove(prefix.program)

    async def _free_ended(
        self, shard: int, programs: list[ProgramId], now: float
    ) -> None:
        states = await self._shards.states(shard, programs)
        if isinstance(states, Failure):
            return
        live_programs = {state.program for state in states if state.ended is None}
        for program in programs:
            if program in live_programs:
                continue
            prefix = self._table.get(program)
            if prefix is not None and prefix.running:
                continue
            if prefix is not None and now - prefix.last_used < MIN_UNUSED_SECONDS:
                # The shard keeper may not have read the claim of a new program yet.
                continue
            log.info("Freeing the prefix of {}, which is not a live program.", program)
            await self.free_program(program, "found dead")
