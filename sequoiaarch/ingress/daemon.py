"""The ingress daemon: HTTP servers, store followers and background tasks."""

from __future__ import annotations

import asyncio
import functools
import math
import random
import secrets
import signal
from collections.abc import Callable

import logbook
import msgspec

from ..background import BackgroundTasks, Factory
from ..fleet.exposures import Admission, ExposureTracker, TargetEnd
from ..fleet.fleet import Fleet, PlacementOptions, QuotaOptions
from ..fleet.peers import Peers
from ..fleet.placement_service import PlacementService
from ..fleet.turn_server import failure_reply
from ..http1.delivery import UndeliveredResponse
from ..http1.memory import ClosedConnection, HeldMemory
from ..http1.messages import RequestMessage
from ..http1.server import Server
from ..http1.server_connection import ResponseWriter, ServerLimits
from ..ids import InstanceId, RequestKey, WriterId
from ..ledger.ledger import Ledger
from ..ledger.partition_map import PartitionMap
from ..ledger.split import BudgetSplit, LendingSplit, LogOnlySplit
from ..ledger.sweeper import Sweeper
from ..ledger.turns import LocalTurns, Turns
from ..observe.events import EventLog
from ..observe.placement_events import log_decision
from ..observe.request_metrics import RequestMetrics
from ..policies.engines import NearestFree, PrefixIndex, PrefixPlacement
from ..policies.exposures import describe
from ..policies.health import TargetHealth
from ..routing.follower import TopicFollower, boottime_clock
from ..routing.list_age import ListAge
from ..routing.registrations import Registrations
from ..routing.routes import ClientLimits, RouteTable
from ..routing.targets import TargetEntry, Targets
from ..storage.keyed import KeyedLog
from ..storage.relayed import StorePath
from ..wire.accepted import AcceptedConnections
from ..wire.links import Send
from ..wire.messages import Reply as PeerReply, Request
from ..workspaces.access import Access
from ..workspaces.quotas import Quotas, local_quotas
from ..workspaces.sliding_window import QuotaBounds
from .calls import CallCodec
from .configuration import ConfigurationFollower, max_read_wait
from .dispatcher import Dispatcher
from .handler import RequestHandler
from .options import IngressOptions
from .refusals import RefusalLog, front_counts, peer_counts
from .sources import Sources

log = logbook.Logger("daemon")

# Seconds over which target updates are batched, and for which a read of them waits. A
# list that nothing changes is renewed by each read, and so is up to 1.3 s old.
TARGETS_BATCH_DELAY = 0.3
TARGETS_WAIT = 0.5
# Seconds from becoming unready until the load balancer sends no new connections: it
# probes once a second and needs two failed probes.
UNREADY_NOTICE = 2.6
# Seconds of the stop timeout left to write queued records and close.
STOP_RESERVE = 1.0
WRITER_BYTES = 6
# Fraction of the memory for the bodies of open requests.
BODY_MEMORY_FRACTION = 0.15
# Fraction of the memory for all that is held for callers and targets, including the
# bodies of open requests. Python, the settings and the programs need about 25 MB of
# the smallest limit, 128 MB, and a body is copied while it is parsed or sent.
HELD_MEMORY_FRACTION = 0.35
# Fraction of the memory for the cache of committed turns.
TURN_MEMORY_FRACTION = 0.1
# Fractions of the file descriptors for connections of callers and for open requests,
# each of which may need a connection to a target, and for connections of peers. The
# store, files and own connections to peers need the rest.
CALLER_CONNECTIONS_FRACTION = 0.4
REQUESTS_FRACTION = 0.15
PEER_CONNECTIONS_FRACTION = 0.15
# Fractions of the memory for the fixed parts of connections and of open requests, and
# bytes of one of them.
CONNECTION_MEMORY_FRACTION = 0.08
CONNECTION_BYTES = 12 * 1024
REQUEST_MEMORY_FRACTION = 0.12
REQUEST_BYTES = 40 * 1024
# The readiness address serves probes and operators only.
READY_LIMITS = ServerLimits(
    header_bytes=8 * 1024, body_bytes=8 * 1024, links=32, requests=32
)
METRICS_PATH = b"/metrics"
EXPOSURES_PATH = b"/exposures"
# Seconds for which a process that can't read the registrations still owns its shares
# of rate limits, where keys have no age limit.
DEFAULT_LEASE = 10.0


