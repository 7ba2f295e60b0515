"""Define routes and services and find the route of a request."""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from enum import Enum

import msgspec

from ..ids import ServiceName
from ..workspaces.directory import Directory


class RouteKind(Enum):
    """Tell which requests of a route may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True, kw_only=True):
    """Assign a weighted share of a route's requests to a service."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a route; times are in seconds, priority 0 is the most urgent.

    `event_pause` is the maximum time between two events that callers accept, 0 for
    no limit. A `public` route needs no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[ServiceShare, ...]
    timeout: float
    latency_target: float
    event_pause: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    retained: bool = False
    retention: float = 60.0
    sticky: bool = False
    resumable: bool = False
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.resumable


class EngineTraits(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the model engines of a service; sizes are in tokens."""

    slots: int
    cache_tokens: int
    event_tokens: int


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a service; `max_connections` applies to each target."""

    name: ServiceName
    max_connections: int
    engine: EngineTraits | None = None


class ClientLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limit requests of clients; sizes are in bytes, times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class RouteTable:
    """Hold the routes, services and limits of one configuration version.

    `workspaces` is None if none are configured, so that callers need no key.
    """

    def __init__(
        self,
        *,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        limits: ClientLimits,
        workspaces: Directory | None = None,
    ) -> None:
        self.version = version
        self.limits = limits
        self.workspaces = workspaces
        self.services = {service.name: service for service in services}
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)

    @property
    def route_count(self) -> int:
        """Return the number of routes."""
        return sum(len(host_routes) for host_routes in self._by_host.values())

    @property
    def longest_retention(self) -> float:
        """Return the maximum retention of turns of all routes, in seconds."""
        routes = itertools.chain.from_iterable(self._by_host.values())
        return max((route.retention for route in routes), default=0.0)

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix, if any."""
        for route in self._by_host.get(_without_port(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _without_port(host: str) -> str:
    name = host.lower()
    return name.rsplit(":", 1)[0] if ":" in name else name
