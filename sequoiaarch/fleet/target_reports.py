"""Share target failures and recoveries within a data centre."""

from __future__ import annotations

import asyncio

from ..ids import HostName, InstanceId
from ..policies.health import TargetHealth
from ..wire.messages import Accepted, Reply, TargetReport
from .notifier import Notifier
from .peers import Peers
from .ranking import rank_of

# Timeout of a report; a later one would be out of date. Seconds.
REPORT_TIMEOUT = 0.5


class TargetReports:
    """Broadcast target health to the neighbours and apply their reports.

    Hosts of one data centre choose the same targets first. A change is reported once
    to each neighbour, so traffic grows with the number of hosts and not with the
    number of failed requests.
    """

    def __init__(self, *, own: HostName, peers: Peers, health: TargetHealth) -> None:
        self._own = own
        self._peers = peers
        self._health = health
        self._notifier = Notifier(timeout=REPORT_TIMEOUT)

    def broadcast(self, instance: InstanceId, ok: bool) -> None:
        """Report to all neighbours that a target failed or has recovered."""
        report = TargetReport(instance=instance, host=self._own, ok=ok)
        for host in self._peers.neighbours():
            link = self._peers.link(host)
            if link is not None:
                self._notifier.notify(link, report)

    def receive(self, report: TargetReport) -> Reply:
        """Apply a report of a neighbour."""
        now = asyncio.get_running_loop().time()
        self._health.report_received(
            report.instance, report.host, ok=report.ok, now=now
        )
        return Accepted()

    def rank(self, name: str) -> int:
        """Return this host's rendezvous rank among its neighbours for a name."""
        return rank_of(self._own, name, self._peers.neighbours())
