"""Test accounts that one process keeps for the others of its data centre."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Callable
from unittest import mock

import logbook
import msgspec
import zmq.asyncio

from ...errors import ErrorKind, Failure
from ...fleet.delegated_turn import DelegatedTurn
from ...fleet.delegates import DelegatedTurns, DelegateSelector
from ...fleet.peer_health import PeerHealth
from ...fleet.peers import PeerRecord, Peers, PeerServer
from ...fleet.turn_server import TurnServer, failure_reply
from ...ids import (
    DataCentre,
    HostName,
    OpeningId,
    ProgramId,
    SessionId,
    TurnId,
    WriterId,
)
from ...ledger import budgets as budgets_module
from ...ledger.ledger import Ledger
from ...ledger.places import Places
from ...ledger.terms import BudgetVerdict, Lookup, TurnStart, TurnTerms
from ...ledger.turns import LocalTurn, LocalTurns, OpenTurn
from ...standins.keyed_store import KeyedStore, KeyedStoreClient
from ...storage.calls import StoreCall, StoreReply
from ...storage.keyed import KeyedRecord
from ...wire.links import Send
from ...wire.messages import (
    CloseTurnRequest,
    CommitTurnRequest,
    ConfirmTurnRequest,
    CoverTurnRequest,
    Failed,
    OpenTurnRequest,
    Reply,
    Request,
    decode_request,
    encode,
)

HERE = DataCentre("here")
PROGRAM = ProgramId("program")
BUDGET = 800
MOST = 100
LIFETIME = 0.3
PATIENCE = 10.0
# Later than a gateway waits for the first word of a delegate. Seconds.
LATE = 0.25
# The budget of a program that holds one turn and a half, in tokens.
SMALL = 160
# What a turn there is covered for when it begins, and what is left of the budget
# beside that and a whole turn, in tokens.
COVERED = 34
BESIDE = SMALL - COVERED - MOST
# A caller whose budget is held comes back after this time, so often.
HELD_RETRY = 0.5
TRIES = 4
# An end that was not heard is told again within this time. Seconds.
SETTLE_TIME = 3.0


def start(
    turn: str,
    *,
    previous: str | None = None,
    kept: bool = True,
    budget: int = BUDGET,
    lifetime: float = LIFETIME,
    session: str = "",
) -> TurnStart:
    """Return the start of a turn."""
    return TurnStart(
        terms=TurnTerms(
            turn=TurnId(turn),
            program=PROGRAM,
            budget=budget,
            most=MOST,
            retention=60.0,
            session=SessionId(session),
        ),
        previous=TurnId(previous) if previous else None,
        kept=kept,
        lifetime=lifetime,
    )


class NoStore:
    """Fail every call: no peer relays in these tests."""

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Return a failure."""
        return Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason="not used here")


class Process:
    """Hold what one gateway has for turns."""

    def __init__(
        self, *, name: str, context: zmq.asyncio.Context, client: KeyedStoreClient
    ) -> None:
        self.name = HostName(name)
        self.client = client
        self.server = PeerServer(
            context=context, address="127.0.0.1:*", caller=NoStore()
        )
        self.address = self.server.address.removeprefix("tcp://")
        self.peers = Peers(
            context=context,
            own=self.name,
            own_address=self.address,
            data_centre=HERE,
            seeds=[],
            rng=random.Random(1),
        )
        self.ledger = Ledger(log=client, writer=name, places=Places(per_topic=2))
        local = LocalTurns(ledger=self.ledger)
        self.turn_server = TurnServer(local=local, ledger=self.ledger)
        self.server.fallback = self.turn_server.answer
        self.delegates = DelegateSelector(
            own=self.name, peers=self.peers, peer_health=PeerHealth()
        )
        self.turns = DelegatedTurns(
            delegates=self.delegates,
            local=local,
            ledger=self.ledger,
        )


