"""Test that nothing is handed out twice, whoever grants or lends it."""

from __future__ import annotations

import itertools
import unittest
from dataclasses import dataclass, field
from unittest import mock

from ...fleet.claims import EXPIRY_MARGIN, LENDING_LEASE, ClaimExpiry, Claims
from ...ids import LoanId, Offset, ProgramId, TurnId
from ...ledger import loans as loans_module
from ...ledger.loans import FORGET_AFTER, REMEMBER_SETTLED, LoanBook
from ...ledger.split import PartLent, WholeInLog
from ...ledger.terms import TurnTerms
from ...storage.keyed import ListedRecord

PROGRAM = ProgramId("program")
RETENTION = 60.0
LEAST = 60


def terms(budget: int, most: int) -> TurnTerms:
    """Return the terms of a turn."""
    return TurnTerms(
        turn=TurnId("turn"),
        program=PROGRAM,
        budget=budget,
        most=most,
        retention=RETENTION,
    )


class Clock:
    """Hold a time that tests set."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


class SplitTests(unittest.TestCase):
    """Add up the parts of a budget."""

    def test_parts_never_exceed_the_budget_and_one_turn(self) -> None:
        """Bound what the log and any number of lenders hand out together."""
        split = PartLent()
        for budget, most in itertools.product((1, 7, 100, 1725, 2304), (1, 50, 600)):
            turn = terms(budget, most)
            lent = sum(split.lent(budget, place) for place in range(20))
            with self.subTest(budget=budget, most=most):
                self.assertLessEqual(split.in_log(turn) + lent, budget + most)
                self.assertLessEqual(split.in_log(turn), budget)

    def test_log_admits_a_turn_of_any_budget_that_holds_one(self) -> None:
        """Grant the only turn of a small budget although a part is lent."""
        self.assertEqual(PartLent().in_log(terms(100, 100)), 100)

    def test_nothing_is_lent_where_the_log_has_all(self) -> None:
        """Lend nothing without a lent part."""
        book = LoanBook(split=WholeInLog())
        self.assertEqual(book.lend(LoanId("1"), terms(1000, 10), 0, LEAST), 0)


class LoanBookTests(unittest.TestCase):
    """Lend the part of one place."""

    def setUp(self) -> None:
        """Make a book; the first place may lend 375 of a budget of 2000."""
        self.clock = Clock()
        self.book = LoanBook(split=PartLent(), clock=self.clock)

    def test_open_loans_count_at_what_they_cover(self) -> None:
        """Refuse a loan whose tokens an open turn may still need."""
        self.assertEqual(self.book.lend(LoanId("1"), terms(2000, 250), 0, LEAST), 250)
        self.assertEqual(self.book.lend(LoanId("2"), terms(2000, 250), 0, LEAST), 125)
        self.assertEqual(self.book.lend(LoanId("3"), terms(2000, 250), 0, LEAST), 0)

    def test_settled_loans_return_the_rest(self) -> None:
        """Lend again what a turn did not use."""
        self.book.lend(LoanId("1"), terms(2000, 250), 0, LEAST)
        self.book.settle(LoanId("1"), PROGRAM, 40)
        self.assertEqual(self.book.lend(LoanId("2"), terms(2000, 300), 0, LEAST), 300)
        self.book.settle(LoanId("2"), PROGRAM, 0)
        self.assertEqual(self.book.lend(LoanId("3"), terms(2000, 500), 0, LEAST), 335)

    def test_loan_settled_twice_counts_once(self) -> None:
        """Ignore a second settlement, and one of an unknown loan."""
        self.book.lend(LoanId("1"), terms(2000, 250), 0, LEAST)
        for _ in range(2):
            self.book.settle(LoanId("1"), PROGRAM, 100)
        self.book.settle(LoanId("other"), PROGRAM, 100)
        self.assertEqual(self.book.lend(LoanId("2"), terms(2000, 300), 0, LEAST), 275)

    def test_loan_that_comes_after_its_settlement(self) -> None:
        """Lend nothing for a loan whose borrower has left already.

        A borrower asks, hears nothing in time and tells the lender that it
        uses nothing. After a silence its link is made anew, so the lender may
        handle that before the request to lend. Nobody settles the loan again:
        lent now, it counts as handed out for as long as the program is
        remembered.
        """
        self.book.settle(LoanId("1"), PROGRAM, 0)
        self.assertEqual(self.book.lend(LoanId("1"), terms(2000, 250), 0, LEAST), 0)
        self.assertEqual(self.book.lend_left(PROGRAM, 2000, 0), 375)

    def test_raise_that_comes_after_the_settlement(self) -> None:
        """Lend nothing more to a loan whose turn has ended.

        A turn asks for more on its loan, hears nothing in time and ends. The
        lender handles the settlement before the late raise. The turn used 40
        tokens, and no more than these may count.
        """
        self.book.lend(LoanId("1"), terms(2000, 250), 0, LEAST)
        self.book.settle(LoanId("1"), PROGRAM, 40)
        self.assertEqual(self.book.lend(LoanId("1"), terms(2000, 250), 0, 0), 0)
        self.assertEqual(self.book.totals(), {PROGRAM: 40})

    def test_settled_loans_are_forgotten_at_last(self) -> None:
        """Bound the memory of settled loans in time and in number.

        Borrowers settle loans for as long as a process runs. Late requests
        come soon, so only the last ones are remembered, and the very last
        always.
        """
        with mock.patch.object(loans_module, "MOST_SETTLED", 5):
            for number in range(50):
                self.book.settle(LoanId(str(number)), PROGRAM, 0)
                self.assertLessEqual(len(self.book._settled), 5)
        self.assertEqual(self.book.lend(LoanId("49"), terms(2000, 250), 0, LEAST), 0)
        self.clock.now = REMEMBER_SETTLED + 1
        self.book.settle(LoanId("50"), PROGRAM, 0)
        self.book.forget_old()
        self.assertEqual(set(self.book._settled), {"50"})

    def test_loan_settled_again_is_remembered_from_then(self) -> None:
        """Remember a loan for the whole time after it was settled last.

        A borrower that isn't heard settles again and again. What it asked for
        before may arrive as late after the last time as after the first.
        """
        self.book.settle(LoanId("1"), PROGRAM, 0)
        self.clock.now = REMEMBER_SETTLED
        self.book.settle(LoanId("1"), PROGRAM, 0)
        self.clock.now = 2 * REMEMBER_SETTLED
        self.book.forget_old()
        self.assertEqual(self.book.lend(LoanId("1"), terms(2000, 250), 0, LEAST), 0)

    def test_raised_loan_is_counted_once(self) -> None:
        """Raise a loan that covered only a part of its turn."""
        self.book.lend(LoanId("1"), terms(2000, 250), 0, LEAST)
        self.assertEqual(self.book.lend(LoanId("2"), terms(2000, 250), 0, LEAST), 125)
        self.book.settle(LoanId("1"), PROGRAM, 0)
        self.assertEqual(self.book.lend(LoanId("2"), terms(2000, 250), 0, LEAST), 250)
        self.assertEqual(self.book.lend(LoanId("3"), terms(2000, 250), 0, LEAST), 125)

    def test_program_that_may_come_back_is_remembered(self) -> None:
        """Count what a program used until it can no longer come back.

        A program that loops is stopped, waits almost as long as its turns are
        kept, and comes back in the next outage. What it was lent in the first
        one must still count, or it is handed out a second time.
        """
        self.book.lend(LoanId("1"), terms(2000, 375), 0, LEAST)
        self.book.settle(LoanId("1"), PROGRAM, 375)
        self.clock.now = RETENTION + FORGET_AFTER - 1
        self.book.forget_old()
        self.assertEqual(self.book.lend(LoanId("2"), terms(2000, 250), 0, LEAST), 0)
        self.clock.now *= 3
        self.book.forget_old()
        self.assertEqual(self.book.lend(LoanId("3"), terms(2000, 250), 0, LEAST), 250)


class ClaimsTests(unittest.TestCase):
    """Give places by the order of the log."""

    def record(self, writer: str, offset: int, slots: str = "[1,2]") -> ListedRecord:
        """Return a claim of a process."""
        value = f'{{"type":"claim","writer":"{writer}","slots":{slots}}}'.encode()
        return ListedRecord(key=f"{writer}/0", value=value, offset=Offset(offset))

    def places(self, claims: Claims, slot: int) -> dict[str, int]:
        """Return the places of all processes that claimed a slot."""
        return {one.writer: one.rank for one in claims.lenders_of(slot)}

    def test_places_follow_the_log_in_every_view(self) -> None:
        """Agree on places, whether claims came one by one or in a list."""
        records = [self.record("a", 0), self.record("b", 1), self.record("c", 2)]
        for order in itertools.permutations(records):
            claims = Claims()
            claims.replace(list(order))
            self.assertEqual(self.places(claims, 1), {"a": 0, "b": 1, "c": 2})
        self.assertEqual(self.places(claims, 3), {})

    def test_bytes_of_another_writer_are_passed_over(self) -> None:
        """Keep the other claims where one can't be read."""
        claims = Claims()
        claims.change(self.record("a", 0))
        claims.change(ListedRecord(key="x/0", value=b"\xff", offset=Offset(1)))
        claims.change(self.record("b", 2, slots='["none"]'))
        self.assertEqual(self.places(claims, 1), {"a": 0})

    def test_claims_of_the_past_go_after_all_that_used_them(self) -> None:
        """Remove a claim only when nothing that it lent can come back.

        A process loses its registration and may lend for a lease more, and
        what it lent last counts until the program's turns are forgotten. If
        the claim went before, a follower would take its place and lend the
        same tokens to a program that comes back.
        """
        clock = Clock()
        expiry = ClaimExpiry(clock=clock)
        claims = Claims()
        claims.change(self.record("a", 0))
        gone = lambda writer: False  # noqa: E731
        self.assertEqual(expiry.expired(claims.writers(), gone, RETENTION), [])
        clock.now = LENDING_LEASE + RETENTION + EXPIRY_MARGIN
        self.assertEqual(expiry.expired(claims.writers(), gone, RETENTION), [])
        clock.now += 1
        self.assertEqual(expiry.expired(claims.writers(), gone, RETENTION), ["a/0"])

    def test_claim_of_a_process_that_came_back_stays(self) -> None:
        """Begin to count again when a registration is seen once more."""
        clock = Clock()
        expiry = ClaimExpiry(clock=clock)
        claims = Claims()
        claims.change(self.record("a", 0))
        expiry.expired(claims.writers(), lambda writer: False, RETENTION)
        clock.now = 150.0
        expiry.expired(claims.writers(), lambda writer: True, RETENTION)
        clock.now = 200.0
        expired = expiry.expired(claims.writers(), lambda writer: False, RETENTION)
        self.assertEqual(expired, [])


