"""Test that no tokens are granted or lent twice."""

from __future__ import annotations

import itertools
import unittest
from dataclasses import dataclass, field
from unittest import mock

from ...fleet.claims import EXPIRY_MARGIN, LENDING_LEASE, ClaimExpiry, Claims
from ...ids import LoanId, Offset, ProgramId, TurnId
from ...ledger import loans as loans_module
from ...ledger.loans import (
    EXPIRY_MARGIN as LOAN_EXPIRY_MARGIN,
    SETTLED_RETENTION,
    LoanBook,
)
from ...ledger.split import LendingSplit, LogOnlySplit
from ...ledger.terms import TurnTerms
from ...storage.keyed import ListedRecord

PROGRAM = ProgramId("program")
RETENTION = 60.0
MIN_LOAN = 60


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
    """Clock that is set by the tests."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


class SplitTests(unittest.TestCase):
    """Add up the parts of a budget."""

    def test_limits_add_up_to_budget_and_one_turn(self) -> None:
        """Bound what the log and any number of lenders grant together."""
        split = LendingSplit()
        for budget, most in itertools.product((1, 7, 100, 1725, 2304), (1, 50, 600)):
            turn = terms(budget, most)
            lent = sum(split.lender_limit(budget, rank) for rank in range(20))
            with self.subTest(budget=budget, most=most):
                self.assertLessEqual(split.log_limit(turn) + lent, budget + most)
                self.assertLessEqual(split.log_limit(turn), budget)

    def test_log_admits_the_only_turn_of_a_budget(self) -> None:
        """Grant the only turn of a small budget although a part is kept for lenders."""
        self.assertEqual(LendingSplit().log_limit(terms(100, 100)), 100)

    def test_log_only_split_lends_nothing(self) -> None:
        """Lend nothing if the log grants the whole budget."""
        book = LoanBook(split=LogOnlySplit())
        self.assertEqual(book.lend(LoanId("1"), terms(1000, 10), 0, MIN_LOAN), 0)


class LoanBookTests(unittest.TestCase):
    """Lend the part of one rank."""

    def setUp(self) -> None:
        """Create a book; the first rank may lend 375 of a budget of 2000."""
        self.clock = Clock()
        self.book = LoanBook(split=LendingSplit(), clock=self.clock)

    def test_open_loans_count_in_full(self) -> None:
        """Refuse a loan of tokens that an open turn may still need."""
        self.assertEqual(
            self.book.lend(LoanId("1"), terms(2000, 250), 0, MIN_LOAN), 250
        )
        self.assertEqual(
            self.book.lend(LoanId("2"), terms(2000, 250), 0, MIN_LOAN), 125
        )
        self.assertEqual(self.book.lend(LoanId("3"), terms(2000, 250), 0, MIN_LOAN), 0)

    def test_settled_loans_free_unused_tokens(self) -> None:
        """Lend again what a turn did not use."""
        self.book.lend(LoanId("1"), terms(2000, 250), 0, MIN_LOAN)
        self.book.settle(LoanId("1"), PROGRAM, 40)
        self.assertEqual(
            self.book.lend(LoanId("2"), terms(2000, 300), 0, MIN_LOAN), 300
        )
        self.book.settle(LoanId("2"), PROGRAM, 0)
        self.assertEqual(
            self.book.lend(LoanId("3"), terms(2000, 500), 0, MIN_LOAN), 335
        )

    def test_loan_settled_twice_counts_once(self) -> None:
        """Ignore a repeated settlement, and one of an unknown loan."""
        self.book.lend(LoanId("1"), terms(2000, 250), 0, MIN_LOAN)
        for _ in range(2):
            self.book.settle(LoanId("1"), PROGRAM, 100)
        self.book.settle(LoanId("other"), PROGRAM, 100)
        self.assertEqual(
            self.book.lend(LoanId("2"), terms(2000, 300), 0, MIN_LOAN), 275
        )

    def test_loan_request_after_its_settlement(self) -> None:
        """Refuse a loan that was settled before its request arrived.

        The borrower timed out, and its settlement overtook the request. Nobody would
        settle the loan again, so it would count as used.
        """
        self.book.settle(LoanId("1"), PROGRAM, 0)
        self.assertEqual(self.book.lend(LoanId("1"), terms(2000, 250), 0, MIN_LOAN), 0)
        self.assertEqual(self.book.available(PROGRAM, 2000, 0), 375)

    def test_increase_request_after_the_settlement(self) -> None:
        """Refuse to increase a loan that was settled before the request arrived.

        Only the 40 tokens that the turn used may count.
        """
        self.book.lend(LoanId("1"), terms(2000, 250), 0, MIN_LOAN)
        self.book.settle(LoanId("1"), PROGRAM, 40)
        self.assertEqual(self.book.lend(LoanId("1"), terms(2000, 250), 0, 0), 0)
        self.assertEqual(self.book.totals(), {PROGRAM: 40})

    def test_settled_loans_are_forgotten(self) -> None:
        """Bound the memory of settled loans in time and number, keeping the newest."""
        with mock.patch.object(loans_module, "MAX_SETTLED", 5):
            for number in range(50):
                self.book.settle(LoanId(str(number)), PROGRAM, 0)
                self.assertLessEqual(len(self.book._settled), 5)
        self.assertEqual(self.book.lend(LoanId("49"), terms(2000, 250), 0, MIN_LOAN), 0)
        self.clock.now = SETTLED_RETENTION + 1
        self.book.settle(LoanId("50"), PROGRAM, 0)
        self.book.forget_old()
        self.assertEqual(set(self.book._settled), {"50"})

    def test_repeated_settlement_extends_retention(self) -> None:
        """Remember a loan for the whole retention after its last settlement."""
        self.book.settle(LoanId("1"), PROGRAM, 0)
        self.clock.now = SETTLED_RETENTION
        self.book.settle(LoanId("1"), PROGRAM, 0)
        self.clock.now = 2 * SETTLED_RETENTION
        self.book.forget_old()
        self.assertEqual(self.book.lend(LoanId("1"), terms(2000, 250), 0, MIN_LOAN), 0)

    def test_increased_loan_is_counted_once(self) -> None:
        """Count an increased loan once, not in addition to its first part."""
        self.book.lend(LoanId("1"), terms(2000, 250), 0, MIN_LOAN)
        self.assertEqual(
            self.book.lend(LoanId("2"), terms(2000, 250), 0, MIN_LOAN), 125
        )
        self.book.settle(LoanId("1"), PROGRAM, 0)
        self.assertEqual(
            self.book.lend(LoanId("2"), terms(2000, 250), 0, MIN_LOAN), 250
        )
        self.assertEqual(
            self.book.lend(LoanId("3"), terms(2000, 250), 0, MIN_LOAN), 125
        )

    def test_program_is_remembered_beyond_its_retention(self) -> None:
        """Count what a program used until it can no longer resume.

        Otherwise a program that pauses and resumes in a later outage is lent the same
        tokens again.
        """
        self.book.lend(LoanId("1"), terms(2000, 375), 0, MIN_LOAN)
        self.book.settle(LoanId("1"), PROGRAM, 375)
        self.clock.now = RETENTION + LOAN_EXPIRY_MARGIN - 1
        self.book.forget_old()
        self.assertEqual(self.book.lend(LoanId("2"), terms(2000, 250), 0, MIN_LOAN), 0)
        self.clock.now *= 3
        self.book.forget_old()
        self.assertEqual(
            self.book.lend(LoanId("3"), terms(2000, 250), 0, MIN_LOAN), 250
        )


class ClaimsTests(unittest.TestCase):
    """Rank lenders by the order of their claims in the log."""

    def record(self, writer: str, offset: int, slots: str = "[1,2]") -> ListedRecord:
        """Return the claim of a process."""
        value = f'{{"type":"claim","writer":"{writer}","slots":{slots}}}'.encode()
        return ListedRecord(key=f"{writer}/0", value=value, offset=Offset(offset))

    def ranks(self, claims: Claims, slot: int) -> dict[str, int]:
        """Return the ranks of all processes that claimed a slot."""
        return {lender.writer: lender.rank for lender in claims.lenders_of(slot)}

    def test_ranks_follow_the_order_of_the_log(self) -> None:
        """Derive the same ranks from claims in any order of arrival."""
        records = [self.record("a", 0), self.record("b", 1), self.record("c", 2)]
        for order in itertools.permutations(records):
            claims = Claims()
            claims.replace(list(order))
            self.assertEqual(self.ranks(claims, 1), {"a": 0, "b": 1, "c": 2})
        self.assertEqual(self.ranks(claims, 3), {})

    def test_invalid_claim_is_skipped(self) -> None:
        """Keep the other claims if one can't be decoded."""
        claims = Claims()
        claims.apply(self.record("a", 0))
        claims.apply(ListedRecord(key="x/0", value=b"\xff", offset=Offset(1)))
        claims.apply(self.record("b", 2, slots='["none"]'))
        self.assertEqual(self.ranks(claims, 1), {"a": 0})

    def test_claim_outlives_its_loans(self) -> None:
        """Remove a claim only when nothing that it lent can be used any more.

        A process may lend for one more lease after it lost its registration, and its
        last loans count for the retention of their programs. If the claim were removed
        earlier, another process would take its rank and lend the same tokens.
        """
        clock = Clock()
        expiry = ClaimExpiry(clock=clock)
        claims = Claims()
        claims.apply(self.record("a", 0))
        not_live = lambda writer: False  # noqa: E731
        self.assertEqual(expiry.expired(claims.writers(), not_live, RETENTION), [])
        clock.now = LENDING_LEASE + RETENTION + EXPIRY_MARGIN
        self.assertEqual(expiry.expired(claims.writers(), not_live, RETENTION), [])
        clock.now += 1
        self.assertEqual(expiry.expired(claims.writers(), not_live, RETENTION), ["a/0"])

    def test_claim_of_a_returned_process_is_kept(self) -> None:
        """Restart the expiry when a registration is seen again."""
        clock = Clock()
        expiry = ClaimExpiry(clock=clock)
        claims = Claims()
        claims.apply(self.record("a", 0))
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
class _Simulation:
    """A log, its lenders, and the tokens that one program used."""

    claims: list[str] = field(default_factory=list)
    granted: int = 0
    carried: int = 0
    used: int = 0
    books: dict[str, LoanBook] = field(default_factory=dict)
    loans: int = 0

    def book(self, claim: str) -> LoanBook:
        """Return the loan book of the process that made a claim."""
        existing = self.books.get(claim)
        if existing is None:
            carried = lambda program: self.carried  # noqa: E731
            existing = self.books[claim] = LoanBook(
                split=LendingSplit(), carried=carried
            )
        return existing


