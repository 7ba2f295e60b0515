"""Follow the configuration stream, and publish to it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import logbook

from ..errors import ErrorKind, Failure
from ..ids import Offset, RecordId, new_id
from ..observe.metrics import Metrics
from ..storage.interfaces import AppendLog
from .store import (
    ConfigSnapshot,
    ConfigView,
    Publication,
    PublishVerdict,
    decode_config,
    encode_config,
)

log = logbook.Logger("config")

STREAM = "config"
READ_WAIT = 10.0
READ_LIMIT = 256
RETRY_FIRST = 0.1
RETRY_LIMIT = 2.0
PUBLISH_TRIES = 5
PUBLISH_WAIT = 10.0

AskPeers = Callable[[], Awaitable[list[ConfigSnapshot]]]


class ConfigFollower:
    """Keep the view of the configuration up to date.

    While the log is away, peers are asked for what they have accepted. A
    view never goes back: what is older than it is ignored.
    """

    def __init__(
        self,
        *,
        log_service: AppendLog,
        view: ConfigView,
        ask_peers: AskPeers,
        metrics: Metrics,
    ) -> None:
        self._log = log_service
        self._view = view
        self._ask_peers = ask_peers
        self._metrics = metrics
        self._advanced = asyncio.Condition()
        self._read_once = asyncio.Event()
        self._first = Offset(0)
        self._renewed_at: float | None = None

    @property
    def view(self) -> ConfigView:
        """Return the view that is kept up to date."""
        return self._view

    async def wait_ready(self) -> None:
        """Wait until a configuration is known, from the log or from peers."""
        await self._read_once.wait()

    async def run(self) -> None:
        """Read the stream for ever."""
        delay = RETRY_FIRST
        while True:
            wait = READ_WAIT if self._read_once.is_set() else 0.0
            page = await self._log.read(
                STREAM, self._view.next_offset, limit=READ_LIMIT, wait=wait
            )
            if isinstance(page, Failure):
                await self._read_peers()
                await asyncio.sleep(delay * random.uniform(0.5, 1.0))
                delay = min(delay * 2, RETRY_LIMIT)
                continue
            delay = RETRY_FIRST
            self._first = page.first
            if page.start > self._view.next_offset:
                self._view.start_at(page.start)
            for place, data in enumerate(page.records):
                self._view.apply(Offset(page.start + place), decode_config(data))
            if not self._view.complete:
                await self._read_peers()
            if self._view.next_offset >= page.end and self._view.complete:
                self._read_once.set()
            await self._announce()

    async def _read_peers(self) -> None:
        before = self._view.next_offset
        for snapshot in await self._ask_peers():
            self._view.adopt(snapshot)
        if self._view.next_offset > before:
            log.info("Took the configuration of a peer, up to {}.", before)
            self._read_once.set()
            await self._announce()

    async def _announce(self) -> None:
        self._metrics.config.set({}, self._view.newest)
        async with self._advanced:
            self._advanced.notify_all()

    async def publish(self, publication: Publication) -> PublishVerdict | Failure:
        """Append a publication and read back whether it is in force.

        A lost reply is no reason to doubt: the same publication is appended
        again, and its second copy counts for nothing.
        """
        data = encode_config(publication)
        last: Failure | None = None
        for _ in range(PUBLISH_TRIES):
            offset = await self._log.append(STREAM, [data])
            if not isinstance(offset, Failure):
                return await self._verdict(publication.id)
            last = offset
            await asyncio.sleep(RETRY_FIRST)
            if self._view.verdict(publication.id) is not None:
                return await self._verdict(publication.id)
        assert last is not None
        return last

    async def _verdict(self, record: RecordId) -> PublishVerdict | Failure:
        try:
            async with asyncio.timeout(PUBLISH_WAIT), self._advanced:
                await self._advanced.wait_for(
                    lambda: self._view.verdict(record) is not None
                )
        except TimeoutError:
            return Failure(
                kind=ErrorKind.LOG_UNAVAILABLE,
                reason="the publication was appended but could not be read back",
            )
        verdict = self._view.verdict(record)
        assert verdict is not None
        return verdict

    async def append_snapshot_if_due(self, records: int, seconds: float) -> None:
        """Append a snapshot before the log forgets what is in force."""
        now = asyncio.get_running_loop().time()
        end = self._view.next_offset
        if self._renewed_at is None:
            self._renewed_at = now
        nearing = self._first > 0 and self._view.oldest < self._first + max(
            1, (end - self._first) // 4
        )
        old = self._view.oldest < end - records
        if end and (nearing or old or now - self._renewed_at > seconds):
            self._renewed_at = now
            snapshot = self._view.snapshot(RecordId(new_id("config")))
            await self._log.append(STREAM, [encode_config(snapshot)])
            log.info("The configuration was appended again.")
