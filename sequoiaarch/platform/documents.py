"""Decode the operator's configuration and the servers' registrations."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import msgspec

from ..ids import DataCentre, InstanceId, ServiceName, Workspace
from ..routing.routes import (
    ClientLimits,
    EngineTraits,
    Route,
    RouteKind,
    RouteTable,
    Service,
    ServiceShare,
)
from ..routing.targets import TargetEntry
from ..workspaces.directory import Directory, RateLimit, WorkspaceEntry
from .fields import Fields, split_address

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
TARGETS_TOPIC = "keyed.servers"
DRAINING = "draining"
MOST_PORT = 65535


class _Split(Fields, frozen=True):
    service: str
    weight: float


class _Route(Fields, frozen=True):
    name: str
    host: str
    path_prefix: str
    type: RouteKind  # what may be repeated
    timeout_ms: float
    target_latency_ms: float = 1000
    gap_target_ms: float = 0  # longest pause between events
    priority: int = 0
    service: str = ""
    split: list[_Split] = []
    max_attempts: int = 1  # servers that one request may be sent to
    retained: bool = False
    retention_s: float = 60
    sticky: bool = False
    resumable: bool = False
    public: bool = False  # needs no key


class _Runtime(Fields, frozen=True):
    slots: int = 1
    kv_capacity_tokens: int = 0
    chunk_tokens: int = 1  # tokens in each event of a stream


class _Service(Fields, frozen=True):
    name: str
    max_conns: int = 100
    runtime: _Runtime | None = None


class _Limits(Fields, frozen=True):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(Fields, frozen=True):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0  # 0 for no limit
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0


class _Config(Fields, frozen=True):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


class _Registration(Fields, frozen=True):
    service: str
    address: str
    zone: str
    version: str  # of the server's software
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: float
    sequence: int  # orders accepted since its start
    born: Annotated[int, msgspec.Meta(ge=0)] = 0  # Unix milliseconds of its start


def decode_routes(data: bytes) -> RouteTable:
    """Return the routes in a configuration; raises ValueError."""
    config = msgspec.json.decode(data, type=_Config, strict=False)
    limits = ClientLimits(
        header_bytes=config.limits.max_header_bytes,
        body_bytes=config.limits.max_body_bytes,
        header_timeout=config.limits.header_timeout_ms / 1000,
        idle_timeout=config.limits.idle_timeout_ms / 1000,
    )
    return RouteTable(
        version=config.version,
        routes=[_route(one) for one in config.routes],
        services=[_service(one) for one in config.services],
        limits=limits,
        workspaces=_workspaces(config.tenants),
    )


def decode_target(key: str, data: bytes) -> TargetEntry:
    """Return the target in a registration; raises ValueError.

    An entry may come from another writer. One that lacks a field or has it in
    another form names no target: sending to it would cost callers a try.
    """
    found = msgspec.json.decode(data, type=_Registration)
    host, port = split_address(found.address)
    ipaddress.IPv4Address(host)
    if not 0 < port <= MOST_PORT:
        raise ValueError(f"port {port} is out of range")
    if not key or not found.service or not found.zone:
        raise ValueError("key, service or zone is empty")
    return TargetEntry(
        instance=InstanceId(key),
        service=ServiceName(found.service),
        host=host,
        port=port,
        data_centre=DataCentre(found.zone),
        slots=found.slots,
        draining=found.state == DRAINING,
        born=found.born,
    )


def _route(found: _Route) -> Route:
    shares = found.split or [_Split(service=found.service, weight=1)]
    return Route(
        name=found.name,
        host=found.host,
        prefix=found.path_prefix,
        kind=found.type,
        services=tuple(
            ServiceShare(service=ServiceName(one.service), weight=one.weight)
            for one in shares
        ),
        timeout=found.timeout_ms / 1000,
        latency_target=found.target_latency_ms / 1000,
        event_pause=found.gap_target_ms / 1000,
        priority=found.priority,
        max_attempts=found.max_attempts,
        retained=found.retained,
        retention=found.retention_s,
        sticky=found.sticky,
        resumable=found.resumable,
        public=found.public,
    )


def _workspaces(found: list[_Tenant] | None) -> Directory | None:
    if found is None:
        return None
    return Directory(_workspace(one) for one in found)


def _workspace(found: _Tenant) -> WorkspaceEntry:
    limit = None
    if found.rate_per_s:
        limit = RateLimit(rate=found.rate_per_s, burst=found.burst)
    return WorkspaceEntry(
        name=Workspace(found.name),
        keys=frozenset(found.api_keys),
        priority=found.priority,
        limit=limit,
    )


def _service(found: _Service) -> Service:
    runtime = found.runtime
    engine = None
    if runtime is not None:
        engine = EngineTraits(
            slots=runtime.slots,
            cache_tokens=runtime.kv_capacity_tokens,
            event_tokens=runtime.chunk_tokens,
        )
    return Service(
        name=ServiceName(found.name),
        max_connections=found.max_conns,
        engine=engine,
    )
