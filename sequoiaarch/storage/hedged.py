"""Ask the store a second time when an answer is late."""

from __future__ import annotations

import asyncio

import logbook

from ..errors import Failure
from .calls import StoreCall, StoreCaller, StoreReply

log = logbook.Logger("store")

# An answer that takes four times as long as usual is likely lost. The bounds
# keep a fast store from being asked twice for a single late packet, and a
# first call from waiting for its full timeout. Seconds.
USUAL_FACTOR = 4.0
LEAST_PATIENCE = 0.06
MOST_PATIENCE = 0.5
FIRST_GUESS = 0.02
SMOOTHING = 0.1


class HedgedCaller:
    """Send a call again on another connection if its answer is late.

    With a third of the answers lost, a call that waits for its timeout each
    time holds the end of a turn for a second. All calls may be repeated:
    appends carry a sequence, and the others only read.
    """

    def __init__(self, *, caller: StoreCaller) -> None:
        self._caller = caller
        self._usual = FIRST_GUESS

    @property
    def patience(self) -> float:
        """Return the seconds to wait before a second call."""
        wanted = USUAL_FACTOR * self._usual
        return min(max(wanted, LEAST_PATIENCE), MOST_PATIENCE)

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Make a call and return the first answer to it."""
        if call.waits:
            return await self._caller.call(call)
        started = asyncio.get_running_loop().time()
        first = asyncio.create_task(self._caller.call(call))
        try:
            done, _ = await asyncio.wait([first], timeout=self.patience)
            if done and not isinstance(first.result(), Failure):
                self._learn(started)
                return first.result()
            reply = await self._second(call, first)
        finally:
            first.cancel()
        if not isinstance(reply, Failure):
            self._learn(started)
        return reply

    async def _second(
        self, call: StoreCall, first: asyncio.Task[StoreReply | Failure]
    ) -> StoreReply | Failure:
        second = asyncio.create_task(self._caller.call(call))
        open_calls = {first, second}
        try:
            while True:
                done, open_calls = await asyncio.wait(
                    open_calls, return_when=asyncio.FIRST_COMPLETED
                )
                replies = [task.result() for task in done]
                good = [one for one in replies if not isinstance(one, Failure)]
                if good or not open_calls:
                    return good[0] if good else replies[0]
        finally:
            second.cancel()

    def _learn(self, started: float) -> None:
        taken = asyncio.get_running_loop().time() - started
        self._usual += SMOOTHING * (taken - self._usual)
