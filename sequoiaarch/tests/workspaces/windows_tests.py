"""Test that a workspace is held to its limit in every window and can use all of it."""

from __future__ import annotations

import random
import unittest

from ...ids import HostName, Workspace
from ...workspaces.directory import RateLimit
from .simulation import (
    BOUNDS,
    LEASE,
    STEP,
    WORKSPACE,
    Fleet,
    MissingSafeguards,
    centre_number,
)

HOSTS = [HostName(f"h{number}") for number in range(9)]
SPARE = [HostName(f"h{number}") for number in range(9, 30)]
LIMITS = (
    RateLimit(rate=2.0, burst=2.0),
    RateLimit(rate=40.0, burst=40.0),
    RateLimit(rate=300.0, burst=300.0),
)
REAL_MACHINE_SEEDS = 12
WORKSPACES = 6
# All shares of this workspace go to spare hosts when they are added.
OWNED_BY_SPARE_HOSTS = Workspace("w5")
# Between bursts, shares fill up to what they may grant at once.
BURST_PERIOD = 13.0
BURST_SECONDS = 7.0
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


def simulate_lost_hosts(limit: RateLimit, seed: int) -> Fleet:
    """Simulate bursts while hosts are suspected, lost, removed and come back."""
    rng = random.Random(seed)
    fleet = Fleet(limit=limit, rng=rng)
    fleet.write_seconds = rng.choice((0.0, 0.5, 2 * LEASE))
    for host in HOSTS:
        fleet.start(host)
    spare = list(SPARE)
    while fleet.now < SETTLING_SECONDS + SECONDS:
        if fleet.now > SETTLING_SECONDS and rng.random() < 0.05:
            lose_or_suspect(fleet, rng, spare)
        fleet.step()
        if fleet.now % BURST_PERIOD < BURST_SECONDS:
            fleet.exhaust()
    return fleet


def lose_or_suspect(fleet: Fleet, rng: random.Random, spare: list[HostName]) -> None:
    """Disturb some hosts, and suspect some that are lost, disturbed or sound."""
    fault = rng.choice(("lose", "freeze", "cut", "read", "restart", "add", "none"))
    hosts = sorted(fleet.processes)
    affected = rng.sample(hosts, min(len(hosts), rng.randint(1, 3)))
    if fault == "add" and spare:
        fleet.start(spare.pop())
    for host in affected:
        process = fleet.processes[host]
        if fault == "lose" and len(fleet.processes) > 3:
            fleet.kill(host)
        elif fault == "restart":
            fleet.kill(host)
            fleet.start(host)
        elif fault == "freeze":
            process.frozen_until = fleet.now + rng.uniform(0.2, 4 * LEASE)
        elif fault == "cut":
            process.partitioned_until = fleet.now + rng.uniform(0.5, 4 * LEASE)
        elif fault == "read":
            process.slow_reads_until = fleet.now + rng.uniform(1.0, 8.0)
            process.read_seconds = rng.uniform(0.5, 1.2 * LEASE)
        if rng.random() < 0.7:
            fleet.suspect(host)


def send_requests(fleet: Fleet, rate: float, rng: random.Random) -> int:
    """Send the requests of one step to running hosts; return how many were refused."""
    count = int(rate * STEP) + (rng.random() < rate * STEP % 1)
    running = [process for process in fleet.running if process.runs]
    refused = 0
    for _ in range(count if running else 0):
        process = rng.choice(running)
        refused += not process.take(fleet.now, begins=rng.random() < 0.4)
    return refused


def simulate_real_machines(limit: RateLimit, seed: int) -> Fleet:
    """Simulate bursts over a limit while processes pause and reads are late."""
    rng = random.Random(seed)
    fleet = Fleet(limit=limit, rng=rng)
    for host in HOSTS:
        fleet.start(host)
    restarts: dict[HostName, float] = {}
    while fleet.now < SETTLING_SECONDS + SECONDS:
        for host, restart_at in list(restarts.items()):
            if restart_at <= fleet.now:
                del restarts[host]
                fleet.start(host)
        if fleet.now > SETTLING_SECONDS and rng.random() < 0.05:
            disturb(fleet, rng, restarts)
        fleet.step()
        if fleet.now % BURST_PERIOD < BURST_SECONDS:
            fleet.exhaust()
    return fleet


