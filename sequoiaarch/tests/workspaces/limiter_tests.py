"""Test how a process counts the shares that it owns."""

from __future__ import annotations

import random
import unittest

import logbook

from ...ids import Workspace
from ...workspaces.directory import RateLimit
from ...workspaces.host_lease import HostLease
from ...workspaces.limiter import Limiter
from ...workspaces.sliding_window import SHARES, QuotaBounds

WORKSPACE = Workspace("w")
LIMIT = RateLimit(rate=10.0, burst=10.0)
BOUNDS = QuotaBounds(window=5.0, overage=0.1, slack=20.0)
LEASE = 4.75
RENEW_INTERVAL = 1.0
START = 100.0
# Time after which a process owns its shares and has all tokens.
IDLE_SINCE_START = 60.0


class Owner:
    """A process that owns all shares of one limit, with a clock of its own."""

    def __init__(self) -> None:
        self.now = START
        self.limit: RateLimit | None = LIMIT
        self.ranked = True
        self.host_lease = HostLease(lease=LEASE, clock=lambda: self.now)
        self.limiter = Limiter(
            bounds=BOUNDS,
            limits=lambda workspace: self.limit,
            owns=lambda workspace, share: self.ranked and self.host_lease.active,
            term=lambda: self.host_lease.term,
            since=lambda: self.host_lease.since,
            clock=lambda: self.now,
            rng=random.Random(1),
        )
        self.host_lease.renew(self.now)
        self.host_lease.registered(own=True, ordered=True)
        self.read_hosts_until(START + IDLE_SINCE_START)

    def read_hosts_until(self, until: float) -> None:
        """Advance the clock, with a read of the hosts each second."""
        while self.now + RENEW_INTERVAL <= until:
            self.now += RENEW_INTERVAL
            self.host_lease.renew(self.now)
        self.now = until

    def take_all(self) -> int:
        """Take tokens until none is granted; return how many there were."""
        taken = 0
        for share in range(SHARES):
            while granted := self.limiter.grant(
                WORKSPACE, share, 1, begins=False
            ).count:
                taken += granted
        return taken


class LogTests(unittest.TestCase):
    """Test that the log tells why a share is counted anew."""

    def setUp(self) -> None:
        """Record log lines."""
        self.owner = Owner()
        self.handler = logbook.TestHandler()

    def lines(self) -> str:
        """Return the recorded lines."""
        return "\n".join(record.message for record in self.handler.records)

    def test_new_share(self) -> None:
        """Log since when a share is counted."""
        with self.handler.applicationbound():
            self.owner.take_all()
        self.assertIn("share 2 of w is counted from", self.lines())

    def test_share_of_another_host(self) -> None:
        """Log how much a share had granted when another host owns it."""
        self.owner.take_all()
        self.owner.ranked = False
        with self.handler.applicationbound():
            self.owner.limiter.drop_unowned()
        self.assertIn("share 2 of w is dropped, ", self.lines())
        self.assertIn("granted in the last 5.15 s: the hosts changed", self.lines())
