"""Find the keeper of a shard and fall back to other ways."""

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

KEEPERS_TRIED = 2
KEEPER_TIMEOUT = 8.0
PATIENT_TIMEOUT = 3600.0
FIRST = Seq(0)


def shard_of(program: ProgramId, shards: int) -> int:
    """Return the shard of a program; sub-agents share that of their root."""
    return xxhash.xxh3_64_intdigest(root_of(program).encode()) % shards


def keeper_order(shard: int, names: list[TargetName]) -> list[TargetName]:
    """Return names in the order in which they should keep a shard."""

    def weight(name: TargetName) -> int:
        return xxhash.xxh3_64_intdigest(f"{shard}\0{name}".encode())

    return sorted(names, key=weight, reverse=True)


class LocalShards:
    """Read and append to shards from this process."""

    def __init__(
        self, *, log_service: AppendLog, interval: float, metrics: Metrics
    ) -> None:
        self._log = log_service
        self._interval = interval
        self._metrics = metrics
        self._streams: dict[int, ShardStream] = {}

    @property
    def streams(self) -> dict[int, ShardStream]:
        """Return the shards that are read here."""
        return self._streams

    def stream(self, shard: int) -> ShardStream:
        """Return a shard, which is read from now on."""
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
        """Stop to read and append."""
        for stream in self._streams.values():
            stream.close()


class ShardClient:
    """Reach the shard keepers, or do their work where none answers.

    Two keepers of a shard at once are harmless: every reader judges by what
    stands in the log, and a record that is appended twice counts once.
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
        """Return who should keep a shard, best first."""
        return keeper_order(shard, list(self._peers()))[:KEEPERS_TRIED]

    async def submit(
        self, record: ShardRecord, *, timeout: float | None
    ) -> VerdictReply | Failure:
        """Have a record appended and judged."""
        shard = self.shard_of(record.program)
        peers = self._peers()
        request = SubmitRequest(shard=shard, record=record)
        limit = timeout if timeout is not None else PATIENT_TIMEOUT
        for name in self.keepers(shard):
            if name == self._own_target:
                break
            reply = await self._links.to(peers[name]).call(request, timeout=limit)
            if isinstance(reply, VerdictReply):
                return reply
            if not isinstance(reply, Failed) or _is_answer(reply.failure):
                return _failure(reply)
            log.warning("Keeper {} of shard {} did not answer.", name, shard)
        return await self.submit_here(record, timeout=timeout)

    async def submit_here(
        self, record: ShardRecord, *, timeout: float | None
    ) -> VerdictReply | Failure:
        """Append and judge a record in this process."""
        stream = self._local.stream(self.shard_of(record.program))
        verdict = await stream.submit(record, timeout=timeout)
        if isinstance(verdict, Failure):
            return verdict
        return VerdictReply(verdict=verdict, state=stream.state(record.program))

    async def states(
        self, shard: int, programs: list[ProgramId]
    ) -> list[ProgramState] | Failure:
        """Return what the log says of programs of one shard."""
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
        return await self.states_here(shard, programs)

    async def states_here(
        self, shard: int, programs: list[ProgramId]
    ) -> list[ProgramState] | Failure:
        """Return what this process read of programs of one shard."""
        stream = self._local.stream(shard)
        if not await stream.ready(KEEPER_TIMEOUT):
            return _not_read(shard)
        found = [stream.state(program) for program in programs]
        return [state for state in found if state is not None]

    async def state(self, program: ProgramId) -> ProgramState | None | Failure:
        """Return what the log says of one program."""
        found = await self.states(self.shard_of(program), [program])
        if isinstance(found, Failure):
            return found
        return found[0] if found else None

    async def commits(
        self, program: ProgramId, after: Seq = FIRST
    ) -> list[Commit] | Failure:
        """Return the commits of a program that follow a sequence number."""
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
                return [one for one in records if isinstance(one, Commit)]
        return await self.commits_here(shard, program, after)

    async def commits_here(
        self, shard: int, program: ProgramId, after: Seq
    ) -> list[Commit] | Failure:
        """Return the commits of a program that this process read.

        A process that has not read the shard knows of no program: without the
        wait a caller was shown an empty history when a second keeper answered.
        """
        stream = self._local.stream(shard)
        if not await stream.ready(KEEPER_TIMEOUT):
            return _not_read(shard)
        return await stream.commits(program, after)


def _not_read(shard: int) -> Failure:
    return Failure(
        kind=ErrorKind.LOG_UNAVAILABLE,
        reason=f"shard {shard} could not be read from the log",
    )


def _is_answer(failure: Failure) -> bool:
    """Return whether a keeper answered, so that no other need be asked."""
    return failure.kind is ErrorKind.LOG_UNAVAILABLE


def _failure(reply: object) -> Failure:
    if isinstance(reply, Failed):
        return reply.failure
    return Failure(kind=ErrorKind.INTERNAL, reason="the keeper answered otherwise")
