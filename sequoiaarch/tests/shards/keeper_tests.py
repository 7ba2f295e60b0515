"""Test a shard keeper that has not yet read its shard."""

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
TIMEOUT = 10.0


class GatedLog:
    """Log whose reads block until `gate` is set."""

    def __init__(self, log: MemoryLog) -> None:
        self._log = log
        self.gate = asyncio.Event()

    async def append(self, stream: str, records: list[bytes]) -> Offset | Failure:
        """Append without waiting for the gate."""
        return await self._log.append(stream, records)

    async def read(
        self, stream: str, start: Offset, *, limit: int, wait: float
    ) -> Page | Failure:
        """Read once the gate is set."""
        await self.gate.wait()
        return await self._log.read(stream, start, limit=limit, wait=wait)


class KeeperTests(unittest.IsolatedAsyncioTestCase):
    """Query a keeper that has just taken over a shard with one program."""

    async def asyncSetUp(self) -> None:
        """Write the claim of a program to the log, and start a keeper."""
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

    async def test_history_fails_until_the_shard_is_read(self) -> None:
        """Fail rather than return an empty history before the shard is read.

        A caller would otherwise see an empty conversation if a gateway falls back to a
        second keeper.
        """
        request = HistoryRequest(shard=SHARD, program=PROGRAM)
        with mock.patch.object(client_module, "KEEPER_TIMEOUT", 0.05):
            reply = await self.keeper.history(request)
        self.assertIsInstance(reply, Failed)
        self.log.gate.set()
        async with asyncio.timeout(TIMEOUT):
            reply = await self.keeper.history(request)
        self.assertIsInstance(reply, HistoryReply)
