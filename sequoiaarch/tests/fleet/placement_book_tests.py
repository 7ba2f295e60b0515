"""Test the owner's book of programs and engines."""

from __future__ import annotations

import random
import unittest
from collections.abc import Sequence

import msgspec

from ...fleet.placement_book import (
    GRANT_LIFE,
    HOME_LIFE,
    RATE_WINDOW,
    REPORT_LIFE,
    WARM_UP,
    Decision,
    PlacementBook,
)
from ...ids import HostName, InstanceId, ProgramId, ServiceName
from ...policies.program_placement import EngineState, LeastExpectedTurn, ProgramDemand
from ...policies.return_queue import REMEMBERED
from ...wire.messages import ProgramReport

SERVICE = ServiceName("engines")
FIRST = InstanceId("i-1")
SECOND = InstanceId("i-2")
HOST = HostName("h1")
OTHER_HOST = HostName("h2")
SLOTS = 2
TOKENS = 100
# Interval of reports, in seconds.
ROUND = 0.2
START = 100.0


def reported(*names: str, at: InstanceId = FIRST) -> list[ProgramReport]:
    """Return a report of programs on one engine."""
    return [
        ProgramReport(program=ProgramId(name), instance=at, tokens=TOKENS)
        for name in names
    ]


def demand(**extra: object) -> ProgramDemand:
    """Return the demand of a program that may wait a little."""
    values = {"service": SERVICE, "max_wait": 0.05, "tokens": TOKENS, **extra}
    return ProgramDemand(**values)  # type: ignore[arg-type]


class BookTestCase(unittest.TestCase):
    """Hold a book for two engines of two slots and a simulated time."""

    def setUp(self) -> None:
        """Create an empty book."""
        self.book = PlacementBook(policy=LeastExpectedTurn())
        self.now = START

    def states(
        self, *instances: InstanceId, cache_tokens: int = 0
    ) -> list[EngineState]:
        """Return the state of engines, both without arguments."""
        return [
            EngineState(
                instance=instance,
                slots=SLOTS,
                cache_tokens=cache_tokens,
                programs=self.book.programs(instance),
                tokens=self.book.tokens(instance),
                turn=0.25,
                pause=0.2,
            )
            for instance in instances or (FIRST, SECOND)
        ]

    def report(self, programs: Sequence[ProgramReport], host: HostName = HOST) -> None:
        """Apply a report."""
        self.book.report(host, programs, None, self.now)

    def warm_up(self) -> None:
        """Let the first reports come in."""
        for _ in range(3):
            self.report([])
            self.now += ROUND
        self.assertTrue(self.book.warm(self.now))

    def decide(
        self, name: str, *instances: InstanceId, **extra: object
    ) -> Decision | None:
        """Decide about a program."""
        return self.book.decide(
            ProgramId(name), demand(**extra), self.states(*instances), self.now
        )

    def grant(self, name: str, instance: InstanceId = FIRST, **extra: object) -> None:
        """Grant a placement."""
        self.book.grant(ProgramId(name), demand(**extra), instance, self.now)


class CountTests(BookTestCase):
    """Test the counters of programs and tokens."""

    def test_grant_and_report_count_once(self) -> None:
        """Count a program once, whether granted, reported or both.

        Twice would leave engines empty; never would overfill them.
        """
        self.grant("p")
        self.report(reported("p"))
        self.report(reported("p"), OTHER_HOST)
        self.assertEqual(self.book.programs(FIRST), 1)
        self.assertEqual(self.book.tokens(FIRST), TOKENS)
        self.report([])
        self.assertEqual(self.book.programs(FIRST), 1)
        self.report([], OTHER_HOST)
        self.assertEqual((self.book.programs(FIRST), self.book.tokens(FIRST)), (0, 0))

    def test_negative_tokens_of_a_demand(self) -> None:
        """Count no negative tokens, which would make room for other prompts."""
        self.book.grant(ProgramId("p"), demand(tokens=-5000), FIRST, self.now)
        self.assertEqual(self.book.tokens(FIRST), 0)

    def test_engine_without_programs_is_dropped(self) -> None:
        """Keep no counter of an engine that has no programs.

        Engines get new names when they restart, so the counters would grow for ever.
        """
        for number in range(50):
            self.report(reported("p", at=InstanceId(f"i@{number}")))
        self.assertEqual(len(self.book._programs), 1)
        self.report([])
        self.assertFalse(self.book._programs or self.book._tokens)

    def test_counters_match_programs(self) -> None:
        """Keep the counters equal to the programs over random events.

        A counter that drifts refuses programs for ever, or admits too many.
        """
        rng = random.Random(7)
        names = [f"p{number}" for number in range(12)]
        hosts = [HOST, OTHER_HOST, HostName("h3")]
        instances = [FIRST, SECOND, InstanceId("i-3")]
        for _ in range(4000):
            self.now += rng.uniform(0.0, 0.15)
            name = rng.choice(names)
            match rng.randrange(4):
                case 0:
                    self.grant(name, rng.choice(instances))
                case 1 | 2:
                    chosen = rng.sample(names, rng.randrange(5))
                    programs = [
                        report
                        for name in chosen
                        for report in reported(name, at=rng.choice(instances))
                    ]
                    self.report(programs, rng.choice(hosts))
                case _:
                    self.decide(name, *instances)
            entries = self.book._entries.values()
            for instance in instances:
                here = [entry for entry in entries if entry.instance == instance]
                self.assertEqual(self.book.programs(instance), len(here))
                total = sum(entry.tokens for entry in here)
                self.assertEqual(self.book.tokens(instance), total)
        # The first time drops the reports, the second what is kept of their programs.
        for _ in range(2):
            self.now += 10.0
            self.book.expire(self.now)
        self.assertFalse(self.book._entries or self.book._programs)
        self.assertFalse(self.book._reported or self.book._reported_at)
        self.assertFalse(self.book._homes or self.book._grants or self.book._begun)


