"""Run background tasks and restart those that fail."""

from __future__ import annotations

import asyncio
import math
from collections import Counter, defaultdict
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any

import logbook

log = logbook.Logger("background")

# Seconds before a failed task starts again, doubled with each failure in a row.
MIN_PAUSE = 0.1
MAX_PAUSE = 5.0
# Failures that are further apart are not in a row. Longer than the maximum pause.
# Seconds.
SOUND_SECONDS = 10.0
# Failures in a row after which a task counts as unable to go on.
MAX_FAILURES = 3

Factory = Callable[[], Coroutine[Any, Any, None]]


@dataclass(kw_only=True)
class _Failures:
    """Failures of a task in a row, and the time of the last one."""

    count: int = 0
    last: float = -math.inf


class BackgroundTasks:
    """Background tasks of a process, each of which is restarted when it fails.

    A task that dies in silence would leave the process running by an old state.
    """

    def __init__(self) -> None:
        # Failures since the start by the name of the task.
        self.failures: Counter[str] = Counter()
        self._in_a_row: dict[str, _Failures] = defaultdict(_Failures)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def sound(self) -> bool:
        """Return whether no task has failed again and again until now."""
        since = asyncio.get_running_loop().time() - SOUND_SECONDS
        return all(
            failures.count < MAX_FAILURES or failures.last < since
            for failures in self._in_a_row.values()
        )

    def start(self, factories: Iterable[Factory]) -> None:
        """Start a task for each coroutine function, which is named after it."""
        for factory in factories:
            self._tasks.append(asyncio.create_task(self._keep_running(factory)))

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _keep_running(self, factory: Factory) -> None:
        name = getattr(factory, "__qualname__", repr(factory))
        while True:
            try:
                await factory()
                return
            except Exception:
                pause = self._count_failure(name)
                log.exception("{} failed and starts again in {:.1f} s", name, pause)
            await asyncio.sleep(pause)

    def _count_failure(self, name: str) -> float:
        """Count a failure of a task; return the seconds until it starts again."""
        now = asyncio.get_running_loop().time()
        failures = self._in_a_row[name]
        if failures.last < now - SOUND_SECONDS:
            failures.count = 0
        failures.count += 1
        failures.last = now
        self.failures[name] += 1
        pause: float = MIN_PAUSE * 2 ** (failures.count - 1)
        return min(pause, MAX_PAUSE)
