"""Run one ingress daemon: followers, ledger and the callers' front."""

from __future__ import annotations

import asyncio
import math
import random
import secrets
import signal
from collections.abc import Callable, Coroutine
from typing import Any

import logbook

from ..fleet.fleet import Fleet, Limits
from ..fleet.peers import Peers
from ..fleet.turn_server import failed
from ..http1.messages import RequestMessage
from ..http1.server import Server
from ..http1.server_link import Reply, ServerLimits
from ..ids import InstanceId, WriterId
from ..ledger.ledger import Ledger
from ..ledger.places import Places
from ..ledger.split import BudgetSplit, PartLent, WholeInLog
from ..ledger.sweeper import Sweeper
from ..ledger.turns import LocalTurns, Turns
from ..observe.events import EventLog
from ..observe.request_metrics import RequestMetrics
from ..policies.engines import NearestFree, PrefixIndex, PrefixPlacement
from ..policies.health import TargetHealth
from ..routing.follower import TopicFollower
from ..routing.registrations import Registrations
from ..routing.routes import ClientLimits, RouteTable
from ..routing.targets import Targets
from ..storage.keyed import KeyedLog
from ..storage.relayed import Way
from ..wire.links import Send
from ..wire.messages import Reply as PeerReply, Request
from ..workspaces.access import Access
from ..workspaces.quotas import Quotas, local_quotas
from ..workspaces.sliding_window import QuotaBounds
from .calls import CallCodec
from .configuration import Configuration, read_wait
from .dispatcher import Dispatcher
from .handler import RequestHandler
from .options import IngressOptions
from .sources import Sources

log = logbook.Logger("daemon")

# Heartbeats of all targets arrive several times a second; a target that drains
# must get nothing new two seconds later. Seconds.
TARGETS_GATHER = 0.3
# The balancer asks once a second and needs two misses; new connections may
# come until then. Seconds.
READY_NOTICE = 2.6
STOP_MARGIN = 1.0
WRITER_BYTES = 6
# Bodies of open requests may take this share of the memory: turns and the
# interpreter need the rest. Connections of callers may take this share of the
# descriptors; those to targets, store and peers need the rest.
HELD_SHARE = 0.15
# Turns of programs that this process meets again need no read of the store.
TURNS_SHARE = 0.1
LINKS_SHARE = 0.6
METRICS_PATH = b"/metrics"
# A process that hears nothing of the fleet keeps its shares of limits for this time
# where keys count for ever. Seconds.
DEFAULT_LEASE = 10.0


