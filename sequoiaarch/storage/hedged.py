"""Ask the store a second time when an answer is late."""

from __future__ import annotations

import asyncio

import logbook

from ..errors import Failure
from .calls import StoreCall, StoreClient, StoreReply

log = logbook.Logger("store")

# An answer that takes four times as long as usual is likely lost. The bounds
# keep a fast store from being asked twice for a single late packet, and a
# first call from waiting for its full timeout. Seconds.
USUAL_FACTOR = 4.0
LEAST_PATIENCE = 0.06
MOST_PATIENCE = 0.5
FIRST_GUESS = 0.02
SMOOTHING = 0.1
MOST_CALLS = 4
# Two calls in a row without an answer take three times the patience for one.
SILENCE_FACTOR = 3.0


class HedgedClient:
    """Send a call again on another connection while its answer is late.

    With a third of the answers lost, a call that waits for its timeout each
    time holds the end of a turn for a second, and one call in eight loses two
    answers. Each further call waits twice as long, so that a slow store gets a
    handful at most. All calls may be repeated: appends carry a sequence, and
    the others only read.
    """

    def __init__(self, *, client: StoreClient) -> None:
        self._client = client
        self._usual = FIRST_GUESS

    @property
    def patience(self) -> float:
        """Return the seconds to wait before a second call."""
        wanted = USUAL_FACTOR * self._usual
        return min(max(wanted, LEAST_PATIENCE), MOST_PATIENCE)

    @property
    def relay_delay(self) -> float:
        """Return the seconds after which two calls were late."""
        return SILENCE_FACTOR * self.patience

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Make a call and return the first answer to it."""
        if call.waits:
            return await self._client.call(call)
        started = asyncio.get_running_loop().time()
        tasks: list[asyncio.Task[StoreReply | Failure]] = []
        try:
            reply = await self._first_answer(call, tasks)
        finally:
            for task in tasks:
                task.cancel()
        if not isinstance(reply, Failure):
            self._learn(started)
        return reply

    async def _first_answer(
        self, call: StoreCall, tasks: list[asyncio.Task[StoreReply | Failure]]
    ) -> StoreReply | Failure:
        wait = self.patience
        failure: Failure | None = None
        left: set[asyncio.Task[StoreReply | Failure]] = set()
        while True:
            if len(tasks) < MOST_CALLS:
                tasks.append(asyncio.create_task(self._client.call(call)))
                left.add(tasks[-1])
            timeout = wait if len(tasks) < MOST_CALLS else None
            wait *= 2
            done, left = await asyncio.wait(
                left, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                reply = task.result()
                if not isinstance(reply, Failure):
                    return reply
                failure = reply
            # Two that failed at once say that the store is away.
            if failure is not None and not left and len(tasks) > 1:
                return failure

    def _learn(self, started: float) -> None:
        taken = asyncio.get_running_loop().time() - started
        self._usual += SMOOTHING * (taken - self._usual)