class DelegatesTestCase(unittest.IsolatedAsyncioTestCase):
    """Hold two processes of one data centre over real sockets."""

    async def asyncSetUp(self) -> None:
        """Start the delegate of the program's account, and another process."""
        self.store = KeyedStore()
        self.context = zmq.asyncio.Context()
        self.closing: list[Callable[[], None]] = []
        self.serving: list[asyncio.Task[None]] = []
        names = ["one", "two"]
        processes = {name: self.process(name) for name in names}
        for process in processes.values():
            for other in processes.values():
                record = PeerRecord(address=other.address, data_centre=HERE)
                value = msgspec.json.encode(record)
                process.peers.change(KeyedRecord(key=other.name, value=value))
        delegate = processes["one"].delegates.delegate_of(PROGRAM) or HostName("one")
        self.delegate = processes.pop(delegate)
        self.other = processes.popitem()[1]

    async def asyncTearDown(self) -> None:
        """Close everything."""
        for process in (self.delegate, self.other):
            process.peers.close()
            await process.ledger.close()
        for task in self.serving:
            task.cancel()
        for close in self.closing:
            close()
        self.context.destroy(linger=0)

    def process(self, name: str) -> Process:
        """Start a process."""
        process = Process(name=name, context=self.context, client=self.store.client())
        self.serving.append(asyncio.create_task(process.server.run()))
        self.closing.append(process.server.close)
        return process

    def answer_with(self, answer: Callable[[Request, Send], object]) -> None:
        """Have the delegate answer requests otherwise."""
        self.delegate.server.fallback = answer  # type: ignore[assignment]

    async def opened(self, process: Process, begun: TurnStart) -> OpenTurn:
        """Open a turn, which must fit."""
        found = await process.turns.open(begun)
        assert isinstance(found, LocalTurn | DelegatedTurn), found
        self.assertIs(await found.verdict(), BudgetVerdict.FITS)
        return found

    async def granted(self, *processes: Process) -> int:
        """Return what the log grants processes, as one that starts now reads it."""
        fresh = Ledger(log=self.store.client(), writer="x", places=Places(per_topic=2))
        partition = fresh.partition(PROGRAM)
        self.assertTrue(await partition.sync())
        return sum(
            partition.state.granted(PROGRAM, WriterId(process.name))
            for process in processes
        )

    async def ended_at_delegate(self, *, within: float) -> None:
        """Wait until the delegate has no turn open, for so many seconds."""
        async with asyncio.timeout(within):
            while self.delegate.turn_server.open_turns:
                await asyncio.sleep(0.01)

    def covers_arrive_after(self, end: asyncio.Event) -> None:
        """Have the delegate take up raises only after a turn's end."""
        before = self.delegate.turn_server.answer

        async def overtaken(request: Request, send: Send) -> Reply:
            if isinstance(request, CoverTurnRequest):
                await end.wait()
            return await before(request, send)

        self.answer_with(overtaken)

    async def rest_being_reserved(self) -> tuple[OpenTurn, asyncio.Task[bool]]:
        """Lose the delegate midway; return the turn whose rest is asked for here.

        The store is slow, so the gateway waits for the verdict on that rest.
        """
        turn = await self.opened(self.other, start("t1", budget=4 * MOST - 10))
        self.assertFalse(turn.covers(40))
        turn.hand_out(30)
        ledger = self.delegate.ledger
        restarted = TurnServer(local=LocalTurns(ledger=ledger), ledger=ledger)
        self.answer_with(restarted.answer)
        self.assertTrue(await self.other.ledger.partition(PROGRAM).sync())
        self.other.client.faults.delay = 0.2
        waiting = asyncio.Event()
        verdict = LocalTurn.verdict

        async def noted(taken: LocalTurn) -> BudgetVerdict:
            waiting.set()
            return await verdict(taken)

        with mock.patch.object(LocalTurn, "verdict", noted):
            asking = asyncio.create_task(turn.cover(10))
            async with asyncio.timeout(PATIENCE):
                await waiting.wait()
        return turn, asking

    async def assert_returned(self) -> None:
        """Check that the gateway returns what it has granted to itself."""
        async with asyncio.timeout(PATIENCE):
            while not await self.granted(self.other):
                await asyncio.sleep(0.01)
        self.other.client.faults.delay = 0.0
        async with asyncio.timeout(PATIENCE):
            while await self.granted(self.other):
                await self.other.ledger.flush()
                await asyncio.sleep(0.01)

    async def run_turn(
        self, process: Process, begun: TurnStart, given: bytes, made: bytes
    ) -> OpenTurn:
        """Run and commit a turn that hands out ten tokens."""
        turn = await self.opened(process, begun)
        turn.announce()
        turn.hand_out(10)
        await turn.commit(given, made)
        turn.close()
        return turn


