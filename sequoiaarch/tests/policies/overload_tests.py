"""Test placement, urgency and program starts with simulated overloaded engines."""

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
# Turns of a program, and its time limit as a multiple of the time on idle engines.
PROGRAMS = ((3, 1.4), (9, 1.3))
LATENCY_TARGET = 0.25
ARRIVAL_RATE = 2 * ENGINES * SLOTS / (6 * TURN_SECONDS)
MAX_ATTEMPTS = 4


def turns_of_timely_programs(policy: StartPolicy, seed: int) -> int:
    """Simulate a burst and return the turns of programs that end in time."""
    rng = random.Random(seed)
    free = [0.0] * (ENGINES * SLOTS)
    # Time, tie breaker, completed turns, all turns, start, time limit and attempts.
    events: list[tuple[float, float, int, int, float, float, int]] = []
    now = 0.0
    while now < BURST_SECONDS:
        now += rng.expovariate(ARRIVAL_RATE)
        turns, factor = rng.choice(PROGRAMS)
        time_limit = factor * turns * TURN_SECONDS + LATENCY_TARGET
        heapq.heappush(events, (now, rng.random(), 0, turns, now, time_limit, 0))
    completed_turns = 0
    while events:
        now, tie_breaker, turns_done, turns, started, time_limit, attempts = (
            heapq.heappop(events)
        )
        if turns_done == turns:
            completed_turns += turns * (now <= started + time_limit)
            continue
        wait = max(0.0, min(free) - now)
        if not turns_done:
            remaining = started + time_limit - now
            retry_after = policy.refuse(
                Start(
                    wait=wait, left=max(remaining, 0.01), latency_target=LATENCY_TARGET
                )
            )
            if retry_after is not None:
                if attempts < MAX_ATTEMPTS:
                    retry = (
                        now + retry_after,
                        tie_breaker,
                        0,
                        turns,
                        started,
                        time_limit,
                        attempts + 1,
                    )
                    heapq.heappush(events, retry)
                continue
        slot = free.index(min(free))
        free[slot] = max(now, free[slot]) + TURN_SECONDS
        heapq.heappush(
            events,
            (
                free[slot],
                tie_breaker,
                turns_done + 1,
                turns,
                started,
                time_limit,
                attempts,
            ),
        )
    return completed_turns


@dataclass
class _Engine:
    """Serve requests in order of arrival in a fixed number of slots."""

    free_at: list[float] = field(default_factory=lambda: [0.0] * SLOTS)

    def serve(self, now: float) -> float:
        """Take a request and return its wait."""
        self.free_at.sort()
        start = max(now, self.free_at[0])
        self.free_at[0] = start + TURN_SECONDS
        return start - now


def mean_wait(policies: list[EnginePlacement], uses_waits: bool, seed: int) -> float:
    """Return the mean wait of turns that several processes place independently.

    Each process knows its own running requests and, with `uses_waits`, the wait of
    its last request at each engine. One engine starts with a queue that no process
    knows of, as after a restart of all processes.
    """
    rng = random.Random(seed)
    engines = {InstanceId(f"i-{index}"): _Engine() for index in range(ENGINES)}
    backlog = next(iter(engines.values()))
    for _ in range(6 * SLOTS):
        backlog.serve(0.0)
    last_waits: list[dict[InstanceId, float]] = [{} for _ in range(PROCESSES)]
    running: list[list[tuple[float, InstanceId]]] = [[] for _ in range(PROCESSES)]
    waits: list[float] = []
    now = 0.0
    while now < 2.0:
        now += rng.expovariate(100.0)
        process = rng.randrange(PROCESSES)
        running[process] = [call for call in running[process] if call[0] > now]
        candidates = [
            EngineCandidate(
                instance=name,
                slots=SLOTS,
                running=sum(call[1] == name for call in running[process]),
                near=False,
                wait=last_waits[process].get(name, 0.0) if uses_waits else 0.0,
            )
            for name in engines
        ]
        name, _ = policies[process].choose(PromptShape(parts=()), candidates)
        wait = engines[name].serve(now)
        last_waits[process][name] = wait
        running[process].append((now + wait + TURN_SECONDS, name))
        waits.append(wait)
    return sum(waits) / len(waits)


