"""Target selection and the state that all requests share."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Set

import msgspec
import xxhash

from ..fleet.engine_owner import Engine
from ..fleet.exposures import ExposureTracker
from ..fleet.placement_service import PlacementService
from ..fleet.stream_origins import LocalOrigins, StreamOrigins
from ..ids import DataCentre, InstanceId, ServiceName
from ..policies.engines import (
    FAILURE_RATE_MARGIN,
    EngineCandidate,
    EnginePlacement,
    PrefixIndex,
    PromptShape,
)
from ..policies.health import TargetHealth, first_event_due
from ..policies.program_placement import ProgramDemand
from ..policies.retries import RetryBudget, RetryPolicy, attempt_timeout
from ..policies.starts import DeadlineBoundedWait, Start, StartPolicy, max_turn_wait
from ..policies.stream_origins import Origin
from ..policies.urgency import DeadlineUrgency, ProgramProgress, Urgency
from ..routing.list_age import ListAge, ListState
from ..routing.routes import Route, RouteTable
from ..routing.targets import TargetEntry, Targets
from ..storage.relayed import StorePath
from ..workspaces.access import Access, Caller
from .calls import CallCodec, RequestInfo
from .end_checks import EndChecks
from .load import LoadTracker
from .pool import ConnectionPool

# Services whose events can be counted, with those that have left.
MAX_SERVICES_REMEMBERED = 10_000
# Seconds for which the list of engines that take programs is kept.
ENGINES_LIFE = 0.1


class Dispatcher:
    """Select targets by their load, health and cached prompt prefixes."""

    def __init__(
        self,
        *,
        codec: CallCodec,
        data_centre: DataCentre,
        targets: Targets,
        engine_placement: EnginePlacement,
        prefix_index: PrefixIndex,
        service_placement: EnginePlacement,
        health: TargetHealth,
        exposures: ExposureTracker,
        access: Access,
        rng: random.Random,
    ) -> None:
        self.codec = codec
        self.access = access
        self.exposures = exposures
        self.pool = ConnectionPool()
        self.end_checks = EndChecks(exposures=exposures, targets=targets)
        self.load = LoadTracker(health=health)
        self.retries: RetryPolicy = RetryBudget()
        self._routes: RouteTable | None = None
        # Tokens in each event by service, also of services that have left.
        self._event_tokens: dict[ServiceName, int] = {}
        self.placements: PlacementService | None = None
        self.origins: StreamOrigins = LocalOrigins()
        # Without a bound if the targets are not followed.
        self.list_age: ListAge | None = None
        # How the list of targets was last read.
        self.targets_read: Callable[[], StorePath] = lambda: StorePath.DIRECT
        self.store_path: Callable[[], StorePath] = lambda: StorePath.DIRECT
        self._data_centre = data_centre
        self._targets = targets
        self._engine_placement = engine_placement
        self._prefix_index = prefix_index
        self._service_placement = service_placement
        self._urgency: Urgency = DeadlineUrgency()
        self._starts: StartPolicy = DeadlineBoundedWait(rng=rng)
        self._rng = rng
        self._engines: dict[ServiceName, list[Engine]] = {}
        self._engines_until = -math.inf
        self._engines_version: tuple[int, RouteTable | None] = (-1, None)
        # Requests on pooled connections to an unhealthy target would be lost. If a
        # new connection fails, the request moves on to the next target.
        health.on_ejected = self.pool.forget

    @property
    def routes(self) -> RouteTable | None:
        """Return the newest routes; None before the first are known."""
        return self._routes

    @routes.setter
    def routes(self, routes: RouteTable | None) -> None:
        self._routes = routes
        for name, settings in routes.services.items() if routes is not None else ():
            self._event_tokens.pop(name, None)
            if settings.engine is not None:
                self._event_tokens[name] = settings.engine.event_tokens
        while len(self._event_tokens) > MAX_SERVICES_REMEMBERED:
            del self._event_tokens[next(iter(self._event_tokens))]

    def choose(
        self,
        route: Route,
        info: RequestInfo,
        tried: set[InstanceId],
        home: InstanceId | None = None,
        origin: Origin | None = None,
        *,
        exposed: Set[InstanceId] = frozenset(),
    ) -> tuple[TargetEntry | None, str]:
        """Return an untried target for a request and the reason for the choice.

        `home` is the engine that the request's program was assigned to. A stream with
        an `origin` goes on only at its version. If targets may have ended under the
        request, `exposed` ones, it goes where an end would break the fewest others.
        """
        if origin is None:
            entries = self._targets.of(self._service_for(route, home))
        else:
            entries = self.targets_of_origin(route, origin)
        entries = [entry for entry in entries if entry.incarnation not in tried]
        if not entries:
            return None, ""
        if exposed:
            others = [entry for entry in entries if entry.incarnation not in exposed]
            entries = others or entries
            running = {
                entry.incarnation: self.load.running(entry.incarnation)
                for entry in entries
            }
            least = min(running.values())
            entries = [e for e in entries if running[e.incarnation] == least]
        candidates = [self._engine_candidate(entry) for entry in entries]
        if route.sticky and self.placements is not None and self.placements.uneven:
            candidates = self._with_slowdowns(candidates)
        policy = self._engine_placement if route.sticky else self._service_placement
        instance, reason = policy.choose(_prompt_shape(info, home), candidates)
        chosen = next(entry for entry in entries if entry.incarnation == instance)
        return chosen, reason

    def count_untried(self, route: Route, tried: set[InstanceId]) -> int:
        """Return how many targets of a route were not tried."""
        return sum(
            entry.incarnation not in tried
            for share in route.services
            for entry in self._targets.of(share.service)
        )

    def count_targets(self, route: Route) -> int:
        """Return how many targets of a route may take new work."""
        return self.count_untried(route, set())

    def targets_of_origin(self, route: Route, origin: Origin) -> list[TargetEntry]:
        """Return the targets at which a stream of a route may go on.

        If all of its version drain, those that have just begun to do so.
        """
        if origin.service not in [share.service for share in route.services]:
            return []
        for entries in (
            self._targets.of(origin.service),
            self._targets.leaving(origin.service),
        ):
            same = [entry for entry in entries if entry.version == origin.version]
            if same:
                return same
        return []

    async def renew_targets(self) -> ListState:
        """Return whether requests may be sent by the list of targets.

        Reads it first if it is too old.
        """
        if self.list_age is None:
            return ListState.RECENT
        return await self.list_age.renewed()

    @property
    def targets_too_old(self) -> bool:
        """Return whether the list of targets is too old to send a request by it."""
        return self.list_age is not None and self.list_age.state is ListState.TOO_OLD

    def may_send(self, target: TargetEntry, origin: Origin | None) -> bool:
        """Return whether a request may still be sent to the target chosen for it."""
        return self._targets.may_take(target, begun=origin is not None)

    def origin_at(self, target: TargetEntry) -> Origin | None:
        """Return the origin of a stream that began at a target.

        None if the target has registered another version since it was chosen.
        """
        registered = self._targets.find(target.instance)
        if registered is not None and registered.version != target.version:
            return None
        return Origin(service=target.service, version=target.version)

    def start_retry_after(self, route: Route, info: RequestInfo) -> float | None:
        """Return the retry delay for a new program, or None to admit it."""
        service = self._pick_service(route)
        waits = [
            self.load.expected_wait(entry.incarnation)
            for entry in self._targets.of(service)
        ]
        if not waits:
            return None
        start = Start(
            wait=max(min(waits), self.load.lower_quartile_wait),
            left=info.program_deadline,
            latency_target=route.latency_target,
        )
        return self._starts.refuse(start)

    def request_sent(
        self, entry: TargetEntry, route: Route, info: RequestInfo, request: object
    ) -> None:
        """Start tracking when the first event or response of a request is due."""
        if not route.sticky:
            timeout = attempt_timeout(route.latency_target)
            self.load.expect_within(entry.incarnation, request, timeout)
            return
        shape = _prompt_shape(info)
        prefill_seconds = self._prefix_index.prefill_seconds(entry.incarnation, shape)
        self._prefix_index.record(entry.incarnation, shape)
        self.load.track_first_event(entry.incarnation, request, prefill_seconds)
        timeout = prefill_seconds + first_event_due(
            route.latency_target, self.load.longest_wait
        )
        self.load.expect_within(entry.incarnation, request, timeout)

    def forget(self, instance: InstanceId) -> None:
        """Discard all state of a target that has left."""
        self.load.forget(instance)
        self.pool.forget(instance)
        self._prefix_index.forget(instance)
        if self.placements is not None:
            self.placements.forget(instance)

    def store_reachable(self) -> bool:
        """Return whether the store is reachable, directly or through a peer."""
        return self.store_path() is not StorePath.NONE

    def targets_age(self) -> float:
        """Return the age of the target list, in seconds."""
        return self._targets.age()

    def describe_send(self, target: TargetEntry) -> str:
        """Return what a request to a target rests on, for the request log."""
        return (
            f"{target.instance} sent: {self._targets.describe(target.instance)}, list"
            f" {self.targets_age():.2f} s old, read {self.targets_read().value}"
        )

    def event_tokens(self, service: ServiceName) -> int:
        """Return the number of tokens in each stream event of a service.

        Turns go on at a service that the newest routes don't list any more.
        """
        return self._event_tokens.get(service, 1)

    def urgency(
        self, route: Route, info: RequestInfo, priority: int, budget_used: float
    ) -> int | None:
        """Return the urgency of a request to an engine; None for other services."""
        if not route.sticky:
            return None
        progress = ProgramProgress(
            rank=priority, left=info.program_deadline, spent=budget_used
        )
        return self._urgency.of(progress)

    def _service_for(self, route: Route, home: InstanceId | None) -> ServiceName:
        """Return the service of the home engine, or one drawn by the weights."""
        service = None if home is None else self._targets.service_of(home)
        if service in [share.service for share in route.services]:
            assert service is not None
            return service
        return self._pick_service(route)

    def _pick_service(self, route: Route) -> ServiceName:
        if len(route.services) == 1:
            return route.services[0].service
        weights = [share.weight for share in route.services]
        return self._rng.choices(route.services, weights)[0].service

    def _service_of_program(self, route: Route, info: RequestInfo) -> ServiceName:
        """Return the service for a program, in proportion to the weights.

        A program that changed its service with each turn would change its engine.
        """
        total = sum(share.weight for share in route.services)
        point = xxhash.xxh32_intdigest(info.program.encode()) / 2**32 * total
        for share in route.services:
            point -= share.weight
            if point < 0:
                return share.service
        return route.services[-1].service

    def demand(
        self, route: Route, info: RequestInfo, caller: Caller
    ) -> ProgramDemand | None:
        """Return what a program that begins needs; None if no owner places it."""
        placements = self.placements
        if placements is None or not placements.active or not route.sticky:
            return None
        start = Start(
            wait=0.0, left=info.program_deadline, latency_target=route.latency_target
        )
        rank = route.priority if caller.priority is None else caller.priority
        return ProgramDemand(
            service=self._service_of_program(route, info),
            max_wait=max_turn_wait(start),
            tokens=info.prompt_tokens,
            left=info.program_deadline,
            latency_target=route.latency_target,
            rank=rank,
            workspace=caller.workspace,
            refusable=placements.refuses,
        )

    def engines(self, service: ServiceName) -> list[Engine]:
        """Return the engines of a service that take programs.

        Each turn asks for them. The list is kept for a moment, as the failure rates
        change with time.
        """
        now = asyncio.get_running_loop().time()
        version = self._targets.version, self.routes
        if now >= self._engines_until or version != self._engines_version:
            self._engines.clear()
            self._engines_until = now + ENGINES_LIFE
            self._engines_version = version
        if service not in self._engines:
            self._engines[service] = self._engines_now(service)
        return self._engines[service]

    def _engines_now(self, service: ServiceName) -> list[Engine]:
        settings = self.routes.services.get(service) if self.routes else None
        if settings is None or settings.engine is None:
            return []
        entries = self._targets.of(service)
        failing = {
            entry.incarnation: self.load.failure_rate(entry.incarnation)
            for entry in entries
        }
        least = min(failing.values(), default=0.0)
        return [
            Engine(
                instance=entry.incarnation,
                data_centre=entry.data_centre,
                slots=max(1, entry.slots),
                cache_tokens=max(0, settings.engine.cache_tokens),
            )
            for entry in entries
            if failing[entry.incarnation] <= least + FAILURE_RATE_MARGIN
        ]

    def service_of(self, instance: InstanceId) -> ServiceName | None:
        """Return the service of a registered engine; None for other targets."""
        service = self._targets.service_of(instance)
        if service is None or self.routes is None:
            return None
        settings = self.routes.services.get(service)
        return service if settings is not None and settings.engine else None

    def centre_of(self, instance: InstanceId) -> DataCentre | None:
        """Return the data centre of an instance."""
        return self._targets.centre_of(instance)

    def _with_slowdowns(
        self, candidates: list[EngineCandidate]
    ) -> list[EngineCandidate]:
        """Return the candidates with how much longer a turn takes there."""
        assert self.placements is not None
        slowdowns = self.placements.slowdowns()
        return [
            msgspec.structs.replace(
                candidate, slowdown=slowdowns.get(candidate.instance, 0.0)
            )
            for candidate in candidates
        ]

    def _engine_candidate(self, entry: TargetEntry) -> EngineCandidate:
        return EngineCandidate(
            instance=entry.incarnation,
            slots=max(1, entry.slots),
            running=self.load.running(entry.incarnation),
            wait=self.load.expected_wait(entry.incarnation),
            failing=self.load.failure_rate(entry.incarnation),
            near=entry.data_centre == self._data_centre,
        )


def _prompt_shape(info: RequestInfo, home: InstanceId | None = None) -> PromptShape:
    parts = tuple((part.part, part.tokens) for part in info.prefix)
    last = parts[-1][0] if parts else ""
    return PromptShape(parts=parts, owner=info.program or last, home=home)
