"""Choose targets and hold what all requests share."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from ..ids import DataCentre, InstanceId, ServiceName
from ..policies.engines import (
    EngineCandidate,
    EnginePlacement,
    PrefixIndex,
    PromptShape,
)
from ..policies.health import TargetHealth, first_event_due
from ..policies.retries import RetryBudget, RetryPolicy, attempt_timeout
from ..policies.starts import DeadlineBoundedWait, Start, StartPolicy
from ..policies.urgency import DeadlineUrgency, ProgramProgress, Urgency
from ..routing.routes import Route, RouteTable
from ..routing.targets import TargetEntry, Targets
from ..storage.relayed import Way
from ..workspaces.access import Access
from .calls import CallCodec, CallInfo
from .load import LoadBoard
from .pool import TargetPool


class Dispatcher:
    """Hold the targets, connections and load, and place requests."""

    def __init__(
        self,
        *,
        codec: CallCodec,
        data_centre: DataCentre,
        targets: Targets,
        engines: EnginePlacement,
        prefix_index: PrefixIndex,
        plain: EnginePlacement,
        health: TargetHealth,
        access: Access,
        rng: random.Random,
    ) -> None:
        self.codec = codec
        self.access = access
        self.pool = TargetPool()
        self.load = LoadBoard(health=health)
        self.retries: RetryPolicy = RetryBudget()
        self.routes: RouteTable | None = None
        self.targets_read: Callable[[], float] = lambda: 0.0
        self.store_way: Callable[[], Way] = lambda: Way.DIRECT
        self._data_centre = data_centre
        self._targets = targets
        self._engines = engines
        self._prefix_index = prefix_index
        self._plain = plain
        self._urgency: Urgency = DeadlineUrgency()
        self._starts: StartPolicy = DeadlineBoundedWait(rng=rng)
        self._rng = rng
        # Requests on connections that a target still holds would be lost with it.
        # On new ones they go on to the next target if it does not answer.
        health.on_ejected = self.pool.forget

    def choose(
        self, route: Route, info: CallInfo, tried: set[InstanceId]
    ) -> tuple[TargetEntry | None, str]:
        """Return the target for a request among those not yet tried, and why."""
        service = self._service(route)
        entries = [
            entry
            for entry in self._targets.of(service)
            if entry.incarnation not in tried
        ]
        if not entries:
            return None, ""
        choices = [self._choice(entry) for entry in entries]
        policy = self._engines if route.sticky else self._plain
        instance, reason = policy.choose(_shape(info), choices)
        chosen = next(entry for entry in entries if entry.incarnation == instance)
        return chosen, reason

    def refuse_start(self, route: Route, info: CallInfo) -> float | None:
        """Return when a new program should come back; None to let it start."""
        service = self._service(route)
        waits = [self.load.wait(one.incarnation) for one in self._targets.of(service)]
        if not waits:
            return None
        start = Start(
            wait=max(min(waits), self.load.usual),
            left=info.program_deadline,
            latency_target=route.latency_target,
        )
        return self._starts.refuse(start)

    def sent(
        self, entry: TargetEntry, route: Route, info: CallInfo, request: object
    ) -> None:
        """Note that a target owes a request its answer, or the first event of it."""
        if not route.sticky:
            within = attempt_timeout(route.latency_target)
            self.load.expects(entry.incarnation, request, within)
            return
        shape = _shape(info)
        reading = self._prefix_index.prefill_seconds(entry.incarnation, shape)
        self._prefix_index.record(entry.incarnation, shape)
        self.load.awaits_first(entry.incarnation, request, reading)
        within = reading + first_event_due(route.latency_target, self.load.longest)
        self.load.expects(entry.incarnation, request, within)

    def forget(self, instance: InstanceId) -> None:
        """Forget what was learned of a target that has left.

        Instances come and go for as long as the process runs.
        """
        self.load.forget(instance)
        self.pool.forget(instance)
        self._prefix_index.forget(instance)

    def store_reached(self) -> bool:
        """Return whether the store served this process lately, by any way."""
        return self.store_way() is not Way.NONE

    def targets_age(self) -> float:
        """Return the seconds since the list of targets was read."""
        return asyncio.get_running_loop().time() - self.targets_read()

    def event_tokens(self, service: ServiceName) -> int:
        """Return the tokens in each event of a service's streams."""
        found = self.routes.services.get(service) if self.routes else None
        if found is None or found.engine is None:
            return 1
        return found.engine.event_tokens

    def urgency(
        self, route: Route, info: CallInfo, rank: int, spent: float
    ) -> int | None:
        """Return the urgency of a request at an engine; None for others."""
        if not route.sticky:
            return None
        progress = ProgramProgress(rank=rank, left=info.program_deadline, spent=spent)
        return self._urgency.of(progress)

    def _service(self, route: Route) -> ServiceName:
        if len(route.services) == 1:
            return route.services[0].service
        weights = [share.weight for share in route.services]
        return self._rng.choices(route.services, weights)[0].service

    def _choice(self, entry: TargetEntry) -> EngineCandidate:
        return EngineCandidate(
            instance=entry.incarnation,
            slots=max(1, entry.slots),
            running=self.load.running(entry.incarnation),
            wait=self.load.wait(entry.incarnation),
            failing=self.load.failing(entry.incarnation),
            near=entry.data_centre == self._data_centre,
        )


def _shape(info: CallInfo) -> PromptShape:
    parts = tuple((one.part, one.tokens) for one in info.prefix)
    last = parts[-1][0] if parts else ""
    return PromptShape(parts=parts, owner=info.program or last)
