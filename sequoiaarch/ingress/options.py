"""Start-up options of an ingress daemon."""

from __future__ import annotations

import msgspec

from ..ids import DataCentre, HostName
from ..ledger.appender import DEFAULT_LIMITS, AppendLimits
from ..routing.targets import DRAIN_SECONDS
from ..workspaces.sliding_window import QuotaBounds

Address = tuple[str, int]


class StoreOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Address of the store, the number of partitions of each topic, and its limits."""

    address: Address
    partitions: int = 1
    limits: AppendLimits = DEFAULT_LIMITS


class IngressOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses and limits of one daemon; sizes in bytes, times in seconds.

    `inner` is the address for other daemons, and `seeds` are the inner addresses
    of some of them, which may be unreachable. API keys are accepted for
    `key_age_limit` after the configuration was last confirmed, or without limit
    if it is None. `quota` bounds how far workspaces may exceed their limits.
    With `place_programs`, programs are assigned to engines by the owners of these.
    `capacity` is the processor capacity of the host in cores, 0 if it is unknown.
    A target serves for `drain_time` after it has reported that it leaves, and its
    registration expires after `registration_life` without a heartbeat, 0 if unknown.
    """

    host: HostName
    data_centre: DataCentre
    address: str
    front: Address
    ready: Address
    inner: str
    seeds: list[str]
    memory_bytes: int
    descriptors: int
    stop_timeout: float
    store: StoreOptions
    key_age_limit: float | None = None
    quota: QuotaBounds | None = None
    place_programs: bool = False
    capacity: float = 0.0
    drain_time: float = DRAIN_SECONDS
    registration_life: float = 0.0