BUDGET = 16
MOST = 4
STEPS = 6


@dataclass(kw_only=True)
class _World:
    """Hold a log, its lenders and what one program was handed."""

    claims: list[str] = field(default_factory=list)
    granted: int = 0
    carried: int = 0
    handed: int = 0
    books: dict[str, LoanBook] = field(default_factory=dict)
    loans: int = 0

    def book(self, claim: str) -> LoanBook:
        """Return the book of the process that made a claim."""
        found = self.books.get(claim)
        if found is None:
            carried = lambda program: self.carried  # noqa: E731
            found = self.books[claim] = LoanBook(split=PartLent(), carried=carried)
        return found


class InterleavingTests(unittest.TestCase):
    """Play every order of a few steps with two or three hosts and one program."""

    def test_no_order_of_steps_exceeds_the_budget_and_one_turn(self) -> None:
        """Bound what a program that loops is handed, whatever happens when.

        The program takes all it can get: grants of the log while it is there,
        loans of any process that ever claimed, also of one that is cut off,
        frozen or replaced and wakes later. Processes are lost with all they
        knew and others claim after them, within an outage or beyond it.
        """
        self._play_all("abc", ("claim", "lend"), STEPS)

    def test_no_order_with_planned_stops_exceeds_them(self) -> None:
        """Bound it also where processes stop and leave their place to others."""
        self._play_all("ab", ("claim", "lend", "stop"), STEPS)

    def _play_all(self, hosts: str, verbs: tuple[str, ...], count: int) -> None:
        steps = ["grant", *(f"{verb} {name}" for name in hosts for verb in verbs)]
        most = 0
        for order in itertools.product(steps, repeat=count):
            world = _World()
            for step in order:
                self._do(world, step)
            most = max(most, world.handed)
            self.assertLessEqual(world.handed, BUDGET + MOST, order)
        self.assertGreater(most, BUDGET / 2)

    def _do(self, world: _World, step: str) -> None:
        verb, _, name = step.partition(" ")
        turn = terms(BUDGET, MOST)
        if verb == "grant":
            if world.granted + MOST <= PartLent().in_log(turn):
                world.granted += MOST
                world.handed += MOST
        elif verb == "claim":
            # A process that was lost comes back as another one, knowing nothing.
            world.claims.append(f"{name}{len(world.claims)}")
        else:
            self._ask(world, verb, name, turn)

    def _ask(self, world: _World, verb: str, name: str, turn: TurnTerms) -> None:
        for place, claim in enumerate(world.claims):
            if not claim.startswith(name):
                continue
            book = world.book(claim)
            if verb == "stop":
                world.carried += sum(book.totals().values())
                world.claims.remove(claim)
                return
            world.loans += 1
            loan = LoanId(str(world.loans))
            lent = book.lend(loan, turn, place, 1)
            book.settle(loan, PROGRAM, lent)
            world.handed += lent

    def test_the_check_finds_a_part_that_is_used_twice(self) -> None:
        """Exceed the bound where a follower takes the place of a lost lender."""
        world = _World()
        for step in ("claim a", "lend a", "lend a", "claim b"):
            self._do(world, step)
        world.claims = world.claims[1:]
        for step in ("lend b", "lend b", "grant", "grant", "grant", "grant"):
            self._do(world, step)
        self.assertGreater(world.handed, BUDGET + MOST)


class LeastTests(unittest.TestCase):
    """Lend to turns of unequal size."""

    def test_less_than_the_least_is_not_lent(self) -> None:
        """Refuse a loan that would likely break the turn off midway."""
        book = LoanBook(split=PartLent())
        self.assertEqual(book.lend(LoanId("1"), terms(2000, 300), 0, 120), 300)
        self.assertEqual(book.lend(LoanId("2"), terms(2000, 300), 0, 120), 0)
        self.assertEqual(book.lend(LoanId("3"), terms(2000, 100), 0, 40), 75)
