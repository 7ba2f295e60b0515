"""Test that a workspace stays within its limit in every window, and gets it."""

from __future__ import annotations

import random
import unittest

from ...ids import HostName
from ...workspaces.directory import RateLimit
from .windows import BOUNDS, LEASE, STEP, Fleet, Plants

HOSTS = [HostName(f"h{number}") for number in range(9)]
SPARE = [HostName(f"h{number}") for number in range(9, 30)]
LIMITS = (
    RateLimit(rate=2.0, burst=2.0),
    RateLimit(rate=40.0, burst=40.0),
    RateLimit(rate=300.0, burst=300.0),
)
SETTLED = 2 * LEASE + BOUNDS.window
SECONDS = 25.0
SEEDS = 8


def play(limit: RateLimit, seed: int, plants: Plants, *, load: float = 3.0) -> Fleet:
    """Play a fleet that loses, freezes, cuts, stops and adds hosts under load."""
    rng = random.Random(seed)
    fleet = Fleet(limit=limit, rng=rng, plants=plants)
    for host in HOSTS:
        fleet.start(host)
    down: dict[HostName, float] = {}
    spare = list(SPARE)
    while fleet.now < SETTLED + SECONDS:
        for host, back in list(down.items()):
            if back <= fleet.now:
                del down[host]
                fleet.start(host)
        if fleet.now > SETTLED and rng.random() < 0.04:
            disturb(fleet, rng, down, spare)
        fleet.step()
        demand(fleet, limit.rate * load, rng)
    return fleet


def disturb(
    fleet: Fleet, rng: random.Random, down: dict[HostName, float], spare: list[HostName]
) -> None:
    """Let one thing happen to some hosts."""
    kind = rng.choice(("kill", "stop", "freeze", "cut", "all", "store", "add"))
    live = sorted(fleet.lives)
    some = rng.sample(live, min(len(live), rng.randint(1, 4)))
    if kind == "store":
        fleet.store_back = fleet.now + rng.uniform(0.5, 7.0)
    elif kind == "add" and spare:
        fleet.start(spare.pop())
    elif kind == "all" and rng.random() < 0.3:
        some = live
        kind = "kill"
    for host in some:
        if kind == "kill":
            fleet.kill(host)
            down[host] = fleet.now + rng.uniform(0.5, 4.0)
        elif kind == "stop":
            fleet.stop(host)
            if host not in fleet.lives:
                down[host] = fleet.now + rng.uniform(0.5, 2.0)
        elif kind == "freeze":
            fleet.lives[host].frozen_until = fleet.now + rng.uniform(0.2, 6.0)
        elif kind == "cut":
            fleet.lives[host].cut_until = fleet.now + rng.uniform(0.5, 12.0)


def demand(fleet: Fleet, rate: float, rng: random.Random) -> int:
    """Send what comes in a step to hosts that run; return how many were refused."""
    count = int(rate * STEP) + (rng.random() < rate * STEP % 1)
    live = [one for one in fleet.lives.values() if one.runs]
    refused = 0
    for _ in range(count if live else 0):
        life = rng.choice(live)
        refused += not life.take(fleet.now, begins=rng.random() < 0.4)
    return refused


