"""Base class and helpers for decoding the platform's documents."""

from __future__ import annotations

import msgspec


class CamelStruct(msgspec.Struct, rename="camel", frozen=True, kw_only=True):
    """Base of documents with camel case fields; unknown fields are ignored."""


def split_address(text: str) -> tuple[str, int]:
    """Return the host and port of an address; raises ValueError."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit()):
        raise ValueError(f"address {text!r} has no port")
    return host, int(port)