class DelegatesTests(DelegatesTestCase):
    """Run turns through a gateway and the delegate of their program's account."""

    async def test_turns_through_both(self) -> None:
        """Continue at one process what the other relayed, without the store.

        The delegate has the history in memory. The second turn costs the store its
        own commit and index entry only.
        """
        await self.run_turn(self.other, start("t1"), b"in", b"out")
        calls = self.store.listings
        turn = await self.run_turn(
            self.delegate, start("t2", previous="t1"), b"in2", b"out2"
        )
        assert turn.history is not None
        self.assertEqual(turn.history.prompt, b"inout")
        third = await self.opened(self.other, start("t3", previous="t2"))
        assert third.history is not None
        self.assertEqual(third.history.prompt, b"inoutin2out2")
        self.assertIsInstance(third, DelegatedTurn)
        self.assertEqual(self.store.listings, calls)

    async def test_unknown_turn(self) -> None:
        """Pass on that there is no such turn."""
        found = await self.other.turns.open(start("t2", previous="nothing"))
        self.assertIs(found, Lookup.ABSENT)

    async def test_delegate_is_dead(self) -> None:
        """Serve a turn although the delegate of its account says nothing.

        The delegate's machine froze. The process that has the caller waits a
        tenth of a second, keeps the account itself, and goes on from the same
        history; for a while it asks the frozen one no more.
        """
        await self.run_turn(self.other, start("t1"), b"in", b"out")

        async def frozen(request: Request, send: Send) -> Reply:
            await asyncio.Event().wait()
            raise AssertionError

        self.answer_with(frozen)
        turn = await self.opened(self.other, start("t2", previous="t1"))
        self.assertIsInstance(turn, LocalTurn)
        assert turn.history is not None
        self.assertEqual(turn.history.prompt, b"inout")
        self.assertIsNone(self.other.delegates.delegate_of(PROGRAM))

    async def test_delegate_dies_before_the_commit(self) -> None:
        """Commit a turn here whose delegate is lost at the turn's end.

        The caller has all events but the end. The delegate may or may not have
        written the turn; the same record under the same key does no harm.
        """
        turn = await self.opened(self.other, start("t1"))
        turn.announce()
        before = self.delegate.turn_server.answer

        async def lost(request: Request, send: Send) -> Reply:
            if isinstance(request, CommitTurnRequest):
                await asyncio.Event().wait()
            return await before(request, send)

        self.answer_with(lost)
        await turn.commit(b"in", b"out")
        fresh = Ledger(log=self.store.client(), writer="x", places=Places(per_topic=2))
        found = await fresh.history(PROGRAM, TurnId("t1"))
        assert not isinstance(found, Lookup)
        self.assertEqual(found.prompt, b"inout")

    async def test_delegate_restarts_within_a_turn(self) -> None:
        """Commit through a delegate that has forgotten the turn."""
        turn = await self.opened(self.other, start("t1"))
        turn.announce()
        ledger = self.delegate.ledger
        restarted = TurnServer(local=LocalTurns(ledger=ledger), ledger=ledger)
        self.answer_with(restarted.answer)
        await turn.commit(b"in", b"out")
        found = await self.delegate.ledger.history(PROGRAM, TurnId("t1"))
        assert not isinstance(found, Lookup)
        self.assertEqual(found.prompt, b"inout")

    async def test_delegate_raises_what_a_turn_holds(self) -> None:
        """Ask the delegate for more in the middle of a stream, a part at a time.

        Little is left of the budget, so the turn holds a third of its most. The
        gateway asks before that is used up; the delegate has the log grant more.
        """
        turn = await self.opened(self.other, start("t1", budget=3 * MOST))
        self.assertIsInstance(turn, DelegatedTurn)
        self.assertTrue(turn.covers(30))
        self.assertFalse(turn.covers(40))
        for _ in range(10):
            self.assertTrue(await turn.cover(10))
            turn.hand_out(10)
        turn.close()
        async with asyncio.timeout(PATIENCE):
            while self.delegate.ledger.spent(start("t1").terms) < MOST:
                await asyncio.sleep(0.01)

    async def test_delegate_is_lost_between_two_raises(self) -> None:
        """Go on here where the delegate is lost with a part of a turn granted.

        The caller has some events. The delegate has forgotten the turn when more
        is asked for. This process has the rest granted to itself; what the
        delegate had granted counts as spent, the stream does not break.
        """
        turn = await self.opened(self.other, start("t1", budget=3 * MOST))
        turn.hand_out(30)
        ledger = self.delegate.ledger
        restarted = TurnServer(local=LocalTurns(ledger=ledger), ledger=ledger)
        self.answer_with(restarted.answer)
        self.assertTrue(await turn.cover(30))
        turn.hand_out(30)
        self.assertIn("after all", turn.where)
        turn.announce()
        await turn.commit(b"in", b"out")
        found = await self.delegate.ledger.history(PROGRAM, TurnId("t1"))
        assert not isinstance(found, Lookup)
        self.assertEqual(found.prompt, b"inout")

    async def test_turn_is_kept_while_more_is_asked_for(self) -> None:
        """Trust a delegate that says that a turn is not open which has just ended.

        A caller's stream ends at the event before more would be needed. The request
        for more is on its way when the delegate writes the turn, and finds the turn no
        longer open. The delegate is well: the program's next turns must go to it, and
        nothing may be granted here for a turn that has ended.
        """
        turn = await self.opened(self.other, start("t1", budget=3 * MOST))
        turn.hand_out(30)
        turn.announce()
        ended = asyncio.Event()
        self.covers_arrive_after(ended)
        asking = asyncio.create_task(turn.cover(10))
        await asyncio.sleep(0)
        await turn.commit(b"in", b"out")
        ended.set()
        covered = await asking
        self.assertEqual(self.other.delegates.delegate_of(PROGRAM), self.delegate.name)
        self.assertFalse(covered)
        self.assertEqual(await self.granted(self.other), 0)

    async def test_turn_is_closed_while_more_is_asked_for(self) -> None:
        """Trust a delegate that was told the end of a turn before a request for more.

        The answer of a turn that is not kept ends, and its end reaches the delegate
        first. The delegate is well, and nothing is left to be granted here.
        """
        turn = await self.opened(self.other, start("t1", budget=3 * MOST, kept=False))
        turn.hand_out(30)
        ended = asyncio.Event()
        self.covers_arrive_after(ended)
        asking = asyncio.create_task(turn.cover(10))
        await asyncio.sleep(0)
        turn.close()
        await self.ended_at_delegate(within=PATIENCE)
        ended.set()
        covered = await asking
        self.assertEqual(self.other.delegates.delegate_of(PROGRAM), self.delegate.name)
        self.assertFalse(covered)
        self.assertEqual(await self.granted(self.other), 0)

    async def test_caller_leaves_while_the_rest_is_reserved(self) -> None:
        """Return the rest of a turn whose caller left before it was granted.

        The delegate is lost midway, and the gateway has the rest granted to itself. The
        caller leaves while the log is waited for. Nobody else knows of that rest: left
        open, it would be missing from the program's budget for good.
        """
        turn, asking = await self.rest_being_reserved()
        asking.cancel()
        await asyncio.wait([asking])
        turn.close()
        await self.assert_returned()

    async def test_turn_ends_while_the_rest_is_reserved(self) -> None:
        """Return the rest of a turn that ended before it was granted.

        The delegate is lost midway, and the answer ends with what it had granted while
        the rest is being granted to the gateway. That rest must not stay open.
        """
        turn, asking = await self.rest_being_reserved()
        turn.close()
        self.assertFalse(await asking)
        await self.assert_returned()

    async def test_delegate_is_slow_between_two_raises(self) -> None:
        """Stay with a delegate that takes a moment to say that it works on a raise.

        The delegate's machine is busy. Its grant would be lost with it, so a stream
        that is under way waits for it longer than one that begins.
        """
        turn = await self.opened(self.other, start("t1", budget=3 * MOST))
        turn.hand_out(30)
        before = self.delegate.turn_server.answer

        async def slow(request: Request, send: Send) -> Reply:
            if isinstance(request, CoverTurnRequest):
                await asyncio.sleep(0.2)
            return await before(request, send)

        self.answer_with(slow)
        self.assertTrue(await turn.cover(30))
        self.assertNotIn("after all", turn.where)
        turn.close()

    async def test_delegate_is_lost_where_little_is_left(self) -> None:
        """Wait for what a lost delegate claimed for the turn, and go on.

        A budget holds little more than the turn that is open. Its delegate is lost
        with a third of the turn granted; what it claimed for the rest still stands
        for a while, and leaves no room for the same rest here. The stream must
        not be cut for that.
        """
        turn = await self.opened(self.other, start("t1", budget=MOST + 40))
        turn.hand_out(30)

        async def forgotten(request: Request, send: Send) -> Reply:
            return failure_reply("not open here")

        self.answer_with(forgotten)
        with mock.patch.object(budgets_module, "RETURN_BOUND", 0.5):
            self.assertTrue(await turn.cover(70))
        turn.close()

    async def test_budget_over_both(self) -> None:
        """Hand out no more than the budget through both, the delegate lost midway.

        The first turns run on the delegate's account. Then it stops answering,
        and the other one keeps an account of its own. What was granted to the
        delegate counts.
        """
        handed = 0
        for number in range(4):
            turn = await self.opened(self.other, start(f"t{number}", kept=False))
            turn.hand_out(MOST)
            handed += MOST
            turn.close()

        async def frozen(request: Request, send: Send) -> Reply:
            await asyncio.Event().wait()
            raise AssertionError

        self.answer_with(frozen)
        for number in range(20):
            found = await self.other.turns.open(start(f"u{number}", kept=False))
            if isinstance(found, Lookup | BudgetVerdict):
                break
            if await found.verdict() is BudgetVerdict.FITS:
                found.hand_out(MOST)
                handed += MOST
            found.close()
        self.assertLessEqual(handed, BUDGET)

    async def test_earlier_turn_asks_for_more(self) -> None:
        """Hand out no more than the log grants where an earlier turn asks for more.

        Little is left of the budget, so each of two turns at the delegate holds a part.
        The store goes away, and the earlier one was covered by what was granted for
        the later one, whose gateway hands that out unasked: 98 tokens went out and 68
        were granted. Whoever follows a delegate that is lost then counts 68, and the
        program is handed more than its budget.
        """
        budget = int(3.9 * MOST)
        turns = [
            await self.opened(self.other, start(name, budget=budget, lifetime=PATIENCE))
            for name in ("t1", "t2")
        ]
        self.delegate.client.faults.down = True
        handed = 0
        for turn, tokens in zip(turns, (64, 34), strict=True):
            self.assertIsInstance(turn, DelegatedTurn)
            if await turn.cover(tokens):
                turn.hand_out(tokens)
                handed += tokens
        self.assertLessEqual(handed, await self.granted(self.delegate))

    async def test_gateway_dies_within_a_turn(self) -> None:
        """Count a turn at its most whose gateway never tells its end.

        How much of it reached the caller nobody knows.
        """
        await self.opened(self.other, start("t1", kept=False))
        handler = logbook.TestHandler()
        with handler.applicationbound():
            await self.ended_at_delegate(within=PATIENCE)
        turn = await self.opened(self.delegate, start("t2", kept=False))
        self.assertEqual(turn.spent, MOST)
        lines = "\n".join(handler.formatted_records)
        self.assertIn("turn t1 of program was never ended by its gateway", lines)
        self.assertIn("100 tokens count as used", lines)

    async def test_caller_leaves_while_a_turn_opens(self) -> None:
        """Count nothing for a caller that left before its turn was opened."""
        self.delegate.client.faults.delay = 0.05
        opening = asyncio.create_task(self.other.turns.open(start("t1", kept=False)))
        await asyncio.sleep(0.03)
        opening.cancel()
        await asyncio.wait([opening])
        self.delegate.client.faults.delay = 0.0
        await asyncio.sleep(2 * LIFETIME)
        turn = await self.opened(self.delegate, start("t2", kept=False))
        self.assertEqual(turn.spent, 0)

    async def test_delegate_stops(self) -> None:
        """Open nothing at a delegate that stops, and end what is open there."""
        first = await self.opened(self.other, start("t1"))
        self.delegate.turn_server.stopping = True
        second = await self.opened(self.other, start("t2"))
        self.assertIsInstance(second, LocalTurn)
        first.announce()
        await first.commit(b"in", b"out")
        self.assertEqual(self.delegate.turn_server.open_turns, 0)

    async def test_store_away(self) -> None:
        """Go on inside what the delegate was granted while the store is away.

        The store goes down between two turns of a program whose turns come
        through both processes. Neither can have tokens granted any more.
        """
        first = await self.opened(self.other, start("t0", kept=False))
        first.hand_out(10)
        first.close()
        for process in (self.delegate, self.other):
            process.client.faults.down = True
        ran = 0
        for number in range(8):
            process = (self.delegate, self.other)[number % 2]
            found = await process.turns.open(start(f"t{number + 1}", kept=False))
            if isinstance(found, Lookup | BudgetVerdict):
                break
            ran += 1
            found.hand_out(10)
            found.close()
        self.assertGreaterEqual(ran, 2)