class PlacementTests(unittest.TestCase):
    """Test the placement of requests among engines."""

    def test_queue_of_other_processes(self) -> None:
        """Wait less than by counting only the requests of one's own process."""
        faster = 0
        for seed in range(10):
            rng = random.Random(seed)
            by_count: list[EnginePlacement] = [LeastRunning(rng=rng)] * PROCESSES
            by_wait: list[EnginePlacement] = [
                PrefixPlacement(prefix_index=PrefixIndex(), rng=rng)
                for _ in range(PROCESSES)
            ]
            faster += mean_wait(by_wait, True, seed) < mean_wait(by_count, False, seed)
        self.assertGreaterEqual(faster, 9)

    def test_cached_prefix(self) -> None:
        """Choose the engine that cached the prefix unless its wait is longer."""
        prefix_index = PrefixIndex()
        shape = PromptShape(parts=(("system", 512), ("session", 6000)))
        home, other = InstanceId("home"), InstanceId("other")
        prefix_index.record(home, shape)
        policy = PrefixPlacement(prefix_index=prefix_index, rng=random.Random(1))

        def chosen(wait: float) -> InstanceId:
            candidates = [
                EngineCandidate(
                    instance=home, slots=8, running=1, near=True, wait=wait
                ),
                EngineCandidate(instance=other, slots=8, running=1, near=True),
            ]
            return policy.choose(shape, candidates)[0]

        self.assertEqual(chosen(0.0), home)
        self.assertEqual(chosen(0.02), home)
        self.assertEqual(chosen(0.5), other)

    def test_home_is_the_same_in_all_processes(self) -> None:
        """Choose the same engine for a program in processes that share no state.

        Without an owner different processes choose different engines.
        """
        shape = PromptShape(parts=(("system", 512), ("s", 3000)), owner="program")
        candidates = [
            EngineCandidate(
                instance=InstanceId(f"i-{number}"), slots=6, running=0, near=number < 6
            )
            for number in range(18)
        ]

        def homes(owner: str) -> set[InstanceId]:
            owned_shape = PromptShape(parts=shape.parts, owner=owner)
            chosen = set()
            for seed in range(PROCESSES):
                policy = PrefixPlacement(
                    prefix_index=PrefixIndex(), rng=random.Random(seed)
                )
                chosen.add(policy.choose(owned_shape, candidates)[0])
            return chosen

        self.assertEqual(len(homes("program")), 1)
        self.assertGreater(len(homes("")), 2)

    def test_homes_are_balanced(self) -> None:
        """Distribute programs evenly over the engines."""
        policy = PrefixPlacement(prefix_index=PrefixIndex(), rng=random.Random(1))
        candidates = [
            EngineCandidate(
                instance=InstanceId(f"i-{index}"), slots=6, running=0, near=True
            )
            for index in range(6)
        ]
        counts = dict.fromkeys((candidate.instance for candidate in candidates), 0)
        for number in range(600):
            shape = PromptShape(parts=(("s", 1000),), owner=f"program-{number}")
            counts[policy.choose(shape, candidates)[0]] += 1
        self.assertGreater(min(counts.values()), 70)

    def test_home_with_queue_is_left(self) -> None:
        """Leave home when waiting there costs more than processing the prompt."""
        policy = PrefixPlacement(prefix_index=PrefixIndex(), rng=random.Random(1))
        shape = PromptShape(parts=(("s", 2000),), owner="program")
        names = [InstanceId("a"), InstanceId("b")]

        def chosen(waits: dict[InstanceId, float]) -> InstanceId:
            candidates = [
                EngineCandidate(
                    instance=name,
                    slots=6,
                    running=0,
                    near=True,
                    wait=waits.get(name, 0),
                )
                for name in names
            ]
            return policy.choose(shape, candidates)[0]

        home = chosen({})
        self.assertEqual(chosen({home: 0.01}), home)
        self.assertNotEqual(chosen({home: 0.2}), home)

    def test_near_instances_first(self) -> None:
        """Use the near instance while it has capacity, then the least loaded."""
        policy = NearestFree(rng=random.Random(1))
        near, far = InstanceId("near"), InstanceId("far")

        def chosen(running: int) -> InstanceId:
            candidates = [
                EngineCandidate(instance=near, slots=6, running=running, near=True),
                EngineCandidate(instance=far, slots=6, running=0, near=False),
            ]
            return policy.choose(PromptShape(parts=()), candidates)[0]

        self.assertEqual(chosen(1), near)
        self.assertEqual(chosen(5), far)


