"""Access shards through their keepers, or through the log if no keeper answers."""

from __future__ import annotations

from collections.abc import Callable

import logbook
import xxhash

from ..errors import ErrorKind, Failure
from ..ids import ProgramId, Seq, TargetName, root_of
from ..observe.metrics import Metrics
from ..records.codec import decode_record
from ..records.types import Commit, ProgramState, ShardRecord
from ..storage.interfaces import AppendLog
from ..wire.links import Links
from ..wire.messages import (
    Failed,
    HistoryReply,
    HistoryRequest,
    StateReply,
    StateRequest,
    SubmitRequest,
    VerdictReply,
)
from .stream import ShardStream

log = logbook.Logger("shard")

MAX_KEEPERS = 2  # asked per request
KEEPER_TIMEOUT = 8.0  # seconds
MAX_SUBMIT_TIMEOUT = 3600.0  # seconds, where the caller sets no timeout
BEFORE_FIRST = Seq(0)


def shard_of(program: ProgramId, shards: int) -> int:
    """Return the shard of a program; sub-agents are in the shard of their root."""
    return xxhash.xxh3_64_intdigest(root_of(program).encode()) % shards


def keeper_order(shard: int, names: list[TargetName]) -> list[TargetName]:
    """Return names by descending rendezvous score for a shard; the first keeps it."""

    def score(name: TargetName) -> int:
        return xxhash.xxh3_64_intdigest(f"{shard}\0{name}".encode())

    return sorted(names, key=score, reverse=True)


class LocalShards:
    """Shard streams that this process reads, started on first use."""

    def __init__(
        self, *, log_service: AppendLog, interval: float, metrics: Metrics
    ) -> None:
        self._log = log_service
        self._interval = interval
        self._metrics = metrics
        self._streams: dict[int, ShardStream] = {}

    @property
    def streams(self) -> dict[int, ShardStream]:
        """Return the streams of the shards that this process reads."""
        return self._streams

    def stream(self, shard: int) -> ShardStream:
        """Return the stream of a shard, and start to read it on first use."""
        stream = self._streams.get(shard)
        if stream is None:
            stream = ShardStream(
                log_service=self._log,
                shard=shard,
                interval=self._interval,
                metrics=self._metrics,
            )
            self._streams[shard] = stream
        return stream

    def close(self) -> None:
        """Stop all streams."""
        for stream in self._streams.values():
            stream.close()


class ShardClient:
    """Submit records to shard keepers and query them, or use the log if none answers.

    A shard may have several keepers at once: all derive the same state from the log,
    and a record that is appended twice takes effect once.
    """

    def __init__(
        self,
        *,
        shards: int,
        local: LocalShards,
        links: Links,
        peers: Callable[[], dict[TargetName, str]],
        own_target: TargetName | None,
    ) -> None:
        self._shards = shards
        self._local = local
        self._links = links
        self._peers = peers
        self._own_target = own_target

    def shard_of(self, program: ProgramId) -> int:
        """Return the shard of a program."""
        return shard_of(program, self._shards)

    def keepers(self, shard: int) -> list[TargetName]:
        """Return the targets whose sidecars keep a shard, in order of preference."""
        return keeper_order(shard, list(self._peers()))[:MAX_KEEPERS]

    async def submit(
        self, record: ShardRecord, *, timeout: float | None
    ) -> VerdictReply | Failure:
        """Append a record through a keeper and return the verdict on it.

        If `timeout`, in seconds, is None, wait as long as the log is unavailable.
        """
        shard = self.shard_of(record.program)
        peers = self._peers()
        request = SubmitRequest(shard=shard, record=record)
        limit = timeout if timeout is not None else MAX_SUBMIT_TIMEOUT
        for name in self.keepers(shard):
            if name == self._own_target:
                break
            link = self._links.to(peers[name])
            reply = await link.call(request, timeout=limit, wall_clock=True)
            if isinstance(reply, VerdictReply):
                return reply
            if not isinstance(reply, Failed) or _is_final(reply.failure):
                return _failure_of(reply)
            log.warning("Keeper {} of shard {} did not answer.", name, shard)
        return await self.submit_locally(record, timeout=timeout)

    async def submit_locally(
        self, record: ShardRecord, *, timeout: float | None
    ) -> VerdictReply | Failure:
        """Append a record from this process and return the verdict on it."""
        stream = self._local.stream(self.shard_of(record.program))
        verdict = await stream.submit(record, timeout=timeout)
        if isinstance(verdict, Failure):
            return verdict
        return VerdictReply(verdict=verdict, state=stream.state(record.program))

    async def states(
        self, shard: int, programs: list[ProgramId]
    ) -> list[ProgramState] | Failure:
        """Return the states of programs of one shard; unknown programs are left out."""
        peers = self._peers()
        request = StateRequest(shard=shard, programs=programs)
        for name in self.keepers(shard):
            if name == self._own_target:
                break
            link = self._links.to(peers[name])
            reply = await link.call(request, timeout=KEEPER_TIMEOUT)
            if isinstance(reply, StateReply):
                return reply.states
            log.warning("Keeper {} of shard {} did not answer.", name, shard)
        return await self.states_locally(shard, programs)

    async def states_locally(
        self, shard: int, programs: list[ProgramId]
    ) -> list[ProgramState] | Failure:
        """Return the states of programs of one shard as read by this process."""
        stream = self._local.stream(shard)
        if not await stream.wait_ready(KEEPER_TIMEOUT):
            return _unread_failure(shard)
        states = [stream.state(program) for program in programs]
        return [state for state in states if state is not None]

    async def state(self, program: ProgramId) -> ProgramState | None | Failure:
        """Return the state of a program, or None if it is unknown."""
        states = await self.states(self.shard_of(program), [program])
        if isinstance(states, Failure):
            return states
        return states[0] if states else None

    async def commits(
        self, program: ProgramId, after: Seq = BEFORE_FIRST
    ) -> list[Commit] | Failure:
        """Return the commits of a program after a sequence number, in order."""
        shard = self.shard_of(program)
        peers = self._peers()
        request = HistoryRequest(shard=shard, program=program, after=after)
        for name in self.keepers(shard):
            if name == self._own_target:
                break
            link = self._links.to(peers[name])
            reply = await link.call(request, timeout=KEEPER_TIMEOUT)
            if isinstance(reply, HistoryReply):
                records = [decode_record(data) for data in reply.commits]
                return [commit for commit in records if isinstance(commit, Commit)]
        return await self.commits_locally(shard, program, after)

    async def commits_locally(
        self, shard: int, program: ProgramId, after: Seq
    ) -> list[Commit] | Failure:
        """Return the commits of a program as read by this process.

        Wait until the shard is read; before that, the history would seem empty.
        """
        stream = self._local.stream(shard)
        if not await stream.wait_ready(KEEPER_TIMEOUT):
            return _unread_failure(shard)
        return await stream.commits(program, after)


def _unread_failure(shard: int) -> Failure:
    return Failure(
        kind=ErrorKind.LOG_UNAVAILABLE,
        reason=f"shard {shard} could not be read from the log",
    )


def _is_final(failure: Failure) -> bool:
    """Return whether the keeper itself reported the failure, so no other is asked."""
    return failure.kind is ErrorKind.LOG_UNAVAILABLE


def _failure_of(reply: object) -> Failure:
    if isinstance(reply, Failed):
        return reply.failure
    return Failure(
        kind=ErrorKind.INTERNAL, reason="unexpected reply from a shard keeper"
    )