def disturb(fleet: Fleet, rng: random.Random, restarts: dict[HostName, float]) -> None:
    """Apply one random fault of real machines to some hosts."""
    fault = rng.choice(("pause", "pause", "read", "read", "replace", "end", "stop"))
    hosts = sorted(fleet.processes)
    affected = rng.sample(hosts, min(len(hosts), rng.randint(1, 5)))
    if fault == "end":
        fleet.end_replaced()
        return
    if fault == "stop" and rng.random() < 0.3:
        # All hosts of a data centre, so that the others share its limits.
        affected = [host for host in hosts if centre_number(host) == 0]
    for host in affected:
        process = fleet.processes[host]
        if fault == "pause":
            process.frozen_until = fleet.now + rng.uniform(0.1, 6.0)
        elif fault == "read":
            process.slow_reads_until = fleet.now + rng.uniform(1.0, 8.0)
            process.read_seconds = rng.uniform(0.5, 1.2 * LEASE)
        elif fault == "replace":
            fleet.replace(host)
        else:
            fleet.stop(host)
            if host not in fleet.processes:
                restarts[host] = fleet.now + rng.uniform(0.5, 8.0)


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

    def test_limit_holds_on_real_machines(self) -> None:
        """Stay within the bound under bursts while pauses, reads and owners overlap."""
        for limit in LIMITS[:2]:
            for seed in range(REAL_MACHINE_SEEDS):
                with self.subTest(limit=limit, seed=seed):
                    self.check_within_bound(simulate_real_machines(limit, seed))

    def test_process_replaced_while_it_still_runs(self) -> None:
        """Never grant a share by two processes of a host while the first still runs."""
        fleet = idle_fleet(MissingSafeguards())
        for host in HOSTS:
            fleet.processes[host].partitioned_until = fleet.now + 2 * LEASE
            fleet.replace(host)
        fleet.advance(LEASE - 0.2)
        exhaust_for(fleet, BOUNDS.window)
        self.check_within_bound(fleet)

    def test_new_host_is_restarted_while_it_waits(self) -> None:
        """Never own a share early because an earlier process had begun to wait."""
        self.check_within_bound(restart_new_hosts(MissingSafeguards()))
        self.check_exceeded(
            restart_new_hosts(MissingSafeguards(waiting_is_inherited=True))
        )

    def test_last_host_of_data_centre_leaves(self) -> None:
        """Never let two running hosts own a share that moves with the data centres."""
        for number in range(WORKSPACES):
            fleet = idle_fleet(MissingSafeguards(), Workspace(f"w{number}"))
            for host in fleet.processes[HOSTS[0]].owners.of(fleet.workspace):
                fleet.processes[host].partitioned_until = fleet.now + 2 * LEASE
            for host in HOSTS:
                if centre_number(host) == 0:
                    fleet.leave(host)
            fleet.advance(0.5)
            exhaust_for(fleet, 2 * LEASE)
            with self.subTest(workspace=fleet.workspace):
                self.check_within_bound(fleet)

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

    def test_limit_holds_while_hosts_are_removed(self) -> None:
        """Guards against grants of a removed host and its successor at once."""
        for limit in LIMITS[:2]:
            for seed in range(REAL_MACHINE_SEEDS):
                with self.subTest(limit=limit, seed=seed):
                    self.check_within_bound(simulate_lost_hosts(limit, seed))

    def test_owners_are_cut_off_and_removed(self) -> None:
        """Guards against a removal while its host may still act on an older view."""
        self.check_within_bound(remove_owners_cut_off(MissingSafeguards()))
        self.check_exceeded(
            remove_owners_cut_off(
                MissingSafeguards(lost_hosts_are_removed_at_once=True)
            )
        )

    def test_owners_read_the_suspicion_and_are_removed(self) -> None:
        """Guards against grants by a view that names a suspicion of this host."""
        self.check_within_bound(remove_owners_that_read(MissingSafeguards()))
        self.check_exceeded(
            remove_owners_that_read(MissingSafeguards(suspicion_is_ignored=True))
        )

    def test_frozen_owners_wake_after_their_removal(self) -> None:
        """Guards against a frozen owner that grants once more when it wakes."""
        fleet = idle_fleet(MissingSafeguards())
        owners = set(fleet.processes[HOSTS[0]].owners.of(fleet.workspace))
        for host in owners:
            fleet.processes[host].frozen_until = fleet.now + 3 * LEASE
            fleet.suspect(host)
        fleet.advance(3 * LEASE - 0.5)
        self.assertEqual([fleet.registered(host) for host in owners], [None] * 3)
        exhaust_for(fleet, 3 * LEASE)
        self.check_within_bound(fleet)
        self.assertTrue(all(fleet.processes[host].host_lease.active for host in owners))

    def test_sound_owners_are_suspected(self) -> None:
        """Guards against a live owner that forgets what it granted, or its shares."""
        fleet = idle_fleet(MissingSafeguards())
        for _ in range(10):
            for host in HOSTS:
                fleet.suspect(host)
            exhaust_for(fleet, 0.8)
        self.check_within_bound(fleet)
        self.assertTrue(all(one.host_lease.active for one in fleet.running))

    def test_tokens_expire_before_sends(self) -> None:
        """Send no request with a token of a past window."""
        self.check_within_bound(delay_sends(MissingSafeguards()))
        self.check_exceeded(delay_sends(MissingSafeguards(tokens_never_expire=True)))


