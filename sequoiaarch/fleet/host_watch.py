"""Remove the registrations of hosts that are lost for good."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from ..errors import ErrorKind, Failure
from ..ids import HostName, WriterId
from ..policies.lost_hosts import LostHosts, Verdict
from ..routing.follower import boottime_clock
from ..storage.keyed import KeyedLog
from ..wire.messages import (
    Failed,
    HostChecked,
    HostCheckRequest,
    Reply,
)
from .peers import Peers
from .ranking import score

log = logbook.Logger("peers")

PROBE_INTERVAL = 1.0
# A host answers from memory; one that is busy for longer counts as silent. Below the
# interval. Seconds.
PROBE_TIMEOUT = 0.8
# Seconds for which the view of the registrations is good enough to act on: it is
# renewed about every second.
MAX_VIEW_AGE = 3.0
# Seconds between the time when a host may be removed and its removal being read, at
# most: a probe, a write and a read.
REMOVAL_DELAY = 2.0


class HostWatch:
    """Probe the hosts that follow this one; suspect and remove those that are lost.

    A removal is written when its host can't act by its registration any more. The
    hosts that take over need not wait.
    """

    def __init__(
        self,
        *,
        own: HostName,
        writer: WriterId,
        peers: Peers,
        wait: float,
        view_as_of: Callable[[], float],
    ) -> None:
        """Remove suspected hosts after `wait` seconds, longer than any lease."""
        self._own = own
        self._writer = writer
        self._peers = peers
        self._view_as_of = view_as_of
        self._lost = LostHosts(own=own, wait=wait)
        self._ring_version: int | None = None
        self._ring: list[HostName] = []
        self._stopped = False

    def registrations_changed(self) -> None:
        """Note the registrations that were read."""
        records = self._peers.registrations()
        self._lost.registrations_changed(
            {
                host: record.suspicion
                for host, record in records.items()
                if record.suspicion is not None
            },
            {host: record.process for host, record in records.items()},
            boottime_clock(),
        )

    def store_regained(self) -> None:
        """Note that registrations can be read and written again."""
        self._lost.store_regained(boottime_clock())

    def takeover_in(self, host: HostName) -> float | None:
        """Return the seconds until others own the shares of a suspected host."""
        wait = self._lost.takeover_in(host, boottime_clock())
        return None if wait is None else wait + REMOVAL_DELAY

    def answer(self, request: HostCheckRequest) -> Reply:
        """Tell a peer which host this is."""
        return HostChecked(host=self._own)

    def stop(self) -> None:
        """Stop judging other hosts, ahead of a shutdown."""
        self._stopped = True

    async def run(self, keyed_log: KeyedLog) -> None:
        """Probe and judge hosts until cancelled."""
        while True:
            old = self._old_hosts()
            watched = self._lost.watched(self._hosts_in_order(), old)
            await asyncio.gather(
                asyncio.sleep(PROBE_INTERVAL), *(self._probe(host) for host in watched)
            )
            if not self._may_judge:
                continue
            verdict = self._lost.judge(watched, old, boottime_clock())
            if verdict != Verdict():
                await self._carry_out(keyed_log, verdict)

    @property
    def _may_judge(self) -> bool:
        """Return whether this process is registered and knows the registrations."""
        view_age = boottime_clock() - self._view_as_of()
        return (
            not self._stopped
            and view_age < MAX_VIEW_AGE
            and self._peers.own_registration_is(self._writer)
        )

    def _old_hosts(self) -> set[HostName]:
        """Return the hosts whose build neither watches others nor refutes."""
        records = self._peers.registrations()
        return {host for host, record in records.items() if not record.refutes}

    def _hosts_in_order(self) -> list[HostName]:
        """Return all hosts; those of a data centre follow each other.

        Within it their order is random, as hosts with similar names may share a rack.
        """
        if self._ring_version != self._peers.hosts_version:
            self._ring_version = self._peers.hosts_version
            self._ring = [
                host
                for _, hosts in sorted(self._peers.hosts_by_centre().items())
                for host in sorted(hosts, key=lambda host: score("watch", host))
            ]
        return self._ring

    async def _probe(self, host: HostName) -> None:
        link = self._peers.link(host)
        if link is None:
            return
        request = HostCheckRequest(host=host)
        reply = await link.call(request, timeout=PROBE_TIMEOUT)
        self._lost.probed(host, answered=_is_answer(reply, host))

    async def _carry_out(self, keyed_log: KeyedLog, verdict: Verdict) -> None:
        now = boottime_clock()
        for host in verdict.suspect:
            log.warning(
                "host {} is suspected to be lost: it answered none of {} probes",
                host,
                self._lost.silent_probes(host),
            )
        for host in verdict.remove:
            suspected_at = self._lost.suspected_at(host)
            log.warning(
                "host {} is removed: suspected for {:.2f} s, it answered none of {}"
                " probes and did not refute it",
                host,
                0.0 if suspected_at is None else now - suspected_at,
                self._lost.silent_probes(host),
            )
        failure = await self._peers.judge(
            keyed_log, suspect=verdict.suspect, remove=verdict.remove
        )
        if failure is not None:
            log.warning("lost hosts could not be registered: {}", failure.reason)


def _is_answer(reply: Reply, host: HostName) -> bool:
    """Return whether the host of a registration answered, in any build."""
    if isinstance(reply, HostChecked):
        return reply.host == host
    if isinstance(reply, Failed):
        return _came_from_peer(reply.failure)
    return True


def _came_from_peer(failure: Failure) -> bool:
    return failure.kind is not ErrorKind.INTERRUPTED
