"""Test turns that are covered by a lender while the store is away."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from collections.abc import Callable
from unittest import mock

import zmq.asyncio

from ...fleet import slot_claimer as slot_claimer_module
from ...fleet.claims import (
    EXPIRY_MARGIN,
    LENDING_LEASE,
    TOPIC as CLAIMS_TOPIC,
    ClaimExpiry,
    Claims,
    slot_of,
)
from ...fleet.loan_service import ASK_TIMEOUT, LoanService
from ...fleet.notifier import RETRY_TIMEOUT
from ...fleet.peer_health import GONE_FAILURES, PeerHealth
from ...fleet.peers import TOPIC as PEERS_TOPIC, Peers, PeerServer
from ...fleet.slot_claimer import SlotClaimer
from ...fleet.turn_server import TurnServer
from ...ids import DataCentre, HostName, OpeningId, ProgramId, TurnId, WriterId
from ...ledger.holds import NoLender
from ...ledger.ledger import Ledger
from ...ledger.loans import FORGET_AFTER, LoanBook
from ...ledger.places import Places
from ...ledger.reservation import Reservation
from ...ledger.split import PartLent
from ...ledger.terms import BudgetVerdict, TurnStart, TurnTerms
from ...ledger.turns import LOG_PATIENCE, LocalTurn, LocalTurns
from ...routing.follower import TopicFollower
from ...standins.keyed_store import KeyedStore
from ...wire.links import Send
from ...wire.messages import (
    CoverTurnRequest,
    Failed,
    LendRequest,
    OpenTurnRequest,
    Reply,
    Request,
    SettleRequest,
    TurnOpened,
)
from .delegates_tests import NoStore

PROGRAM = ProgramId("program")
BUDGET = 2000
MOST = 100
PATIENCE = 10.0
RETENTION = 60.0


def start(turn: str, *, most: int = MOST, budget: int = BUDGET) -> TurnStart:
    """Return the start of a program's first turn."""
    return TurnStart(
        terms=TurnTerms(
            turn=TurnId(turn),
            program=PROGRAM,
            budget=budget,
            most=most,
            retention=RETENTION,
        ),
        previous=None,
        kept=True,
        lifetime=1.0,
    )


class Process:
    """Hold what one gateway has for turns and loans."""

    def __init__(
        self,
        *,
        name: str,
        context: zmq.asyncio.Context,
        store: KeyedStore,
        writer: str = "",
    ) -> None:
        self.name = HostName(name)
        self.writer = WriterId(writer or f"writer-{name}")
        self.client = store.client()
        self.server = PeerServer(
            context=context, address="127.0.0.1:*", caller=NoStore()
        )
        self.peers = Peers(
            context=context,
            own=self.name,
            own_address=self.server.address.removeprefix("tcp://"),
            data_centre=DataCentre("here"),
            seeds=[],
            rng=random.Random(1),
        )
        self.claims = Claims()
        self.ledger = Ledger(
            log=self.client,
            writer=self.writer,
            places=Places(per_topic=2),
            split=PartLent(),
        )
        self.book = LoanBook(split=PartLent(), carried=self.claims.carried)
        self.seen_from = 0.0
        self.now = 0.0
        self.peer_health = PeerHealth()
        self.claimer = SlotClaimer(
            writer=self.writer,
            own=self.name,
            peers=self.peers,
            book=self.book,
            claims=self.claims,
            peer_health=self.peer_health,
            seen_from=lambda: self.seen_from,
            clock=lambda: self.now,
        )
        self.lenders = LoanService(
            writer=self.writer,
            own=self.name,
            peers=self.peers,
            book=self.book,
            claims=self.claims,
            claimer=self.claimer,
            peer_health=self.peer_health,
        )
        self.turns = LocalTurns(ledger=self.ledger, lender=self.lenders)
        self.server.fallback = self.answer

    async def answer(self, request: Request, send: Send) -> Reply:
        """Answer a borrower."""
        return self.lenders.answer(request)

    def parts(self) -> list[asyncio.Task[None]]:
        """Start to follow the store, to register and to claim."""
        followers = [
            TopicFollower(
                log=self.client,
                topic=PEERS_TOPIC,
                replace=self.peers.replace,
                change=self.peers.change,
            ),
            TopicFollower(
                log=self.client,
                topic=CLAIMS_TOPIC,
                replace=self.claims.replace,
                change=self.claims.change,
            ),
        ]
        parts = [one.follow() for one in followers]
        parts.append(self.peers.register(self.client, self.writer))
        parts.append(self.claimer.run(self.client, lambda: RETENTION))
        parts.append(self.server.run())
        return [asyncio.create_task(part) for part in parts]

    @property
    def rank(self) -> int | None:
        """Return the place for the program; None without a claim."""
        for lending in self.claims.lenders_of(slot_of(PROGRAM)):
            if lending.writer == self.writer:
                return lending.rank
        return None