def idle_fleet(missing: MissingSafeguards, workspace: Workspace = WORKSPACE) -> Fleet:
    """Return a fleet that was idle until all its tokens are available."""
    fleet = Fleet(
        limit=LIMITS[2], rng=random.Random(1), missing=missing, workspace=workspace
    )
    for host in HOSTS:
        fleet.start(host)
    while fleet.now < SETTLING_SECONDS:
        fleet.step()
    return fleet


def exhaust_for(fleet: Fleet, seconds: float) -> None:
    """Use all tokens that are granted for some seconds."""
    until = fleet.now + seconds
    while fleet.now < until:
        fleet.step()
        fleet.exhaust()


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


def restart_new_hosts(missing: MissingSafeguards) -> Fleet:
    """Add hosts while the others can't reach the store, and restart them at once."""
    fleet = idle_fleet(missing, OWNED_BY_SPARE_HOSTS)
    for process in fleet.processes.values():
        process.partitioned_until = fleet.now + 2 * LEASE
    for host in SPARE:
        fleet.start(host)
    fleet.advance(0.5)
    for host in SPARE:
        fleet.kill(host)
        fleet.start(host)
    fleet.advance(LEASE - 1.0)
    exhaust_for(fleet, 2 * LEASE)
    return fleet


def remove_owners_cut_off(missing: MissingSafeguards) -> Fleet:
    """Suspect the owners of all shares while they can't reach the store."""
    fleet = idle_fleet(missing)
    for host in fleet.processes[HOSTS[0]].owners.of(fleet.workspace):
        fleet.processes[host].partitioned_until = fleet.now + 4 * LEASE
        fleet.suspect(host)
    exhaust_for(fleet, 4 * LEASE)
    return fleet


def remove_owners_that_read(missing: MissingSafeguards) -> Fleet:
    """Suspect the owners of all shares, which read that but can't write.

    They can't read any more shortly before they are removed.
    """
    fleet = idle_fleet(missing)
    owners = set(fleet.processes[HOSTS[0]].owners.of(fleet.workspace))
    for host in owners:
        fleet.processes[host].can_write = False
        fleet.suspect(host)
    fleet.advance(LEASE)
    for host in owners:
        fleet.processes[host].partitioned_until = fleet.now + 4 * LEASE
    exhaust_for(fleet, 3 * LEASE)
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
