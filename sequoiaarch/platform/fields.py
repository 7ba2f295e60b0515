"""Hold what all decoded documents of the platform share."""

from __future__ import annotations

import msgspec


class Fields(msgspec.Struct, rename="camel", frozen=True, kw_only=True):
    """Accept fields that are not known."""


def split_address(text: str) -> tuple[str, int]:
    """Return host and port of an address; raises ValueError."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit()):
        raise ValueError(f"no port in {text!r}")
    return host, int(port)
