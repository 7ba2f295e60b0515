"""Share exposures of requests between gateways."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Coroutine, Sequence
from typing import Any, TypeVar

import logbook

from ..ids import HostName, RequestKey, SendId
from ..policies.exposures import PROGRAM_LIFE, Exposure
from ..wire.messages import (
    MAX_LISTED_REPORTS,
    MAX_REPORTED_EXPOSURES,
    Accepted,
    ClearExposuresRequest,
    ExposureReport,
    ExposuresKnown,
    ListExposuresRequest,
    Reply,
    ReportedExposure,
    ReportExposuresRequest,
    Request,
)
from .exposure_log import DurableExposures, NotDurable
from .exposures import ExposureTracker, KnownRequest, Told
from .peers import Peers

log = logbook.Logger("exposures")

T = TypeVar("T")

# Hosts answer from memory. A caller is told of a broken attempt at the latest after
# this time, in seconds.
REPORT_TIMEOUT = 0.15
# The same for a request that is sent to its last target only with all answers. Seconds.
PATIENT_TIMEOUT = 0.5
# Seconds for which a report is retried at a host that does not answer.
RETRY_SECONDS = 5.0
RETRY_INTERVAL = 0.2
# Messages a second that this process sends, and their burst. With 539 other hosts, the
# burst is that of four reports; beyond it, only some hosts are told.
MESSAGE_RATE = 1000.0
MESSAGE_BURST = 2000.0
# Seconds after which another host is asked for what is not known here: reports are not
# retried for ever, and links may be harmed in one direction.
COMPARE_INTERVAL = 0.5
# Hosts asked for all exposures at the same time, and the seconds within which they must
# answer; others are asked if none does, as the registrations of lost hosts stay.
LIST_HOSTS = 8
MAX_LIST_HOSTS = 16
LIST_TIMEOUT = 0.3
# A process that could not run for this time may have missed reports, as peers give up
# a host that is silent for a second. Seconds.
MISSED_SECONDS = 0.8
# Requests wait no longer than this for the exposures known to other hosts. Seconds.
MAX_WAIT = 0.3
# The same in a new process, which knows nothing yet. Seconds.
MAX_START_WAIT = 0.5
# An announced request waits no longer than this for the log, if a host does not answer.
# Seconds.
LOG_TIMEOUT = 0.5


class SharedExposures:
    """Tell all gateways of requests under which targets may have ended.

    A caller may come back to any of them, and ends are rare while requests are not.
    So gateways keep what they are told, and requests need no message.
    """

    def __init__(
        self,
        *,
        own: HostName,
        peers: Peers,
        tracker: ExposureTracker,
        durable: DurableExposures | None = None,
    ) -> None:
        self._own = own
        self._peers = peers
        self._tracker = tracker
        self._durable = durable or NotDurable()
        # Hosts that did not answer the last time. They are told in the background, and
        # waited for again as soon as they answer.
        self._silent: set[HostName] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        # Whether one host has told what it knows, and the log was read.
        self._listed = asyncio.Event()
        self._log_read = asyncio.Event()
        self._synchronising = False
        self._ran_at = -math.inf
        self._rng = random.Random(own)
        self._tokens = MESSAGE_BURST
        self._refilled_at = 0.0
        # Messages that were not sent for the limit of their rate.
        self.omitted = 0

    async def synchronised(self) -> None:
        """Return once the exposures known to other gateways are known here."""
        # A request may be handled before `run` after a time without processor.
        if self._missed_reports and not self._synchronising:
            self._clear_synchronised()
        if self._listed.is_set() and self._log_read.is_set():
            return
        started = self._ran_at > -math.inf
        try:
            async with asyncio.timeout(MAX_WAIT if started else MAX_START_WAIT):
                await self._listed.wait()
                await self._log_read.wait()
        except TimeoutError:
            pass

    async def tell(
        self, known: KnownRequest, *, announced: bool, patient: bool
    ) -> Told:
        """Tell the other gateways of a request; return what they know of it."""
        request = ReportExposuresRequest(report=_encode(known))
        registered = self._peers.hosts()
        writing = self._start(self._durable.write())
        # Beside the messages, as a refusal must not wait for both.
        reading = self._start(self._read_after(writing)) if announced else None
        hosts = self._within_rate(registered)
        asked = [host for host in hosts if host not in self._silent]
        for host in hosts:
            if host not in asked:
                self._start(self._deliver(host, request))
        timeout = PATIENT_TIMEOUT if patient else REPORT_TIMEOUT
        told_by = asyncio.get_running_loop().time() + timeout
        replies = await asyncio.gather(
            *(self._ask(host, request, timeout) for host in asked)
        )
        for host, reply in zip(asked, replies, strict=True):
            if not isinstance(reply, ExposuresKnown):
                self._start(self._deliver(host, request))
        answers = [reply for reply in replies if isinstance(reply, ExposuresKnown)]
        complete = len(answers) == len(registered)
        logged = False
        if reading is None:
            await asyncio.wait([writing], timeout=_left_until(told_by))
        elif complete:
            reading.cancel()
        else:
            logged = await reading
        return Told(
            known=[
                _decode(report)
                for answer in answers
                for report in answer.reports
                if report.key == known.key
            ],
            complete=complete or logged,
            logged=logged,
            hosts=len(registered),
            answered=len(answers),
        )

    async def _read_after(self, writing: asyncio.Task[bool]) -> bool:
        """Read the log once own exposures are in it; return whether both was done.

        Of two gateways that write and then read, one at least reads the other's.
        """
        try:
            async with asyncio.timeout(LOG_TIMEOUT):
                return await asyncio.shield(writing) and await self._durable.read()
        except TimeoutError:
            return False

    def notify(self, known: KnownRequest, *, withdrawn: SendId | None) -> None:
        """Tell the other gateways of a request in the background."""
        self._durable.wake()
        request = ReportExposuresRequest(report=_encode(known), withdrawn=withdrawn)
        for host in self._within_rate(self._peers.hosts()):
            self._start(self._deliver(host, request))

    def cleared(self, key: RequestKey) -> None:
        """Tell the other gateways that a request ended no target."""
        self._durable.wake()
        for host in self._within_rate(self._peers.hosts()):
            self._start(self._deliver(host, ClearExposuresRequest(key=key)))

    def answer(
        self,
        request: ReportExposuresRequest | ClearExposuresRequest | ListExposuresRequest,
    ) -> Reply:
        """Handle a request of another gateway."""
        if isinstance(request, ClearExposuresRequest):
            self._tracker.told_cleared(request.key)
            return Accepted()
        if isinstance(request, ListExposuresRequest):
            if request.digest == self._tracker.digest():
                return ExposuresKnown(reports=[])
            newest = self._tracker.all_known()[-MAX_LISTED_REPORTS:]
            return ExposuresKnown(reports=[_encode(known) for known in newest])
        answer = self._tracker.told(_decode(request.report), request.withdrawn)
        return ExposuresKnown(reports=[] if answer is None else [_encode(answer)])

    async def run(self) -> None:
        """Compare what is known with other gateways.

        All of it at the start, and after each time without processor.
        """
        await self._peers.wait_listed()
        loop = asyncio.get_running_loop()
        try:
            while True:
                if self._missed_reports:
                    self._clear_synchronised()
                    self._synchronising = True
                    try:
                        await asyncio.gather(self._list_all(), self._read_log())
                    finally:
                        self._synchronising = False
                    log.info(
                        "{} requests are known under which targets may have ended",
                        len(self._tracker.table),
                    )
                else:
                    # Not awaited, as a busy host answers late.
                    self._start(self._compare())
                self._ran_at = loop.time()
                await asyncio.sleep(COMPARE_INTERVAL)
        finally:
            for task in self._tasks:
                task.cancel()

    @property
    def _missed_reports(self) -> bool:
        """Return whether this process has just started, or could not run."""
        now = asyncio.get_running_loop().time()
        return now - self._ran_at > COMPARE_INTERVAL + MISSED_SECONDS

    async def _compare(self) -> None:
        """Ask one other gateway for what is not known here."""
        hosts = self._peers.hosts()
        if hosts:
            request = ListExposuresRequest(digest=self._tracker.digest())
            await self._list([self._rng.choice(hosts)], request)

    def _clear_synchronised(self) -> None:
        self._listed.clear()
        self._log_read.clear()

    async def _read_log(self) -> None:
        await self._durable.read()
        self._log_read.set()

    async def _list_all(self) -> None:
        hosts = self._peers.hosts()
        self._rng.shuffle(hosts)
        hosts.sort(key=lambda host: host in self._silent)
        for first in range(0, min(len(hosts), MAX_LIST_HOSTS), LIST_HOSTS):
            asked = hosts[first : first + LIST_HOSTS]
            if await self._list(asked, ListExposuresRequest()):
                return
        self._listed.set()

    async def _list(
        self, hosts: Sequence[HostName], request: ListExposuresRequest
    ) -> bool:
        """Add what hosts know; return whether one of them answered."""
        answered = False
        asked = [self._ask(host, request, LIST_TIMEOUT) for host in hosts]
        for reply in asyncio.as_completed(asked):
            known = await reply
            if isinstance(known, ExposuresKnown):
                self._tracker.merge(map(_decode, known.reports))
                self._listed.set()
                answered = True
        return answered

    async def _ask(
        self, host: HostName, request: Request, timeout: float
    ) -> Reply | None:
        link = self._peers.link(host)
        if link is None:
            return None
        reply = await link.call(request, timeout=timeout)
        if isinstance(reply, ExposuresKnown | Accepted):
            self._silent.discard(host)
        else:
            self._silent.add(host)
        return reply

    async def _deliver(self, host: HostName, request: Request) -> None:
        """Send a request again and again until a host accepts it, or for a while."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + RETRY_SECONDS
        while loop.time() < deadline:
            reply = await self._ask(host, request, RETRY_SECONDS)
            if isinstance(reply, ExposuresKnown):
                self._tracker.merge(map(_decode, reply.reports))
            if isinstance(reply, ExposuresKnown | Accepted):
                return
            await asyncio.sleep(RETRY_INTERVAL)

    def _within_rate(self, hosts: Sequence[HostName]) -> Sequence[HostName]:
        """Return the hosts that may be sent a message now."""
        now = asyncio.get_running_loop().time()
        self._tokens += (now - self._refilled_at) * MESSAGE_RATE
        self._tokens = min(self._tokens, MESSAGE_BURST)
        self._refilled_at = now
        allowed = min(len(hosts), int(self._tokens))
        self._tokens -= allowed
        self.omitted += len(hosts) - allowed
        return hosts[:allowed]

    def _start(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _left_until(time: float) -> float:
    return max(0.0, time - asyncio.get_running_loop().time())


def _encode(known: KnownRequest) -> ExposureReport:
    now = asyncio.get_running_loop().time()
    return ExposureReport(
        key=known.key,
        workspace=known.workspace,
        life=known.life,
        exposures=[
            ReportedExposure(
                send=exposure.send,
                target=exposure.target,
                state=exposure.state,
                age=now - exposure.at,
                settles=exposure.settles,
                source=exposure.source,
            )
            for exposure in known.exposures[:MAX_REPORTED_EXPOSURES]
        ],
    )


def _decode(report: ExposureReport) -> KnownRequest:
    now = asyncio.get_running_loop().time()
    return KnownRequest(
        key=report.key,
        workspace=report.workspace,
        life=min(max(report.life, 0.0), PROGRAM_LIFE),
        exposures=[
            Exposure(
                send=exposure.send,
                target=exposure.target,
                state=exposure.state,
                at=now - max(exposure.age, 0.0),
                settles=exposure.settles,
                source=exposure.source,
            )
            for exposure in report.exposures
        ],
    )
