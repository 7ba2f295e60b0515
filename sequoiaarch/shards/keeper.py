"""Do the work of a shard keeper for homes and gateways.

A keeper has no authority. It combines appends, judges records by the rule
that every reader applies, and appends again what nears the end of retention.
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

CHECK_INTERVAL = 1.0
CONFIG_SHARD = 0

RenewConfig = Callable[[int, float], Awaitable[None]]


class ShardKeeper:
    """Answer for the shards that fall to this process."""

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
        self._seen: dict[ProgramId, tuple[Offset, float]] = {}

    async def submit(self, request: SubmitRequest) -> Reply:
        """Append and judge a record."""
        reply = await self._shards.submit_here(request.record, timeout=None)
        return Failed(failure=reply) if isinstance(reply, Failure) else reply

    async def states(self, request: StateRequest) -> Reply:
        """Tell what the log says of programs."""
        states = await self._shards.states_here(request.shard, request.programs)
        if isinstance(states, Failure):
            return Failed(failure=states)
        next_offset = self._local.stream(request.shard).view.next_offset
        return StateReply(states=states, next_offset=next_offset)

    async def history(self, request: HistoryRequest) -> Reply:
        """Tell the commits of a program."""
        commits = await self._shards.commits_here(
            request.shard, request.program, request.after
        )
        if isinstance(commits, Failure):
            return Failed(failure=commits)
        return HistoryReply(commits=[encode_record(one) for one in commits])

    async def run(self) -> None:
        """Read the own shards and renew what nears the end of retention."""
        while True:
            shards = self._own_shards()
            for shard in shards:
                stream = self._local.stream(shard)
                if await stream.ready(CHECK_INTERVAL):
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
                self._seen.pop(state.program, None)
            elif self._due(stream, state, now):
                await self._append_snapshot(stream, state.program)

    def _due(self, stream: ShardStream, state: ProgramState, now: float) -> bool:
        """Return whether a program's oldest record may soon be forgotten."""
        oldest = min([state.base, *state.entries])
        known, since = self._seen.get(state.program, (oldest, now))
        if known != oldest:
            since = now
        self._seen[state.program] = (oldest, since)
        if now - since > self._limits.renew_interval:
            return True
        end = stream.view.next_offset
        if oldest < end - self._limits.renew_after:
            return True
        # The log tells where its memory begins. A record in the oldest
        # quarter of what is kept is the next to go.
        first = stream.first
        return first > 0 and oldest < first + (end - first) // 4

    async def _append_snapshot(self, stream: ShardStream, program: ProgramId) -> None:
        as_of = Offset(stream.view.next_offset - 1)
        commits = await stream.commits(program, Seq(0))
        state = stream.state(program)
        if isinstance(commits, Failure) or state is None:
            return
        if len(commits) != state.seq or stream.view.next_offset - 1 != as_of:
            # The program moved on while its history was read; the next
            # round takes it up again.
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
