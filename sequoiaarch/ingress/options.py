"""Declare what an ingress daemon has to know at its start."""

from __future__ import annotations

import msgspec

from ..ids import DataCentre, HostName

Address = tuple[str, int]


class StoreOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Set where the store is."""

    address: Address


class IngressOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Set addresses and limits; sizes in bytes, times in seconds.

    `inner_ports` are the first and last port that the daemons may use among
    themselves.
    """

    host: HostName
    data_centre: DataCentre
    address: str
    front: Address
    ready: Address
    inner_ports: tuple[int, int]
    memory_bytes: int
    descriptors: int
    stop_timeout: float
    store: StoreOptions
