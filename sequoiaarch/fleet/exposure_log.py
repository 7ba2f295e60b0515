"""Keep exposures of requests in the log, which outlives all gateways."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Protocol

import logbook
import msgspec

from ..errors import Failure
from ..ids import HostName, InstanceId, RequestKey, SendId, Workspace
from ..policies.exposures import PROGRAM_LIFE, Exposure, ExposureState
from ..routing.follower import TopicFollower, boottime_clock
from ..storage.keyed import KeyedLog, KeyedRecord, ListedRecord, Partition, Writer
from .exposures import ExposureTracker, KnownRequest

log = logbook.Logger("exposures")

TOPIC = "keyed.exposures"
PARTITION = Partition(topic=TOPIC, number=0)
# Seconds for which a read waits for a record.
READ_WAIT = 5.0
# Reads and appends a second of all processes together, while there are new records
# all the time: parts of what the store allows.
READS_PER_SECOND = 500.0
APPENDS_PER_SECOND = 100.0
APPEND_BURST = 4.0
# Records of one process: with 540 processes, 32 MB of the store's 400 MB.
MAX_RECORDS = 200
# Records of others that are remembered, to remove those of lost processes.
MAX_FOREIGN = 8192
# Seconds after which changes are written that nobody waits for.
WRITE_INTERVAL = 1.0
RETRY_INTERVAL = 0.2
# A process removes its own records. Those of a lost one are removed by some other
# process, drawn by its delay. Seconds.
FOREIGN_LIFE = PROGRAM_LIFE + 60.0
MAX_REMOVAL_DELAY = 600.0


class LoggedExposure(msgspec.Struct, frozen=True, kw_only=True):
    """A send that a target has not answered, under its id as the key."""

    request: str
    workspace: Workspace
    life: float
    target: InstanceId
    state: ExposureState
    settles: float
    source: HostName


class DurableExposures(Protocol):
    """Store of exposures that outlives this process."""

    async def write(self) -> bool:
        """Write the exposures of this process; return whether they are stored."""

    async def read(self) -> bool:
        """Read all that is stored by now; return whether that was possible."""

    def wake(self) -> None:
        """Write changes soon."""


class NotDurable:
    """Store nothing."""

    async def write(self) -> bool:
        """Return that nothing is stored."""
        return False

    async def read(self) -> bool:
        """Return that nothing can be read."""
        return False

    def wake(self) -> None:
        """Do nothing."""


class _Entry(msgspec.Struct, frozen=True, kw_only=True):
    """A record of another process, and when to remove it if it is still there."""

    request: RequestKey
    state: ExposureState
    remove_at: float


class ExposureLog:
    """Write the exposures of this process to the log, and follow those of others.

    Gateways that don't reach each other learn of ends from it, and so do new ones
    after a loss of all. Each send has a record of its own, so that no process
    overwrites what another one knows.
    """

    def __init__(
        self,
        *,
        process: str,
        keyed_log: KeyedLog,
        tracker: ExposureTracker,
        processes: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self._process = process
        self._log = keyed_log
        self._tracker = tracker
        self._processes = processes
        self._rng = rng
        self._follower = TopicFollower(
            log=keyed_log,
            topic=TOPIC,
            replace=self._replace,
            apply=self._apply,
            wait=READ_WAIT,
        )
        # Values of this process's records as far as they are known to be stored.
        self._written: dict[str, bytes] = {}
        # Keys of own records that were read: an append without a reply may be done.
        self._own_read: set[str] = set()
        self._foreign: dict[str, _Entry] = {}
        self._epochs = itertools.count(1)
        self._wanted = asyncio.Event()
        self._waiters: list[asyncio.Future[bool]] = []
        self._tokens = APPEND_BURST
        self._refilled_at = 0.0

    async def follow(self) -> None:
        """Follow the records of other processes until cancelled."""
        await self._follower.follow()

    async def write(self) -> bool:
        """Write the exposures of this process; return whether they are stored."""
        if not self._due():
            return True
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._wanted.set()
        return await waiter

    async def read(self) -> bool:
        """Read all that is stored by now; return whether that was possible."""
        since = boottime_clock()
        while self._follower.as_of < since:
            await self._follower.refresh()
            if self._follower.unavailable:
                return False
        return True

    def wake(self) -> None:
        """Write changes soon."""
        self._wanted.set()

    async def run(self) -> None:
        """Write changes until cancelled."""
        while True:
            try:
                async with asyncio.timeout(WRITE_INTERVAL):
                    await self._wanted.wait()
            except TimeoutError:
                pass
            self._wanted.clear()
            if not self._due():
                self._answer_waiters(written=True)
                continue
            await self._take_token()
            waiters, self._waiters = self._waiters, []
            written = await self._append()
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(written)
            if not written:
                await asyncio.sleep(RETRY_INTERVAL)

    def _answer_waiters(self, *, written: bool) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(written)

    async def _append(self) -> bool:
        due = self._due()
        # A higher epoch fences off an earlier append that the store carries out late.
        writer = Writer(
            name=f"exposures-{self._process}", epoch=next(self._epochs), sequence=0
        )
        result = await self._log.append(PARTITION, due, writer=writer)
        if isinstance(result, Failure):
            log.info("{} exposures are not stored: {}", len(due), result.reason)
            return False
        for record in due:
            if record.value:
                self._written[record.key] = record.value
            else:
                self._written.pop(record.key, None)
                self._own_read.discard(record.key)
                self._foreign.pop(record.key, None)
        return True

    def _due(self) -> list[KeyedRecord]:
        """Return the records that differ from what is stored."""
        wanted = self._wanted_records()
        due = [
            KeyedRecord(key=send, value=value)
            for send, value in wanted.items()
            if self._written.get(send) != value
        ]
        stored = self._own_read.union(self._written)
        now = asyncio.get_running_loop().time()
        removed = [send for send in stored if send not in wanted]
        removed += [
            send for send, entry in self._foreign.items() if entry.remove_at <= now
        ]
        due += [KeyedRecord(key=send, value=b"") for send in removed]
        return due

    def _wanted_records(self) -> dict[str, bytes]:
        """Return the records of this process; those of the most suspected requests."""
        known = self._tracker.own_exposures()
        known.sort(key=lambda request: len(request.exposures), reverse=True)
        records = [
            (exposure.send, _encode(request, exposure))
            for request in known
            for exposure in request.exposures
        ]
        return dict(records[:MAX_RECORDS])

    async def _take_token(self) -> None:
        """Wait until this process may append again."""
        loop = asyncio.get_running_loop()
        rate = APPENDS_PER_SECOND / max(1, self._processes())
        earned = (loop.time() - self._refilled_at) * rate
        self._tokens = min(APPEND_BURST, self._tokens + earned)
        if self._tokens < 1:
            await asyncio.sleep((1 - self._tokens) / rate)
            self._tokens = 1.0
        self._refilled_at = loop.time()
        self._tokens -= 1

    def _replace(self, records: Sequence[ListedRecord]) -> None:
        self._foreign.clear()
        self._own_read.clear()
        for record in records:
            self._apply(record)

    def _apply(self, record: KeyedRecord) -> None:
        self._follower.batch_delay = self._processes() / READS_PER_SECOND
        send = SendId(record.key)
        own = record.key.startswith(f"{self._process}/")
        if not record.value:
            self._own_read.discard(record.key)
            entry = self._foreign.pop(record.key, None)
            if entry is not None and entry.state is not ExposureState.ENDED:
                self._tracker.withdrawn(entry.request, send)
            return
        if own:
            self._own_read.add(record.key)
            return
        known = _decode(record)
        if known is None:
            return
        if len(self._foreign) < MAX_FOREIGN:
            now = asyncio.get_running_loop().time()
            delay = self._rng.uniform(0.0, MAX_REMOVAL_DELAY)
            self._foreign[record.key] = _Entry(
                request=known.key,
                state=known.exposures[0].state,
                remove_at=now + FOREIGN_LIFE + delay,
            )
        self._tracker.merge([known])


def _encode(request: KnownRequest, exposure: Exposure) -> bytes:
    return msgspec.json.encode(
        LoggedExposure(
            request=request.key.hex(),
            workspace=request.workspace,
            life=request.life,
            target=exposure.target,
            state=exposure.state,
            settles=exposure.settles,
            source=exposure.source,
        )
    )


def _decode(record: KeyedRecord) -> KnownRequest | None:
    """Return a record as of now, as clocks of processes can't be compared."""
    try:
        logged = msgspec.json.decode(record.value, type=LoggedExposure)
        key = RequestKey(bytes.fromhex(logged.request))
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        log.warning("cannot decode exposure {}: {}", record.key[:80], error)
        return None
    exposure = Exposure(
        send=SendId(record.key),
        target=logged.target,
        state=logged.state,
        at=asyncio.get_running_loop().time(),
        settles=logged.settles,
        source=logged.source,
    )
    return KnownRequest(
        key=key,
        workspace=logged.workspace,
        life=min(max(logged.life, 0.0), PROGRAM_LIFE),
        exposures=[exposure],
    )
