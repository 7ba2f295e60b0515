"""Read the platform's settings file."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from ..ids import DataCentre, HostName
from ..ingress.options import IngressOptions, StoreOptions
from .fields import Fields, split_address

SETTINGS_VARIABLE = "SEQUOIAARCH_SETTINGS"
MIB = 1024 * 1024


class _Listen(Fields, frozen=True):
    front: str = ""  # where callers connect
    ready: str = ""  # where the platform asks whether to send callers
    control: str = ""  # where other daemons of the system connect


class _Limits(Fields, frozen=True):
    memory_mb: int = 256
    max_fds: int = 4096


class _Bounds(Fields, frozen=True):
    grace_s: float = 8


class _Platform(Fields, frozen=True):
    address: str
    parts: int = 12


class _Settings(Fields, frozen=True):
    node_name: str
    ip: str
    zone: str
    internal_port_range: tuple[int, int]
    platform: _Platform
    seeds: list[str] = []  # some daemons' addresses, perhaps of gone ones
    listen: _Listen = _Listen()
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


def read_settings(path: Path) -> IngressOptions:
    """Return the options in the file; raises OSError or ValueError."""
    raw = tomllib.loads(path.read_text("utf-8"))
    found = msgspec.convert(raw, _Settings, strict=False)
    front_host, front_port = split_address(found.listen.front)
    ready_host, ready_port = split_address(found.listen.ready)
    store_host, store_port = split_address(found.platform.address)
    return IngressOptions(
        host=HostName(found.node_name),
        data_centre=DataCentre(found.zone),
        address=found.ip,
        front=(front_host, front_port),
        ready=(ready_host, ready_port),
        inner=found.listen.control or f"{found.ip}:{found.internal_port_range[0]}",
        seeds=found.seeds,
        memory_bytes=found.limits.memory_mb * MIB,
        descriptors=found.limits.max_fds,
        stop_timeout=found.bounds.grace_s,
        store=StoreOptions(
            address=(store_host, store_port), partitions=found.platform.parts
        ),
    )
