"""Route calls to the homes of programs.

The home of a program is the sidecar that currently runs its calls.
"""

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
from ..policies.placement import Candidate, Choice, PlacementRequest, make_placement
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
from .pending_turns import PendingTurnBuffer

log = logbook.Logger("gateway")

MAX_HOME_HINTS = 200_000
RETRY_INITIAL_DELAY = 0.02  # seconds
RETRY_MAX_DELAY = 0.5  # seconds
RETRY_TIMEOUT = 15.0  # seconds
RETRY_INITIAL_TOKENS = 10.0
RETRYABLE = {
    ErrorKind.MOVED,
    ErrorKind.STOPPING,
    ErrorKind.INTERRUPTED,
    ErrorKind.SUPERSEDED,
}
MIGRATING_PLACEMENTS = {PlacementName.AFFINITY, PlacementName.STICKY}
BYTES_PER_TOKEN = 4
ORDER_TIMEOUT = 10.0  # seconds
RECOVERY_TIMEOUT = 600.0  # seconds

Emit = Callable[[Chunk | Done | Failure], None]


@dataclass(frozen=True, kw_only=True)
class Route:
    """The home that gets a call, and the target that should run it."""

    home: TargetName
    target: TargetName | None
    previous_home: TargetName | None
    previous_silent: bool
    reason: str


