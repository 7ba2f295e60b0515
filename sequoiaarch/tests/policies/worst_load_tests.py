"""Replay the worst load: full engines, late programs, and a restart among them."""

from __future__ import annotations

import heapq
import random
import unittest
from dataclasses import dataclass, field

from ...ids import InstanceId
from ...policies.engines import (
    EngineCandidate,
    EnginePlacement,
    LeastRunning,
    NearestFree,
    PrefixIndex,
    PrefixPlacement,
    PromptShape,
)
from ...policies.starts import (
    MAX_RETRY_DELAY,
    MAX_WAIT,
    MIN_RETRY_DELAY,
    BoundedWait,
    DeadlineBoundedWait,
    Start,
    StartPolicy,
    UnlimitedStarts,
)
from ...policies.urgency import DeadlineUrgency, ProgramProgress, RankUrgency

PROCESSES = 8
ENGINES = 3
SLOTS = 12
TURN_SECONDS = 0.23


BURST_SECONDS = 5.0
# Turns of the programs, and how much longer than on idle engines each may take.
PROGRAMS = ((3, 1.4), (9, 1.3))
OBJECTIVE = 0.25
BEGIN_RATE = 2 * ENGINES * SLOTS / (6 * TURN_SECONDS)
TRIES = 4


def ended_in_time(policy: StartPolicy, seed: int) -> int:
    """Return how many turns of programs that end in time a burst gets."""
    rng = random.Random(seed)
    free = [0.0] * (ENGINES * SLOTS)
    # When the next turn is due, its number, the program's turns, begin and aim.
    due: list[tuple[float, float, int, int, float, float, int]] = []
    now = 0.0
    while now < BURST_SECONDS:
        now += rng.expovariate(BEGIN_RATE)
        turns, factor = rng.choice(PROGRAMS)
        aim = factor * turns * TURN_SECONDS + OBJECTIVE
        heapq.heappush(due, (now, rng.random(), 0, turns, now, aim, 0))
    good = 0
    while due:
        now, tie, done, turns, begun, aim, tries = heapq.heappop(due)
        if done == turns:
            good += turns * (now <= begun + aim)
            continue
        wait = max(0.0, min(free) - now)
        if not done:
            left = begun + aim - now
            back = policy.refuse(
                Start(wait=wait, left=max(left, 0.01), latency_target=OBJECTIVE)
            )
            if back is not None:
                if tries < TRIES:
                    again = (now + back, tie, 0, turns, begun, aim, tries + 1)
                    heapq.heappush(due, again)
                continue
        place = free.index(min(free))
        free[place] = max(now, free[place]) + TURN_SECONDS
        heapq.heappush(due, (free[place], tie, done + 1, turns, begun, aim, tries))
    return good


@dataclass
class _Engine:
    """Serve requests in order of arrival, so many at a time."""

    free_at: list[float] = field(default_factory=lambda: [0.0] * SLOTS)

    def serve(self, now: float) -> float:
        """Take a request and return how long it waits for its start."""
        self.free_at.sort()
        start = max(now, self.free_at[0])
        self.free_at[0] = start + TURN_SECONDS
        return start - now


def mean_wait(policies: list[EnginePlacement], learns: bool, seed: int) -> float:
    """Return the mean wait of turns that several processes place unseen.

    Each process knows its own requests and, if it learns, what its last
    request at each engine waited. One engine starts with a queue that none of
    them has caused, as after a restart of all processes.
    """
    rng = random.Random(seed)
    engines = {InstanceId(f"i-{one}"): _Engine() for one in range(ENGINES)}
    backlog = next(iter(engines.values()))
    for _ in range(6 * SLOTS):
        backlog.serve(0.0)
    seen: list[dict[InstanceId, float]] = [{} for _ in range(PROCESSES)]
    ends: list[list[tuple[float, InstanceId]]] = [[] for _ in range(PROCESSES)]
    waits: list[float] = []
    now = 0.0
    while now < 2.0:
        now += rng.expovariate(100.0)
        process = rng.randrange(PROCESSES)
        ends[process] = [one for one in ends[process] if one[0] > now]
        choices = [
            EngineCandidate(
                instance=name,
                slots=SLOTS,
                running=sum(one[1] == name for one in ends[process]),
                near=False,
                wait=seen[process].get(name, 0.0) if learns else 0.0,
            )
            for name in engines
        ]
        name, _ = policies[process].choose(PromptShape(parts=()), choices)
        wait = engines[name].serve(now)
        seen[process][name] = wait
        ends[process].append((now + wait + TURN_SECONDS, name))
        waits.append(wait)
    return sum(waits) / len(waits)


