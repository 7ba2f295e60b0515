"""Play a fleet that keeps a limit, and count what runs in every window."""

from __future__ import annotations

import random
from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field

from ...ids import DataCentre, HostName, Workspace
from ...workspaces.directory import RateLimit
from ...workspaces.host_lease import HostLease
from ...workspaces.limiter import Limiter, TokenGrant
from ...workspaces.shares import ShareOwners
from ...workspaces.sliding_window import SHARE_COUNT, QuotaBounds
from ...workspaces.token_cache import TokenCache

WORKSPACE = Workspace("w")
BOUNDS = QuotaBounds(window=5.0, overage=0.1, slack=20.0)
LEASE = 4.0
STEP = 0.02
CENTRES = 3


@dataclass(kw_only=True, eq=False)
class Registration:
    """Hold what stands under a host in the store."""

    life: int
    centre: DataCentre


@dataclass(kw_only=True)
class Plants:
    """Say which safeguards are missing."""

    acts_at_once: bool = False
    acts_by_old_views: bool = False
    tokens_last: bool = False
    starts_full: bool = False


class Life:
    """Run one process of a host: a view of the registrations, shares and tokens."""

    def __init__(self, *, fleet: Fleet, host: HostName, number: int) -> None:
        self.fleet = fleet
        self.host = host
        self.number = number
        self.frozen_until = 0.0
        self.cut_until = 0.0
        self.seen_from = float("-inf")
        self.view: dict[HostName, Registration] = {}
        self.version = 0
        self.filled: set[int] = set()
        self.host_lease = HostLease(lease=LEASE, clock=fleet.clock)
        self.token_cache = TokenCache(clock=fleet.clock)
        self.owners = ShareOwners(hosts=self._centres, version=lambda: self.version)
        self.limiter = Limiter(
            bounds=BOUNDS,
            limits=lambda name: fleet.limit,
            owns=self._owns,
            term=lambda: self.host_lease.term,
            since=lambda: self.host_lease.since,
            clock=fleet.clock,
            rng=fleet.rng,
        )

    @property
    def runs(self) -> bool:
        """Return whether the process does anything now."""
        return self.fleet.now >= self.frozen_until

    @property
    def reached(self) -> bool:
        """Return whether the process reaches the store."""
        return self.runs and self.fleet.now >= max(
            self.cut_until, self.fleet.store_back
        )

    def look(self) -> None:
        """Read the registrations, in the order in which they changed."""
        if not self.reached:
            if self.fleet.plants.acts_by_old_views:
                self.host_lease.renew(self.fleet.now)
            return
        first = self.seen_from == float("-inf")
        if self.version < len(self.fleet.changes):
            self.host_lease.hosts_changed()
        self.seen_from = self.fleet.now
        self.host_lease.renew(self.fleet.now)
        for host, found in self.fleet.changes[self.version :]:
            self._change(host, found, ordered=not first)
        if first:
            self._tell_own(ordered=False)
        self.version = len(self.fleet.changes)
        if self.host_lease.pending and all(map(self._seen_by, self.view)):
            self.host_lease.seen_by_all()
        self.limiter.drop_unowned()

    def take(self, asked: float, begins: bool) -> bool:
        """Run a request if a token can be had; return whether it ran."""
        held = self.token_cache.take(WORKSPACE)
        if held is None:
            held = self._ask(asked, begins)
        if held is None:
            return False
        self.fleet.sending.append((held, self))
        return True

    def answer(self, share: int, count: int, begins: bool) -> TokenGrant:
        """Answer another process, or the own one."""
        if self.fleet.plants.starts_full:
            self._fill()
        return self.limiter.take(WORKSPACE, share, count, begins=begins)

    def _fill(self) -> None:
        """Fill new buckets, as if no predecessor had handed anything out."""
        for share in range(SHARE_COUNT):
            found = self.limiter._share(WORKSPACE, share)
            if found is not None and share not in self.filled:
                self.filled.add(share)
                found.window._entries.clear()

    def _ask(self, asked: float, begins: bool) -> float | None:
        for share, host in enumerate(self.owners.of(WORKSPACE)):
            keeper = self.fleet.lives.get(host)
            if keeper is None or not keeper.runs:
                continue
            count = self.token_cache.wanted(WORKSPACE)
            found = keeper.answer(share, count, begins)
            if found.count:
                return self.token_cache.put(WORKSPACE, found.count - 1, asked=asked)
        return None

    def _change(
        self, host: HostName, found: Registration | None, *, ordered: bool
    ) -> None:
        if found is None:
            self.view.pop(host, None)
        else:
            self.view[host] = found
        if host == self.host and ordered:
            self._tell_own(ordered=True)

    def _seen_by(self, host: HostName) -> bool:
        life = self.fleet.lives.get(host)
        if life is None or not life.runs:
            return False
        found = life.view.get(self.host)
        return found is not None and found.life == self.number

    def _tell_own(self, *, ordered: bool) -> None:
        own = self.view.get(self.host)
        if own is None:
            self.host_lease.unregistered()
        else:
            mine = own.life == self.number
            at_once = self.fleet.plants.acts_at_once and mine
            if at_once:
                self.host_lease.registered(own=False, ordered=True)
            self.host_lease.registered(own=mine, ordered=ordered or at_once)

    def _centres(self) -> dict[DataCentre, list[HostName]]:
        found = defaultdict(list)
        for host, one in self.view.items():
            found[one.centre].append(host)
        return found

    def _owns(self, workspace: Workspace, share: int) -> bool:
        owners = self.owners.of(workspace)
        ranked = bool(owners) and owners[share] == self.host
        return ranked and self.host_lease.active


