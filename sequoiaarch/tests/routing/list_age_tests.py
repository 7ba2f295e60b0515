"""Test the bound on the age of the list by which requests are sent."""

from __future__ import annotations

import asyncio
import unittest

from ...routing.list_age import REFRESH_TIMEOUT, SEND_MARGIN, ListAge, ListState

DRAIN_SECONDS = 2.0


class _Topic:
    """Topic whose reads renew it, get no answer, or lose it."""

    def __init__(self) -> None:
        self.age = 0.0
        self.unavailable = False
        self.refreshes = 0
        self.answers = True
        self.lost = False

    async def refresh(self) -> None:
        """Read the topic."""
        self.refreshes += 1
        if not self.answers:
            await asyncio.Event().wait()
        self.unavailable = self.lost
        if not self.lost:
            self.age = 0.0


class ListAgeTests(unittest.IsolatedAsyncioTestCase):
    """Ask for the state of a list of any age."""

    def setUp(self) -> None:
        """Start with a list of age 0."""
        self.topic = _Topic()
        self.list_age = ListAge(
            topic=self.topic, age=lambda: self.topic.age, drain_time=DRAIN_SECONDS
        )

    async def test_recent_list_is_not_read(self) -> None:
        """Each send costs a read of the store."""
        self.topic.age = DRAIN_SECONDS - SEND_MARGIN
        self.assertIs(await self.list_age.renewed(), ListState.RECENT)
        self.assertEqual(self.topic.refreshes, 0)

    async def test_old_list_is_read_first(self) -> None:
        """A process that wakes up sends by the list of before."""
        self.topic.age = DRAIN_SECONDS
        self.assertIs(self.list_age.state, ListState.TOO_OLD)
        self.assertIs(await self.list_age.renewed(), ListState.RECENT)

    async def test_outage(self) -> None:
        """Nothing is served while the store is unavailable."""
        self.topic.age = 10 * DRAIN_SECONDS
        self.topic.unavailable = True
        self.assertIs(await self.list_age.renewed(), ListState.OUTAGE)
        self.assertEqual(self.topic.refreshes, 0)

    async def test_outage_begins(self) -> None:
        """Requests wait for long when an outage begins."""
        self.topic.age = DRAIN_SECONDS
        self.topic.lost = True
        self.assertIs(await self.list_age.renewed(), ListState.OUTAGE)

    async def test_read_gets_no_answer(self) -> None:
        """A request waits for ever for a list that can't be read."""
        self.topic.age = DRAIN_SECONDS
        self.topic.answers = False
        async with asyncio.timeout(2 * REFRESH_TIMEOUT):
            self.assertIs(await self.list_age.renewed(), ListState.TOO_OLD)