class LateDelegateTests(DelegatesTestCase):
    """Return what a delegate holds for a turn whose gateway has gone elsewhere."""

    def late(self, kind: type[Request]) -> None:
        """Have the delegate do what it is asked at once and say so too late."""
        before = self.delegate.turn_server.answer

        async def answer(request: Request, send: Send) -> Reply:
            if not isinstance(request, kind):
                return await before(request, send)
            work = asyncio.create_task(before(request, unheard))
            await asyncio.sleep(LATE)
            return await work

        self.answer_with(answer)

    def deaf(self, kind: type[Request]) -> None:
        """Have the delegate neither do nor answer what it is first asked."""
        before = self.delegate.turn_server.answer
        missed: list[Request] = []

        async def answer(request: Request, send: Send) -> Reply:
            if isinstance(request, kind) and not missed:
                missed.append(request)
                await asyncio.Event().wait()
            return await before(request, send)

        self.answer_with(answer)

    async def spent(self) -> int:
        """Return what a process counts as spent that reads the log anew."""
        return await self.granted(self.delegate, self.other)

    async def settled(self, tokens: int) -> None:
        """Wait until the log counts so many tokens as spent, for a while."""
        deadline = asyncio.get_running_loop().time() + SETTLE_TIME
        while await self.spent() != tokens:
            if asyncio.get_running_loop().time() > deadline:
                self.assertEqual(await self.spent(), tokens)
            await asyncio.sleep(0.05)

    async def test_turn_opened_too_late_is_returned(self) -> None:
        """Serve a caller that comes back after its turn was opened too late.

        All machines have just started again, and a program whose budget holds
        little more than a turn goes on from a kept one. The delegate of its account
        is busy and says its first word too late; the gateway keeps the account
        itself. The delegate opens the turn all the same and holds the budget for it,
        so the caller is told to come back for as long as the turn might have run.
        Of five such turns in half a minute three were `kept here` and committed at
        their gateway, while their delegate wrote six seconds later that the turn `was
        never ended by its gateway`.
        """
        self.late(OpenTurnRequest)
        budget = int(1.6 * MOST)
        found: OpenTurn | Lookup | BudgetVerdict = BudgetVerdict.HELD
        for number in range(TRIES):
            begun = start(f"t{number}", budget=budget, lifetime=PATIENCE)
            found = await self.other.turns.open(begun)
            if isinstance(found, LocalTurn | DelegatedTurn):
                break
            await asyncio.sleep(HELD_RETRY)
        self.assertIsInstance(found, LocalTurn | DelegatedTurn)

    async def test_turns_opened_too_late_are_not_spent(self) -> None:
        """Refuse no program for turns that were opened too late.

        The delegate is late for two tries in a row. When their time was over it
        counted what it had held for them as handed out. Nothing had reached the
        caller, and each further try was told that the budget is spent: 402 for
        the rest of fifteen seconds, in 37 tries.
        """
        self.late(OpenTurnRequest)
        budget = int(1.6 * MOST)
        for number in range(2):
            found = await self.other.turns.open(start(f"t{number}", budget=budget))
            if isinstance(found, LocalTurn | DelegatedTurn):
                found.close()
            await asyncio.sleep(3 * LIFETIME)
            self.other.delegates.peer_health = PeerHealth()
        await self.settled(0)
        found = await self.other.turns.open(start("t2", budget=budget))
        self.assertIsInstance(found, LocalTurn | DelegatedTurn)

    async def test_turn_confirmed_too_late_is_returned(self) -> None:
        """Count a turn once whose delegate was late to say that it is granted.

        The engine works on the turn already when its gateway asks the delegate
        whether the grant stands. No answer comes in time, so the gateway has the
        turn granted to itself. The delegate counted its own grant as handed out
        besides: two turns opened so were found in half a minute after a restart of
        all, `kept at` their delegate, answered, and `never ended by its gateway`.
        """
        self.late(ConfirmTurnRequest)
        turn = await self.opened(self.other, start("t1", kept=False))
        self.assertIn("after all", turn.where)
        turn.hand_out(10)
        turn.close()
        await asyncio.sleep(2 * LIFETIME)
        self.other.ledger._budgets.give_back_all()
        self.delegate.ledger._budgets.give_back_all()
        await self.settled(10)

    async def test_end_is_told_where_the_commit_was_not(self) -> None:
        """Count what a turn handed out whose delegate did not hear of its end.

        The delegate is frozen when it is to commit the turn. The gateway writes the
        turn itself. The delegate wakes with the turn open and counted it at its most.
        """
        turn = await self.opened(self.other, start("t1", lifetime=PATIENCE))
        self.deaf(CommitTurnRequest)
        turn.announce()
        turn.hand_out(10)
        await turn.commit(b"in", b"out")
        turn.close()
        await self.ended_at_delegate(within=SETTLE_TIME)
        self.delegate.ledger._budgets.give_back_all()
        await self.settled(10)

    async def test_end_that_is_lost_is_told_again(self) -> None:
        """Tell the end of a turn again whose first message was lost.

        The connection to the delegate breaks just as a turn ends. It was told once
        only, and the delegate counted the turn at its most.
        """
        turn = await self.opened(self.other, start("t1", kept=False, lifetime=PATIENCE))
        self.deaf(CloseTurnRequest)
        turn.hand_out(10)
        turn.close()
        await self.ended_at_delegate(within=SETTLE_TIME)
        self.delegate.ledger._budgets.give_back_all()
        await self.settled(10)

    async def test_end_that_overtakes_the_beginning(self) -> None:
        """Open no turn whose end has come already.

        A link that was silent is made anew, and what waits in the old one can be
        read after what came through the new one. The delegate would hold a turn that
        nobody ends.
        """
        server = self.delegate.turn_server
        opening = OpeningId("1")
        await server.answer(CloseTurnRequest(opening=opening, handed=0), unheard)
        begin = OpenTurnRequest(opening=opening, start=start("t1"))
        reply = await server.answer(begin, unheard)
        self.assertIsInstance(reply, Failed)
        self.assertEqual(server.open_turns, 0)


