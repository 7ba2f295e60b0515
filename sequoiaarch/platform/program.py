"""Build and run a gateway for the users' platform."""

from __future__ import annotations

import asyncio
import os
import random
import sys
from pathlib import Path

import zmq.asyncio

from ..fleet.peers import Peers, PeerServer
from ..ingress.daemon import IngressDaemon, peer_connections
from ..ingress.sources import Sources
from ..observe.events import EventLog, events_written_to
from ..storage.direct import DirectClient
from ..storage.hedged import HedgedClient
from ..storage.relayed import RelayedClient, StorePath
from .documents import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    TARGETS_TOPIC,
    decode_routes,
    decode_target,
)
from .headers import PlatformCallCodec
from .settings import SETTINGS_VARIABLE, read_settings
from .store import PlatformLog

EXIT_INVALID = 2

SOURCES = Sources(
    routes_topic=CONFIG_TOPIC,
    routes_key=CONFIG_KEY,
    targets_topic=TARGETS_TOPIC,
    decode_routes=decode_routes,
    decode_target=decode_target,
)


async def _run_gateway(path: Path, events: EventLog) -> None:
    options = read_settings(path)
    context = zmq.asyncio.Context()
    direct = HedgedClient(client=DirectClient(address=options.store.address))
    peers = Peers(
        context=context,
        own=options.host,
        own_address=options.inner,
        data_centre=options.data_centre,
        seeds=options.seeds,
        rng=random.Random(),
        # Without the setting accounts are spread as by gateways of before.
        capacity=options.capacity if options.place_programs else 0.0,
    )
    client = RelayedClient(
        direct=direct, relay=peers.relay, relay_delay=lambda: direct.relay_delay
    )
    server = PeerServer(
        context=context,
        address=options.inner,
        client=direct,
        reaches_store=lambda: client.path is StorePath.DIRECT,
        max_connections=peer_connections(options),
    )
    server.connections.known = peers.knows_address
    daemon = IngressDaemon(
        options=options,
        keyed_log=PlatformLog(client=client),
        codec=PlatformCallCodec(),
        sources=SOURCES,
        peers=peers,
        reload=lambda: read_settings(path),
        events=events,
        store_path=lambda: client.path,
    )
    server.fallback = daemon.answer_peer
    daemon.peer_connections = server.connections
    server_task = asyncio.create_task(server.run())
    await daemon.run()
    server_task.cancel()
    server.close()
    peers.close()
    context.destroy(linger=0)


def run() -> int:
    """Run the gateway until it is stopped; return the exit code."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    with events_written_to(sys.stdout.fileno()) as events:
        try:
            asyncio.run(_run_gateway(path, events))
        except (OSError, ValueError, zmq.ZMQError) as error:
            events.emit(
                "start", outcome="failed", settings=str(path), reason=str(error)
            )
            return EXIT_INVALID
    return 0
