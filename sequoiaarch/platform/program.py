"""Put a gateway together for the users' platform, and run it."""

from __future__ import annotations

import asyncio
import os
import random
import sys
from pathlib import Path

import zmq.asyncio

from ..fleet.peers import Peers, PeerServer
from ..ingress.daemon import IngressDaemon
from ..ingress.sources import Sources
from ..observe.events import EventLog, events_to
from ..storage.direct import DirectCaller
from ..storage.hedged import HedgedCaller
from ..storage.relayed import RelayedCaller, Way
from .calls import PlatformCalls
from .documents import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    TARGETS_TOPIC,
    decode_routes,
    decode_target,
)
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
    direct = HedgedCaller(caller=DirectCaller(address=options.store.address))
    peers = Peers(
        context=context,
        own=options.host,
        own_address=options.inner,
        data_centre=options.data_centre,
        seeds=options.seeds,
        rng=random.Random(),
    )
    caller = RelayedCaller(
        direct=direct, relay=peers.relay, silence=lambda: direct.silence
    )
    server = PeerServer(
        context=context,
        address=options.inner,
        caller=direct,
        reaches_store=lambda: caller.way is Way.DIRECT,
    )
    daemon = IngressDaemon(
        options=options,
        keyed_log=PlatformLog(caller=caller),
        codec=PlatformCalls(),
        sources=SOURCES,
        peers=peers,
        reload=lambda: read_settings(path),
        events=events,
        store_way=lambda: caller.way,
    )
    server.fallback = daemon.answer_peer
    serving = asyncio.create_task(server.run())
    await daemon.run()
    serving.cancel()
    server.close()
    peers.close()
    context.destroy(linger=0)


def run() -> int:
    """Run until stopped; return the exit code."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    with events_to(sys.stdout.fileno()) as events:
        try:
            asyncio.run(_run_gateway(path, events))
        except (OSError, ValueError, zmq.ZMQError) as error:
            events.emit(
                "start", outcome="failed", settings=str(path), reason=str(error)
            )
            return EXIT_INVALID
    return 0
