"""Test how a process counts the shares that it owns."""

from __future__ import annotations

import random
import unittest

import logbook

from ...ids import Workspace
from ...workspaces.directory import RateLimit
from ...workspaces.host_lease import CLOCK_MARGIN, HostLease, Registration
from ...workspaces.limiter import Limiter
from ...workspaces.sliding_window import SHARES, TOKEN_LIFE, QuotaBounds

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
            owns=lambda workspace, share: self.ranked,
            active=lambda: self.host_lease.active,
            term=lambda: self.host_lease.term,
            since=lambda workspace, share: self.host_lease.since,
            clock=lambda: self.now,
            rng=random.Random(1),
        )
        self.host_lease.renew(self.now)
        self.register(own=True)
        self.read_hosts_until(START + IDLE_SINCE_START)

    def register(self, *, own: bool) -> None:
        """Read a registration of this host."""
        registration = Registration(own=own, ended=True, settled=True)
        self.host_lease.registered(registration, ordered=True)

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


class ForgottenGrantsTests(unittest.TestCase):
    """Test that no event between two bursts lets a share forget what it granted."""

    def setUp(self) -> None:
        """Use all tokens shortly before the event."""
        self.owner = Owner()
        self.owner.read_hosts_until(START + 60.9)
        self.granted = self.owner.take_all()

    def check_bursts(self) -> None:
        """Use all tokens again and check both bursts, 4.1 s apart."""
        self.owner.now = START + 65.0
        granted = self.granted + self.owner.take_all()
        self.assertLessEqual(granted, BOUNDS.allowed(LIMIT))

    def test_no_event(self) -> None:
        """Stay within the bound if nothing happens between the bursts."""
        self.owner.read_hosts_until(START + 65.0)
        self.check_bursts()

    def test_view_renewed_late(self) -> None:
        """Keep counting if tokens are requested before a late read is answered."""
        self.owner.now = START + 64.8
        self.assertEqual(self.owner.take_all(), 0)
        self.owner.now = START + 65.0
        self.owner.host_lease.renew(START + 61.0)
        self.check_bursts()

    def test_hosts_change_while_view_is_old(self) -> None:
        """Keep counting if other hosts change before a late read is answered."""
        self.owner.now = START + 64.8
        self.owner.limiter.drop_unowned()
        self.owner.now = START + 65.0
        self.owner.host_lease.renew(START + 61.0)
        self.check_bursts()

    def test_registration_of_another_process(self) -> None:
        """Assume grants of another process that registered this host for a moment."""
        self.owner.now = START + 62.0
        self.owner.register(own=False)
        self.owner.take_all()
        self.owner.register(own=True)
        self.owner.read_hosts_until(START + 65.0)
        self.check_bursts()

    def test_another_process_may_have_granted(self) -> None:
        """Assume that another process granted everything until this one may act."""
        self.owner.read_hosts_until(START + 62.0)
        self.owner.register(own=False)
        self.owner.register(own=True)
        self.owner.read_hosts_until(START + 62.0 + CLOCK_MARGIN * LEASE + 0.05)
        self.assertEqual(self.owner.take_all(), 0)

    def test_limit_missing_for_a_moment(self) -> None:
        """Keep counting while a configuration has no limit for the workspace."""
        self.owner.read_hosts_until(START + 62.0)
        self.owner.limit = None
        self.owner.take_all()
        self.owner.limit = LIMIT
        self.owner.read_hosts_until(START + 65.0)
        self.check_bursts()


class TokenLifeTests(unittest.TestCase):
    """Test that a window counts tokens at the time of their use."""

    def test_tokens_used_at_the_end_of_their_life(self) -> None:
        """Count tokens that are used last for a window longer than their life."""
        owner = Owner()
        granted = owner.take_all()
        # The first tokens are used just before they expire, the next at once.
        owner.read_hosts_until(owner.now + BOUNDS.window + 0.9 * TOKEN_LIFE)
        granted += owner.take_all()
        self.assertLessEqual(granted, BOUNDS.allowed(LIMIT))


class NewOwnerTests(unittest.TestCase):
    """Test what an owner assumes of the previous one."""

    def test_limit_raised_after_handover(self) -> None:
        """Assume that the previous owner already granted by a raised limit."""
        owner = Owner()
        owner.host_lease.hosts_changed()
        owner.take_all()
        owner.limit = RateLimit(rate=10 * LIMIT.rate, burst=10 * LIMIT.burst)
        self.assertEqual(owner.take_all(), 0)


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