@dataclass(kw_only=True, eq=False)
class Fleet:
    """Hold the processes, the store's registrations and what ran."""

    limit: RateLimit
    rng: random.Random
    plants: Plants = field(default_factory=Plants)
    now: float = 0.0
    store_back: float = 0.0
    sends_after: float = 0.0

    def __post_init__(self) -> None:
        """Begin with nothing."""
        self.lives: dict[HostName, Life] = {}
        self.changes: list[tuple[HostName, Registration | None]] = []
        self.ran: list[float] = []
        self.sending: list[tuple[float, Life]] = []
        self.asked = 0
        self._numbers = 0

    def clock(self) -> float:
        """Return the time, pauses included."""
        return self.now

    def start(self, host: HostName) -> None:
        """Start a process at a host; it registers once it has read the list."""
        self._numbers += 1
        life = self.lives[host] = Life(fleet=self, host=host, number=self._numbers)
        life.look()
        life.look()
        centre = DataCentre(f"dc{int(host[1:]) % CENTRES}")
        self.changes.append((host, Registration(life=life.number, centre=centre)))

    def kill(self, host: HostName) -> None:
        """Lose a process; its registration stays."""
        life = self.lives.pop(host, None)
        self.sending = [one for one in self.sending if one[1] is not life]

    def stop(self, host: HostName) -> None:
        """Stop a process in order, if it reaches the store."""
        life = self.lives.get(host)
        if life is None or not life.reached:
            return
        life.host_lease.release()
        self.changes.append((host, None))
        self.kill(host)

    def step(self) -> None:
        """Let some time pass: views are read, and requests that wait are sent."""
        self.now += STEP
        for life in self.lives.values():
            if self.rng.random() < 0.2:
                life.look()
        waiting, self.sending = self.sending, []
        for until, life in waiting:
            waits = self.now < self.sends_after or self.rng.random() < 0.3
            if waits or not life.runs:
                self.sending.append((until, life))
            elif self.now < until or self.plants.tokens_last:
                self.ran.append(self.now)

    def worst_window(self) -> int:
        """Return the most that ran in any window."""
        return max(
            (
                bisect_left(self.ran, begin + BOUNDS.window) - place
                for place, begin in enumerate(self.ran)
            ),
            default=0,
        )
