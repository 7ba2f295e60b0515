"""Test that a workspace is held to its limit in every window and can use all of it."""

from __future__ import annotations

import random
import unittest

from ...ids import HostName
from ...workspaces.directory import RateLimit
from .simulation import BOUNDS, LEASE, STEP, Fleet, MissingSafeguards

HOSTS = [HostName(f"h{number}") for number in range(9)]
SPARE = [HostName(f"h{number}") for number in range(9, 30)]
LIMITS = (
    RateLimit(rate=2.0, burst=2.0),
    RateLimit(rate=40.0, burst=40.0),
    RateLimit(rate=300.0, burst=300.0),
)
SETTLING_SECONDS = 2 * LEASE + BOUNDS.window
SECONDS = 25.0
SEEDS = 8


def simulate(
    limit: RateLimit, seed: int, missing: MissingSafeguards, *, load: float = 3.0
) -> Fleet:
    """Simulate a fleet under load while hosts fail, stop, freeze and are added."""
    rng = random.Random(seed)
    fleet = Fleet(limit=limit, rng=rng, missing=missing)
    for host in HOSTS:
        fleet.start(host)
    restarts: dict[HostName, float] = {}
    spare = list(SPARE)
    while fleet.now < SETTLING_SECONDS + SECONDS:
        for host, restart_at in list(restarts.items()):
            if restart_at <= fleet.now:
                del restarts[host]
                fleet.start(host)
        if fleet.now > SETTLING_SECONDS and rng.random() < 0.04:
            inject_fault(fleet, rng, restarts, spare)
        fleet.step()
        send_requests(fleet, limit.rate * load, rng)
    return fleet


def inject_fault(
    fleet: Fleet,
    rng: random.Random,
    restarts: dict[HostName, float],
    spare: list[HostName],
) -> None:
    """Apply one random fault to some hosts."""
    fault = rng.choice(("kill", "stop", "freeze", "cut", "all", "store", "add"))
    running = sorted(fleet.processes)
    affected = rng.sample(running, min(len(running), rng.randint(1, 4)))
    if fault == "store":
        fleet.store_down_until = fleet.now + rng.uniform(0.5, 7.0)
    elif fault == "add" and spare:
        fleet.start(spare.pop())
    elif fault == "all" and rng.random() < 0.3:
        affected = running
        fault = "kill"
    for host in affected:
        if fault == "kill":
            fleet.kill(host)
            restarts[host] = fleet.now + rng.uniform(0.5, 4.0)
        elif fault == "stop":
            fleet.stop(host)
            if host not in fleet.processes:
                restarts[host] = fleet.now + rng.uniform(0.5, 2.0)
        elif fault == "freeze":
            fleet.processes[host].frozen_until = fleet.now + rng.uniform(0.2, 6.0)
        elif fault == "cut":
            fleet.processes[host].partitioned_until = fleet.now + rng.uniform(0.5, 12.0)


def send_requests(fleet: Fleet, rate: float, rng: random.Random) -> int:
    """Send the requests of one step to running hosts; return how many were refused."""
    count = int(rate * STEP) + (rng.random() < rate * STEP % 1)
    running = [process for process in fleet.processes.values() if process.runs]
    refused = 0
    for _ in range(count if running else 0):
        process = rng.choice(running)
        refused += not process.take(fleet.now, begins=rng.random() < 0.4)
    return refused


