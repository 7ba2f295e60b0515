"""Read the platform's settings file."""

from __future__ import annotations

import math
import tomllib
from pathlib import Path
from typing import Annotated, Any

import logbook
import msgspec

from ..ids import DataCentre, HostName
from ..ingress.options import IngressOptions, StoreOptions
from ..ledger.appender import DEFAULT_LIMITS, AppendLimits
from ..workspaces.sliding_window import QuotaBounds
from .structs import CamelStruct, split_address

log = logbook.Logger("settings")

SETTINGS_VARIABLE = "SEQUOIAARCH_SETTINGS"
MIB = 1024 * 1024
# Part of the rules for deployments whose callers compete for too little room.
PRESSURE = "pressure"
# Fraction of the platform's limit for the age of keys; the rest is a margin for clock
# drift between hosts.
KEY_AGE_FRACTION = 0.95
# Registrations expire after this many intervals without a heartbeat.
SILENT_HEARTBEATS = 3
# Bytes; a record holds a few ids besides its content.
MIN_RECORD_BYTES = 4096
# Digits of a capacity in cores: equal products of different factors stay equal.
CAPACITY_DIGITS = 3


class _Listen(CamelStruct, frozen=True):
    front: str = ""  # address for callers
    ready: str = ""  # address of the readiness probe
    control: str = ""  # address for other daemons


class _Limits(CamelStruct, frozen=True):
    memory_mb: int = 256
    max_fds: int = 4096
    # Capacity of the host, unknown without both. Checked on use, since an invalid
    # figure must not prevent the start.
    cpu_share: Any = None  # share of the processor that this process may use
    cores: Any = None


class _Bounds(CamelStruct, frozen=True):
    grace_s: float = 8
    # How long a target serves after it has reported that it leaves.
    drain_ms: float = 2000
    # Whether a removed key must be refused, and within which time.
    revoke_strict: bool = False
    revoke_ms: float = 5000
    # How far a workspace may exceed its rate limit, and in which window.
    quota_window_s: float = 5
    quota_overage: float = 0
    quota_slack: float = 0

    @property
    def quota(self) -> QuotaBounds:
        """Return how far workspaces may exceed their rate limits."""
        return QuotaBounds(
            window=self.quota_window_s,
            overage=self.quota_overage,
            slack=self.quota_slack,
        )

    @property
    def drain_time(self) -> float:
        """Return the seconds for which a leaving target serves on."""
        return self.drain_ms / 1000

    @property
    def key_age_limit(self) -> float | None:
        """Return the maximum age of the local copy of the keys, in seconds."""
        if not self.revoke_strict:
            return None
        return self.revoke_ms / 1000 * KEY_AGE_FRACTION


class _Platform(CamelStruct, frozen=True):
    address: str
    parts: int = 12
    record_bytes: Annotated[int, msgspec.Meta(ge=MIN_RECORD_BYTES)] = (
        DEFAULT_LIMITS.record
    )
    call_bytes: Annotated[int, msgspec.Meta(ge=MIN_RECORD_BYTES)] = DEFAULT_LIMITS.call


class _Settings(CamelStruct, frozen=True):
    node_name: str
    ip: str
    zone: str
    internal_port_range: tuple[int, int]
    platform: _Platform
    contracts: list[str] = []  # parts of the rules that are in force
    seeds: list[str] = []  # addresses of some daemons; may be outdated
    heartbeat_ms: Annotated[float, msgspec.Meta(ge=0)] = 0  # of targets; 0 if unknown
    listen: _Listen = _Listen()
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


def read_settings(path: Path) -> IngressOptions:
    """Return the options in the file; raises OSError or ValueError."""
    raw = tomllib.loads(path.read_text("utf-8"))
    settings = msgspec.convert(raw, _Settings, strict=False)
    front_host, front_port = split_address(settings.listen.front)
    ready_host, ready_port = split_address(settings.listen.ready)
    store_host, store_port = split_address(settings.platform.address)
    return IngressOptions(
        host=HostName(settings.node_name),
        data_centre=DataCentre(settings.zone),
        address=settings.ip,
        front=(front_host, front_port),
        ready=(ready_host, ready_port),
        inner=settings.listen.control
        or f"{settings.ip}:{settings.internal_port_range[0]}",
        seeds=settings.seeds,
        memory_bytes=settings.limits.memory_mb * MIB,
        descriptors=settings.limits.max_fds,
        stop_timeout=settings.bounds.grace_s,
        drain_time=settings.bounds.drain_time,
        registration_life=SILENT_HEARTBEATS * settings.heartbeat_ms / 1000,
        key_age_limit=settings.bounds.key_age_limit,
        quota=settings.bounds.quota,
        place_programs=PRESSURE in settings.contracts,
        capacity=_capacity(settings.limits),
        store=StoreOptions(
            address=(store_host, store_port),
            partitions=settings.platform.parts,
            limits=AppendLimits(
                record=settings.platform.record_bytes,
                call=settings.platform.call_bytes,
            ),
        ),
    )


def _capacity(limits: _Limits) -> float:
    """Return the capacity of the host in cores; 0 if it is unknown or invalid."""
    figures = {"cpuShare": limits.cpu_share, "cores": limits.cores}
    if all(value is None for value in figures.values()):
        return 0.0
    for name, value in figures.items():
        if value is None:
            log.warning("capacity is unknown: limits.{} is missing", name)
            return 0.0
        if not _is_positive(value):
            log.warning(
                "capacity is unknown: limits.{} is {!r}, not a positive number",
                name,
                value,
            )
            return 0.0
    capacity = round(
        float(limits.cpu_share) * float(limits.cores), ndigits=CAPACITY_DIGITS
    )
    if not _is_positive(capacity):
        log.warning(
            "capacity is unknown: {} in limits give {} cores", figures, capacity
        )
        return 0.0
    return capacity


def _is_positive(value: object) -> bool:
    """Return whether a value is a finite number above 0."""
    try:
        number = msgspec.convert(value, float, strict=False)
    except msgspec.ValidationError:
        return False
    return math.isfinite(number) and number > 0
