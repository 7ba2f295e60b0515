"""Follow the operator's configuration and track how stale the local copy is."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import logbook

from ..routing.follower import WAIT_SECONDS, TopicFollower, boottime_clock
from ..routing.routes import RouteTable
from ..storage.keyed import KeyedLog, KeyedRecord
from ..workspaces.access import Access
from .sources import Sources

log = logbook.Logger("daemon")

# A local copy may fail to refresh a few times before it exceeds its age limit.
READS_PER_AGE_LIMIT = 5


class ConfigurationFollower:
    """Apply each newer configuration version that decodes without errors."""

    def __init__(
        self,
        *,
        keyed_log: KeyedLog,
        sources: Sources,
        access: Access,
        on_change: Callable[[RouteTable], None],
    ) -> None:
        self._sources = sources
        self._access = access
        self._on_change = on_change
        self._version: int | None = None
        self._follower = TopicFollower(
            log=keyed_log,
            topic=sources.routes_topic,
            replace=self._apply_all,
            apply=self._apply,
            wait=max_read_wait(access.limit),
        )
        access.age = lambda: boottime_clock() - self._follower.as_of

    async def follow(self) -> None:
        """Follow the configuration topic until cancelled."""
        await self._follower.follow()

    def _apply_all(self, records: Sequence[KeyedRecord]) -> None:
        for record in records:
            self._apply(record)

    def _apply(self, record: KeyedRecord) -> None:
        if record.key != self._sources.routes_key or not record.value:
            return
        try:
            routes = self._sources.decode_routes(record.value)
        except (ValueError, RecursionError) as error:
            log.error("configuration can't be read, ignoring it: {}", error)
            return
        if self._version is not None and routes.version <= self._version:
            return
        self._version = routes.version
        self._access.directory = routes.workspaces
        self._on_change(routes)
        log.info("version {}: {} routes", routes.version, routes.route_count)


def max_read_wait(limit: float | None) -> float:
    """Return the long-poll timeout of reads for an age limit, both in seconds.

    In normal operation the local copy is up to two reads old. That must stay well
    below the limit, so that callers aren't refused after a few failed reads.
    """
    if limit is None:
        return WAIT_SECONDS
    return min(WAIT_SECONDS, limit / READS_PER_AGE_LIMIT)