class WindowTests(unittest.TestCase):
    """Test the number of requests in each window."""

    def check_within_bound(self, fleet: Fleet) -> None:
        """Check that no window holds more than the bound."""
        self.assertLessEqual(fleet.largest_window(), BOUNDS.allowed(fleet.limit))

    def check_exceeded(self, fleet: Fleet) -> None:
        """Check that a window exceeds the bound without the safeguard."""
        self.assertGreater(fleet.largest_window(), BOUNDS.allowed(fleet.limit))

    def test_limit_holds_during_faults(self) -> None:
        """Stay within the bound at three times the limit while hosts and store fail."""
        for limit in LIMITS:
            for seed in range(SEEDS):
                with self.subTest(limit=limit, seed=seed):
                    self.check_within_bound(simulate(limit, seed, MissingSafeguards()))

    def test_repeated_loss_of_all_processes(self) -> None:
        """Grant only a low rate after a restart, as earlier grants are unknown."""
        self.check_within_bound(lose_all_three_times(MissingSafeguards()))
        self.check_exceeded(
            lose_all_three_times(MissingSafeguards(new_owner_starts_full=True))
        )

    def test_new_hosts_while_owners_are_partitioned(self) -> None:
        """Never let two hosts own a share while one can't see the other."""
        for seconds in (LEASE - 0.5, 3 * LEASE):
            self.check_within_bound(
                add_hosts_during_partition(seconds, MissingSafeguards())
            )
        self.check_exceeded(
            add_hosts_during_partition(
                LEASE - 0.5, MissingSafeguards(lease_starts_at_once=True)
            )
        )
        self.check_exceeded(
            add_hosts_during_partition(
                3 * LEASE, MissingSafeguards(lease_never_expires=True)
            )
        )

    def test_tokens_expire_before_sends(self) -> None:
        """Send no request with a token of a past window."""
        self.check_within_bound(delay_sends(MissingSafeguards()))
        self.check_exceeded(delay_sends(MissingSafeguards(tokens_never_expire=True)))


def idle_fleet(missing: MissingSafeguards) -> Fleet:
    """Return a fleet that was idle until all its tokens are available."""
    fleet = Fleet(limit=LIMITS[2], rng=random.Random(1), missing=missing)
    for host in HOSTS:
        fleet.start(host)
    while fleet.now < SETTLING_SECONDS:
        fleet.step()
    return fleet


def overload(fleet: Fleet, seconds: float) -> None:
    """Send ten times the limit."""
    until = fleet.now + seconds
    while fleet.now < until:
        fleet.step()
        send_requests(fleet, 10 * fleet.limit.rate, fleet.rng)


def lose_all_three_times(missing: MissingSafeguards) -> Fleet:
    """Kill and restart all processes three times in a window under load."""
    fleet = idle_fleet(missing)
    for _ in range(3):
        overload(fleet, 1.0)
        for host in HOSTS:
            fleet.kill(host)
            fleet.start(host)
    overload(fleet, 5.0)
    return fleet


def add_hosts_during_partition(seconds: float, missing: MissingSafeguards) -> Fleet:
    """Add hosts under load while the others can't reach the store."""
    fleet = idle_fleet(missing)
    for process in fleet.processes.values():
        process.partitioned_until = fleet.now + seconds
    for host in SPARE:
        fleet.start(host)
    overload(fleet, seconds + 6.0)
    return fleet


def delay_sends(missing: MissingSafeguards) -> Fleet:
    """Delay all requests between taking their token and being sent."""
    fleet = idle_fleet(missing)
    fleet.sends_held_until = fleet.now + 4.0
    overload(fleet, 8.0)
    return fleet


class RefusalRateTests(unittest.TestCase):
    """Test the fraction of requests that are refused."""

    def refused_share(self, limit: RateLimit, load: float, hosts: int) -> float:
        """Return the refused fraction of a steady load through some hosts."""
        fleet = Fleet(limit=limit, rng=random.Random(1))
        for host in HOSTS:
            fleet.start(host)
        while fleet.now < SETTLING_SECONDS:
            fleet.step()
        refused = sent = 0
        running = [fleet.processes[host] for host in HOSTS[:hosts]]
        while fleet.now < SETTLING_SECONDS + SECONDS:
            fleet.step()
            expected = (fleet.now - SETTLING_SECONDS) * limit.rate * load
            while sent < expected:
                sent += 1
                refused += not fleet.rng.choice(running).take(fleet.now, begins=True)
        return refused / max(1, sent)

    def test_load_below_limit(self) -> None:
        """Refuse nothing at nine tenths of a limit, through one host or all."""
        for limit in LIMITS:
            for hosts in (1, len(HOSTS)):
                with self.subTest(limit=limit, hosts=hosts):
                    self.assertEqual(self.refused_share(limit, 0.9, hosts), 0.0)

    def test_load_above_limit(self) -> None:
        """Serve the whole limit to a workspace that sends four times as much."""
        for limit in LIMITS[1:]:
            with self.subTest(limit=limit):
                self.assertLess(self.refused_share(limit, 4.0, len(HOSTS)), 0.76)
