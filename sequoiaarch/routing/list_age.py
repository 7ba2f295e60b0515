"""Bound the age of the list by which requests are sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol

# Seconds of the time for which a leaving target serves that are left for a request to
# reach it.
SEND_MARGIN = 0.4
# Seconds to wait for a read when the list is too old. Longer than a read beside others
# that get no answer, and than the time after which a topic counts as lost.
REFRESH_TIMEOUT = 0.8


class Followed(Protocol):
    """Topic that is followed."""

    @property
    def unavailable(self) -> bool:
        """Return whether the topic can't be read at all."""

    async def refresh(self) -> None:
        """Read at once, and return with the next answer or the loss of the topic."""


class ListState(Enum):
    """Whether requests may be sent by a list, and why."""

    RECENT = "recent"
    # Nobody can know more. Targets serve on, and most of them stay.
    OUTAGE = "the store is unavailable"
    TOO_OLD = "too old"


class ListAge:
    """Tell whether the list of targets is recent enough to send a request."""

    def __init__(
        self, *, topic: Followed, age: Callable[[], float], drain_time: float
    ) -> None:
        """Bound the `age` of a followed topic, in seconds.

        Targets serve for `drain_time` after the report that they leave.
        """
        self._topic = topic
        self._age = age
        self._limit = drain_time - SEND_MARGIN

    @property
    def state(self) -> ListState:
        """Return the present state."""
        if self._age() <= self._limit:
            return ListState.RECENT
        return ListState.OUTAGE if self._topic.unavailable else ListState.TOO_OLD

    async def renewed(self) -> ListState:
        """Return the state, after a read if the list is too old."""
        state = self.state
        if state is not ListState.TOO_OLD:
            return state
        try:
            async with asyncio.timeout(REFRESH_TIMEOUT):
                while (state := self.state) is ListState.TOO_OLD:
                    await self._topic.refresh()
        except TimeoutError:
            pass
        return state
