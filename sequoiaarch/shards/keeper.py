"""Serve a shard to homes and gateways, and keep its records within retention.

The keeper of a shard batches appends, answers queries, and appends a snapshot of a
program before the log trims its records. It is not a leader: every reader derives the
same state from the log.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import logbook

from ..config.settings import LimitOptions
from ..errors import Failure
from ..ids import Offset, ProgramId, RecordId, Seq, new_id
from ..records.codec import encode_record
from ..records.types import ProgramState, Snapshot
from ..wire.messages import (
    Failed,
    HistoryReply,
    HistoryRequest,
    Reply,
    StateReply,
    StateRequest,
    SubmitRequest,
)
from .client import LocalShards, ShardClient
from .stream import ShardStream

log = logbook.Logger("keeper")

CHECK_INTERVAL = 1.0  # seconds
CONFIG_SHARD = 0  # its keeper renews the configuration too

RenewConfig = Callable[[int, float], Awaitable[None]]


class ShardKeeper:
    """Serve requests about shards, and renew the records of the process's shards."""

    def __init__(
        self,
        *,
        local: LocalShards,
        shards: ShardClient,
        own_shards: Callable[[], list[int]],
        renew_config: RenewConfig,
        limits: LimitOptions,
    ) -> None:
        self._local = local
        self._shards = shards
        self._own_shards = own_shards
        self._renew_config = renew_config
        self._limits = limits
        self._oldest_seen: dict[ProgramId, tuple[Offset, float]] = {}

    async def submit(self, request: SubmitRequest) -> Reply:
        """Append a record and return the verdict on it."""
        reply = await self._shards.submit_locally(request.record, timeout=None)
        return Failed(failure=reply) if isinstance(reply, Failure) else reply

    async def states(self, request: StateRequest) -> Reply:
        """Return the states of programs."""
        states = await self._shards.states_locally(request.shard, request.programs)
        if isinstance(states, Failure):
            return Failed(failure=states)
        next_offset = self._local.stream(request.shard).view.next_offset
        return StateReply(states=states, next_offset=next_offset)

    async def history(self, request: HistoryRequest) -> Reply:
        """Return the commits of a program."""
        commits = await self._shards.commits_locally(
            request.shard, request.program, request.after
        )
        if isinstance(commits, Failure):
            return Failed(failure=commits)
        return HistoryReply(commits=[encode_record(commit) for commit in commits])

    async def run(self) -> None:
        """Read this process's shards and renew records that the log may soon trim."""
        while True:
            shards = self._own_shards()
            for shard in shards:
                stream = self._local.stream(shard)
                if await stream.wait_ready(CHECK_INTERVAL):
                    await self._renew(stream)
            if CONFIG_SHARD in shards:
                await self._renew_config(
                    self._limits.renew_after, self._limits.renew_interval
                )
            await asyncio.sleep(CHECK_INTERVAL)

    async def _renew(self, stream: ShardStream) -> None:
        now = asyncio.get_running_loop().time()
        for state in list(stream.view.programs.values()):
            if state.ended is not None:
                self._oldest_seen.pop(state.program, None)
            elif self._needs_snapshot(stream, state, now):
                await self._append_snapshot(stream, state.program)

    def _needs_snapshot(
        self, stream: ShardStream, state: ProgramState, now: float
    ) -> bool:
        """Return whether the log may soon trim a program's oldest record."""
        oldest = min([state.base, *state.entries])
        seen, since = self._oldest_seen.get(state.program, (oldest, now))
        if seen != oldest:
            since = now
        self._oldest_seen[state.program] = (oldest, since)
        if now - since > self._limits.renew_interval:
            return True
        end = stream.view.next_offset
        if oldest < end - self._limits.renew_after:
            return True
        # Renew records in the oldest quarter of the log once it has been trimmed.
        first = stream.first_offset
        return first > 0 and oldest < first + (end - first) // 4

    async def _append_snapshot(self, stream: ShardStream, program: ProgramId) -> None:
        as_of = Offset(stream.view.next_offset - 1)
        commits = await stream.commits(program, Seq(0))
        state = stream.state(program)
        if isinstance(commits, Failure) or state is None:
            return
        if len(commits) != state.seq or stream.view.next_offset - 1 != as_of:
            # New records arrived while the history was read; retried at the next check.
            return
        record = Snapshot(
            id=RecordId(new_id("snapshot")),
            program=program,
            as_of=as_of,
            state=state,
            commits=commits,
        )
        await stream.submit(record, timeout=CHECK_INTERVAL * 10)
        log.info("Program {} was appended again.", program)