class IngressDaemon:
    """Build, run and stop the components of one ingress daemon."""

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
        store_path: Callable[[], StorePath] = lambda: StorePath.DIRECT,
    ) -> None:
        self._reload = reload
        self._options = options
        rng = random.Random()
        self.targets = Targets(
            clock=boottime_clock,
            dropped=self._forget_target,
            drain_time=options.drain_time,
            registration_life=options.registration_life,
        )
        writer = WriterId(secrets.token_hex(WRITER_BYTES))
        # Without peers nobody could borrow the part of budgets that is lent.
        split: BudgetSplit = LogOnlySplit() if peers is None else LendingSplit()
        partition_map = PartitionMap(per_topic=options.store.partitions)
        self.ledger = Ledger(
            log=keyed_log,
            writer=writer,
            partition_map=partition_map,
            turn_bytes=int(options.memory_bytes * TURN_MEMORY_FRACTION),
            split=split,
            limits=options.store.limits,
        )
        sweeper = Sweeper(
            log=keyed_log,
            partition_map=partition_map,
            processes=lambda: 1 + (len(peers) if peers is not None else 0),
            rng=rng,
        )
        prefix_index = PrefixIndex()
        health = TargetHealth(own=options.host, rank=self._host_rank)
        access = Access(limit=options.key_age_limit)
        self.dispatcher = Dispatcher(
            codec=codec,
            data_centre=options.data_centre,
            targets=self.targets,
            engine_placement=PrefixPlacement(prefix_index=prefix_index, rng=rng),
            prefix_index=prefix_index,
            service_placement=NearestFree(rng=rng),
            health=health,
            exposures=ExposureTracker(own=options.host),
            access=access,
            rng=rng,
        )
        self._metrics = metrics or RequestMetrics()
        self.dispatcher.store_path = store_path
        access.reached = self.dispatcher.store_reachable
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
                exposures=self.dispatcher.exposures,
                quota_options=QuotaOptions(
                    of=access.limit_of,
                    bounds=bounds,
                    lease=options.key_age_limit or DEFAULT_LEASE,
                    wait=max_read_wait(options.key_age_limit),
                ),
                placement_options=PlacementOptions(
                    data_centre=options.data_centre,
                    engines=self.dispatcher.engines,
                    centre_of=self.dispatcher.centre_of,
                    service_of=self.dispatcher.service_of,
                    always=options.place_programs,
                ),
            )
            self.dispatcher.placements = self._fleet.placements
            self.dispatcher.origins = self._fleet.origins
            if events is not None:
                self._fleet.placements.owner.on_decision = functools.partial(
                    log_decision, events, options.host
                )
            quotas = self._fleet.quotas
            turns = self._fleet.turns
            self.dispatcher.load.report = self._fleet.reports.broadcast
        handler = RequestHandler(
            dispatcher=self.dispatcher,
            ledger=self.ledger,
            turns=turns,
            quotas=quotas,
            metrics=self._metrics,
            events=events,
        )
        self._events = events
        self.memory = HeldMemory(limit=held_limit(options))
        self.memory.on_close = self._log_closed
        self.front = Server(
            handle=handler.handle,
            limits=self._server_limits(ClientLimits()),
            memory=self.memory,
        )
        self.front.on_undelivered = self._log_undelivered
        self._ready = Server(
            handle=self._handle_ready, limits=READY_LIMITS, memory=self.memory
        )
        configuration = ConfigurationFollower(
            keyed_log=keyed_log,
            sources=sources,
            access=access,
            on_change=self._apply_routes,
        )
        registrations = Registrations(
            decode=sources.decode_target, targets=self.targets
        )
        self._targets_follower = TopicFollower(
            log=keyed_log,
            topic=sources.targets_topic,
            replace=registrations.replace,
            apply=registrations.apply,
            batch_delay=TARGETS_BATCH_DELAY,
            wait=TARGETS_WAIT,
            on_lost=self._targets_lost,
            on_regained=self._targets_regained,
            on_read=self._targets_read,
        )
        self._targets_path = StorePath.NONE
        # Connections of peers, for the log and the metrics.
        self.peer_connections: AcceptedConnections | None = None
        self.targets.age = lambda: boottime_clock() - self._targets_follower.as_of
        self.targets.on_leaving = self._metrics.observe_leaving_known
        self.targets.on_left = self._target_left
        self.dispatcher.exposures.on_end = self._log_end
        self.dispatcher.exposures.on_admission = self._log_admission
        self.dispatcher.exposures.registered = self.targets.registered
        self.dispatcher.targets_read = lambda: self._targets_path
        self.dispatcher.list_age = ListAge(
            topic=self._targets_follower,
            age=self.targets.age,
            drain_time=options.drain_time,
        )
        self.background = BackgroundTasks()
        self._background: list[Factory] = [
            configuration.follow,
            self._targets_follower.follow,
            self.ledger.run_trim,
            self.ledger.run_release,
            sweeper.run,
            self.dispatcher.pool.run_close_expired,
            self.dispatcher.load.watch,
        ]
        if events is not None:
            self._background.append(events.run)
            refusals = RefusalLog(events=events, counts=self._refusal_counts)
            self._background.append(refusals.run)
        if self._fleet is not None:
            self._background += self._fleet.background_tasks(self._longest_retention)
        self._stopping = asyncio.Event()

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        return (
            self.dispatcher.routes is not None
            and len(self.targets) > 0
            and self.dispatcher.store_reachable()
            and not self._stopping.is_set()
            and self.background.sound
        )

    @property
    def ready_port(self) -> int:
        """Return the port of the ready address."""
        return self._ready.port

    async def run(self) -> None:
        """Start the daemon and run it until SIGTERM or SIGINT."""
        await self.start()
        await self.run_until_stopped()

    async def run_until_stopped(self) -> None:
        """Wait for SIGTERM or SIGINT, and stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self._stopping.wait()
        await self.stop()

    def reload(self) -> None:
        """Reload the settings on SIGHUP; listening addresses don't change."""
        if self._reload is None:
            return
        try:
            self._options = self._reload()
        except (OSError, ValueError) as error:
            log.error("settings can't be read, keeping the previous ones: {}", error)
            return
        self.memory.limit = held_limit(self._options)
        log.info("settings reloaded as {}", self._options.host)

    async def start(self) -> None:
        """Start listening and the background tasks."""
        await self._ready.start(*self._options.ready)
        await self.front.start(*self._options.front)
        self.background.start(self._background)
        log.info("started as {}, writer {}", self._options.host, self.ledger.writer)

    async def stop(self) -> None:
        """Drain: refuse new connections, finish open requests, and close."""
        log.info("stopping with {} open connections", len(self.front.connections))
        self.front.stopping = True
        if self._fleet is not None:
            self._fleet.refuse_new()
        await asyncio.sleep(UNREADY_NOTICE)
        self.front.stop_accepting()
        remaining = self._options.stop_timeout - UNREADY_NOTICE - STOP_RESERVE
        drained = await self.front.wait_drained(
            remaining, other_work=self._peer_turns_open
        )
        await self._flush_records()
        log.info("stopped, all requests answered: {}", drained)
        await self.close()

    def _peer_turns_open(self) -> bool:
        return self._fleet is not None and self._fleet.open_turns > 0

    async def _flush_records(self) -> None:
        """Write queued records to the store, with a short timeout."""
        try:
            async with asyncio.timeout(STOP_RESERVE / 2):
                await self.ledger.flush()
                if self._fleet is not None:
                    await self._fleet.leave()
        except TimeoutError:
            log.warning("stopping before all records were written")

    async def close(self) -> None:
        """Cancel all tasks and close all connections."""
        await self.background.stop()
        for server in (self.front, self._ready):
            server.stop_accepting()
            server.finish()
        self.dispatcher.end_checks.close()
        self.dispatcher.pool.close()
        await self.ledger.close()

    async def _handle_ready(
        self, message: RequestMessage, writer: ResponseWriter
    ) -> None:
        path = message.target.split(b"?")[0]
        if path == METRICS_PATH:
            headers = [(b"Content-Type", b"text/plain")]
            await writer.send_response(200, headers, self.metrics_text())
            return
        if path.startswith(EXPOSURES_PATH):
            await self._handle_exposures(message.method, path, writer)
            return
        await writer.send_response(200 if self.ready else 503, [], b"")

    async def _handle_exposures(
        self, method: bytes, path: bytes, writer: ResponseWriter
    ) -> None:
        """List the requests that targets did not answer, or clear one of them."""
        tracker = self.dispatcher.exposures
        headers = [(b"Content-Type", b"application/json")]
        key = path.removeprefix(EXPOSURES_PATH).removeprefix(b"/").decode("latin-1")
        if method == b"GET" and not key:
            body = msgspec.json.encode({"requests": tracker.describe()})
            await writer.send_response(200, headers, body)
            return
        try:
            known = method == b"DELETE" and tracker.clear(
                RequestKey(bytes.fromhex(key))
            )
        except ValueError:
            known = False
        if known:
            log.info("request {} is cleared by an operator", key)
        await writer.send_response(200 if known else 404, headers, b"{}")

    def metrics_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self._update_gauges()
        return self._metrics.text()

    async def answer_peer(self, request: Request, send: Send) -> PeerReply:
        """Answer a request from another daemon."""
        if self._fleet is None:
            return failure_reply("this process has no peers")
        return await self._fleet.answer(request, send)

    def _host_rank(self, name: str) -> int:
        """Return this host's rank in its data centre for a name, 0 first."""
        return self._fleet.reports.rank(name) if self._fleet is not None else 0

    def _longest_retention(self) -> float:
        routes = self.dispatcher.routes
        return routes.longest_retention if routes is not None else math.inf

    def _log_closed(self, closed: ClosedConnection) -> None:
        if self._events is None:
            return
        self._events.emit(
            "memory",
            id=closed.request,
            message="closed the caller connection that holds most",
            held=closed.held,
            total=closed.total,
            limit=closed.limit,
        )

    def _log_undelivered(self, response: UndeliveredResponse) -> None:
        self._metrics.count_undelivered(response.ended_by.value)
        if self._events is None:
            return
        self._events.emit(
            "undelivered",
            id=response.request,
            ended_by=response.ended_by.value,
            reason=response.reason,
            written=response.written,
            undelivered=response.undelivered,
            stalled=response.stalled,
        )

    def _log_end(self, end: TargetEnd) -> None:
        self._metrics.count_end(end.evidence)
        if self._events is None:
            return
        self._events.emit(
            "target_end",
            request_key=end.key.hex(),
            target=end.target,
            evidence=end.evidence,
            age=round(end.age, 3),
            ends=end.ends,
        )

    def _target_left(self, entry: TargetEntry, evidence: str) -> None:
        target = entry.incarnation
        if self._events is not None:
            self._events.emit("target_left", target=target, evidence=evidence)
        self.dispatcher.exposures.target_left(target, evidence)
        self.dispatcher.end_checks.target_left(entry, evidence)

    def _log_admission(self, admission: Admission) -> None:
        verdict = admission.verdict
        self._metrics.count_admission(
            allowed=verdict is None, known_by_all=admission.answered == admission.hosts
        )
        if self._events is None:
            return
        now = asyncio.get_running_loop().time()
        self._events.emit(
            "exposed_send",
            request_key=admission.key.hex(),
            target=admission.target,
            exposures=describe(admission.exposures, now),
            hosts=admission.hosts,
            answered=admission.answered,
            logged=admission.logged,
            sent=verdict is None,
            **({} if verdict is None else {"retry_after": verdict.retry_after}),
        )

    def _refusal_counts(self) -> dict[str, int]:
        ready = front_counts(self._ready)
        return {
            **front_counts(self.front),
            **peer_counts(self.peer_connections),
            "ready_refused": sum(ready.values()),
            "closed_for_memory": self.memory.closed,
        }

    def _update_gauges(self) -> None:
        self.memory.count_buffers()
        routes = self.dispatcher.routes
        state = {
            "ready": float(self.ready),
            "config_version": float(routes.version if routes else 0),
            "targets": float(len(self.targets)),
            "targets_age": self.targets.age(),
            "turns": float(self.ledger.turns),
            "connections": float(len(self.front.connections)),
            "requests_open": float(self.front.open_requests),
            "target_connections_opened": float(self.dispatcher.pool.opened),
            "held_bytes": float(self.memory.total),
            "held_bytes_largest": float(self.memory.largest),
            **{name: float(n) for name, n in self._refusal_counts().items()},
            "task_failures": float(self.background.failures.total()),
            "requests_exposed": float(len(self.dispatcher.exposures.table)),
            "requests_exposed_dropped": float(self.dispatcher.exposures.table.dropped),
        }
        if self._fleet is not None:
            state["loans_lent"] = float(self._fleet.loans.loans_lent)
            state["exposure_messages_omitted"] = float(self._fleet.exposures.omitted)
            state["stream_origins"] = float(len(self._fleet.origins))
            state["stream_origins_uncopied"] = float(self._fleet.origins.uncopied)
            state["loans_refused"] = float(self._fleet.loans.loans_refused)
            self._metrics.set_shares(self._fleet.limiter.free())
            self._update_placement_gauges(self._fleet.placements)
            state["programs_to_retry"] = float(
                len(self._fleet.placements.owner.book.returns)
            )
        for name, value in state.items():
            self._metrics.set_state(name, value)

    def _update_placement_gauges(self, placements: PlacementService) -> None:
        owner = placements.owner
        now = asyncio.get_running_loop().time()
        active = placements.active
        self._metrics.set_engines(
            owner.loads(now) if active and placements.is_owner else []
        )
        centre = self._options.data_centre
        self._metrics.set_engine_owner(
            centre, placements.owner_of(centre) if active else None
        )
        self._metrics.set_placements(
            {
                "granted": owner.granted,
                "refused": owner.refused,
                "redirected": owner.redirected,
            }
        )

    def _apply_routes(self, routes: RouteTable) -> None:
        self.dispatcher.routes = routes
        self.front.limits = self._server_limits(routes.limits)

    def _server_limits(self, limits: ClientLimits) -> ServerLimits:
        memory, descriptors = self._options.memory_bytes, self._options.descriptors
        connection_memory = memory * CONNECTION_MEMORY_FRACTION
        request_memory = memory * REQUEST_MEMORY_FRACTION
        return ServerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout=limits.header_timeout,
            idle_timeout=limits.idle_timeout,
            held_bytes=int(memory * BODY_MEMORY_FRACTION),
            links=int(
                min(
                    descriptors * CALLER_CONNECTIONS_FRACTION,
                    connection_memory / CONNECTION_BYTES,
                )
            ),
            requests=int(
                min(descriptors * REQUESTS_FRACTION, request_memory / REQUEST_BYTES)
            ),
        )

    def _targets_read(self, since: float) -> None:
        self._targets_path = self.dispatcher.store_path()
        now = asyncio.get_running_loop().time()
        self.dispatcher.exposures.targets_listed(now - self.targets.age())

    def _targets_lost(self) -> None:
        self.targets.store_lost()
        self.dispatcher.exposures.store_lost()

    def _targets_regained(self) -> None:
        self.targets.store_regained()
        self.dispatcher.exposures.store_regained()

    def _forget_target(self, instance: InstanceId) -> None:
        self.dispatcher.forget(instance)


def peer_connections(options: IngressOptions) -> int:
    """Return the limit of the connections from other gateways."""
    return int(options.descriptors * PEER_CONNECTIONS_FRACTION)


def held_limit(options: IngressOptions) -> int:
    """Return the limit of the bytes held for callers and targets."""
    return int(options.memory_bytes * HELD_MEMORY_FRACTION)
