"""Check that all hosts see this host's registration before it serves shares."""

from __future__ import annotations

import asyncio

from ..ids import HostName, WriterId
from ..wire.messages import Accepted, RegistrationSeenRequest, Reply
from ..workspaces.host_lease import HostLease
from .peers import Peers
from .turn_server import failure_reply

# In seconds.
ASK_TIMEOUT = 0.5
ASK_INTERVAL = 0.1
# Beyond this many hosts, waiting for the lease is cheaper than a link to each.
MAX_HOSTS = 64


class RegistrationCheck:
    """Ask all registered hosts whether they see this host's registration.

    A host with an older view may still serve a share that is now owned by this
    host. If a host does not answer, this host waits until the lease of such a view has
    expired.
    """

    def __init__(
        self, *, own: HostName, writer: WriterId, peers: Peers, host_lease: HostLease
    ) -> None:
        self._own = own
        self._writer = writer
        self._peers = peers
        self._host_lease = host_lease

    async def run(self) -> None:
        """Ask repeatedly while this host waits to serve its shares."""
        while True:
            await asyncio.sleep(ASK_INTERVAL)
            if self._host_lease.confirmable and await self._seen_by_all():
                self._host_lease.activate()

    def answer(self, request: RegistrationSeenRequest) -> Reply:
        """Confirm that all processes of this host see another host's registration."""
        if self._host_lease.earlier_may_act:
            return failure_reply("an earlier process of this host may still act")
        if self._peers.has_registration(request.host, request.writer):
            return Accepted()
        return failure_reply(f"registration of {request.host} is not seen here")

    async def _seen_by_all(self) -> bool:
        """Return whether every registered host sees this one."""
        hosts = self._peers.hosts()
        if len(hosts) > MAX_HOSTS:
            return False
        answers = await asyncio.gather(*(self._seen_by(host) for host in hosts))
        return all(answers)

    async def _seen_by(self, host: HostName) -> bool:
        link = self._peers.link(host)
        if link is None:
            return False
        request = RegistrationSeenRequest(host=self._own, writer=self._writer)
        reply = await link.call(request, timeout=ASK_TIMEOUT)
        return isinstance(reply, Accepted)