class PlacementTests(unittest.TestCase):
    """Compare placements on a queue that no process has caused."""

    def test_engine_with_a_foreign_queue(self) -> None:
        """Wait less than by counting one's own requests alone.

        All processes restart at once. One engine still works off the queue of
        their predecessors, which none of them can count.
        """
        better = 0
        for seed in range(10):
            rng = random.Random(seed)
            naive: list[EnginePlacement] = [LeastRunning(rng=rng)] * PROCESSES
            ours: list[EnginePlacement] = [
                PrefixPlacement(prefix_index=PrefixIndex(), rng=rng)
                for _ in range(PROCESSES)
            ]
            better += mean_wait(ours, True, seed) < mean_wait(naive, False, seed)
        self.assertGreaterEqual(better, 9)

    def test_cached_history(self) -> None:
        """Stay where the history was read, unless the wait there is longer."""
        prefix_index = PrefixIndex()
        shape = PromptShape(parts=(("system", 512), ("session", 6000)))
        home, other = InstanceId("home"), InstanceId("other")
        prefix_index.record(home, shape)
        policy = PrefixPlacement(prefix_index=prefix_index, rng=random.Random(1))

        def chosen(wait: float) -> InstanceId:
            choices = [
                EngineCandidate(
                    instance=home, slots=8, running=1, near=True, wait=wait
                ),
                EngineCandidate(instance=other, slots=8, running=1, near=True),
            ]
            return policy.choose(shape, choices)[0]

        self.assertEqual(chosen(0.0), home)
        self.assertEqual(chosen(0.02), home)
        self.assertEqual(chosen(0.5), other)

    def test_turns_through_many_processes(self) -> None:
        """Find the engine that has read a program, through any process.

        Each turn of a program comes through another process, which knows
        nothing of the turns before. By its own memory alone it would choose an
        engine by lot and have the whole history read again.
        """
        shape = PromptShape(parts=(("system", 512), ("s", 3000)), owner="program")
        choices = [
            EngineCandidate(
                instance=InstanceId(f"i-{one}"), slots=6, running=0, near=one < 6
            )
            for one in range(18)
        ]

        def turns(owner: str) -> set[InstanceId]:
            asked = PromptShape(parts=shape.parts, owner=owner)
            chosen = set()
            for seed in range(PROCESSES):
                policy = PrefixPlacement(
                    prefix_index=PrefixIndex(), rng=random.Random(seed)
                )
                chosen.add(policy.choose(asked, choices)[0])
            return chosen

        self.assertEqual(len(turns("program")), 1)
        self.assertGreater(len(turns("")), 2)

    def test_homes_are_spread(self) -> None:
        """Give each engine about its share of the programs."""
        policy = PrefixPlacement(prefix_index=PrefixIndex(), rng=random.Random(1))
        choices = [
            EngineCandidate(
                instance=InstanceId(f"i-{one}"), slots=6, running=0, near=True
            )
            for one in range(6)
        ]
        counts = dict.fromkeys((one.instance for one in choices), 0)
        for number in range(600):
            shape = PromptShape(parts=(("s", 1000),), owner=f"program-{number}")
            counts[policy.choose(shape, choices)[0]] += 1
        self.assertGreater(min(counts.values()), 70)

    def test_home_with_a_queue(self) -> None:
        """Leave home where waiting there costs more than reading again."""
        policy = PrefixPlacement(prefix_index=PrefixIndex(), rng=random.Random(1))
        shape = PromptShape(parts=(("s", 2000),), owner="program")
        names = [InstanceId("a"), InstanceId("b")]

        def chosen(waits: dict[InstanceId, float]) -> InstanceId:
            choices = [
                EngineCandidate(
                    instance=one, slots=6, running=0, near=True, wait=waits.get(one, 0)
                )
                for one in names
            ]
            return policy.choose(shape, choices)[0]

        home = chosen({})
        self.assertEqual(chosen({home: 0.01}), home)
        self.assertNotEqual(chosen({home: 0.2}), home)

    def test_near_services_first(self) -> None:
        """Use the service nearby while it is free, and any when it is not."""
        policy = NearestFree(rng=random.Random(1))
        near, far = InstanceId("near"), InstanceId("far")

        def chosen(running: int) -> InstanceId:
            choices = [
                EngineCandidate(instance=near, slots=6, running=running, near=True),
                EngineCandidate(instance=far, slots=6, running=0, near=False),
            ]
            return policy.choose(PromptShape(parts=()), choices)[0]

        self.assertEqual(chosen(1), near)
        self.assertEqual(chosen(5), far)


