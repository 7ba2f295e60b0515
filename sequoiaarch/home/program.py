"""Keep one program that is at home here: order, budget and commits."""

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

ANSWERS_KEPT = 2
REORDER_WAIT = 2.0
BLOCK_CALLS = 2
# A second record is needed where the first one only told what stands in the log.
RESERVE_TRIES = 2


@dataclass(kw_only=True, eq=False)
class _Place:
    """Hold the place of a call that waits for its turn."""

    call: ActiveCall
    turn: asyncio.Future[None]


@dataclass(kw_only=True, eq=False)
class _Uncommitted:
    """Hold a finished call until the log has taken it."""

    commit: Commit
    call: ActiveCall
    size: int
    finished: float


class RunningProgram:
    """Run the calls of a program one after the other.

    `state` is what the log said last. What has finished since then is held
    in `uncommitted`, so that a slow log holds no turn up.
    """

    def __init__(
        self, *, state: ProgramState, shards: ShardClient, metrics: Metrics
    ) -> None:
        self._state = state
        self._shards = shards
        self._metrics = metrics
        self._seq = state.seq
        self._digest = state.digest
        self._count = state.message_count
        self._calls: dict[Seq, ActiveCall] = {}
        self._by_key: dict[CallKey, ActiveCall] = {}
        self._last_model: ActiveCall | None = None
        self._places: list[_Place] = []
        self._running: ActiveCall | None = None
        self._uncommitted: deque[_Uncommitted] = deque()
        self._committer: asyncio.Task[None] | None = None
        self._in_flight = 0
        self._reserving = asyncio.Lock()
        self._lost: Failure | None = None
        self.attained = 0.0
        self.abandoned: set[CallKey] = set()
        self.last_used = asyncio.get_running_loop().time()

    @property
    def id(self) -> ProgramId:
        """Return the identifier of the program."""
        return self._state.program

    @property
    def epoch(self) -> Epoch:
        """Return the epoch under which this process runs the program."""
        return self._state.epoch

    @property
    def state(self) -> ProgramState:
        """Return what the log said last."""
        return self._state

    @property
    def seq(self) -> Seq:
        """Return the sequence number of the last finished call."""
        return self._seq

    @property
    def digest(self) -> str:
        """Return the digest of the history with the last finished call."""
        return self._digest

    @property
    def message_count(self) -> int:
        """Return the messages of the history with the last finished call."""
        return self._count

    @property
    def lost(self) -> Failure | None:
        """Return why the program is no longer at home here."""
        return self._lost

    @property
    def busy(self) -> bool:
        """Return whether a call runs, waits, or is not yet in the log."""
        return bool(self._running or self._places or self._uncommitted)

    @property
    def uncommitted_bytes(self) -> int:
        """Return the bytes of finished calls that the log has not taken."""
        return sum(entry.size for entry in self._uncommitted)

    @property
    def remaining(self) -> int:
        """Return the tokens of the open block that nothing has used."""
        used = sum(entry.commit.used for entry in self._uncommitted)
        return self._state.open_block - used - self._in_flight

    # Finding calls again.

    def known_call(self, seq: Seq) -> ActiveCall | None:
        """Return the call of a sequence number that is still in memory."""
        return self._calls.get(seq)

    def call_with_key(self, key: CallKey) -> ActiveCall | None:
        """Return the call that used an idempotency key here."""
        return self._by_key.get(key)

    def intent(self, key: CallKey) -> IntentState | None:
        """Return what the log says of an idempotency key."""
        return self._state.intents.get(key)

    def repeat_of(self, fingerprint: str) -> ActiveCall | None:
        """Return the latest model call where it had the same request."""
        last = self._last_model
        return last if last and last.fingerprint == fingerprint else None

    def register(self, call: ActiveCall) -> None:
        """Remember a call that was admitted."""
        self.last_used = asyncio.get_running_loop().time()
        if call.seq is not None:
            self._calls[call.seq] = call
        if call.key is not None:
            self._by_key[call.key] = call

    def note_model_call(self, call: ActiveCall) -> None:
        """Remember the latest model call."""
        self._last_model = call

    # Order.

    async def take_turn(self, call: ActiveCall) -> None:
        """Wait until all earlier calls have ended."""
        loop = asyncio.get_running_loop()
        place = _Place(call=call, turn=loop.create_future())
        self._places.append(place)
        self._call_up()
        while not place.turn.done():
            gap = self._running is None
            done, _ = await asyncio.wait([place.turn], timeout=REORDER_WAIT)
            if not done and gap and self._running is None:
                # Nothing runs and still it is not this call's turn: the one
                # before it never came.
                self._places.remove(place)
                raise fail(
                    ErrorKind.OUT_OF_SEQUENCE,
                    f"call {call.seq} came before call {self._seq + 1}",
                    field="X-Call-Seq",
                    expected_seq=self._seq + 1,
                )
        if self._lost is not None:
            self._running = None
            raise FailureError(self._lost)
        if call.seq is None:
            call.seq = Seq(self._seq + 1)
        self._calls[call.seq] = call

    def _call_up(self) -> None:
        if self._running is not None:
            return
        for place in self._places:
            if place.call.seq in (None, self._seq + 1) or self._lost is not None:
                self._places.remove(place)
                self._running = place.call
                place.turn.set_result(None)
                return

    def end_turn(self, call: ActiveCall) -> None:
        """Let the next call run."""
        if call.seq is None or call.seq > self._seq:
            self._drop(call)
        if self._running is call:
            self._running = None
        self._call_up()

    def _drop(self, call: ActiveCall) -> None:
        """Forget a call that did not happen, so that it can be asked again."""
        if call.seq is not None and self._calls.get(call.seq) is call:
            del self._calls[call.seq]
        if call.key is not None and self._by_key.get(call.key) is call:
            del self._by_key[call.key]
        if self._last_model is call:
            self._last_model = None

    # Budget.

    async def reserve(self, wanted: int, least: int, timeout: float) -> int:
        """Set tokens aside for a call and return how many.

        Less than wanted but at least the least is given where the budget
        ends; the reservation is in the log before any token is used.
        """
        async with self._reserving:
            for _ in range(RESERVE_TRIES):
                if self.remaining < wanted:
                    await self._open_block(wanted, timeout)
            given = min(wanted, self.remaining)
            if given < least:
                budget = self._state.spec.budget
                raise fail(
                    ErrorKind.BUDGET_EXHAUSTED,
                    f"the call may need {wanted} tokens, but of the budget of "
                    f"{budget} only {max(0, given)} are left",
                )
            self._in_flight += given
            return given

    async def _open_block(self, wanted: int, timeout: float) -> None:
        need = wanted - self.remaining
        block = min(need * BLOCK_CALLS, self._state.available)
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
            self.lose(superseded(self.id))
            raise FailureError(superseded(self.id))
        # Also where this record is refused: an earlier one that was given up on
        # may stand in the log under the same number, and its block counts.
        self.take_state(reply.state)

    def give_back(self, given: int) -> None:
        """End a reservation; what was used stands in the commit."""
        self._in_flight -= given

    # Commits.

    def finish(self, call: ActiveCall, commit: Commit) -> None:
        """Add a finished call to the history and to what the log must take."""
        assert call.seq == commit.seq == self._seq + 1
        self._seq = commit.seq
        self._digest = commit.digest
        self._count += commit.message_count
        size = len(commit.messages) + len(commit.answer.body if commit.answer else b"")
        entry = _Uncommitted(
            commit=commit,
            call=call,
            size=size,
            finished=asyncio.get_running_loop().time(),
        )
        self._uncommitted.append(entry)
        self._forget_old_answers()
        if self._committer is None or self._committer.done():
            self._committer = asyncio.create_task(self._commit_all())

    def _forget_old_answers(self) -> None:
        """Drop answers whose receipt a later call has acknowledged."""
        for seq in [seq for seq in self._calls if seq <= self._seq - ANSWERS_KEPT]:
            if self._calls[seq].kept:
                call = self._calls.pop(seq)
                if call.key is not None:
                    self._by_key.pop(call.key, None)

    async def _commit_all(self) -> None:
        loop = asyncio.get_running_loop()
        while self._uncommitted and self._lost is None:
            entry = self._uncommitted[0]
            reply = await self._shards.submit(entry.commit, timeout=None)
            if isinstance(reply, Failure):
                log.warning("Commit of {} waits: {}.", self.id, reply.reason)
                await asyncio.sleep(REORDER_WAIT)
                continue
            if not reply.verdict.valid:
                reason = reply.verdict.refusal.value
                log.warning("Commit of {} was refused: {}.", self.id, reason)
                self.lose(superseded(self.id))
                return
            self._uncommitted.popleft()
            self.take_state(reply.state)
            self._metrics.commit.observe({}, loop.time() - entry.finished)
            entry.call.settle(None)

    async def flushed(self, timeout: float) -> bool:
        """Wait until no call runs and the log has taken all that finished."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while self.busy and self._lost is None:
            if loop.time() >= deadline:
                return False
            await asyncio.sleep(0.01)
        return True

    def take_state(self, state: ProgramState | None) -> None:
        """Take in what the log says, where it is of the same epoch."""
        if state is not None and state.epoch == self._state.epoch:
            self._state = state

    def lose(self, failure: Failure) -> None:
        """Stop to be the home; whatever waits or is uncommitted fails."""
        if self._lost is not None:
            return
        self._lost = failure
        for entry in self._uncommitted:
            entry.call.settle(failure)
        self._uncommitted.clear()
        self._call_up()


def superseded(program: ProgramId) -> Failure:
    """Return the failure of a program that another home has taken over."""
    return Failure(
        kind=ErrorKind.SUPERSEDED,
        reason=f"another home took program {program} over; ask again",
    )
