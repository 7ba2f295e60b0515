"""Test that what must arrive is told until it was heard."""

from __future__ import annotations

import asyncio
import unittest

import zmq
import zmq.asyncio

from ...fleet.notifier import RETRY_TIMEOUT, Notifier
from ...fleet.peers import PEER_SILENCE_LIMIT
from ...ids import OpeningId
from ...wire.links import Link
from ...wire.messages import CloseTurnRequest

LOOPBACK = "tcp://127.0.0.1:*"


class TellingTests(unittest.IsolatedAsyncioTestCase):
    """Tell a peer that does not answer."""

    async def asyncSetUp(self) -> None:
        """Make a link to a peer that reads nothing."""
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

    async def test_silent_link_is_made_anew(self) -> None:
        """Tell again through a new connection where the old one has gone silent.

        A connection goes silent for good while new ones work. Nothing else is asked
        of that peer, so only the wait for this answer can show it. A wait that ends
        before a link is taken for silent begins anew each time, on the dead
        connection, until nobody needs to know any more.
        """
        notifier = Notifier(timeout=RETRY_TIMEOUT)
        before = self.link._socket
        request = CloseTurnRequest(opening=OpeningId("1"), handed=0)
        notifier.notify(self.link, request, retry_for=PEER_SILENCE_LIMIT)
        async with asyncio.timeout(3 * PEER_SILENCE_LIMIT):
            while self.link._socket is before:
                await asyncio.sleep(0.05)
