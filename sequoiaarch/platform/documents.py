"""Decode the operator's configuration and the registrations of servers."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import msgspec

from ..ids import (
    DataCentre,
    InstanceId,
    ServiceName,
    SoftwareVersion,
    Workspace,
)
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
from .structs import CamelStruct, split_address

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
TARGETS_TOPIC = "keyed.servers"
DRAINING = "draining"
MAX_PORT = 65535
# Whole numbers beyond this have no exact float, and JSON may hold ones that have none.
MAX_WHOLE = 2**53
MAX_SLOTS = 1_000_000

Whole = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]


class _Split(CamelStruct, frozen=True):
    service: str
    weight: float


class _Route(CamelStruct, frozen=True):
    name: str
    host: str
    path_prefix: str
    type: RouteKind  # whether requests may be retried
    timeout_ms: float
    target_latency_ms: float = 1000
    gap_target_ms: float = 0  # longest pause between events
    priority: Whole = 0
    service: str = ""
    split: list[_Split] = []
    max_attempts: Whole = 1  # attempts per request
    retained: bool = False
    retention_s: float = 60
    sticky: bool = False
    resumable: bool = False
    public: bool = False  # needs no key


class _Runtime(CamelStruct, frozen=True):
    slots: Whole = 1
    kv_capacity_tokens: Whole = 0
    chunk_tokens: Whole = 1  # tokens per stream event


class _Service(CamelStruct, frozen=True):
    name: str
    max_conns: Whole = 100
    runtime: _Runtime | None = None


class _Limits(CamelStruct, frozen=True):
    max_header_bytes: Whole = 16384
    max_body_bytes: Whole = 4 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(CamelStruct, frozen=True):
    name: str
    api_keys: list[str] = []
    priority: Whole | None = None
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0  # 0 means unlimited
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0


class _Config(CamelStruct, frozen=True):
    version: Whole
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


class _Registration(CamelStruct, frozen=True):
    service: str
    address: str
    zone: str
    version: str  # of the server's software
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: float
    sequence: int  # number of orders accepted since its start
    born: Count = 0  # Unix milliseconds of its start


def decode_routes(data: bytes) -> RouteTable:
    """Return the route table in a configuration; raises ValueError."""
    config = msgspec.json.decode(data, type=_Config, strict=False)
    limits = ClientLimits(
        header_bytes=config.limits.max_header_bytes,
        body_bytes=config.limits.max_body_bytes,
        header_timeout=config.limits.header_timeout_ms / 1000,
        idle_timeout=config.limits.idle_timeout_ms / 1000,
    )
    return RouteTable(
        version=config.version,
        routes=[_build_route(route) for route in config.routes],
        services=[_build_service(service) for service in config.services],
        limits=limits,
        workspaces=_build_directory(config.tenants),
    )


def decode_target(key: str, data: bytes) -> TargetEntry:
    """Return the target in a registration; raises ValueError if it is invalid.

    Registrations may come from other writers, so every field is validated.
    """
    registration = msgspec.json.decode(data, type=_Registration)
    host, port = split_address(registration.address)
    ipaddress.IPv4Address(host)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    if not key or not registration.service or not registration.zone:
        raise ValueError("key, service or zone is empty")
    return TargetEntry(
        instance=InstanceId(key),
        service=ServiceName(registration.service),
        host=host,
        port=port,
        data_centre=DataCentre(registration.zone),
        slots=registration.slots,
        version=SoftwareVersion(registration.version),
        draining=registration.state == DRAINING,
        born=registration.born,
    )


def _build_route(route: _Route) -> Route:
    shares = route.split or [_Split(service=route.service, weight=1)]
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        kind=route.type,
        services=tuple(
            ServiceShare(service=ServiceName(share.service), weight=share.weight)
            for share in shares
        ),
        timeout=route.timeout_ms / 1000,
        latency_target=route.target_latency_ms / 1000,
        event_pause=route.gap_target_ms / 1000,
        priority=route.priority,
        max_attempts=route.max_attempts,
        retained=route.retained,
        retention=route.retention_s,
        sticky=route.sticky,
        resumable=route.resumable,
        public=route.public,
    )


def _build_directory(tenants: list[_Tenant] | None) -> Directory | None:
    if tenants is None:
        return None
    return Directory(_build_workspace(tenant) for tenant in tenants)


def _build_workspace(tenant: _Tenant) -> WorkspaceEntry:
    limit = None
    if tenant.rate_per_s:
        limit = RateLimit(rate=tenant.rate_per_s, burst=tenant.burst)
    return WorkspaceEntry(
        name=Workspace(tenant.name),
        keys=frozenset(tenant.api_keys),
        priority=tenant.priority,
        limit=limit,
    )


def _build_service(service: _Service) -> Service:
    runtime = service.runtime
    engine = None
    if runtime is not None:
        engine = EngineTraits(
            slots=runtime.slots,
            cache_tokens=runtime.kv_capacity_tokens,
            event_tokens=runtime.chunk_tokens,
        )
    return Service(
        name=ServiceName(service.name),
        max_connections=service.max_conns,
        engine=engine,
    )
