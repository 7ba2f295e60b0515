"""Declare what an ingress daemon has to know at its start."""

from __future__ import annotations

import msgspec

from ..ids import DataCentre, HostName
from ..workspaces.sliding_window import QuotaBounds

Address = tuple[str, int]


class StoreOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Set where the store is; each of its topics has so many partitions."""

    address: Address
    partitions: int = 1


class IngressOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Set addresses and limits; sizes in bytes, times in seconds.

    Other daemons reach this one at `inner`; `seeds` are such addresses of a
    few of them, some of which may be gone. Keys count up to `key_age_limit` after
    the configuration was last known to hold them; None for ever. `quota` says how far
    workspaces may go over their limits.
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