class GrantTests(BookTestCase):
    """Test grants that are not used or overtaken by reports."""

    def test_unused_grant_frees_its_place(self) -> None:
        """Free the place of a program whose caller left after the grant.

        It does not count as a program that began, which would shorten the retry times
        of others, and no engine has its prompt, so it is judged anew when it returns.
        """
        self.warm_up()
        for number in range(12):
            self.grant(f"p{number}")
        self.now += GRANT_LIFE + 0.01
        self.report([])
        self.book.expire(self.now)
        self.assertEqual(self.book.programs(FIRST), 0)
        self.assertEqual(self.book.rate(self.now), 0.0)
        decision = self.decide("p0")
        assert decision is not None
        self.assertFalse(decision.known)

    def test_program_that_ran_nothing(self) -> None:
        """Judge a program anew that a quota refused after its grant.

        Programs of a workspace at its limit would otherwise start on full engines.
        """
        self.warm_up()
        self.grant("p")
        opened = ProgramReport(
            program=ProgramId("p"), instance=FIRST, tokens=TOKENS, ran=False
        )
        self.report([opened])
        self.report([])
        self.assertEqual(self.book.programs(FIRST), 0)
        decision = self.decide("p")
        assert decision is not None
        self.assertFalse(decision.known)

    def test_report_older_than_the_grant(self) -> None:
        """Keep a grant that moves a program, as reports still name its old engine.

        The place on the new engine would otherwise be given to another program.
        """
        self.report(reported("p"))
        self.grant("p", SECOND)
        self.report(reported("p"))
        self.assertEqual(self.book.programs(SECOND), 1)
        self.now += GRANT_LIFE + 0.01
        self.book.expire(self.now)
        self.report(reported("p"))
        self.assertEqual(
            (self.book.programs(FIRST), self.book.programs(SECOND)), (1, 0)
        )

    def test_program_that_returns_counts_at_once(self) -> None:
        """Count a program that goes on after it was taken for ended."""
        self.warm_up()
        self.report(reported("p"))
        self.report([])
        decision = self.decide("p")
        assert decision is not None
        self.assertEqual((decision.instance, decision.known), (FIRST, True))
        self.assertFalse(self.book.counts(ProgramId("p")))
        self.grant("p", in_progress=True)
        self.assertEqual(self.book.programs(FIRST), 1)
        self.assertEqual(self.book.rate(self.now), 0.0)

    def test_only_programs_that_begin_count_in_the_rate(self) -> None:
        """Guards against retry times that sub-agents and resumed programs shorten."""
        self.grant("a")
        self.grant("b")
        self.grant("sub-agent", in_progress=True)
        self.report(reported("a", "b", "sub-agent", "resumed"))
        self.report([])
        self.assertEqual(self.book.rate(self.now), 2 / RATE_WINDOW)
        self.now += RATE_WINDOW + 0.1
        self.assertEqual(self.book.rate(self.now), 0.0)

    def test_paused_program_counts_in_part(self) -> None:
        """Guards against programs that ended a moment ago and take room."""
        self.report(
            [
                msgspec.structs.replace(program, weight=0.5)
                for program in reported("a", "b", "c", "d")
            ]
        )
        self.assertEqual(self.book.programs(FIRST), 2)
        self.assertEqual(self.book.tokens(FIRST), 2 * TOKENS)
        self.report(reported("a", "b", "c", "d"))
        self.assertEqual(self.book.programs(FIRST), 4)
        self.assertEqual(self.book.tokens(FIRST), 4 * TOKENS)

    def test_impossible_weight_counts_in_full(self) -> None:
        """Guards against weights of a faulty peer that make or take room."""
        for weight in (-1.0, 7.0, float("nan"), float("inf")):
            program = msgspec.structs.replace(reported("a")[0], weight=weight)
            self.report([program])
            self.assertEqual(self.book.programs(FIRST), 1)


