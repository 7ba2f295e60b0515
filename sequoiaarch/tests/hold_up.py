"""Hold up the event loop in tests, as a busy machine does."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator

from ..reply_timeout import reply_timeout

# Seconds between two repeated hold-ups, in which the event loop runs. Short, so that
# not all requests of a test end in the first gap.
MIN_GAP = 0.001
MAX_GAP = 0.01


def hold_up(seconds: float, *, after: float = 0.0) -> None:
    """Block the event loop for `seconds` once it has run for `after` seconds."""
    asyncio.get_running_loop().call_later(after, time.sleep, seconds)


async def sleep_running(seconds: float) -> None:
    """Sleep for `seconds` in which the event loop runs, as reply timeouts count them.

    A reply that is late by such a delay is late also if the event loop is blocked.
    """
    with contextlib.suppress(TimeoutError):
        async with reply_timeout(seconds):
            await asyncio.Event().wait()


@contextlib.asynccontextmanager
async def held_up_repeatedly(
    *, seed: int, least: float, most: float
) -> AsyncIterator[None]:
    """Block the event loop again and again for `least` to `most` seconds."""
    rng = random.Random(seed)

    async def repeat() -> None:
        while True:
            await asyncio.sleep(rng.uniform(MIN_GAP, MAX_GAP))
            time.sleep(rng.uniform(least, most))

    repeating = asyncio.create_task(repeat())
    try:
        yield
    finally:
        repeating.cancel()