class SlowAnswers:
    """Answer for a lender whose messages come late or are lost."""

    def __init__(self, process: Process) -> None:
        self._process = process
        # Requests to lend are handled so much later. Seconds.
        self.lend_delay = 0.0
        # Answers to requests to lend come so much later. Seconds.
        self.answer_delay = 0.0
        # So many of the next settlements never arrive.
        self.settlements_lost = 0
        self.settlements = 0
        process.server.fallback = self._answer

    async def _answer(self, request: Request, send: Send) -> Reply:
        if isinstance(request, LendRequest):
            await asyncio.sleep(self.lend_delay)
            reply = self._process.lenders.answer(request)
            await asyncio.sleep(self.answer_delay)
            return reply
        if isinstance(request, SettleRequest):
            self.settlements += 1
            if self.settlements <= self.settlements_lost:
                await asyncio.Event().wait()
        return self._process.lenders.answer(request)


class LoanServiceTests(unittest.IsolatedAsyncioTestCase):
    """Run processes of three data centres over real sockets."""

    async def asyncSetUp(self) -> None:
        """Start three processes, one of which lends to the program."""
        for name, value in (("FIRST_CLAIM_DELAY", 0.3), ("CLAIM_INTERVAL", 0.1)):
            patch = mock.patch.object(slot_claimer_module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.store = KeyedStore()
        self.context = zmq.asyncio.Context()
        self.closing: list[Callable[[], None]] = []
        self.tasks: dict[str, list[asyncio.Task[None]]] = {}
        self.processes = [self.process(name) for name in ("one", "two", "three")]
        await self.until(lambda: all(self._knows_a_lender(p) for p in self.processes))
        self.lender = next(p for p in self.processes if p.rank == 0)
        self.other = next(p for p in self.processes if p.rank is None)

    async def asyncTearDown(self) -> None:
        """End everything."""
        for name in list(self.tasks):
            self.end(name)
        for process in self.processes:
            process.peers.close()
            await process.ledger.close()
        for close in self.closing:
            close()
        self.context.destroy(linger=0)

    def process(self, name: str) -> Process:
        """Start a process."""
        process = Process(name=name, context=self.context, store=self.store)
        self.tasks[name] = process.parts()
        self.closing.append(process.server.close)
        return process

    def end(self, name: str) -> None:
        """End a process without a word to anyone."""
        for task in self.tasks.pop(name):
            task.cancel()

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until something holds."""
        async with asyncio.timeout(PATIENCE):
            while not condition():
                await asyncio.sleep(0.01)

    def take_store_away(self) -> None:
        """Have the store answer nobody."""
        for process in self.processes:
            process.client.faults.down = True

    async def lent(self, process: Process, turn: str, *, most: int = MOST) -> LocalTurn:
        """Open a turn, which must be covered by a loan."""
        found = await process.turns.open(start(turn, most=most))
        assert isinstance(found, LocalTurn), found
        self.assertIsNotNone(found.covered)
        self.assertIs(await found.verdict(), BudgetVerdict.FITS)
        return found

    def _knows_a_lender(self, process: Process) -> bool:
        return bool(process.claims.lenders_of(slot_of(PROGRAM)))

    async def test_program_begins_while_the_store_is_away(self) -> None:
        """Serve a new program in an outage, through any data centre.

        The store goes away for all. A program begins then, at a gateway that
        has read nothing of it. The tokens come from the program's lender, and
        the turn ends once the store is back and has kept it.
        """
        self.take_store_away()
        turn = await self.lent(self.other, "turn-1")
        turn.hand_out(30)
        commit = asyncio.create_task(turn.commit(b"in", b"out"))
        await asyncio.sleep(0.2)
        self.assertFalse(commit.done())
        for process in self.processes:
            process.client.faults.down = False
        await asyncio.wait_for(commit, PATIENCE)

    async def test_program_begins_beside_another_one_that_is_known(self) -> None:
        """Lend the whole part to a program that begins in an outage.

        The gateway has read the partition of the log for another program, so
        it learns only from the grant that can't be written that the store is
        away. The lender must not have given its part over by then.
        """
        await self.other.ledger.partition(PROGRAM).sync()
        self.take_store_away()
        turn = await self.other.turns.open(start("turn-1", most=300))
        assert isinstance(turn, LocalTurn)
        self.assertIs(await turn.verdict(), BudgetVerdict.FITS)
        self.assertEqual(turn.covered, 300)

    async def test_program_that_loops_gets_the_lent_part_at_most(self) -> None:
        """Stop a program that loops in an outage, whoever it asks.

        Its sub-agents arrive at all gateways at once, and each turn hands out
        all that it may. Together they get what the lender's place allows.
        """
        self.take_store_away()
        handed = 0
        for number in range(12):
            process = self.processes[number % 3]
            opened = await process.turns.open(start(f"turn-{number}"))
            if isinstance(opened, LocalTurn):
                assert opened.covered is not None
                opened.hand_out(opened.covered)
                handed += opened.covered
                opened.close()
            else:
                self.assertIs(opened, BudgetVerdict.UNCERTAIN)
        self.assertEqual(handed, PartLent().lent(BUDGET, 0))

    async def test_turns_that_use_little_go_on(self) -> None:
        """Lend again what turns did not use, for as long as the outage lasts."""
        self.take_store_away()
        for number in range(6):
            turn = await self.lent(self.other, f"turn-{number}", most=200)
            turn.hand_out(40)
            turn.close()
            await self.until(lambda: not self._owes())

    def _owes(self) -> bool:
        accounts = self.lender.book._accounts.values()
        return any(account.open for account in accounts)

    async def test_program_under_way_when_the_store_goes_away(self) -> None:
        """Go on in an outage with what the lender has.

        The program began while the store was there, and the log can grant it
        nothing now. The lender's part is still there for it.
        """
        opened = await self.other.turns.open(start("turn-1"))
        assert isinstance(opened, LocalTurn)
        self.assertIs(await opened.verdict(), BudgetVerdict.FITS)
        opened.hand_out(30)
        opened.close()
        self.take_store_away()
        for number in (2, 3, 4):
            turn = await self.other.turns.open(start(f"turn-{number}"))
            assert isinstance(turn, LocalTurn)
            self.assertIs(await turn.verdict(), BudgetVerdict.FITS)
            turn.hand_out(30)
            turn.close()
            await self.until(lambda: not self._owes())

    async def test_loan_is_raised_or_the_turn_broken_off(self) -> None:
        """Hand out no token beyond a loan that covers a part of a turn."""
        self.take_store_away()
        first = await self.lent(self.other, "turn-1", most=200)
        second = await self.lent(self.other, "turn-2", most=300)
        self.assertEqual(second.covered, 175)
        second.hand_out(170)
        self.assertFalse(await second.cover(10))
        first.close()
        await self.until(lambda: self.lender.book.lend_left(PROGRAM, BUDGET, 0) > 150)
        self.assertTrue(await second.cover(10))

    async def test_loan_that_is_used_up_goes_on_in_the_log(self) -> None:
        """Let a turn go on that was lent too little, once the store is back."""
        self.take_store_away()
        await self.lent(self.other, "turn-1", most=200)
        turn = await self.lent(self.other, "turn-2", most=300)
        turn.hand_out(170)
        for process in self.processes:
            process.client.faults.down = False
        self.assertTrue(await turn.cover(10))
        self.assertIsNone(turn.covered)

    async def test_store_goes_away_between_two_raises(self) -> None:
        """Go on with a loan where the log can't raise what a turn holds.

        A program with a small budget has a part of its turn granted. The store
        goes away for all while the turn runs, and the turn needs more. The
        lender covers the rest, and the caller notices nothing.
        """
        turn = await self.other.turns.open(start("turn-1", budget=600, most=300))
        assert isinstance(turn, LocalTurn)
        self.assertIs(await turn.verdict(), BudgetVerdict.FITS)
        self.assertEqual(turn.covered, 100)
        turn.hand_out(90)
        self.take_store_away()
        self.assertTrue(await turn.cover(60))
        self.assertIn("lent", turn.where)
        turn.hand_out(60)
        turn.close()
        await self.until(lambda: not self._owes())
        self.assertEqual(self.lender.book.totals(), {PROGRAM: 60})

    async def test_stream_waits_where_nobody_covers_it(self) -> None:
        """Hold an event until the store is back rather than break the stream.

        The store goes away between two raises of a turn, and the lender has
        less than the turn needs. The caller bears a pause of two seconds; the
        store is back before that.
        """
        turn = await self.other.turns.open(start("turn-1", budget=600, most=500))
        assert isinstance(turn, LocalTurn)
        self.assertIs(await turn.verdict(), BudgetVerdict.FITS)
        turn.hand_out(160)
        self.take_store_away()
        covering = asyncio.create_task(turn.cover(200))
        await asyncio.sleep(0.5)
        self.assertFalse(covering.done())
        for process in self.processes:
            process.client.faults.down = False
        self.assertTrue(await asyncio.wait_for(covering, PATIENCE))

    async def test_lender_that_was_suspended_lends_nothing(self) -> None:
        """Have nobody lend on a claim that may have been given to others.

        A machine sleeps for longer than a claim lasts without being seen. Its
        process wakes and has not read the store yet; its place may be another's.
        """
        self.take_store_away()
        self.lender.now = LENDING_LEASE + 1
        refused = await self.other.turns.open(start("turn-1"))
        self.assertIs(refused, BudgetVerdict.UNCERTAIN)

    async def test_lender_is_lost(self) -> None:
        """Refuse with the reason that is true where the lender is gone.

        The lender dies with the store away. What it had lent counts as handed
        out, and nobody can know how much that is before it is replaced.
        """
        self.take_store_away()
        self.end(str(self.lender.name))
        self.lender.server.close()
        refused = await self.other.turns.open(start("turn-1"))
        self.assertIs(refused, BudgetVerdict.UNCERTAIN)

    async def test_machine_that_is_gone_for_good_is_replaced(self) -> None:
        """Have another process lend where the lender's machine never returns.

        The machine is removed without a word, so it stays registered. The
        others learn that from the requests that it doesn't answer, and one of
        them claims what fell to it before the next outage.
        """
        self.end(str(self.lender.name))
        self.lender.server.close()
        left = [one for one in self.processes if one is not self.lender]
        for process in left:
            for _ in range(GONE_FAILURES):
                process.peer_health._until.clear()
                process.peer_health.record_failure(self.lender.name, "no reply")
        await self.until(lambda: any(one.rank == 1 for one in left))
        await self.until(
            lambda: len(self.other.claims.lenders_of(slot_of(PROGRAM))) == 2
        )
        self.take_store_away()
        await self.lent(self.other, "turn-1", most=90)

    async def test_claim_of_a_registered_process_is_never_removed(self) -> None:
        """Keep a lender's claim where only this process can't reach it.

        The path between two gateways is cut for hours. The lender reaches the
        store, sees its claim and registration there, and lends to others. If
        its claim were removed, the next process would take over its place and
        lend the same tokens to a program that comes back.
        """
        clock = mock.Mock(return_value=0.0)
        self.other.claimer.expiry = ClaimExpiry(clock=clock)
        for _ in range(GONE_FAILURES):
            self.other.peer_health._until.clear()
            self.other.peer_health.record_failure(self.lender.name, "no reply")
        self.assertEqual(self.other.claimer.expired_claims(RETENTION), [])
        clock.return_value = 100 * LENDING_LEASE
        self.assertEqual(self.other.claimer.expired_claims(RETENTION), [])

    async def test_process_that_follows_lends_the_next_part(self) -> None:
        """Give a process that was started again a part of its own.

        The lender hands out all of its part in an outage and is killed. The
        one that starts on its host knows nothing of that; it lends from the
        next place, and both together stay within what may be lent.
        """
        self.take_store_away()
        handed = 0
        for number in range(8):
            opened = await self.other.turns.open(start(f"turn-{number}"))
            if isinstance(opened, LocalTurn):
                handed += opened.covered or 0
        name = str(self.lender.name)
        self.end(name)
        for process in self.processes:
            process.client.faults.down = False
        fresh = Process(
            name=name,
            context=self.context,
            store=self.store,
            writer=f"second-{name}",
        )
        self.processes.append(fresh)
        self.tasks[name] = fresh.parts()
        self.closing.append(fresh.server.close)
        await self.until(lambda: fresh.rank is not None)
        self.assertEqual(fresh.rank, 1)
        await self.until(lambda: self.other.claimer.host(fresh.writer) is not None)
        self.take_store_away()
        turn = await self.lent(self.other, "turn-last", most=90)
        handed += turn.covered or 0
        self.assertLessEqual(handed, BUDGET // 4)

    async def test_planned_stop_leaves_the_place_to_the_next(self) -> None:
        """Lend from the same place after a planned stop, less what was lent.

        The lender covers a turn in an outage, is stopped when the store is back
        and another process claims its slots. That one lends what is left of the
        same part, and not what the first one had lent.
        """
        self.take_store_away()
        turn = await self.lent(self.other, "turn-1", most=100)
        turn.hand_out(100)
        turn.close()
        await self.until(lambda: not self._owes())
        for process in self.processes:
            process.client.faults.down = False
        await self.lender.claimer.stop(self.lender.client)
        await self.lender.peers.unregister(self.lender.client, self.lender.writer)
        left = [one for one in self.processes if one is not self.lender]
        await self.until(lambda: any(one.rank == 0 for one in left))
        await self.until(lambda: self._knows_a_lender(self.other))
        follower = next(one for one in left if one.rank == 0)
        self.assertEqual(follower.book.lend_left(PROGRAM, BUDGET, 0), 275)
        refused = await self.lender.turns.open(start("turn-2"))
        assert isinstance(refused, LocalTurn)
        self.assertIsNone(refused.covered)

    async def test_late_loan_whose_settlement_is_lost(self) -> None:
        """Have a lender know that nobody uses what it lent too late.

        The lender answers too late, so the borrower goes elsewhere and tells
        it that nothing is used. That word is lost. The program must find the
        whole part again, or a loan that nobody has counts as handed out.
        """
        self.take_store_away()
        slow = SlowAnswers(self.lender)
        slow.answer_delay = 2 * ASK_TIMEOUT
        slow.settlements_lost = 1
        refused = await self.other.turns.open(start("turn-1", most=300))
        self.assertIs(refused, BudgetVerdict.UNCERTAIN)
        await self.until(lambda: slow.settlements > 0)
        await self.until(lambda: not self._owes())
        self.assertEqual(self.lender.book.totals(), {})

    async def test_settlement_that_is_lost(self) -> None:
        """Have a lender know what a turn used although it was deaf at its end.

        A turn borrows 300 tokens and uses 40. The lender is frozen when it
        ends and hears nothing of that. Once it is well again, all but 40 can
        be lent to the program's next turn.
        """
        self.take_store_away()
        slow = SlowAnswers(self.lender)
        slow.settlements_lost = 1
        turn = await self.lent(self.other, "turn-1", most=300)
        turn.hand_out(40)
        turn.close()
        await asyncio.sleep(RETRY_TIMEOUT)
        await self.until(lambda: not self._owes())
        self.assertEqual(self.lender.book.totals(), {PROGRAM: 40})

    async def test_loan_that_is_handled_after_its_settlement(self) -> None:
        """Hold nothing for a borrower that left before the lender came to lend.

        The lender comes to the request only after it was told that nothing is
        used. Nobody tells it again, so it must not lend then.
        """
        self.take_store_away()
        slow = SlowAnswers(self.lender)
        slow.lend_delay = 3 * ASK_TIMEOUT
        refused = await self.other.turns.open(start("turn-1", most=300))
        self.assertIs(refused, BudgetVerdict.UNCERTAIN)
        await self.until(lambda: slow.settlements > 0)
        await asyncio.sleep(3 * ASK_TIMEOUT)
        self.assertEqual(self.lender.book.totals(), {})

    async def test_turn_that_ends_while_it_borrows(self) -> None:
        """Return a loan that comes after the end of its turn.

        The store goes away before a turn is granted, so a lender is asked. The
        caller leaves at that moment and the turn is closed, once. The loan
        comes after that; nobody closes the turn again.
        """
        await self.other.ledger.partition(PROGRAM).sync()
        self.take_store_away()
        # It waits for the log in its verdict, and borrows there.
        begun = LocalTurns(ledger=self.other.ledger, lender=NoLender())
        turn = await begun.open(start("turn-1", most=300))
        assert isinstance(turn, LocalTurn)
        turn._lender = self.other.lenders
        slow = SlowAnswers(self.lender)
        slow.answer_delay = ASK_TIMEOUT / 2
        verdict = asyncio.create_task(turn.verdict())
        await self.until(self._owes)
        turn.close()
        found = await verdict
        await asyncio.sleep(2 * ASK_TIMEOUT)
        self.assertEqual(self.lender.book.totals(), {})
        self.assertIsNot(found, BudgetVerdict.FITS)

    async def test_raise_whose_answer_is_lost(self) -> None:
        """Keep what a turn was lent where the answer to a raise is lost.

        A turn was lent 175 tokens, has used 170 and asks for more. The lender
        raises the loan, but its answer comes too late. The turn still has its
        175 and may hand out 5 unasked; at its end all else is returned.
        """
        self.take_store_away()
        first = await self.lent(self.other, "turn-1", most=200)
        second = await self.lent(self.other, "turn-2", most=300)
        second.hand_out(170)
        first.close()
        await self.until(lambda: self.lender.book.lend_left(PROGRAM, BUDGET, 0) > 150)
        slow = SlowAnswers(self.lender)
        slow.answer_delay = 2 * LOG_PATIENCE
        self.assertFalse(await second._cover_soon(180))
        self.assertEqual(self.lender.book.totals(), {PROGRAM: 300})
        self.assertEqual(second.covered, 175)
        self.assertTrue(second.covers(5))
        second.close()
        await self.until(lambda: not self._owes())
        self.assertEqual(self.lender.book.totals(), {PROGRAM: 170})

    async def test_gateway_is_lost_after_a_raise_without_an_answer(self) -> None:
        """Count all that a lost gateway may have handed out.

        A delegate keeps a turn's account for a gateway, which may hand out 175
        tokens unasked. It tells that it handed out 100 and asks for more. The
        lender's answer to that is lost, and the gateway is lost before the
        turn's time is over: it may have handed out all of its 175.
        """
        self.take_store_away()
        first = await self.lent(self.other, "turn-1", most=200)
        delegate = TurnServer(local=self.other.turns, ledger=self.other.ledger)
        opening = OpenTurnRequest(
            opening=OpeningId("1"), start=start("turn-2", most=300)
        )
        opened = await delegate.answer(opening, mock.AsyncMock())
        assert isinstance(opened, TurnOpened)
        self.assertEqual(opened.covered, 175)
        first.close()
        await self.until(lambda: self.lender.book.lend_left(PROGRAM, BUDGET, 0) > 150)
        slow = SlowAnswers(self.lender)
        slow.answer_delay = 2 * LOG_PATIENCE
        asked = CoverTurnRequest(opening=OpeningId("1"), handed=100, total=180)
        await delegate.answer(asked, mock.AsyncMock())
        await self.until(lambda: not self._owes())
        self.assertEqual(self.lender.book.totals(), {PROGRAM: 175})

    async def test_turn_that_ends_while_it_waits_to_be_covered(self) -> None:
        """Say that nothing is covered any more where a turn ended meanwhile.

        A stream waits since its loan is used up and nobody covers the rest.
        Its caller leaves, which closes the turn. The wait must end with a
        refusal, not with an error.
        """
        self.take_store_away()
        await self.lent(self.other, "turn-1", most=200)
        turn = await self.lent(self.other, "turn-2", most=300)
        turn.hand_out(175)
        covering = asyncio.create_task(turn.cover(10))
        await asyncio.sleep(0.5)
        self.assertFalse(covering.done())
        turn.close()
        self.assertFalse(await asyncio.wait_for(covering, PATIENCE))

    async def test_caller_leaves_while_its_turn_borrows(self) -> None:
        """Return what is lent to a caller that has left.

        A caller leaves while its gateway waits for a lender's answer, at any
        moment of that wait. The lender is told that nothing is used.
        """
        self.take_store_away()
        slow = SlowAnswers(self.lender)
        slow.answer_delay = ASK_TIMEOUT / 2
        for number in range(6):
            opening = asyncio.create_task(
                self.other.turns.open(start(f"turn-{number}", most=300))
            )
            await self.until(self._owes)
            await asyncio.sleep(number * ASK_TIMEOUT / 10)
            opening.cancel()
            try:
                opened = await opening
            except asyncio.CancelledError:
                pass
            else:
                assert isinstance(opened, LocalTurn)
                opened.close()
            await self.until(lambda: not self._owes())
        self.assertEqual(self.lender.book.totals(), {})

    async def test_borrower_is_lost_with_a_loan(self) -> None:
        """Count what a lost borrower may have handed out, and hold no more.

        A borrower dies with a loan of 300. The lender can't know how much of
        it reached the caller, so all of it counts; the rest of its part is
        lent to the program's next turn, and once the program can't come back
        all is forgotten.
        """
        self.take_store_away()
        await self.lent(self.other, "turn-1", most=300)
        self.end(str(self.other.name))
        self.other.server.close()
        third = next(
            one for one in self.processes if one not in (self.lender, self.other)
        )
        turn = await self.lent(third, "turn-2", most=75)
        turn.hand_out(75)
        turn.close()
        await self.until(lambda: self.lender.book.totals() == {PROGRAM: 375})
        clock = mock.Mock(return_value=time.monotonic() + RETENTION + FORGET_AFTER + 1)
        self.lender.book._clock = clock
        self.lender.book.forget_old()
        self.assertEqual(self.lender.book.totals(), {})

    async def test_all_processes_are_lost_twice(self) -> None:
        """Lend what is left of a budget's lent part after losses of all.

        All processes lose power, start again and claim, twice. Then the store
        goes away and a program begins that none of them has ever seen. The
        claims of the lost keep their places, so its lender has the third one:
        3/256 of the budget, in place of 3/16, until these claims are removed.
        """
        for loss in ("second", "third"):
            await self._lose_all(loss)
        clock = mock.Mock(return_value=0.0)
        for process in self.processes:
            process.claimer.expiry = ClaimExpiry(clock=clock)
        lender = next(one for one in self.processes if one.rank is not None)
        other = next(one for one in self.processes if one.rank is None)
        self.assertEqual(lender.rank, 2)
        self.assertEqual(lender.book.lend_left(PROGRAM, BUDGET, 2), 23)
        await asyncio.sleep(0.3)
        clock.return_value = LENDING_LEASE + RETENTION + EXPIRY_MARGIN
        await asyncio.sleep(0.3)
        self.take_store_away()
        refused = await other.turns.open(start("turn-1", most=100))
        self.assertIs(refused, BudgetVerdict.UNCERTAIN)
        for process in self.processes:
            process.client.faults.down = False
        clock.return_value += 1
        await self.until(lambda: lender.rank == 0)
        await self.until(lambda: len(other.claims.lenders_of(slot_of(PROGRAM))) == 1)
        self.take_store_away()
        turn = await self.lent(other, "turn-2", most=375)
        self.assertEqual(turn.covered, 375)

    async def _lose_all(self, name: str) -> None:
        lost, self.processes = self.processes, []
        for process in lost:
            self.end(str(process.name))
            process.server.close()
            process.peers.close()
            await process.ledger.close()
        for process in lost:
            fresh = Process(
                name=process.name,
                context=self.context,
                store=self.store,
                writer=f"{name}-{process.name}",
            )
            self.processes.append(fresh)
            self.tasks[str(fresh.name)] = fresh.parts()
            self.closing.append(fresh.server.close)
        await self.until(lambda: all(map(self._knows_a_living_lender, self.processes)))

    def _knows_a_living_lender(self, process: Process) -> bool:
        lenders = process.claims.lenders_of(slot_of(PROGRAM))
        return any(process.claimer.host(one.writer) is not None for one in lenders)

    async def test_spent_log_is_continued_by_the_lender(self) -> None:
        """Let a program use its whole budget while the store answers.

        The log grants 1,600 of 2,000; the rest comes from the lender, so that
        a refusal for the budget is true when it comes. What is left at the end
        is less than a turn may need: lent, it would be used up in the middle of
        the answer, which the caller would lose.
        """
        handed = 0
        for number in range(22):
            opened = await self.other.turns.open(start(f"turn-{number}"))
            if not isinstance(opened, LocalTurn):
                self.assertIs(opened, BudgetVerdict.EXCEEDED)
                continue
            self.assertIs(await opened.verdict(), BudgetVerdict.FITS)
            # What a turn holds at first is less near the end of a budget.
            self.assertTrue(await opened.cover(MOST))
            opened.hand_out(MOST)
            opened.close()
            handed += MOST
        self.assertEqual(handed, 1900)


class CancelledOpenTests(unittest.IsolatedAsyncioTestCase):
    """Return what the log grants to a caller that leaves."""

    async def test_caller_leaves_as_the_log_grants_its_turn(self) -> None:
        """Close a reservation that is made at the moment its caller leaves.

        The log is slow and nobody lends, so the turn waits for the log. It
        grants the turn, and in the same moment the caller leaves: nobody but
        the one who asked knows the reservation and can close it.
        """
        reservation = mock.Mock(spec=Reservation)
        granted = asyncio.Event()

        async def reserve(terms: TurnTerms) -> Reservation:
            await granted.wait()
            # The caller leaves after this answer and before it is read.
            asyncio.get_running_loop().call_soon(opening.cancel)
            return reservation

        ledger = mock.Mock(spec=Ledger, reserve=reserve)
        opening = asyncio.create_task(LocalTurns(ledger=ledger).open(start("turn")))
        await asyncio.sleep(2 * LOG_PATIENCE)
        granted.set()
        with self.assertRaises(asyncio.CancelledError):
            await opening
        await asyncio.sleep(0)
        reservation.close.assert_called_once_with()


class ForeignRequestTests(unittest.TestCase):
    """Answer what is no request of a borrower."""

    def test_unknown_request(self) -> None:
        """Say that it is not for this part."""
        lenders = mock.Mock(spec=LoanService)
        reply = LoanService.answer(lenders, mock.Mock())
        self.assertIsInstance(reply, Failed)
