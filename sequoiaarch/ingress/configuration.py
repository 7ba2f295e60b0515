"""Follow the operator's configuration, and know how old the view of it is."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import logbook

from ..routing.follower import WAIT_SECONDS, TopicFollower, boottime_clock
from ..routing.routes import RouteTable
from ..storage.keyed import KeyedLog, KeyedRecord
from ..workspaces.access import Access
from .sources import Sources

log = logbook.Logger("daemon")

READS_WITHIN_LIMIT = 5


class Configuration:
    """Take over each newer version that can be understood."""

    def __init__(
        self,
        *,
        keyed_log: KeyedLog,
        sources: Sources,
        access: Access,
        changed: Callable[[RouteTable], None],
    ) -> None:
        self._sources = sources
        self._access = access
        self._changed = changed
        self._version: int | None = None
        self._follower = TopicFollower(
            log=keyed_log,
            topic=sources.routes_topic,
            replace=self._take_all,
            change=self._take,
            wait=read_wait(access.limit),
        )
        access.age = lambda: boottime_clock() - self._follower.as_of

    async def follow(self) -> None:
        """Read on for ever."""
        await self._follower.follow()

    def _take_all(self, records: Sequence[KeyedRecord]) -> None:
        for record in records:
            self._take(record)

    def _take(self, record: KeyedRecord) -> None:
        if record.key != self._sources.routes_key or not record.value:
            return
        try:
            routes = self._sources.decode_routes(record.value)
        except ValueError as error:
            log.error("configuration can't be read and is passed over: {}", error)
            return
        if self._version is not None and routes.version <= self._version:
            return
        self._version = routes.version
        self._access.directory = routes.workspaces
        self._changed(routes)
        log.info("version {}: {} routes", routes.version, routes.route_count)


def read_wait(limit: float | None) -> float:
    """Return how long a read may wait for a change where a view counts for a time.

    A view is up to two reads old while all goes well. It has to stay far below the
    limit, so that reads that fail for a second refuse nobody.
    """
    if limit is None:
        return WAIT_SECONDS
    return min(WAIT_SECONDS, limit / READS_WITHIN_LIMIT)
