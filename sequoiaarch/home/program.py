"""Run one program at its home: order of calls, budget and commits."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass

import logbook

from ..errors import ErrorKind, Failure, FailureError, fail
from ..ids import CallKey, Epoch, ProgramId, RecordId, Seq, new_id
from ..observe.metrics import Metrics
from ..records.types import Commit, IntentState, ProgramState, Reserve
from ..shards.client import ShardClient
from .calls import ActiveCall

log = logbook.Logger("home")

CALLS_IN_MEMORY = 2
REORDER_TIMEOUT = 2.0  # seconds
CALLS_PER_BLOCK = 2  # calls that a reserved block of the budget should cover
MAX_RESERVE_ATTEMPTS = 2  # the first may only reveal the current state


@dataclass(kw_only=True, eq=False)
class _Waiter:
    """Call that waits for its turn."""

    call: ActiveCall
    turn: asyncio.Future[None]


@dataclass(kw_only=True, eq=False)
class _Uncommitted:
    """Finished call that is not committed to the log yet."""

    commit: Commit
    call: ActiveCall
    size: int
    finished_at: float


class RunningProgram:
    """Run the calls of a program one after the other.

    `state` is the latest state read from the log. Calls that finished since then are
    committed in the background, so that a slow log does not delay the next call.

    `attained` is the engine time used, in seconds. `undispatched_keys` are the keys of
    calls whose intent may be in the log although they were never dispatched.
    """

    def __init__(
        self, *, state: ProgramState, shards: ShardClient, metrics: Metrics
    ) -> None:
        self._state = state
        self._shards = shards
        self._metrics = metrics
        self._seq = state.seq
        self._digest = state.digest
        self._message_count = state.message_count
        self._calls: dict[Seq, ActiveCall] = {}
        self._calls_by_key: dict[CallKey, ActiveCall] = {}
        self._last_model_call: ActiveCall | None = None
        self._waiters: list[_Waiter] = []
        self._running_call: ActiveCall | None = None
        self._uncommitted: deque[_Uncommitted] = deque()
        self._committer: asyncio.Task[None] | None = None
        self._reserved = 0
        self._reserve_lock = asyncio.Lock()
        self._lost: Failure | None = None
        self.attained = 0.0
        self.undispatched_keys: set[CallKey] = set()
        self.last_used = asyncio.get_running_loop().time()

    @property
    def id(self) -> ProgramId:
        """Return the identifier of the program."""
        return self._state.program

    @property
    def epoch(self) -> Epoch:
        """Return the epoch in which this process runs the program."""
        return self._state.epoch

    @property
    def state(self) -> ProgramState:
        """Return the latest state read from the log."""
        return self._state

    @property
    def seq(self) -> Seq:
        """Return the sequence number of the last finished call."""
        return self._seq

    @property
    def digest(self) -> str:
        """Return the digest of the history up to the last finished call."""
        return self._digest

    @property
    def message_count(self) -> int:
        """Return the number of messages up to the last finished call."""
        return self._message_count

    @property
    def lost(self) -> Failure | None:
        """Return why this is no longer the program's home, or None if it is."""
        return self._lost

    @property
    def busy(self) -> bool:
        """Return whether a call is running, waiting or uncommitted."""
        return bool(self._running_call or self._waiters or self._uncommitted)

    @property
    def uncommitted_bytes(self) -> int:
        """Return the bytes of finished calls that are not committed."""
        return sum(entry.size for entry in self._uncommitted)

    @property
    def remaining(self) -> int:
        """Return the tokens of the open block that are neither used nor reserved."""
        used = sum(entry.commit.used for entry in self._uncommitted)
        return self._state.open_block - used - self._reserved

    # Lookup of calls.

    def call_with_seq(self, seq: Seq) -> ActiveCall | None:
        """Return the call with a sequence number if it is in memory."""
        return self._calls.get(seq)

    def call_with_key(self, key: CallKey) -> ActiveCall | None:
        """Return the call with an idempotency key if it is in memory."""
        return self._calls_by_key.get(key)

    def intent(self, key: CallKey) -> IntentState | None:
        """Return the state of an idempotency key in the log."""
        return self._state.intents.get(key)

    def find_repeat(self, fingerprint: str) -> ActiveCall | None:
        """Return the latest model call if its request had the same fingerprint."""
        last = self._last_model_call
        return last if last and last.fingerprint == fingerprint else None

    def register(self, call: ActiveCall) -> None:
        """Add an admitted call to those in memory."""
        self.last_used = asyncio.get_running_loop().time()
        if call.seq is not None:
            self._calls[call.seq] = call
        if call.key is not None:
            self._calls_by_key[call.key] = call

    def set_last_model_call(self, call: ActiveCall) -> None:
        """Set the latest model call."""
        self._last_model_call = call

    # Order of calls.

    async def wait_turn(self, call: ActiveCall) -> None:
        """Wait until all earlier calls have ended; fail if one is missing."""
        loop = asyncio.get_running_loop()
        waiter = _Waiter(call=call, turn=loop.create_future())
        self._waiters.append(waiter)
        self._start_next()
        while not waiter.turn.done():
            was_idle = self._running_call is None
            done, _ = await asyncio.wait([waiter.turn], timeout=REORDER_TIMEOUT)
            if not done and was_idle and self._running_call is None:
                # Nothing is running, so an earlier call was never received.
                self._waiters.remove(waiter)
                raise fail(
                    ErrorKind.OUT_OF_SEQUENCE,
                    f"call {call.seq} arrived before call {self._seq + 1}",
                    field="X-Call-Seq",
                    expected_seq=self._seq + 1,
                )
        if self._lost is not None:
            self._running_call = None
            raise FailureError(self._lost)
        if call.seq is None:
            call.seq = Seq(self._seq + 1)
        self._calls[call.seq] = call

    def _start_next(self) -> None:
        if self._running_call is not None:
            return
        for waiter in self._waiters:
            if waiter.call.seq in (None, self._seq + 1) or self._lost is not None:
                self._waiters.remove(waiter)
                self._running_call = waiter.call
                waiter.turn.set_result(None)
                return

    def end_turn(self, call: ActiveCall) -> None:
        """End the turn of a call and start the next one."""
        if call.seq is None or call.seq > self._seq:
            self._unregister(call)
        if self._running_call is call:
            self._running_call = None
        self._start_next()

    def _unregister(self, call: ActiveCall) -> None:
        """Remove a call that was not run, so that its request can be repeated."""
        if call.seq is not None and self._calls.get(call.seq) is call:
            del self._calls[call.seq]
        if call.key is not None and self._calls_by_key.get(call.key) is call:
            del self._calls_by_key[call.key]
        if self._last_model_call is call:
            self._last_model_call = None

    # Budget.

    async def reserve(self, wanted: int, minimum: int, timeout: float) -> int:
        """Reserve tokens for a call and return how many.

        Fewer than `wanted` but at least `minimum` are reserved if the budget is nearly
        spent. The block they belong to is in the log before any token is used.
        """
        async with self._reserve_lock:
            for _ in range(MAX_RESERVE_ATTEMPTS):
                if self.remaining < wanted:
                    await self._reserve_block(wanted, timeout)
            reserved = min(wanted, self.remaining)
            if reserved < minimum:
                budget = self._state.spec.budget
                raise fail(
                    ErrorKind.BUDGET_EXHAUSTED,
                    f"the call may need {wanted} tokens, but of the budget of "
                    f"{budget} only {max(0, reserved)} are left",
                )
            self._reserved += reserved
            return reserved

    async def _reserve_block(self, wanted: int, timeout: float) -> None:
        shortfall = wanted - self.remaining
        block = min(shortfall * CALLS_PER_BLOCK, self._state.available)
        if block <= 0:
            return
        record = Reserve(
            id=RecordId(new_id("reserve")),
            program=self.id,
            epoch=self.epoch,
            number=self._state.reserves + 1,
            block=block,
        )
        reply = await self._shards.submit(record, timeout=timeout)
        if isinstance(reply, Failure):
            raise FailureError(reply.before_dispatch())
        if reply.state is None or reply.state.epoch != self.epoch:
            self.mark_lost(superseded_failure(self.id))
            raise FailureError(superseded_failure(self.id))
        # Needed even if the record is refused: an earlier one with the same number
        # that timed out may be in the log, with its block reserved.
        self.update_state(reply.state)

    def release_reservation(self, reserved: int) -> None:
        """Release a reservation; the tokens used are counted by the commit."""
        self._reserved -= reserved

    # Commits.

    def finish(self, call: ActiveCall, commit: Commit) -> None:
        """Add a finished call to the history and commit it in the background."""
        assert call.seq == commit.seq == self._seq + 1
        self._seq = commit.seq
        self._digest = commit.digest
        self._message_count += commit.message_count
        size = len(commit.messages) + len(commit.answer.body if commit.answer else b"")
        entry = _Uncommitted(
            commit=commit,
            call=call,
            size=size,
            finished_at=asyncio.get_running_loop().time(),
        )
        self._uncommitted.append(entry)
        self._evict_old_calls()
        if self._committer is None or self._committer.done():
            self._committer = asyncio.create_task(self._commit_loop())

    def _evict_old_calls(self) -> None:
        """Remove committed calls whose answers later calls have acknowledged."""
        for seq in [seq for seq in self._calls if seq <= self._seq - CALLS_IN_MEMORY]:
            if self._calls[seq].committed:
                call = self._calls.pop(seq)
                if call.key is not None:
                    self._calls_by_key.pop(call.key, None)

    async def _commit_loop(self) -> None:
        loop = asyncio.get_running_loop()
        while self._uncommitted and self._lost is None:
            entry = self._uncommitted[0]
            reply = await self._shards.submit(entry.commit, timeout=None)
            if isinstance(reply, Failure):
                log.warning("Commit of {} is retried: {}.", self.id, reply.reason)
                await asyncio.sleep(REORDER_TIMEOUT)
                continue
            if not reply.verdict.valid:
                reason = reply.verdict.refusal.value
                log.warning("Commit of {} was refused: {}.", self.id, reason)
                self.mark_lost(superseded_failure(self.id))
                return
            self._uncommitted.popleft()
            self.update_state(reply.state)
            self._metrics.commit.observe({}, loop.time() - entry.finished_at)
            entry.call.resolve_commit(None)

    async def wait_flushed(self, timeout: float) -> bool:
        """Wait until no call is running and all finished ones are committed."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while self.busy and self._lost is None:
            if loop.time() >= deadline:
                return False
            await asyncio.sleep(0.01)
        return True

    def update_state(self, state: ProgramState | None) -> None:
        """Update the state from the log, unless it is of another epoch."""
        if state is not None and state.epoch == self._state.epoch:
            self._state = state

    def mark_lost(self, failure: Failure) -> None:
        """Stop being the home; waiting and uncommitted calls fail."""
        if self._lost is not None:
            return
        self._lost = failure
        for entry in self._uncommitted:
            entry.call.resolve_commit(failure)
        self._uncommitted.clear()
        self._start_next()


def superseded_failure(program: ProgramId) -> Failure:
    """Return the failure for a program that another home has taken over."""
    return Failure(
        kind=ErrorKind.SUPERSEDED,
        reason=f"another home has taken over program {program}; retry",
    )
