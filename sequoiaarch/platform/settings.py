"""Read the platform's settings file."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from ..ids import DataCentre, HostName
from ..ingress.options import IngressOptions, StoreOptions
from ..workspaces.sliding_window import QuotaBounds
from .fields import Fields, split_address

SETTINGS_VARIABLE = "SEQUOIAARCH_SETTINGS"
MIB = 1024 * 1024
# The rest is for clocks of two machines that run at slightly different speeds.
REVOKE_SHARE = 0.95


class _Listen(Fields, frozen=True):
    front: str = ""  # where callers connect
    ready: str = ""  # where the platform asks whether to send callers
    control: str = ""  # where other daemons of the system connect


class _Limits(Fields, frozen=True):
    memory_mb: int = 256
    max_fds: int = 4096


class _Bounds(Fields, frozen=True):
    grace_s: float = 8
    # Whether, and for how long after its removal, a key may still be used.
    revoke_strict: bool = False
    revoke_ms: float = 5000
    # How far a workspace may go over its limit, and in which time.
    quota_window_s: float = 5
    quota_overage: float = 0
    quota_slack: float = 0

    @property
    def quota(self) -> QuotaBounds:
        """Return how far workspaces may go over their limits."""
        return QuotaBounds(
            window=self.quota_window_s,
            overage=self.quota_overage,
            slack=self.quota_slack,
        )

    @property
    def key_age_limit(self) -> float | None:
        """Return up to which age a view of the keys counts, in seconds."""
        if not self.revoke_strict:
            return None
        return self.revoke_ms / 1000 * REVOKE_SHARE


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
        key_age_limit=found.bounds.key_age_limit,
        quota=found.bounds.quota,
        store=StoreOptions(
            address=(store_host, store_port), partitions=found.platform.parts
        ),
    )
