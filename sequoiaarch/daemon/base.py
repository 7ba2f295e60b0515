"""Components that the gateway and the sidecar share."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import zmq.asyncio

from ..config.follower import ConfigFollower
from ..config.settings import Settings
from ..config.store import (
    Catalogue,
    ConfigSnapshot,
    ConfigView,
    decode_config,
    encode_config,
)
from ..ids import HostName, RecordId, TargetName, new_id
from ..membership.view import Membership
from ..observe.decisions import Decisions
from ..observe.metrics import Metrics
from ..observe.traces import Tracing
from ..shards.client import LocalShards, ShardClient
from ..storage.http import HttpClient, HttpHostList, HttpLog
from ..storage.interfaces import AppendLog, HostList
from ..storage.memory import MemoryHostList
from ..wire.links import CurveKeys, Links
from ..wire.messages import ConfigReply, ConfigRequest

MAX_CONFIG_PEERS = 3
PEER_TIMEOUT = 2.0  # seconds


@dataclass(frozen=True, kw_only=True)
class PlatformServices:
    """The append log and the host list that the platform provides."""

    log: AppendLog
    hosts: HostList | None
    clients: tuple[HttpClient, ...] = ()

    def close(self) -> None:
        """Close the threads and connections of the clients."""
        for client in self.clients:
            client.close()


def connect_platform(settings: Settings) -> PlatformServices:
    """Connect to the platform services given in the settings."""
    assert settings.platform.log is not None
    clients = [HttpClient(url=settings.platform.log)]
    log = HttpLog(client=clients[0])
    hosts: HostList | None = None
    if settings.platform.hosts is not None:
        clients.append(HttpClient(url=settings.platform.hosts, threads=2))
        hosts = HttpHostList(client=clients[-1])
    return PlatformServices(log=log, hosts=hosts, clients=tuple(clients))


def fixed_hosts(settings: Settings) -> HostList:
    """Return a host list that contains only the own host."""
    return MemoryHostList(hosts=[HostName(settings.host)])


def curve_keys(settings: Settings) -> CurveKeys | None:
    """Return the CURVE keys of connections between daemons, None if not set."""
    curve = settings.inner.curve
    if curve is None:
        return None
    return CurveKeys(public=curve.public, secret=curve.secret, server=curve.server)


@dataclass(kw_only=True)
class Core:
    """Components that every gateway and sidecar needs."""

    settings: Settings
    context: zmq.asyncio.Context
    platform: PlatformServices
    links: Links
    metrics: Metrics
    tracing: Tracing
    decisions: Decisions
    config_view: ConfigView
    catalogue: Catalogue
    config_follower: ConfigFollower
    membership: Membership
    local_shards: LocalShards
    shards: ShardClient
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self) -> None:
        """Start following the configuration and the host list."""
        self.tasks.append(asyncio.create_task(self.config_follower.run()))
        self.tasks.append(asyncio.create_task(self.membership.run()))

    def config_reply(self) -> ConfigReply:
        """Return the current configuration for a peer."""
        snapshot = self.config_view.snapshot(RecordId(new_id("config")))
        return ConfigReply(snapshot=encode_config(snapshot))

    def close(self) -> None:
        """Cancel all tasks and close all connections."""
        for task in self.tasks:
            task.cancel()
        self.membership.close()
        self.local_shards.close()
        self.links.close()
        self.platform.close()


def make_core(
    settings: Settings,
    *,
    name: str,
    own_target: TargetName | None,
    context: zmq.asyncio.Context,
    platform: PlatformServices,
) -> Core:
    """Create the shared components; `own_target` is None for a gateway."""
    metrics = Metrics()
    links = Links(
        context=context,
        keys=curve_keys(settings),
        silence_limit=settings.inner.silence_limit,
    )
    view = ConfigView()
    catalogue = Catalogue(view=view)
    membership = Membership(
        catalogue=catalogue, hosts=platform.hosts, links=links, metrics=metrics
    )

    async def fetch_peer_configs() -> list[ConfigSnapshot]:
        member_addresses = list(membership.sidecar_addresses().values())
        addresses = [*settings.peers, *member_addresses][:MAX_CONFIG_PEERS]
        calls = [
            links.to(address).call(ConfigRequest(), timeout=PEER_TIMEOUT)
            for address in addresses
        ]
        snapshots = []
        for reply in await asyncio.gather(*calls):
            if isinstance(reply, ConfigReply):
                record = decode_config(reply.snapshot)
                if isinstance(record, ConfigSnapshot):
                    snapshots.append(record)
        return snapshots

    follower = ConfigFollower(
        log_service=platform.log,
        view=view,
        ask_peers=fetch_peer_configs,
        metrics=metrics,
    )
    local_shards = LocalShards(
        log_service=platform.log,
        interval=settings.limits.append_interval,
        metrics=metrics,
    )
    shards = ShardClient(
        shards=settings.shards,
        local=local_shards,
        links=links,
        peers=membership.sidecar_addresses,
        own_target=own_target,
    )
    return Core(
        settings=settings,
        context=context,
        platform=platform,
        links=links,
        metrics=metrics,
        tracing=Tracing(name=name),
        decisions=Decisions(),
        config_view=view,
        catalogue=catalogue,
        config_follower=follower,
        membership=membership,
        local_shards=local_shards,
        shards=shards,
    )
