"""Manage the programs whose home is this sidecar: claim, release and end them."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

import logbook

from ..config.documents import PolicySpecification
from ..config.settings import LimitOptions
from ..config.store import Catalogue
from ..errors import ErrorKind, Failure, FailureError, fail
from ..ids import Epoch, ProgramId, RecordId, Seq, TargetName, new_id
from ..membership.view import Membership
from ..observe.decisions import Decisions
from ..observe.metrics import Metrics
from ..records.acceptance import Refusal
from ..records.types import (
    Claim,
    Commit,
    End,
    ProgramSpec,
    ProgramState,
    Release,
    Spawn,
)
from ..shards.client import ShardClient
from ..wire.links import Links
from ..wire.messages import (
    Accepted,
    CallKind,
    Done,
    Failed,
    HandoverRequest,
    PendingTurn,
)
from .calls import ActiveCall
from .program import RunningProgram, superseded_failure

log = logbook.Logger("home")

HANDOVER_TIMEOUT = 5.0  # seconds
IDLE_CHECK_INTERVAL = 5.0  # seconds
CALLS_PER_FIRST_BLOCK = 2  # calls that the block of a claim should cover
MAX_CLAIM_ATTEMPTS = 3


@dataclass(frozen=True, kw_only=True)
class OpenRequest:
    """Program to open, and what the requester knows of its previous home.

    `first_call_tokens` is the number of tokens that the next call may need. An unknown
    program is only created if `create` is set.
    """

    program: ProgramId
    spec: ProgramSpec
    first_call_tokens: int = 0
    create: bool = False
    previous_home: TargetName | None = None
    previous_silent: bool = False


class LocalPrograms:
    """The programs whose home is this sidecar."""

    def __init__(
        self,
        *,
        own_target: TargetName,
        catalogue: Catalogue,
        membership: Membership,
        links: Links,
        shards: ShardClient,
        limits: LimitOptions,
        metrics: Metrics,
        decisions: Decisions,
        new_program_refusal: Callable[[], Failure | None],
    ) -> None:
        self._own_target = own_target
        self._new_program_refusal = new_program_refusal
        self._catalogue = catalogue
        self._membership = membership
        self._links = links
        self._shards = shards
        self._limits = limits
        self._metrics = metrics
        self._decisions = decisions
        self._programs: dict[ProgramId, RunningProgram] = {}
        self._open_locks: defaultdict[ProgramId, asyncio.Lock] = defaultdict(
            asyncio.Lock
        )
        self._draining = False
        self._departures: asyncio.Queue[tuple[ProgramId, str]] = asyncio.Queue()

    @property
    def programs(self) -> dict[ProgramId, RunningProgram]:
        """Return the programs whose home is this sidecar."""
        return self._programs

    @property
    def draining(self) -> bool:
        """Return whether new programs are refused."""
        return self._draining

    @property
    def departures(self) -> asyncio.Queue[tuple[ProgramId, str]]:
        """Return the queue of programs that ended or moved away, with the cause."""
        return self._departures

    @property
    def uncommitted_bytes(self) -> int:
        """Return the bytes of turns that are not committed to the log."""
        return sum(running.uncommitted_bytes for running in self._programs.values())

    def policy(self, spec: ProgramSpec) -> PolicySpecification:
        """Return the policy of a program."""
        return self._catalogue.policy_for(spec.labels)

    async def open(self, open_request: OpenRequest) -> RunningProgram:
        """Return a program, and claim it first if its home is elsewhere."""
        program = open_request.program
        async with self._open_locks[program]:
            running = self._programs.get(program)
            if running is not None and running.lost is None:
                return running
            return await self._claim(open_request)

    async def _claim(self, open_request: OpenRequest) -> RunningProgram:
        program = open_request.program
        self._programs.pop(program, None)
        for _ in range(MAX_CLAIM_ATTEMPTS):
            state = await self._shards.state(program)
            if isinstance(state, Failure):
                raise FailureError(state)
            if self._draining:
                raise fail(
                    ErrorKind.STOPPING, f"target {self._own_target} takes no new work"
                )
            if state is not None:
                self._check_access(state, open_request.spec)
                await self._request_handover(state, open_request)
            elif not open_request.create:
                raise fail(ErrorKind.NOT_FOUND, f"no program {program}")
            elif open_request.spec.parent is None:
                refusal = self._new_program_refusal()
                if refusal is not None:
                    raise FailureError(refusal)
            running = await self._submit_claim(
                program, open_request.spec, state, open_request.first_call_tokens
            )
            if running is not None:
                return running
        raise fail(ErrorKind.MOVED, f"program {program} is being moved; retry")

    def _check_access(self, state: ProgramState, spec: ProgramSpec) -> None:
        if state.spec.workspace != spec.workspace:
            raise fail(ErrorKind.NOT_FOUND, f"no program {state.program}")
        if state.ended is not None:
            raise fail(
                ErrorKind.PROGRAM_ENDED,
                f"program {state.program} ended: {state.ended}",
            )

    async def _request_handover(
        self, state: ProgramState, open_request: OpenRequest
    ) -> None:
        """Ask the current home to release a program; continue if it does not answer.

        If the home is only slow or paused, the claim that follows makes its later
        records invalid.
        """
        if state.released or state.home == self._own_target:
            return
        address = self._membership.address(state.home)
        if address is None or self._membership.silent(state.home):
            return
        if open_request.previous_home != state.home:
            # The gateway's view of the home is outdated. Taking the program over
            # could make two gateways move it back and forth.
            raise fail(ErrorKind.MOVED, f"the home of the program is {state.home}")
        if open_request.previous_silent:
            return
        request = HandoverRequest(program=state.program)
        link = self._links.to(address)
        reply = await link.call(request, timeout=HANDOVER_TIMEOUT * 2)
        if isinstance(reply, Accepted):
            return
        if not isinstance(reply, Failed):
            return
        if reply.failure.kind is not ErrorKind.INTERRUPTED:
            raise FailureError(reply.failure)
        self._membership.note_silent(state.home)

    async def _submit_claim(
        self,
        program: ProgramId,
        spec: ProgramSpec,
        state: ProgramState | None,
        first_call_tokens: int,
    ) -> RunningProgram | None:
        if state is not None:
            # The current home may have released the program meanwhile.
            latest = await self._shards.state(program)
            if isinstance(latest, ProgramState):
                state = latest
        record = Claim(
            id=RecordId(new_id("claim")),
            program=program,
            replaces=state.epoch if state else Epoch(0),
            home=self._own_target,
            block=first_call_tokens * CALLS_PER_FIRST_BLOCK,
            spec=None if state else spec,
        )
        timeout = self._limits.submit_timeout
        reply = await self._shards.submit(record, timeout=timeout)
        if isinstance(reply, Failure):
            raise FailureError(reply.before_dispatch())
        if reply.verdict.refusal is Refusal.NO_SPAWN:
            raise fail(ErrorKind.NOT_FOUND, f"no parent spawned program {program}")
        if not reply.verdict.valid or reply.state is None:
            return None
        if reply.state.claim != record.id:
            return None
        cause = "takeover" if state else "new"
        self._metrics.claims.inc({"cause": cause})
        origin = f"after {state.home or 'a release'}" if state else "as a new program"
        self._decisions.note(program, "home", self._own_target, f"claimed {origin}")
        running = RunningProgram(
            state=reply.state, shards=self._shards, metrics=self._metrics
        )
        self._programs[program] = running
        self._metrics.programs.set({}, len(self._programs))
        return running

    async def commit_pending(
        self, running: RunningProgram, turns: list[PendingTurn]
    ) -> None:
        """Commit turns that an earlier home answered but did not commit.

        The gateway's copy of a turn is used if it is next in sequence, so that the
        caller does not get two different answers.
        """
        for turn in turns:
            if turn.seq != running.seq + 1 or turn.prefix != running.digest:
                continue
            if running.busy:
                return
            call = ActiveCall(
                kind=CallKind.MODEL, fingerprint=turn.request, seq=turn.seq, key=None
            )
            running.register(call)
            commit = Commit(
                id=RecordId(new_id("commit")),
                program=running.id,
                epoch=running.epoch,
                seq=turn.seq,
                prefix=turn.prefix,
                digest=turn.digest,
                messages=turn.messages,
                message_count=turn.message_count,
                answer=turn.answer,
                request=turn.request,
            )
            running.finish(call, commit)
            call.end(Done(answer=turn.answer))
            reason = f"call {turn.seq} was committed from the gateway's copy"
            self._decisions.note(running.id, "history", "recovered", reason)

    async def recover(
        self, running: RunningProgram, turns: list[PendingTurn]
    ) -> Failure | None:
        """Commit turns of a lost home and wait until they are in the log."""
        await self.commit_pending(running, turns)
        if await running.wait_flushed(self._limits.submit_timeout):
            return None
        return Failure(
            kind=ErrorKind.LOG_UNAVAILABLE, reason="pending turns are not committed yet"
        )

    async def hand_over(self, program: ProgramId) -> Failure | None:
        """Release a program for another home once its calls have ended."""
        running = self._programs.get(program)
        if running is None or running.lost is not None:
            return None
        if not await running.wait_flushed(HANDOVER_TIMEOUT):
            return Failure(
                kind=ErrorKind.MOVED,
                reason=f"program {program} has unfinished calls at {self._own_target}",
            )
        return await self._release(running)

    async def _release(self, running: RunningProgram) -> Failure | None:
        if running.busy:
            return Failure(
                kind=ErrorKind.MOVED, reason="a call arrived during the handover"
            )
        record = Release(
            id=RecordId(new_id("release")), program=running.id, epoch=running.epoch
        )
        running.mark_lost(
            Failure(
                kind=ErrorKind.MOVED, reason="the program is moving to another home"
            )
        )
        reply = await self._shards.submit(record, timeout=self._limits.submit_timeout)
        await self._remove(running, "moved")
        return reply if isinstance(reply, Failure) else None

    async def _remove(self, running: RunningProgram, cause: str) -> None:
        if self._programs.get(running.id) is running:
            del self._programs[running.id]
        self._metrics.programs.set({}, len(self._programs))
        await self._departures.put((running.id, cause))

    async def spawn(
        self, parent: RunningProgram, child: ProgramId, budget: int
    ) -> Failure | None:
        """Move budget from a parent to a new sub-agent."""
        record = Spawn(
            id=RecordId(new_id("spawn")),
            program=parent.id,
            epoch=parent.epoch,
            child=child,
            budget=budget,
        )
        reply = await self._shards.submit(record, timeout=self._limits.submit_timeout)
        if isinstance(reply, Failure):
            return reply
        parent.update_state(reply.state)
        refusal = reply.verdict.refusal
        if refusal in (Refusal.NONE, Refusal.KEY_USED):
            child_budget = reply.state.moved.get(child) if reply.state else None
            if child_budget == budget:
                return None
        if refusal is Refusal.NO_BUDGET:
            available = parent.state.available
            return Failure(
                kind=ErrorKind.BUDGET_EXHAUSTED,
                reason=f"the parent has {available} tokens available, not {budget}",
                field="budget",
            )
        return superseded_failure(parent.id)

    async def end(self, running: RunningProgram, reason: str) -> Failure | None:
        """End a program and its sub-agents."""
        flushed = await running.wait_flushed(self._limits.submit_timeout)
        record = End(
            id=RecordId(new_id("end")),
            program=running.id,
            epoch=running.epoch,
            reason=reason,
            settled=flushed,
        )
        reply = await self._shards.submit(record, timeout=self._limits.submit_timeout)
        if isinstance(reply, Failure):
            return reply
        if not reply.verdict.valid and reply.verdict.refusal is not Refusal.ENDED:
            return superseded_failure(running.id)
        running.mark_lost(
            Failure(kind=ErrorKind.PROGRAM_ENDED, reason=f"program ended: {reason}")
        )
        self._decisions.note(running.id, "home", "ended", reason)
        await self._remove(running, "ended")
        return None

    async def drain(self, draining: bool) -> None:
        """Refuse new programs and release the present ones once idle, or undo this."""
        self._draining = draining
        if not draining:
            return
        log.info("Draining: {} programs leave.", len(self._programs))
        await asyncio.gather(
            *(self._drain_program(running) for running in list(self._programs.values()))
        )

    async def _drain_program(self, running: RunningProgram) -> None:
        if (
            await running.wait_flushed(self._limits.drain_timeout)
            and running.lost is None
        ):
            await self._release(running)

    async def run(self) -> None:
        """End programs that exceed their idle limit, and remove lost ones."""
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL)
            now = asyncio.get_running_loop().time()
            for running in list(self._programs.values()):
                if running.lost is not None:
                    await self._remove(running, "superseded")
                    continue
                idle_limit = self.policy(running.state.spec).idle_limit
                if not running.busy and now - running.last_used > idle_limit:
                    await self.end(running, f"idle for {idle_limit:.0f} s")
            self._metrics.uncommitted.set({}, self.uncommitted_bytes)

    async def find_commit(
        self, running: RunningProgram, seq: Seq
    ) -> Commit | Failure | None:
        """Return the commit of an earlier call from the log, or None."""
        commits = await self._shards.commits(running.id, Seq(seq - 1))
        if isinstance(commits, Failure):
            return commits
        return next((commit for commit in commits if commit.seq == seq), None)