class WindowTests(unittest.TestCase):
    """Count what runs in each window."""

    def check(self, fleet: Fleet) -> None:
        """Check that no window holds more than the bound."""
        self.assertLessEqual(fleet.worst_window(), BOUNDS.allowed(fleet.limit))

    def planted(self, fleet: Fleet) -> None:
        """Check that a missing safeguard shows."""
        self.assertGreater(fleet.worst_window(), BOUNDS.allowed(fleet.limit))

    def test_limit_holds_through_losses(self) -> None:
        """Stay within the bound while hosts are lost, frozen, cut off and added.

        Three times the limit is asked for through all hosts; the store is away now
        and then, and all processes are lost at once.
        """
        for limit in LIMITS:
            for seed in range(SEEDS):
                with self.subTest(limit=limit, seed=seed):
                    self.check(play(limit, seed, Plants()))

    def test_all_are_lost_again_and_again(self) -> None:
        """Hand out little after a loss, as what was handed out before is not known."""
        self.check(lose_all_thrice(Plants()))
        self.planted(lose_all_thrice(Plants(starts_full=True)))

    def test_new_hosts_while_keepers_are_cut_off(self) -> None:
        """Never have two keepers of a share, where one can't see the other's host."""
        for seconds in (LEASE - 0.5, 3 * LEASE):
            self.check(add_beside_cut_off(seconds, Plants()))
        self.planted(add_beside_cut_off(LEASE - 0.5, Plants(acts_at_once=True)))
        self.planted(add_beside_cut_off(3 * LEASE, Plants(acts_by_old_views=True)))

    def test_requests_wait_before_they_are_sent(self) -> None:
        """Send nothing under a token of a window that has passed."""
        self.check(hold_sends(Plants()))
        self.planted(hold_sends(Plants(tokens_last=True)))


def settled(plants: Plants) -> Fleet:
    """Return a fleet that has been idle for long enough to have all its tokens."""
    fleet = Fleet(limit=LIMITS[2], rng=random.Random(1), plants=plants)
    for host in HOSTS:
        fleet.start(host)
    while fleet.now < SETTLED:
        fleet.step()
    return fleet


def press(fleet: Fleet, seconds: float) -> None:
    """Ask for ten times the limit."""
    until = fleet.now + seconds
    while fleet.now < until:
        fleet.step()
        demand(fleet, 10 * fleet.limit.rate, fleet.rng)


def lose_all_thrice(plants: Plants) -> Fleet:
    """Lose all processes three times in a window under load."""
    fleet = settled(plants)
    for _ in range(3):
        press(fleet, 1.0)
        for host in HOSTS:
            fleet.kill(host)
            fleet.start(host)
    press(fleet, 5.0)
    return fleet


def add_beside_cut_off(seconds: float, plants: Plants) -> Fleet:
    """Add hosts while those of before are cut off from the store, under load."""
    fleet = settled(plants)
    for life in fleet.lives.values():
        life.cut_until = fleet.now + seconds
    for host in SPARE:
        fleet.start(host)
    press(fleet, seconds + 6.0)
    return fleet


def hold_sends(plants: Plants) -> Fleet:
    """Have all requests wait for long between their token and their send."""
    fleet = settled(plants)
    fleet.sends_after = fleet.now + 4.0
    press(fleet, 8.0)
    return fleet


class ServiceTests(unittest.TestCase):
    """Count what is refused inside a limit."""

    def refused(self, limit: RateLimit, load: float, hosts: int) -> float:
        """Return the part that is refused of a steady load through some hosts."""
        fleet = Fleet(limit=limit, rng=random.Random(1))
        for host in HOSTS:
            fleet.start(host)
        while fleet.now < SETTLED:
            fleet.step()
        refused = asked = 0
        live = [fleet.lives[host] for host in HOSTS[:hosts]]
        while fleet.now < SETTLED + SECONDS:
            fleet.step()
            due = (fleet.now - SETTLED) * limit.rate * load
            while asked < due:
                asked += 1
                refused += not fleet.rng.choice(live).take(fleet.now, begins=True)
        return refused / max(1, asked)

    def test_steady_load_inside_the_limit(self) -> None:
        """Refuse nothing of nine tenths of a limit, through one host or all."""
        for limit in LIMITS:
            for hosts in (1, len(HOSTS)):
                with self.subTest(limit=limit, hosts=hosts):
                    self.assertEqual(self.refused(limit, 0.9, hosts), 0.0)

    def test_load_beyond_the_limit(self) -> None:
        """Serve the whole limit to a workspace that sends several times as much."""
        for limit in LIMITS[1:]:
            with self.subTest(limit=limit):
                self.assertLess(self.refused(limit, 4.0, len(HOSTS)), 0.76)
