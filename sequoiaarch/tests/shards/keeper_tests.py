"""Test what a shard keeper says before it has read its shard."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import zmq.asyncio

from ...config.settings import LimitOptions
from ...errors import Failure
from ...ids import Epoch, Offset, ProgramId, RecordId, TargetName, Workspace
from ...observe.metrics import Metrics
from ...records.codec import encode_record
from ...records.types import Claim, ProgramSpec
from ...shards import client as client_module
from ...shards.client import LocalShards, ShardClient
from ...shards.keeper import ShardKeeper
from ...shards.stream import stream_name
from ...storage.interfaces import Page
from ...storage.memory import MemoryLog
from ...wire.links import Links
from ...wire.messages import Failed, HistoryReply, HistoryRequest

SHARD = 0
PROGRAM = ProgramId("alpha:subject")
PATIENCE = 10.0


class GatedLog:
    """Answer no read until the gate is open."""

    def __init__(self, log: MemoryLog) -> None:
        self._log = log
        self.gate = asyncio.Event()

    async def append(self, stream: str, records: list[bytes]) -> Offset | Failure:
        """Append at once."""
        return await self._log.append(stream, records)

    async def read(
        self, stream: str, start: Offset, *, limit: int, wait: float
    ) -> Page | Failure:
        """Read once the gate is open."""
        await self.gate.wait()
        return await self._log.read(stream, start, limit=limit, wait=wait)


class KeeperTests(unittest.IsolatedAsyncioTestCase):
    """Ask a keeper that has just taken over a shard with one program."""

    async def asyncSetUp(self) -> None:
        """Write a program of one call to the log, and start a keeper."""
        log = MemoryLog()
        spec = ProgramSpec(workspace=Workspace("alpha"), name="sample", budget=1000)
        claim = Claim(
            id=RecordId("claim-1"),
            program=PROGRAM,
            replaces=Epoch(0),
            home=TargetName("a"),
            block=100,
            spec=spec,
        )
        await log.append(stream_name(SHARD), [encode_record(claim)])
        self.log = GatedLog(log)
        self.local = LocalShards(log_service=self.log, interval=0.0, metrics=Metrics())
        self.addCleanup(self.local.close)
        context = zmq.asyncio.Context()
        self.addCleanup(context.destroy, linger=0)
        shards = ShardClient(
            shards=1,
            local=self.local,
            links=Links(context=context),
            peers=dict,
            own_target=TargetName("b"),
        )
        self.keeper = ShardKeeper(
            local=self.local,
            shards=shards,
            own_shards=lambda: [SHARD],
            renew_config=mock.AsyncMock(),
            limits=LimitOptions(),
        )

    async def test_history_is_not_told_before_the_shard_is_read(self) -> None:
        """Say that the history is not known yet, rather than that there is none.

        A gateway asks a first keeper, which is too slow, then a second, which
        has never read the shard. It answered with no commits, and a caller that
        asked for its conversation was shown an empty one.
        """
        request = HistoryRequest(shard=SHARD, program=PROGRAM)
        with mock.patch.object(client_module, "KEEPER_TIMEOUT", 0.05):
            reply = await self.keeper.history(request)
        self.assertIsInstance(reply, Failed)
        self.log.gate.set()
        async with asyncio.timeout(PATIENCE):
            reply = await self.keeper.history(request)
        self.assertIsInstance(reply, HistoryReply)