class InterleavingTests(unittest.TestCase):
    """Enumerate the orders of steps of two or three hosts and one program."""

    def test_no_order_of_steps_exceeds_the_budget_and_one_turn(self) -> None:
        """Bound what a program can use if it takes all that it can get.

        It takes the grants of the log and loans of every process that ever claimed,
        even one that was cut off, hung or replaced. Processes crash and others claim
        after them.
        """
        self._check_all_orders("abc", ("claim", "lend"), STEPS)

    def test_no_order_with_planned_stops_exceeds_the_bound(self) -> None:
        """Bound it also if processes stop as planned and others take their rank."""
        self._check_all_orders("ab", ("claim", "lend", "stop"), STEPS)

    def _check_all_orders(
        self, hosts: str, actions: tuple[str, ...], count: int
    ) -> None:
        steps = ["grant", *(f"{action} {name}" for name in hosts for action in actions)]
        most = 0
        for order in itertools.product(steps, repeat=count):
            simulation = _Simulation()
            for step in order:
                self._perform(simulation, step)
            most = max(most, simulation.used)
            self.assertLessEqual(simulation.used, BUDGET + MOST, order)
        self.assertGreater(most, BUDGET / 2)

    def _perform(self, simulation: _Simulation, step: str) -> None:
        action, _, name = step.partition(" ")
        turn = terms(BUDGET, MOST)
        if action == "grant":
            if simulation.granted + MOST <= LendingSplit().log_limit(turn):
                simulation.granted += MOST
                simulation.used += MOST
        elif action == "claim":
            # A crashed process comes back as a new one without any state.
            simulation.claims.append(f"{name}{len(simulation.claims)}")
        else:
            self._lend_or_stop(simulation, action, name, turn)

    def _lend_or_stop(
        self, simulation: _Simulation, action: str, name: str, turn: TurnTerms
    ) -> None:
        for rank, claim in enumerate(simulation.claims):
            if not claim.startswith(name):
                continue
            book = simulation.book(claim)
            if action == "stop":
                simulation.carried += sum(book.totals().values())
                simulation.claims.remove(claim)
                return
            simulation.loans += 1
            loan = LoanId(str(simulation.loans))
            lent = book.lend(loan, turn, rank, 1)
            book.settle(loan, PROGRAM, lent)
            simulation.used += lent

    def test_check_detects_a_rank_that_is_used_twice(self) -> None:
        """Exceed the bound if a new lender takes the rank of a crashed one."""
        simulation = _Simulation()
        for step in ("claim a", "lend a", "lend a", "claim b"):
            self._perform(simulation, step)
        simulation.claims = simulation.claims[1:]
        for step in ("lend b", "lend b", "grant", "grant", "grant", "grant"):
            self._perform(simulation, step)
        self.assertGreater(simulation.used, BUDGET + MOST)


class MinimumLoanTests(unittest.TestCase):
    """Lend to turns of different size."""

    def test_loans_below_the_minimum_are_refused(self) -> None:
        """Refuse a loan so small that the turn would likely be cut off."""
        book = LoanBook(split=LendingSplit())
        self.assertEqual(book.lend(LoanId("1"), terms(2000, 300), 0, 120), 300)
        self.assertEqual(book.lend(LoanId("2"), terms(2000, 300), 0, 120), 0)
        self.assertEqual(book.lend(LoanId("3"), terms(2000, 100), 0, 40), 75)
