"""Test that notifications are retried until they are accepted."""

from __future__ import annotations

import asyncio
import unittest

import zmq
import zmq.asyncio

from ...fleet.notifier import ATTEMPT_TIMEOUT, Notifier
from ...fleet.peers import PEER_SILENCE_LIMIT
from ...ids import OpeningId
from ...wire.links import Link
from ...wire.messages import CloseTurnRequest

LOOPBACK = "tcp://127.0.0.1:*"


class NotifierTests(unittest.IsolatedAsyncioTestCase):
    """Test notifications to a peer that does not answer."""

    async def asyncSetUp(self) -> None:
        """Connect to a peer that reads nothing."""
        self.context = zmq.asyncio.Context()
        self.peer = self.context.socket(zmq.ROUTER)
        self.peer.bind(LOOPBACK)
        address = self.peer.getsockopt_string(zmq.LAST_ENDPOINT)
        self.link = Link(
            context=self.context, address=address, silence_limit=PEER_SILENCE_LIMIT
        )

    async def asyncTearDown(self) -> None:
        """Close everything."""
        self.link.close()
        self.peer.close(linger=0)
        self.context.destroy(linger=0)

    async def test_silent_link_is_replaced(self) -> None:
        """Retry over a new connection if the old one is silent.

        A timeout below the silence limit would retry on the dead connection for ever.
        """
        notifier = Notifier(timeout=ATTEMPT_TIMEOUT)
        old_socket = self.link._socket
        request = CloseTurnRequest(opening=OpeningId("1"), handed=0)
        notifier.notify(self.link, request, retry_for=PEER_SILENCE_LIMIT)
        async with asyncio.timeout(3 * PEER_SILENCE_LIMIT):
            while self.link._socket is old_socket:
                await asyncio.sleep(0.05)
