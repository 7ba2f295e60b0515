"""Find the home of a program and relay its calls."""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import logbook
import msgspec

from ..config.documents import PlacementName, TargetDocument, TargetType, matches
from ..daemon.base import Core
from ..errors import ErrorKind, Failure, FailureError, NotRun, fail
from ..ids import ProgramId, TargetName
from ..policies.placement import Candidate, Choice, Placing, make_placement
from ..records.types import ProgramSpec, ProgramState
from ..wire.messages import (
    CallAdmitted,
    CallKind,
    CallRequest,
    Chunk,
    Committed,
    Done,
    Failed,
    ProgramOrder,
    RecoverRequest,
)
from .copies import TurnCopies

log = logbook.Logger("gateway")

HINTS_KEPT = 200_000
RETRY_FIRST = 0.02
RETRY_LIMIT = 0.5
RETRY_SECONDS = 15.0
RETRY_RESERVE = 10.0
RETRIED = {
    ErrorKind.MOVED,
    ErrorKind.STOPPING,
    ErrorKind.INTERRUPTED,
    ErrorKind.SUPERSEDED,
}
MOVING = {PlacementName.AFFINITY, PlacementName.STICKY}
BYTES_A_TOKEN = 4
ORDER_TIMEOUT = 10.0
RECOVER_SECONDS = 600.0

Emit = Callable[[Chunk | Done | Failure], None]


@dataclass(frozen=True, kw_only=True)
class Route:
    """Say which sidecar gets a call and which target should run it."""

    home: TargetName
    target: TargetName | None
    previous_home: TargetName | None
    previous_silent: bool
    reason: str