class RetryBudget:
    """Token bucket that limits retries to a fraction of all calls."""

    def __init__(self, *, ratio: float) -> None:
        self._ratio = ratio
        self._tokens = RETRY_INITIAL_TOKENS

    def add_call(self) -> None:
        """Add the tokens of one call."""
        self._tokens = min(RETRY_INITIAL_TOKENS * 10, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Take a token for a retry; return False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Router:
    """Relay calls to the homes of programs and place programs without a home."""

    def __init__(self, *, core: Core, rng: random.Random) -> None:
        self._core = core
        self._rng = rng
        self._home_hints: OrderedDict[ProgramId, TargetName] = OrderedDict()
        self._pending_turns = PendingTurnBuffer(
            limit=core.settings.limits.uncommitted_bytes
        )
        self._retry_budget = RetryBudget(ratio=core.settings.limits.retry_budget)
        self._open_calls = 0
        self._recoveries: dict[ProgramId, asyncio.Task[None]] = {}

    @property
    def open_calls(self) -> int:
        """Return the number of calls being relayed and of programs being recovered."""
        return self._open_calls + len(self._recoveries)

    @property
    def pending_programs(self) -> int:
        """Return the number of programs whose uncommitted turns are buffered here."""
        return self._pending_turns.program_count

    async def run(self, call: CallRequest, emit: Emit, *, may_exist: bool) -> None:
        """Relay a call and emit its events, the last of which is Done or a Failure.

        The home is looked up in the log only if the program `may_exist` already.
        """
        self._open_calls += 1
        try:
            await self._run(call, emit, may_exist)
        except FailureError as error:
            emit(error.failure)
        except Exception as error:
            log.exception("Unhandled error relaying a call of {}.", call.program)
            emit(Failure(kind=ErrorKind.INTERNAL, reason=repr(error)))
        finally:
            self._open_calls -= 1

    async def _run(self, call: CallRequest, emit: Emit, may_exist: bool) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        self._retry_budget.add_call()
        if self._pending_turns.full:
            raise fail(
                ErrorKind.LOG_UNAVAILABLE,
                "the buffer of turns not yet committed to the log is full",
            )
        avoid: set[TargetName] = set()
        delay = RETRY_INITIAL_DELAY
        while True:
            route = await self._route(call, may_exist, avoid)
            remaining = call.deadline - (loop.time() - started)
            request = msgspec.structs.replace(
                call,
                target=route.target,
                previous_home=route.previous_home,
                previous_silent=route.previous_silent,
                pending=self._pending_turns.turns_of(call.program),
                deadline=max(0.01, remaining),
                reason=route.reason,
            )
            failure = await self._attempt(route.home, request, emit)
            if failure is None:
                return
            may_exist = True
            if not self._may_retry(failure, call, loop.time() - started):
                raise FailureError(failure)
            if failure.kind is ErrorKind.TARGET_FAILED:
                avoid.add(route.target or route.home)
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
            delay = min(delay * 2, RETRY_MAX_DELAY)

    def _may_retry(self, failure: Failure, call: CallRequest, elapsed: float) -> bool:
        if elapsed > min(RETRY_TIMEOUT, call.deadline):
            return False
        not_run = failure.run_state is NotRun.YES
        repeatable = not_run or call.kind is CallKind.MODEL
        target_failed = failure.kind is ErrorKind.TARGET_FAILED and repeatable
        if failure.kind not in RETRYABLE and not target_failed:
            return False
        if not_run:
            # The call was not run, so a retry adds no load to targets.
            return True
        return self._retry_budget.try_spend()

    async def _attempt(
        self, home: TargetName, request: CallRequest, emit: Emit
    ) -> Failure | None:
        """Send a call to a home; return its failure unless events were emitted."""
        core = self._core
        address = core.membership.address(home)
        if address is None:
            return Failure(
                kind=ErrorKind.MOVED, reason=f"target {home} is no longer configured"
            )
        core.membership.note_sent(home)
        emitted = False
        answered = False
        async for reply in core.links.to(address).stream(request):
            if isinstance(reply, CallAdmitted):
                self._remember_home(request.program, home)
            elif isinstance(reply, Chunk):
                emitted = True
                emit(reply)
            elif isinstance(reply, Done):
                answered = True
                core.membership.note_load(reply.load)
                if reply.turn is not None:
                    self._pending_turns.add(request.program, reply.turn)
                emit(reply)
            elif isinstance(reply, Committed):
                self._pending_turns.discard_committed(request.program, reply.seq)
            elif isinstance(reply, Failed):
                self._record_failure(home, request.program, reply)
                if answered:
                    self._start_recovery(request)
                    return None
                if not emitted:
                    return reply.failure
                emit(_interrupted_failure(reply.failure))
                return None
        return None

    def _start_recovery(self, request: CallRequest) -> None:
        """Commit the answered turns of a lost home in the background.

        The caller has its answer, and its next call may never come or go through
        another gateway that does not buffer these turns.
        """
        if request.program in self._recoveries:
            return
        task = asyncio.create_task(self._recover(request))
        self._recoveries[request.program] = task
        task.add_done_callback(lambda _: self._recoveries.pop(request.program, None))

    async def _recover(self, request: CallRequest) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + RECOVERY_TIMEOUT
        while loop.time() < deadline:
            turns = self._pending_turns.turns_of(request.program)
            if not turns:
                return
            try:
                state = await self.program_state(request.program)
                if state is None or state.ended is not None:
                    break
                if state.seq < turns[-1].seq:
                    order = RecoverRequest(
                        program=request.program, spec=request.spec, pending=turns
                    )
                    await self.send_order_to_home(state, order)
                self._pending_turns.discard_committed(request.program, turns[-1].seq)
                return
            except FailureError as error:
                log.info(
                    "Recovering turns of {} failed, retrying: {}.",
                    request.program,
                    error,
                )
            await asyncio.sleep(RETRY_MAX_DELAY)
        # Turns that no home commits must not fill the buffer.
        log.warning("Gave up recovering turns of {}.", request.program)
        self._pending_turns.discard_program(request.program)

    def _remember_home(self, program: ProgramId, home: TargetName) -> None:
        self._home_hints[program] = home
        self._home_hints.move_to_end(program)
        while len(self._home_hints) > MAX_HOME_HINTS:
            self._home_hints.popitem(last=False)

    def _record_failure(
        self, home: TargetName, program: ProgramId, reply: Failed
    ) -> None:
        self._core.membership.note_load(reply.load)
        if reply.failure.kind is ErrorKind.INTERRUPTED:
            self._core.membership.note_silent(home)
        if reply.failure.kind in RETRYABLE:
            self._home_hints.pop(program, None)

    def forget_home(self, program: ProgramId) -> None:
        """Forget the home of a program that ended."""
        self._home_hints.pop(program, None)

    # Placement

    async def program_state(self, program: ProgramId) -> ProgramState | None:
        """Return the state of a program in the log, None if it does not exist."""
        state = await self._core.shards.state(program)
        if isinstance(state, Failure):
            raise FailureError(state)
        return state

    async def _route(
        self, call: CallRequest, may_exist: bool, avoid: set[TargetName]
    ) -> Route:
        home = self._home_hints.get(call.program)
        if home is None and may_exist:
            state = await self.program_state(call.program)
            if state is not None:
                self._check_workspace(state, call)
                home = state.home or None
        if call.kind is CallKind.SERVICE:
            return self._route_service(call, home)
        return self._route_model(call, home, avoid)

    def _check_workspace(self, state: ProgramState, call: CallRequest) -> None:
        if state.spec.workspace != call.spec.workspace:
            raise fail(ErrorKind.NOT_FOUND, "the program does not exist")

    def _route_service(self, call: CallRequest, home: TargetName | None) -> Route:
        """Choose a home, which chooses the target of the service itself."""
        document = self._core.catalogue.target(home) if home else None
        if home and document and self._core.membership.answers(document):
            return Route(
                home=home,
                target=call.target,
                previous_home=None,
                previous_silent=False,
                reason="stays at its home",
            )
        candidates = self._home_candidates(call)
        choice = self._choose_target(call, None, candidates)
        return self._route_to(choice, home, call.target)

    def _home_candidates(self, call: CallRequest) -> list[Candidate]:
        candidates = self._model_candidates(call, set())
        if not candidates:
            candidates = [
                self._candidate(target)
                for target in self._core.catalogue.targets
                if self._core.membership.takes_work(target)
            ]
        if not candidates:
            raise fail(ErrorKind.NO_TARGET, "no target takes work at present")
        return candidates

    def _route_model(
        self, call: CallRequest, home: TargetName | None, avoid: set[TargetName]
    ) -> Route:
        candidates = self._model_candidates(call, avoid)
        if not candidates:
            raise fail(
                ErrorKind.NO_TARGET, "no target of this model takes work at present"
            )
        choice = self._choose_target(call, home, candidates)
        policy = self._core.catalogue.policy_for(call.spec.labels)
        document = self._core.catalogue.target(home) if home else None
        home_answers = document is not None and self._core.membership.answers(document)
        if policy.placement not in MIGRATING_PLACEMENTS and home and home_answers:
            return Route(
                home=home,
                target=choice.target,
                previous_home=None,
                previous_silent=False,
                reason=choice.reason,
            )
        return self._route_to(choice, home, choice.target)

    def _route_to(
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

    def _choose_target(
        self,
        call: CallRequest,
        home: TargetName | None,
        candidates: list[Candidate],
    ) -> Choice:
        policy = self._core.catalogue.policy_for(call.spec.labels)
        placement_request = PlacementRequest(
            home=home,
            context_tokens=len(call.body) // BYTES_PER_TOKEN,
            latency_weight=policy.latency_weight,
        )
        placement = make_placement(policy.placement, self._rng)
        choice = placement.choose(placement_request, candidates)
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
        candidates = []
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
                candidates.append(self._candidate(target))
        return candidates

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

    async def send_order_to_home(
        self, state: ProgramState, order: ProgramOrder
    ) -> None:
        """Send an order to the home of a program, or to a new home if it is silent."""
        membership = self._core.membership
        document = self._core.catalogue.target(state.home) if state.home else None
        if document is not None and membership.answers(document):
            try:
                await self.send_order(state.home, order)
                return
            except FailureError as error:
                if error.failure.kind is not ErrorKind.INTERRUPTED:
                    raise
        home = self.choose_home(state.spec, state.program)
        silent_home = state.home or None
        await self.send_order(
            home, msgspec.structs.replace(order, silent_home=silent_home)
        )

    async def send_order(self, home: TargetName, order: ProgramOrder) -> None:
        """Send an order to a sidecar; raise the failure that it returns."""
        address = self._core.membership.address(home)
        if address is None:
            raise fail(ErrorKind.NO_TARGET, f"target {home} is no longer configured")
        link = self._core.links.to(address)
        reply = await link.call(order, timeout=ORDER_TIMEOUT)
        if isinstance(reply, Failed):
            if reply.failure.kind is ErrorKind.INTERRUPTED:
                self._core.membership.note_silent(home)
            raise FailureError(reply.failure)

    def choose_home(self, spec: ProgramSpec, program: ProgramId) -> TargetName:
        """Return a new home for a program."""
        call = CallRequest(program=program, spec=spec, kind=CallKind.SERVICE)
        return self._choose_target(call, None, self._home_candidates(call)).target


def _interrupted_failure(failure: Failure) -> Failure:
    """Return the failure of a call that failed after a part of its answer."""
    if failure.kind is ErrorKind.SUPERSEDED:
        return failure
    return msgspec.structs.replace(failure, not_run=NotRun.NO)
