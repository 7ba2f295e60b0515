"""Simulate a fleet that enforces a limit and count requests in every window."""

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
from ...workspaces.sliding_window import SHARES, QuotaBounds
from ...workspaces.token_cache import Token, TokenCache

WORKSPACE = Workspace("w")
BOUNDS = QuotaBounds(window=5.0, overage=0.1, slack=20.0)
LEASE = 4.0
STEP = 0.02
CENTRES = 3


@dataclass(kw_only=True, eq=False)
class Registration:
    """Represent the registration of a host in the store."""

    process: int
    centre: DataCentre


@dataclass(kw_only=True)
class MissingSafeguards:
    """Select safeguards to leave out, so that the limit must be exceeded."""

    lease_starts_at_once: bool = False
    lease_never_expires: bool = False
    tokens_never_expire: bool = False
    new_owner_starts_full: bool = False


class Process:
    """Simulate one process of a host, with its registrations, shares and tokens."""

    def __init__(self, *, fleet: Fleet, host: HostName, process_id: int) -> None:
        self.fleet = fleet
        self.host = host
        self.process_id = process_id
        self.frozen_until = 0.0
        self.partitioned_until = 0.0
        self.read_at = float("-inf")
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
        """Return whether the process is not frozen now."""
        return self.fleet.now >= self.frozen_until

    @property
    def reaches_store(self) -> bool:
        """Return whether the process can reach the store."""
        return self.runs and self.fleet.now >= max(
            self.partitioned_until, self.fleet.store_down_until
        )

    def read_registrations(self) -> None:
        """Read the changes of registrations in order."""
        if not self.reaches_store:
            if self.fleet.missing.lease_never_expires:
                self.host_lease.renew(self.fleet.now)
            return
        first = self.read_at == float("-inf")
        if self.version < len(self.fleet.changes):
            self.host_lease.hosts_changed()
        self.read_at = self.fleet.now
        self.host_lease.renew(self.fleet.now)
        for host, registration in self.fleet.changes[self.version :]:
            self._change(host, registration, ordered=not first)
        if first:
            self._update_lease(ordered=False)
        self.version = len(self.fleet.changes)
        if self.host_lease.pending and all(map(self._seen_by, self.view)):
            self.host_lease.activate()
        self.limiter.drop_unowned()

    def take(self, requested_at: float, begins: bool) -> bool:
        """Queue a request if it gets a token; return whether it did."""
        token = self.token_cache.take(WORKSPACE)
        if token is None:
            token = self._ask(requested_at, begins)
        if token is None:
            return False
        self.fleet.sending.append((token.until, self))
        return True

    def answer(self, share: int, count: int, begins: bool) -> TokenGrant:
        """Grant tokens to another process or this one."""
        if self.fleet.missing.new_owner_starts_full:
            self._fill()
        return self.limiter.grant(WORKSPACE, share, count, begins=begins)

    def _fill(self) -> None:
        """Clear new windows, as if no previous owner had granted tokens."""
        for share in range(SHARES):
            share_state = self.limiter._share(WORKSPACE, share)
            if share_state is not None and share not in self.filled:
                self.filled.add(share)
                share_state.window._entries.clear()

    def _ask(self, requested_at: float, begins: bool) -> Token | None:
        for share, host in enumerate(self.owners.of(WORKSPACE)):
            owner = self.fleet.processes.get(host)
            if owner is None or not owner.runs:
                continue
            count = self.token_cache.wanted(WORKSPACE)
            grant = owner.answer(share, count, begins)
            if grant.count:
                return self.token_cache.put(
                    WORKSPACE, grant.count - 1, asked=requested_at
                )
        return None

    def _change(
        self, host: HostName, registration: Registration | None, *, ordered: bool
    ) -> None:
        if registration is None:
            self.view.pop(host, None)
        else:
            self.view[host] = registration
        if host == self.host and ordered:
            self._update_lease(ordered=True)

    def _seen_by(self, host: HostName) -> bool:
        process = self.fleet.processes.get(host)
        if process is None or not process.runs:
            return False
        registration = process.view.get(self.host)
        return registration is not None and registration.process == self.process_id

    def _update_lease(self, *, ordered: bool) -> None:
        own = self.view.get(self.host)
        if own is None:
            self.host_lease.unregistered()
        else:
            is_own = own.process == self.process_id
            at_once = self.fleet.missing.lease_starts_at_once and is_own
            if at_once:
                self.host_lease.registered(own=False, ordered=True)
            self.host_lease.registered(own=is_own, ordered=ordered or at_once)

    def _centres(self) -> dict[DataCentre, list[HostName]]:
        hosts = defaultdict(list)
        for host, registration in self.view.items():
            hosts[registration.centre].append(host)
        return hosts

    def _owns(self, workspace: Workspace, share: int) -> bool:
        owners = self.owners.of(workspace)
        ranked = bool(owners) and owners[share] == self.host
        return ranked and self.host_lease.active


@dataclass(kw_only=True, eq=False)
class Fleet:
    """Hold the processes, the registrations in the store and the requests that ran."""

    limit: RateLimit
    rng: random.Random
    missing: MissingSafeguards = field(default_factory=MissingSafeguards)
    now: float = 0.0
    store_down_until: float = 0.0
    sends_held_until: float = 0.0

    def __post_init__(self) -> None:
        """Start without processes and registrations."""
        self.processes: dict[HostName, Process] = {}
        self.changes: list[tuple[HostName, Registration | None]] = []
        self.ran: list[float] = []
        self.sending: list[tuple[float, Process]] = []
        self.asked = 0
        self._started = 0

    def clock(self) -> float:
        """Return the simulated time, which includes pauses."""
        return self.now

    def start(self, host: HostName) -> None:
        """Start a process at a host; it registers after its first read."""
        self._started += 1
        process = self.processes[host] = Process(
            fleet=self, host=host, process_id=self._started
        )
        process.read_registrations()
        process.read_registrations()
        centre = DataCentre(f"dc{int(host[1:]) % CENTRES}")
        self.changes.append(
            (host, Registration(process=process.process_id, centre=centre))
        )

    def kill(self, host: HostName) -> None:
        """Kill a process; its registration stays."""
        process = self.processes.pop(host, None)
        self.sending = [entry for entry in self.sending if entry[1] is not process]

    def stop(self, host: HostName) -> None:
        """Stop a process cleanly if it can reach the store."""
        process = self.processes.get(host)
        if process is None or not process.reaches_store:
            return
        process.host_lease.release()
        self.changes.append((host, None))
        self.kill(host)

    def step(self) -> None:
        """Advance the time, read registrations and send queued requests."""
        self.now += STEP
        for process in self.processes.values():
            if self.rng.random() < 0.2:
                process.read_registrations()
        waiting, self.sending = self.sending, []
        for until, process in waiting:
            waits = self.now < self.sends_held_until or self.rng.random() < 0.3
            if waits or not process.runs:
                self.sending.append((until, process))
            elif self.now < until or self.missing.tokens_never_expire:
                self.ran.append(self.now)

    def largest_window(self) -> int:
        """Return the maximum number of requests that ran in any window."""
        return max(
            (
                bisect_left(self.ran, begin + BOUNDS.window) - index
                for index, begin in enumerate(self.ran)
            ),
            default=0,
        )