class LostGatewayTests(DelegatesTestCase):
    """Serve a caller whose gateway was lost with a turn open at the delegate."""

    def begun(self, turn: str, *, session: str = "line") -> TurnStart:
        """Return the start of a turn of which the budget holds one and a half."""
        return start(turn, kept=False, budget=SMALL, lifetime=PATIENCE, session=session)

    async def test_caller_comes_back_through_another_gateway(self) -> None:
        """Serve a caller at once that comes back after its gateway was lost.

        A gateway is killed with a turn open at the delegate of the account. Nobody
        tells the end. The caller's connection breaks, and it comes back through
        another gateway. Its budget holds a turn beside what the first was covered
        for, but the delegate held the first one's most until its time was over: the
        caller was told to come back until its tries were used up.
        """
        await self.opened(self.other, self.begun("t1"))
        turn = await self.opened(self.other, self.begun("t2"))
        self.assertIsInstance(turn, DelegatedTurn)

    async def test_caller_comes_back_through_the_delegate(self) -> None:
        """Serve a caller at once that comes back to the delegate itself."""
        await self.opened(self.other, self.begun("t1"))
        await self.opened(self.delegate, self.begun("t2"))

    async def test_lost_turn_counts_as_far_as_it_was_covered(self) -> None:
        """Count what a lost gateway may have handed out, once the turn's time is over.

        How much of it reached the caller nobody knows.
        """
        begun = start("t1", kept=False, budget=SMALL, session="line")
        await self.opened(self.other, begun)
        await self.run_whole(await self.opened(self.other, self.begun("t2")))
        await self.ended_at_delegate(within=PATIENCE)
        self.assertEqual(self.delegate.ledger.spent(begun.terms), COVERED + MOST)

    async def test_gateway_lives_after_all(self) -> None:
        """Cut no newer turn for an earlier one whose gateway was only frozen.

        It wakes and goes on for a caller that has left. It hands out what it was
        covered for, and no more than what the newer one leaves of the budget.
        """
        earlier = await self.opened(self.other, self.begun("t1"))
        newer = await self.opened(self.other, self.begun("t2"))
        self.assertTrue(await earlier.cover(COVERED))
        earlier.hand_out(COVERED)
        for _ in range(2):
            self.assertTrue(await earlier.cover(BESIDE // 2))
            earlier.hand_out(BESIDE // 2)
        self.assertFalse(await earlier.cover(1))
        self.assertEqual(self.other.delegates.delegate_of(PROGRAM), self.delegate.name)
        await self.run_whole(newer)

    async def test_gateway_goes_on_when_the_newer_turn_has_ended(self) -> None:
        """Cut no turn that its budget holds, though its caller began another.

        A caller that asked twice and still listens to the first is served by it, once
        the second has returned what it did not use.
        """
        earlier = await self.opened(self.other, self.begun("t1"))
        newer = await self.opened(self.other, self.begun("t2"))
        newer.hand_out(10)
        newer.close()
        await self.run_whole(earlier)

    async def test_end_of_the_earlier_turn_comes_late(self) -> None:
        """Count exactly a turn whose end comes after the next one has begun.

        The caller has the whole answer and goes on through another gateway, faster
        than the first one tells the delegate.
        """
        earlier = await self.opened(self.other, self.begun("t1"))
        earlier.hand_out(10)
        newer = await self.opened(self.other, self.begun("t2"))
        earlier.close()
        await self.run_whole(newer)
        await self.ended_at_delegate(within=PATIENCE)
        spent = self.delegate.ledger.spent(self.begun("t1").terms)
        self.assertEqual(spent, 10 + MOST)

    async def test_beginning_of_an_earlier_turn_comes_late(self) -> None:
        """Go on with a turn although an older beginning came after its own.

        A machine that was cut off is reached again: the delegate reads the beginning of
        a turn that its caller has given up, and then its end.
        """
        newer = await self.opened(self.other, self.begun("t2"))
        late = await self.opened(self.other, self.begun("t1"))
        newer.hand_out(COVERED)
        asking = asyncio.create_task(newer.cover(MOST - COVERED))
        await asyncio.sleep(LATE)
        late.close()
        self.assertTrue(await asking)

    async def test_turns_of_other_sessions_keep_their_claim(self) -> None:
        """Give up no turn of a sub-agent, nor one whose caller names no session."""
        for first, second in (("line", "other"), ("", "")):
            with self.subTest(first=first, second=second):
                begun = self.begun(f"t-{first}", session=first)
                earlier = await self.opened(self.other, begun)
                found = await self.other.turns.open(self.begun("t2", session=second))
                self.assertIs(found, BudgetVerdict.HELD)
                earlier.close()
                await self.ended_at_delegate(within=PATIENCE)

    async def test_process_that_knows_no_sessions(self) -> None:
        """Take up a turn from a process that names no session."""
        opening = OpeningId("1")
        request = OpenTurnRequest(opening=opening, start=self.begun("t1"))
        raw = msgspec.msgpack.decode(encode(request))
        del raw["start"]["terms"]["session"]
        found = decode_request(msgspec.msgpack.encode(raw))
        assert isinstance(found, OpenTurnRequest)
        self.assertEqual(found.start.terms.session, "")

    async def run_whole(self, turn: OpenTurn) -> None:
        """Hand out the most of a turn by events, and end it."""
        for _ in range(10):
            self.assertTrue(await turn.cover(MOST // 10))
            turn.hand_out(MOST // 10)
        turn.close()


async def unheard(reply: Reply) -> None:
    """Take a reply that reaches nobody."""