class RetryBudget:
    """Allow retries in proportion to calls, so that a fault is not amplified."""

    def __init__(self, *, share: float) -> None:
        self._share = share
        self._tokens = RETRY_RESERVE

    def earn(self) -> None:
        """Count one call."""
        self._tokens = min(RETRY_RESERVE * 10, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one retry if one is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Router:
    """Relay calls to homes, and place programs that have none."""

    def __init__(self, *, core: Core, rng: random.Random) -> None:
        self._core = core
        self._rng = rng
        self._hints: OrderedDict[ProgramId, TargetName] = OrderedDict()
        self._copies = TurnCopies(limit=core.settings.limits.uncommitted_bytes)
        self._retries = RetryBudget(share=core.settings.limits.retry_budget)
        self._open = 0
        self._recovering: dict[ProgramId, asyncio.Task[None]] = {}

    @property
    def open_calls(self) -> int:
        """Return the calls that are being relayed or recovered."""
        return self._open + len(self._recovering)

    @property
    def pending_programs(self) -> int:
        """Return the programs of which uncommitted turns are held here."""
        return self._copies.programs

    async def run(self, call: CallRequest, emit: Emit, *, known: bool) -> None:
        """Run a call to its end; `known` says that the program may exist."""
        self._open += 1
        try:
            await self._run(call, emit, known)
        except FailureError as error:
            emit(error.failure)
        except Exception as error:
            log.exception("Relaying a call of {} failed.", call.program)
            emit(Failure(kind=ErrorKind.INTERNAL, reason=repr(error)))
        finally:
            self._open -= 1

    async def _run(self, call: CallRequest, emit: Emit, known: bool) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        self._retries.earn()
        if self._copies.full:
            raise fail(
                ErrorKind.LOG_UNAVAILABLE,
                "turns that the log has not taken fill the buffer",
            )
        avoid: set[TargetName] = set()
        delay = RETRY_FIRST
        while True:
            route = await self._route(call, known, avoid)
            left = call.deadline - (loop.time() - begun)
            request = msgspec.structs.replace(
                call,
                target=route.target,
                previous_home=route.previous_home,
                previous_silent=route.previous_silent,
                pending=self._copies.of(call.program),
                deadline=max(0.01, left),
                reason=route.reason,
            )
            failure = await self._attempt(route.home, request, emit)
            if failure is None:
                return
            known = True
            if not self._may_retry(failure, call, loop.time() - begun):
                raise FailureError(failure)
            if failure.kind is ErrorKind.TARGET_FAILED:
                avoid.add(route.target or route.home)
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
            delay = min(delay * 2, RETRY_LIMIT)

    def _may_retry(self, failure: Failure, call: CallRequest, spent: float) -> bool:
        if spent > min(RETRY_SECONDS, call.deadline):
            return False
        not_run = failure.run_state is NotRun.YES
        harmless = not_run or call.kind is CallKind.MODEL
        failed = failure.kind is ErrorKind.TARGET_FAILED and harmless
        if failure.kind not in RETRIED and not failed:
            return False
        if not_run:
            # Nothing was done, so asking elsewhere adds no load.
            return True
        return self._retries.spend()

    async def _attempt(
        self, home: TargetName, request: CallRequest, emit: Emit
    ) -> Failure | None:
        """Send a call to a sidecar; return a failure if nothing was emitted."""
        core = self._core
        address = core.membership.address(home)
        if address is None:
            return Failure(kind=ErrorKind.MOVED, reason=f"target {home} is gone")
        core.membership.note_sent(home)
        emitted = False
        done = False
        async for reply in core.links.to(address).stream(request):
            if isinstance(reply, CallAdmitted):
                self._note_home(request.program, home)
            elif isinstance(reply, Chunk):
                emitted = True
                emit(reply)
            elif isinstance(reply, Done):
                done = True
                core.membership.note_load(reply.load)
                if reply.turn is not None:
                    self._copies.add(request.program, reply.turn)
                emit(reply)
            elif isinstance(reply, Committed):
                self._copies.committed(request.program, reply.seq)
            elif isinstance(reply, Failed):
                self._note_failure(home, request.program, reply)
                if done:
                    self._recover_later(request)
                    return None
                if not emitted:
                    return reply.failure
                emit(_broken(reply.failure))
                return None
        return None

    def _recover_later(self, request: CallRequest) -> None:
        """See to it that a turn is kept whose home was lost before its commit.

        The caller has its answer and may never ask here again, or ask through
        another gateway that has no copy.
        """
        if request.program in self._recovering:
            return
        task = asyncio.create_task(self._recover(request))
        self._recovering[request.program] = task
        task.add_done_callback(lambda _: self._recovering.pop(request.program, None))

    async def _recover(self, request: CallRequest) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + RECOVER_SECONDS
        while loop.time() < deadline:
            turns = self._copies.of(request.program)
            if not turns:
                return
            try:
                state = await self.locate(request.program)
                if state is None or state.ended is not None:
                    break
                if state.seq < turns[-1].seq:
                    order = RecoverRequest(
                        program=request.program, spec=request.spec, pending=turns
                    )
                    await self.order_at_home(state, order)
                self._copies.committed(request.program, turns[-1].seq)
                return
            except FailureError as error:
                log.info("Turns of {} wait: {}.", request.program, error)
            await asyncio.sleep(RETRY_LIMIT)
        # A copy that nobody can take must not fill the buffer for ever.
        log.warning("Turns of {} are given up.", request.program)
        self._copies.drop(request.program)

    def _note_home(self, program: ProgramId, home: TargetName) -> None:
        self._hints[program] = home
        self._hints.move_to_end(program)
        while len(self._hints) > HINTS_KEPT:
            self._hints.popitem(last=False)

    def _note_failure(
        self, home: TargetName, program: ProgramId, reply: Failed
    ) -> None:
        self._core.membership.note_load(reply.load)
        if reply.failure.kind is ErrorKind.INTERRUPTED:
            self._core.membership.note_silent(home)
        if reply.failure.kind in RETRIED:
            self._hints.pop(program, None)

    def forget(self, program: ProgramId) -> None:
        """Drop the hint of a program that ended."""
        self._hints.pop(program, None)

    # Placement.

    async def locate(self, program: ProgramId) -> ProgramState | None:
        """Return what the log says of a program, or fail."""
        state = await self._core.shards.state(program)
        if isinstance(state, Failure):
            raise FailureError(state)
        return state

    async def _route(
        self, call: CallRequest, known: bool, avoid: set[TargetName]
    ) -> Route:
        home = self._hints.get(call.program)
        if home is None and known:
            state = await self.locate(call.program)
            if state is not None:
                self._check(state, call)
                home = state.home or None
        if call.kind is CallKind.SERVICE:
            return self._route_service(call, home)
        return self._route_model(call, home, avoid)

    def _check(self, state: ProgramState, call: CallRequest) -> None:
        if state.spec.workspace != call.spec.workspace:
            raise fail(ErrorKind.NOT_FOUND, "no such program")

    def _route_service(self, call: CallRequest, home: TargetName | None) -> Route:
        """Choose the home only; it chooses the target of the service."""
        document = self._core.catalogue.target(home) if home else None
        if home and document and self._core.membership.answers(document):
            return Route(
                home=home,
                target=call.target,
                previous_home=None,
                previous_silent=False,
                reason="at home there",
            )
        candidates = self._home_candidates(call)
        choice = self._place(call, None, candidates)
        return self._routed(choice, home, call.target)

    def _home_candidates(self, call: CallRequest) -> list[Candidate]:
        found = self._model_candidates(call, set())
        if not found:
            found = [
                self._candidate(target)
                for target in self._core.catalogue.targets
                if self._core.membership.takes_work(target)
            ]
        if not found:
            raise fail(ErrorKind.NO_TARGET, "no target takes work now")
        return found

    def _route_model(
        self, call: CallRequest, home: TargetName | None, avoid: set[TargetName]
    ) -> Route:
        candidates = self._model_candidates(call, avoid)
        if not candidates:
            raise fail(ErrorKind.NO_TARGET, "no target of this model takes work now")
        choice = self._place(call, home, candidates)
        policy = self._core.catalogue.policy_for(call.spec.labels)
        document = self._core.catalogue.target(home) if home else None
        stays = document is not None and self._core.membership.answers(document)
        if policy.placement not in MOVING and home and stays:
            return Route(
                home=home,
                target=choice.target,
                previous_home=None,
                previous_silent=False,
                reason=choice.reason,
            )
        return self._routed(choice, home, choice.target)

    def _routed(
        self, choice: Choice, home: TargetName | None, target: TargetName | None
    ) -> Route:
        moved = home is not None and home != choice.target
        silent = home is not None and self._core.membership.silent(home)
        return Route(
            home=choice.target,
            target=target,
            previous_home=home if moved else None,
            previous_silent=silent,
            reason=choice.reason,
        )

    def _place(
        self,
        call: CallRequest,
        home: TargetName | None,
        candidates: list[Candidate],
    ) -> Choice:
        policy = self._core.catalogue.policy_for(call.spec.labels)
        placing = Placing(
            home=home,
            context_tokens=len(call.body) // BYTES_A_TOKEN,
            latency_weight=policy.latency_weight,
        )
        placement = make_placement(policy.placement, self._rng)
        choice = placement.choose(placing, candidates)
        self._core.decisions.note(
            call.program, "placement", choice.target, choice.reason
        )
        return choice

    def _model_candidates(
        self, call: CallRequest, avoid: set[TargetName]
    ) -> list[Candidate]:
        document = self._core.catalogue.program(call.spec.name)
        if document is None:
            return []
        found = []
        for target in self._core.catalogue.targets:
            spec = target.spec
            if spec.type is not TargetType.ENGINE or spec.model != document.spec.model:
                continue
            if not matches(document.spec.targets, target.labels):
                continue
            name = TargetName(target.name)
            if name in avoid:
                continue
            if self._core.membership.takes_work(target):
                found.append(self._candidate(target))
        return found

    def _candidate(self, target: TargetDocument) -> Candidate:
        membership = self._core.membership
        name = TargetName(target.name)
        return Candidate(
            target=name,
            slots=target.spec.slots,
            load=membership.load(name),
            sent=membership.sent_since(name),
            distance=self._distance(target.spec.data_centre),
            age=membership.report_age(name),
        )

    def _distance(self, data_centre: str) -> float:
        settings = self._core.settings
        if data_centre == settings.data_centre:
            return 0.0
        return settings.near.get(data_centre, 0.0)

    async def order_at_home(self, state: ProgramState, order: ProgramOrder) -> None:
        """Give an order to the home of a program, or to a new one."""
        membership = self._core.membership
        document = self._core.catalogue.target(state.home) if state.home else None
        if document is not None and membership.answers(document):
            try:
                await self.order(state.home, order)
                return
            except FailureError as error:
                if error.failure.kind is not ErrorKind.INTERRUPTED:
                    raise
        home = self.spec_home(state.spec, state.program)
        silent = state.home or None
        await self.order(home, msgspec.structs.replace(order, silent_home=silent))

    async def order(self, home: TargetName, order: ProgramOrder) -> None:
        """Give an order to a sidecar, or fail as it does."""
        address = self._core.membership.address(home)
        if address is None:
            raise fail(ErrorKind.NO_TARGET, f"target {home} is gone")
        link = self._core.links.to(address)
        reply = await link.call(order, timeout=ORDER_TIMEOUT)
        if isinstance(reply, Failed):
            if reply.failure.kind is ErrorKind.INTERRUPTED:
                self._core.membership.note_silent(home)
            raise FailureError(reply.failure)

    def spec_home(self, spec: ProgramSpec, program: ProgramId) -> TargetName:
        """Return where a new program should be created."""
        call = CallRequest(program=program, spec=spec, kind=CallKind.SERVICE)
        return self._place(call, None, self._home_candidates(call)).target


def _broken(failure: Failure) -> Failure:
    """Return the failure of an answer that broke off after its beginning."""
    if failure.kind is ErrorKind.SUPERSEDED:
        return failure
    return msgspec.structs.replace(failure, not_run=NotRun.NO)