class NotRefusableTests(BookTestCase):
    """Test programs that owners place but don't refuse."""

    def test_full_engines(self) -> None:
        """Guards against refusals where the settings ask only for placements."""
        self.warm_up()
        self.report(reported(*(f"p{number}" for number in range(20))))
        self.report(
            reported(*(f"q{number}" for number in range(21)), at=SECOND), OTHER_HOST
        )
        self.assertIsNone(self.decide("new"))
        self.book.refuse(ProgramId("other"), demand(), self.now)
        decision = self.decide("new", refusable=False)
        assert decision is not None
        self.assertEqual(decision.instance, FIRST)
        self.assertGreater(decision.wait, 0.0)


class ReturnTests(BookTestCase):
    """Test the programs that are to retry."""

    def test_programs_that_never_return(self) -> None:
        """Forget refused programs that don't return, also when nobody asks any more."""
        retry_after = self.book.refuse(ProgramId("p"), demand(), self.now)
        self.now += retry_after + REMEMBERED - 0.1
        self.book.expire(self.now)
        self.assertEqual(len(self.book.returns), 1)
        self.now += 0.2
        self.book.expire(self.now)
        self.assertEqual(len(self.book.returns), 0)


class ReporterTests(BookTestCase):
    """Test hosts that are lost, replaced or disagree."""

    def test_lost_host(self) -> None:
        """Drop the programs of a lost gateway after a second, but not their home."""
        self.warm_up()
        self.report(reported("p"))
        self.now += REPORT_LIFE
        self.book.expire(self.now)
        self.assertEqual(self.book.programs(FIRST), 1)
        self.now += 0.01
        self.book.expire(self.now)
        self.assertEqual(self.book.programs(FIRST), 0)
        decision = self.decide("p")
        assert decision is not None
        self.assertEqual((decision.instance, decision.known), (FIRST, True))
        self.now += HOME_LIFE
        decision = self.decide("p")
        assert decision is not None
        self.assertFalse(decision.known)

    def test_program_at_two_delegates(self) -> None:
        """Count a program that two hosts report on different engines only once."""
        for _ in range(5):
            self.report(reported("p", at=FIRST), HOST)
            self.report(reported("p", at=SECOND), OTHER_HOST)
            self.now += ROUND
            total = self.book.programs(FIRST) + self.book.programs(SECOND)
            self.assertEqual(total, 1)
        self.report([], HOST)
        self.report(reported("p", at=SECOND), OTHER_HOST)
        self.assertEqual(self.book.programs(SECOND), 1)

    def test_empty_report_leaves_nothing(self) -> None:
        """Keep no time of a host whose programs have all ended."""
        self.report(reported("p"))
        self.report([])
        self.assertFalse(self.book._reported_at)


class WarmUpTests(BookTestCase):
    """Test that an owner that has just taken over refuses nothing."""

    def full_report(self) -> None:
        """Report so many programs that no engine has room."""
        for instance in (FIRST, SECOND):
            names = [f"{instance}-{number}" for number in range(20)]
            self.report(reported(*names, at=instance), HostName(f"of-{instance}"))

    def test_nothing_is_refused_at_first(self) -> None:
        """Refuse nothing in the first 0.4 s, even with full caches and retries due.

        The owner knows only a part of the programs then.
        """
        self.full_report()
        self.book.returns.refuse(
            ProgramId("earlier"), rank=0, slack=5.0, rate=10.0, now=self.now
        )
        self.now += WARM_UP - 0.01
        for cache_tokens in (0, 100):
            states = self.states(cache_tokens=cache_tokens)
            decision = self.book.decide(ProgramId("new"), demand(), states, self.now)
            self.assertIsNotNone(decision)
        self.now += 0.02
        self.assertIsNone(self.decide("new"))

    def test_warm_up_again_after_silence(self) -> None:
        """Start anew when an owner gets reports again after it had none."""
        self.full_report()
        self.now += 5.0
        self.full_report()
        self.assertIsNotNone(self.decide("new"))

    def test_program_in_progress_is_never_refused(self) -> None:
        """Place a further line of a program in progress on full engines."""
        self.warm_up()
        self.full_report()
        self.assertIsNone(self.decide("new"))
        self.assertIsNotNone(self.decide("old", in_progress=True))
        decision = self.decide(f"{FIRST}-1")
        assert decision is not None
        self.assertEqual(decision.instance, FIRST)

    def test_home_engine_drains(self) -> None:
        """Give a program whose engine takes no more work another one."""
        self.warm_up()
        self.report(reported("p"))
        decision = self.decide("p", SECOND, in_progress=True)
        assert decision is not None
        self.assertEqual((decision.instance, decision.known), (SECOND, False))
