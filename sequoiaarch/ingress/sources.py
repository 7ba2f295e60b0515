"""Topics that the platform writes and gateways read."""

from __future__ import annotations

from collections.abc import Callable

from ..routing.routes import RouteTable
from ..routing.targets import TargetEntry


class Sources:
    """Names and record decoders of the topics that the platform writes."""

    def __init__(
        self,
        *,
        routes_topic: str,
        routes_key: str,
        targets_topic: str,
        decode_routes: Callable[[bytes], RouteTable],
        decode_target: Callable[[str, bytes], TargetEntry],
    ) -> None:
        self.routes_topic = routes_topic
        self.routes_key = routes_key
        self.targets_topic = targets_topic
        self.decode_routes = decode_routes
        self.decode_target = decode_target