class OutlierTests(unittest.TestCase):
    """Test what is learned from failed answers."""

    def test_failing_instance_is_passed_over(self) -> None:
        """Avoid an instance that fails while its health check is good.

        Half of its answers are failures. It has the fewest requests running,
        since it fails at once, and would draw most of the load.
        """
        policies: list[EnginePlacement] = [
            NearestFree(rng=random.Random(1)),
            PrefixPlacement(prefix_index=PrefixIndex(), rng=random.Random(1)),
        ]
        choices = [
            EngineCandidate(
                instance=InstanceId("failing"),
                slots=6,
                running=0,
                near=True,
                failing=0.5,
            ),
            EngineCandidate(
                instance=InstanceId("sound"), slots=6, running=3, near=False
            ),
        ]
        for policy in policies:
            chosen, _ = policy.choose(PromptShape(parts=()), choices)
            self.assertEqual(chosen, "sound")

    def test_service_is_never_emptied(self) -> None:
        """Use the instances of a service all of which fail."""
        policy = NearestFree(rng=random.Random(1))
        choices = [
            EngineCandidate(
                instance=InstanceId(f"i-{one}"),
                slots=6,
                running=0,
                near=True,
                failing=0.9,
            )
            for one in range(3)
        ]
        chosen = {policy.choose(PromptShape(parts=()), choices)[0] for _ in range(50)}
        self.assertEqual(len(chosen), 3)


class UrgencyTests(unittest.TestCase):
    """Test the order at a full engine."""

    def test_late_programs_go_behind(self) -> None:
        """Let programs that can end in time go before those that can't."""
        order = DeadlineUrgency()
        in_time = order.of(ProgramProgress(rank=1, left=0.4))
        late = order.of(ProgramProgress(rank=0, left=0.0))
        spent = order.of(ProgramProgress(rank=0, left=3.0, spent=0.8))
        self.assertLess(in_time, late)
        self.assertLess(late, spent)

    def test_ranks_interrupt_nobody(self) -> None:
        """Give programs in time one place; by rank alone they interrupt."""
        ranks = [ProgramProgress(rank=rank, left=1.0) for rank in (0, 1)]
        self.assertEqual(len({DeadlineUrgency().of(one) for one in ranks}), 1)
        self.assertEqual(len({RankUrgency().of(one) for one in ranks}), 2)


class StartTests(unittest.TestCase):
    """Test which programs may begin."""

    def test_refuses_when_all_wait(self) -> None:
        """Send new programs back, at different times, while engines are full."""
        policy = BoundedWait(rng=random.Random(3))
        returns = {policy.refuse(Start(wait=2 * MAX_WAIT)) for _ in range(50)}
        self.assertGreater(len(returns), 40)
        for wait in returns:
            assert wait is not None
            self.assertTrue(MIN_RETRY_DELAY <= wait <= MAX_RETRY_DELAY)

    def test_starts_while_there_is_room(self) -> None:
        """Refuse nothing while an engine has room."""
        for policy in (BoundedWait(rng=random.Random(3)), UnlimitedStarts()):
            self.assertIsNone(policy.refuse(Start(wait=MAX_WAIT / 2)))

    def test_programs_begin_above_capacity(self) -> None:
        """End more programs in time than with one limit for all.

        Twice as many programs begin for five seconds as the engines can serve. Those
        of many turns, whose aims bear little at each of them, are sent back before
        those of few.
        """
        for seed in range(4):
            rng = random.Random(seed)
            by_aim = ended_in_time(DeadlineBoundedWait(rng=rng), seed)
            fixed = ended_in_time(BoundedWait(rng=rng), seed)
            opened = ended_in_time(UnlimitedStarts(), seed)
            self.assertGreater(by_aim, fixed)
            self.assertGreater(fixed, opened)

    def test_no_aim(self) -> None:
        """Bear the usual wait where a program names no aim."""
        policy = DeadlineBoundedWait(rng=random.Random(3))
        self.assertIsNone(policy.refuse(Start(wait=MAX_WAIT)))
        self.assertIsNotNone(policy.refuse(Start(wait=1.01 * MAX_WAIT)))
