"""Follow the configuration stream and publish to it."""

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

CONFIG_STREAM = "config"
LONG_POLL_TIMEOUT = 10.0  # seconds
READ_LIMIT = 256  # records per request
MIN_RETRY_DELAY = 0.1  # seconds
MAX_RETRY_DELAY = 2.0  # seconds
MAX_PUBLISH_ATTEMPTS = 5
VERDICT_TIMEOUT = 10.0  # seconds

FetchPeerSnapshots = Callable[[], Awaitable[list[ConfigSnapshot]]]


class ConfigFollower:
    """Keep the view of the configuration up to date.

    Fetches snapshots from peers while the log is unavailable. Snapshots older than
    the view are ignored.
    """

    def __init__(
        self,
        *,
        log_service: AppendLog,
        view: ConfigView,
        ask_peers: FetchPeerSnapshots,
        metrics: Metrics,
    ) -> None:
        self._log = log_service
        self._view = view
        self._ask_peers = ask_peers
        self._metrics = metrics
        self._view_changed = asyncio.Condition()
        self._ready = asyncio.Event()
        self._first_offset = Offset(0)
        self._snapshot_at: float | None = None

    @property
    def view(self) -> ConfigView:
        """Return the view that is updated."""
        return self._view

    async def wait_ready(self) -> None:
        """Wait until a configuration is known, from the log or from peers."""
        await self._ready.wait()

    async def run(self) -> None:
        """Read the stream until cancelled."""
        delay = MIN_RETRY_DELAY
        while True:
            wait = LONG_POLL_TIMEOUT if self._ready.is_set() else 0.0
            page = await self._log.read(
                CONFIG_STREAM, self._view.next_offset, limit=READ_LIMIT, wait=wait
            )
            if isinstance(page, Failure):
                await self._adopt_from_peers()
                await asyncio.sleep(delay * random.uniform(0.5, 1.0))
                delay = min(delay * 2, MAX_RETRY_DELAY)
                continue
            delay = MIN_RETRY_DELAY
            self._first_offset = page.first
            if page.start > self._view.next_offset:
                self._view.start_at(page.start)
            for index, data in enumerate(page.records):
                self._view.apply(Offset(page.start + index), decode_config(data))
            if not self._view.complete:
                await self._adopt_from_peers()
            if self._view.next_offset >= page.end and self._view.complete:
                self._ready.set()
            await self._notify()

    async def _adopt_from_peers(self) -> None:
        before = self._view.next_offset
        for snapshot in await self._ask_peers():
            self._view.adopt(snapshot)
        if self._view.next_offset > before:
            log.info("Adopted the configuration of a peer; offset was {}.", before)
            self._ready.set()
            await self._notify()

    async def _notify(self) -> None:
        self._metrics.config.set({}, self._view.newest)
        async with self._view_changed:
            self._view_changed.notify_all()

    async def publish(self, publication: Publication) -> PublishVerdict | Failure:
        """Append a publication and read the verdict on it.

        Retries are safe: a duplicate has the same id and is ignored.
        """
        data = encode_config(publication)
        last: Failure | None = None
        for _ in range(MAX_PUBLISH_ATTEMPTS):
            offset = await self._log.append(CONFIG_STREAM, [data])
            if not isinstance(offset, Failure):
                return await self._wait_verdict(publication.id)
            last = offset
            await asyncio.sleep(MIN_RETRY_DELAY)
            if self._view.verdict(publication.id) is not None:
                return await self._wait_verdict(publication.id)
        assert last is not None
        return last

    async def _wait_verdict(self, record: RecordId) -> PublishVerdict | Failure:
        try:
            async with asyncio.timeout(VERDICT_TIMEOUT), self._view_changed:
                await self._view_changed.wait_for(
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
        """Append a snapshot before the log trims records that readers need.

        Due after `records` further records, after `seconds`, or when the log is about
        to trim the records.
        """
        now = asyncio.get_running_loop().time()
        end = self._view.next_offset
        if self._snapshot_at is None:
            self._snapshot_at = now
        near_trim = (
            self._first_offset > 0
            and self._view.oldest
            < self._first_offset + max(1, (end - self._first_offset) // 4)
        )
        outdated = self._view.oldest < end - records
        if end and (near_trim or outdated or now - self._snapshot_at > seconds):
            self._snapshot_at = now
            snapshot = self._view.snapshot(RecordId(new_id("config")))
            await self._log.append(CONFIG_STREAM, [encode_config(snapshot)])
            log.info("Appended a snapshot of the configuration.")
