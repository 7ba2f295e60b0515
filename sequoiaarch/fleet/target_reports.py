"""Share with the hosts of the data centre which targets fail."""

from __future__ import annotations

import asyncio

from ..ids import HostName, InstanceId
from ..policies.health import TargetHealth
from ..wire.messages import Accepted, Reply, TargetReport
from .peers import Peers
from .ranking import place_of
from .telling import Telling

# A report is of use for about as long as requests keep failing. Seconds.
REPORT_TIMEOUT = 0.5


class TargetReports:
    """Tell the neighbours what was seen of targets, and take over what they saw.

    Hosts of one data centre choose the same targets first. A report goes to
    each of them once for a failure that is news, so messages grow with the hosts
    and not with the failures of all of them.
    """

    def __init__(self, *, own: HostName, peers: Peers, health: TargetHealth) -> None:
        self._own = own
        self._peers = peers
        self._health = health
        self._telling = Telling(timeout=REPORT_TIMEOUT)

    def tell(self, instance: InstanceId, ok: bool) -> None:
        """Tell the neighbours that a target failed or serves again."""
        report = TargetReport(instance=instance, host=self._own, ok=ok)
        for host in self._peers.near():
            link = self._peers.link(host)
            if link is not None:
                self._telling.tell(link, report)

    def take(self, report: TargetReport) -> Reply:
        """Take over what a neighbour saw."""
        now = asyncio.get_running_loop().time()
        self._health.report_received(
            report.instance, report.host, ok=report.ok, now=now
        )
        return Accepted()

    def place(self, name: str) -> int:
        """Return this host's place among the neighbours for a name."""
        return place_of(self._own, name, self._peers.near())