class OutlierTests(unittest.TestCase):
    """Test the placement among instances that fail requests."""

    def test_failing_instance_is_skipped(self) -> None:
        """Skip a failing instance, which would attract load as it is least loaded."""
        policies: list[EnginePlacement] = [
            NearestFree(rng=random.Random(1)),
            PrefixPlacement(prefix_index=PrefixIndex(), rng=random.Random(1)),
        ]
        candidates = [
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
            chosen, _ = policy.choose(PromptShape(parts=()), candidates)
            self.assertEqual(chosen, "sound")

    def test_all_instances_failing(self) -> None:
        """Use all instances if all of them fail."""
        policy = NearestFree(rng=random.Random(1))
        candidates = [
            EngineCandidate(
                instance=InstanceId(f"i-{index}"),
                slots=6,
                running=0,
                near=True,
                failing=0.9,
            )
            for index in range(3)
        ]
        chosen = {
            policy.choose(PromptShape(parts=()), candidates)[0] for _ in range(50)
        }
        self.assertEqual(len(chosen), 3)


class UrgencyTests(unittest.TestCase):
    """Test the priority of requests at an engine."""

    def test_late_programs_go_last(self) -> None:
        """Prefer programs that can still end in time and within their budget."""
        order = DeadlineUrgency()
        in_time = order.of(ProgramProgress(rank=1, left=0.4))
        late = order.of(ProgramProgress(rank=0, left=0.0))
        spent = order.of(ProgramProgress(rank=0, left=3.0, spent=0.8))
        self.assertLess(in_time, late)
        self.assertLess(late, spent)

    def test_rank_is_ignored(self) -> None:
        """Give programs in time one priority, unlike the urgency by rank."""
        ranks = [ProgramProgress(rank=rank, left=1.0) for rank in (0, 1)]
        self.assertEqual(len({DeadlineUrgency().of(progress) for progress in ranks}), 1)
        self.assertEqual(len({RankUrgency().of(progress) for progress in ranks}), 2)


class StartPolicyTests(unittest.TestCase):
    """Test which programs may start."""

    def test_long_wait_refuses_programs(self) -> None:
        """Refuse programs while engines are full, with different retry delays."""
        policy = BoundedWait(rng=random.Random(3))
        returns = {policy.refuse(Start(wait=2 * MAX_WAIT)) for _ in range(50)}
        self.assertGreater(len(returns), 40)
        for wait in returns:
            assert wait is not None
            self.assertTrue(MIN_RETRY_DELAY <= wait <= MAX_RETRY_DELAY)

    def test_short_wait_starts_programs(self) -> None:
        """Refuse no program while the wait is short."""
        for policy in (BoundedWait(rng=random.Random(3)), UnlimitedStarts()):
            self.assertIsNone(policy.refuse(Start(wait=MAX_WAIT / 2)))

    def test_deadline_limit_beats_fixed_limit(self) -> None:
        """End more programs in time than a fixed limit, and that than none.

        For five seconds twice as many programs start as the engines can serve.
        """
        for seed in range(4):
            rng = random.Random(seed)
            by_deadline = turns_of_timely_programs(DeadlineBoundedWait(rng=rng), seed)
            fixed = turns_of_timely_programs(BoundedWait(rng=rng), seed)
            unlimited = turns_of_timely_programs(UnlimitedStarts(), seed)
            self.assertGreater(by_deadline, fixed)
            self.assertGreater(fixed, unlimited)

    def test_program_without_deadline(self) -> None:
        """Apply the fixed limit to a program without a deadline."""
        policy = DeadlineBoundedWait(rng=random.Random(3))
        self.assertIsNone(policy.refuse(Start(wait=MAX_WAIT)))
        self.assertIsNotNone(policy.refuse(Start(wait=1.01 * MAX_WAIT)))
