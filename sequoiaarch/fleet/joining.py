"""Find out when all other hosts see this one, so that it may keep shares."""

from __future__ import annotations

import asyncio

from ..ids import HostName, WriterId
from ..wire.messages import Accepted, Reply, SeenRequest
from ..workspaces.host_lease import HostLease
from .peers import Peers
from .turn_server import failed

# Seconds.
ASK_TIMEOUT = 0.5
ASK_INTERVAL = 0.1
# With more hosts than these it is cheaper to wait than to have a link to each.
MOST_HOSTS = 64


class Joining:
    """Ask all registered hosts whether they see this one's registration.

    Until then some may keep a share that has fallen to this host. One that does not
    answer, as it is lost or cut off, may too; this host then waits for as long as
    that one may act by an old view.
    """

    def __init__(
        self, *, own: HostName, writer: WriterId, peers: Peers, host_lease: HostLease
    ) -> None:
        self._own = own
        self._writer = writer
        self._peers = peers
        self._host_lease = host_lease

    async def run(self) -> None:
        """Ask whenever this host waits, again and again."""
        while True:
            await asyncio.sleep(ASK_INTERVAL)
            if self._host_lease.pending and await self._all_see():
                self._host_lease.seen_by_all()

    def answer(self, request: SeenRequest) -> Reply:
        """Tell another host whether it is seen."""
        if self._peers.knows(request.host, request.writer):
            return Accepted()
        return failed(f"{request.host} is not seen")

    async def _all_see(self) -> bool:
        """Return whether every host that was registered sees this one."""
        hosts = self._peers.hosts()
        if len(hosts) > MOST_HOSTS:
            return False
        answers = await asyncio.gather(*(self._sees(host) for host in hosts))
        return all(answers)

    async def _sees(self, host: HostName) -> bool:
        link = self._peers.link(host)
        if link is None:
            return False
        request = SeenRequest(host=self._own, writer=self._writer)
        reply = await link.call(request, timeout=ASK_TIMEOUT)
        return isinstance(reply, Accepted)