class IngressDaemon:
    """Hold the parts of one ingress daemon."""

    def __init__(
        self,
        *,
        options: IngressOptions,
        keyed_log: KeyedLog,
        codec: CallCodec,
        sources: Sources,
        peers: Peers | None = None,
        reload: Callable[[], IngressOptions] | None = None,
        events: EventLog | None = None,
        metrics: RequestMetrics | None = None,
        store_way: Callable[[], Way] = lambda: Way.DIRECT,
    ) -> None:
        self._reload = reload
        self._options = options
        rng = random.Random()
        self.targets = Targets(dropped=self._forget)
        writer = WriterId(secrets.token_hex(WRITER_BYTES))
        # Without peers nobody could borrow, and the lent part would lie idle.
        split: BudgetSplit = WholeInLog() if peers is None else PartLent()
        places = Places(per_topic=options.store.partitions)
        self.ledger = Ledger(
            log=keyed_log,
            writer=writer,
            places=places,
            turn_bytes=int(options.memory_bytes * TURNS_SHARE),
            split=split,
        )
        sweeper = Sweeper(
            log=keyed_log,
            places=places,
            processes=lambda: 1 + (len(peers) if peers is not None else 0),
            rng=rng,
        )
        prefix_index = PrefixIndex()
        health = TargetHealth(own=options.host, rank=self._place)
        access = Access(limit=options.key_age_limit)
        self.dispatcher = Dispatcher(
            codec=codec,
            data_centre=options.data_centre,
            targets=self.targets,
            engines=PrefixPlacement(prefix_index=prefix_index, rng=rng),
            prefix_index=prefix_index,
            plain=NearestFree(rng=rng),
            health=health,
            access=access,
            rng=rng,
        )
        self._metrics = metrics or RequestMetrics()
        self.dispatcher.store_way = store_way
        access.reached = self.dispatcher.store_reached
        bounds = options.quota or QuotaBounds()
        quotas: Quotas = local_quotas(limits=access.limit_of, bounds=bounds)
        turns: Turns = LocalTurns(ledger=self.ledger)
        self._fleet: Fleet | None = None
        if peers is not None:
            self._fleet = Fleet(
                own=options.host,
                writer=writer,
                peers=peers,
                keyed_log=keyed_log,
                ledger=self.ledger,
                split=split,
                health=health,
                limits=Limits(
                    of=access.limit_of,
                    bounds=bounds,
                    lease=options.key_age_limit or DEFAULT_LEASE,
                    wait=read_wait(options.key_age_limit),
                ),
            )
            quotas = self._fleet.quotas
            turns = self._fleet.turns
            self.dispatcher.load.report = self._fleet.reports.tell
        handler = RequestHandler(
            dispatcher=self.dispatcher,
            ledger=self.ledger,
            turns=turns,
            quotas=quotas,
            metrics=self._metrics,
            events=events,
        )
        self.front = Server(
            handle=handler.handle, limits=self._server_limits(ClientLimits())
        )
        self._ready = Server(handle=self._answer_ready, limits=ServerLimits())
        configuration = Configuration(
            keyed_log=keyed_log,
            sources=sources,
            access=access,
            changed=self._take_routes,
        )
        registrations = Registrations(
            decode=sources.decode_target, targets=self.targets
        )
        self._targets_follower = TopicFollower(
            log=keyed_log,
            topic=sources.targets_topic,
            replace=registrations.replace,
            change=registrations.apply,
            batch_delay=TARGETS_GATHER,
            on_lost=self.targets.store_lost,
            on_regained=self.targets.store_regained,
        )
        self.dispatcher.targets_read = lambda: self._targets_follower.read_at
        self._parts: list[Coroutine[Any, Any, None]] = [
            configuration.follow(),
            self._targets_follower.follow(),
            self.ledger.trim(),
            self.ledger.give_back(),
            sweeper.run(),
            self.dispatcher.pool.sweep(),
            self.dispatcher.load.watch(),
        ]
        if events is not None:
            self._parts.append(events.run())
        if self._fleet is not None:
            self._parts += self._fleet.parts(self._longest_retention)
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def ready(self) -> bool:
        """Return whether callers should be sent here."""
        return (
            self.dispatcher.routes is not None
            and len(self.targets) > 0
            and self.dispatcher.store_reached()
            and not self._stopping.is_set()
        )

    async def run(self) -> None:
        """Run until a signal stops the daemon."""
        await self.start()
        await self.run_until_stopped()

    async def run_until_stopped(self) -> None:
        """Wait for the signal that stops the daemon, and stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self._stopping.wait()
        await self.stop()

    def reload(self) -> None:
        """Read the settings again; addresses of this process stay as they are.

        Without a handler the signal ends the process and every request on it.
        """
        if self._reload is None:
            return
        try:
            self._options = self._reload()
        except (OSError, ValueError) as error:
            log.error("settings can't be read, the earlier ones stay: {}", error)
            return
        log.info("settings read again as {}", self._options.host)

    async def start(self) -> None:
        """Listen and begin to follow the store."""
        await self._ready.start(*self._options.ready)
        await self.front.start(*self._options.front)
        self._tasks = [asyncio.create_task(part) for part in self._parts]
        log.info("started as {}, writer {}", self._options.host, self.ledger.writer)

    async def stop(self) -> None:
        """Take no more callers, finish what runs, and end."""
        log.info("stopping: {} connections", len(self.front.links))
        self.front.stopping = True
        if self._fleet is not None:
            self._fleet.refuse_new()
        await asyncio.sleep(READY_NOTICE)
        self.front.stop_accepting()
        left = self._options.stop_timeout - READY_NOTICE - STOP_MARGIN
        drained = await self.front.drained(left, also=self._others_open)
        await self._write_last()
        log.info("stopped, all answered: {}", drained)
        await self.close()

    def _others_open(self) -> bool:
        return self._fleet is not None and self._fleet.open_turns > 0

    async def _write_last(self) -> None:
        """Write what is still queued, as far as the store takes it in time."""
        try:
            async with asyncio.timeout(STOP_MARGIN / 2):
                await self.ledger.flush()
                if self._fleet is not None:
                    await self._fleet.leave()
        except TimeoutError:
            log.warning("stopping with records that were not written")

    async def close(self) -> None:
        """End all parts at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in (self.front, self._ready):
            server.stop_accepting()
            server.abort()
        self.dispatcher.pool.close()
        await self.ledger.close()

    async def _answer_ready(self, message: RequestMessage, reply: Reply) -> None:
        if message.target.split(b"?")[0] == METRICS_PATH:
            headers = [(b"Content-Type", b"text/plain")]
            await reply.whole(200, headers, self.metrics_text())
            return
        await reply.whole(200 if self.ready else 503, [], b"")

    def metrics_text(self) -> bytes:
        """Return all metrics as text."""
        self._measure_state()
        return self._metrics.text()

    async def answer_peer(self, request: Request, send: Send) -> PeerReply:
        """Answer another daemon."""
        if self._fleet is None:
            return failed("this process has no peers")
        return await self._fleet.answer(request, send)

    def _place(self, name: str) -> int:
        """Return this host's place among those of its data centre for a name."""
        return self._fleet.reports.place(name) if self._fleet is not None else 0

    def _longest_retention(self) -> float:
        routes = self.dispatcher.routes
        return routes.longest_retention if routes is not None else math.inf

    def _measure_state(self) -> None:
        routes = self.dispatcher.routes
        state = {
            "ready": float(self.ready),
            "config_version": float(routes.version if routes else 0),
            "targets": float(len(self.targets)),
            "turns": float(self.ledger.turns),
            "connections": float(len(self.front.links)),
            "target_connections_opened": float(self.dispatcher.pool.opened),
        }
        if self._fleet is not None:
            state["loans_lent"] = float(self._fleet.loans.lent)
            state["loans_refused"] = float(self._fleet.loans.refused)
            self._metrics.shares(self._fleet.limiter.free())
        for name, value in state.items():
            self._metrics.state(name, value)

    def _take_routes(self, routes: RouteTable) -> None:
        self.dispatcher.routes = routes
        self.front.limits = self._server_limits(routes.limits)

    def _server_limits(self, limits: ClientLimits) -> ServerLimits:
        return ServerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout=limits.header_timeout,
            idle_timeout=limits.idle_timeout,
            held_bytes=int(self._options.memory_bytes * HELD_SHARE),
            links=int(self._options.descriptors * LINKS_SHARE),
        )

    def _forget(self, instance: InstanceId) -> None:
        self.dispatcher.forget(instance)
