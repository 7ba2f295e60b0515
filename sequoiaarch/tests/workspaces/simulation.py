"""Simulate a fleet that enforces a limit and count requests in every window."""

from __future__ import annotations

import random
from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field, replace

from ...ids import DataCentre, HostName, Workspace
from ...workspaces.directory import RateLimit
from ...workspaces.host_lease import (
    CLOCK_MARGIN,
    HostLease,
    Registration as HostRegistration,
)
from ...workspaces.limiter import Limiter, TokenGrant
from ...workspaces.shares import MovedShares, ShareOwners
from ...workspaces.sliding_window import SHARES, TOKEN_LIFE, QuotaBounds
from ...workspaces.token_cache import Token, TokenCache

WORKSPACE = Workspace("w")
BOUNDS = QuotaBounds(window=5.0, overage=0.1, slack=20.0)
LEASE = 4.0
STEP = 0.02
CENTRES = 3
# A read of the registrations that takes longer fails. Seconds.
READ_TIMEOUT = 5.0


@dataclass(kw_only=True, eq=False)
class Registration:
    """Represent the registration of a host in the store."""

    process: int
    address: int
    centre: DataCentre
    settled: bool = False
    suspected: bool = False


@dataclass(kw_only=True, eq=False)
class Read:
    """Represent a read of the registrations that is not answered yet.

    `version` is the state that the answer shows.
    """

    began: float
    answered_at: float
    version: int


@dataclass(kw_only=True)
class MissingSafeguards:
    """Select safeguards to leave out, so that the limit must be exceeded."""

    lease_starts_at_once: bool = False
    lease_never_expires: bool = False
    tokens_never_expire: bool = False
    new_owner_starts_full: bool = False
    waiting_is_inherited: bool = False
    suspicion_is_ignored: bool = False
    lost_hosts_are_removed_at_once: bool = False


def centre_number(host: HostName) -> int:
    """Return the number of the data centre of a host."""
    return int(host[1:]) % CENTRES


class Process:
    """Simulate one process of a host, with its registrations, shares and tokens."""

    def __init__(
        self, *, fleet: Fleet, host: HostName, process_id: int, address: int
    ) -> None:
        self.fleet = fleet
        self.host = host
        self.process_id = process_id
        self.address = address
        self.frozen_until = 0.0
        self.partitioned_until = 0.0
        self.read_seconds = 0.0
        self.slow_reads_until = 0.0
        self.read: Read | None = None
        self.read_at = float("-inf")
        self.view: dict[HostName, Registration] = {}
        self.version = 0
        self.filled: set[int] = set()
        self.inherited = False
        self.unregistered = False
        self.can_write = True
        self.host_lease = HostLease(lease=LEASE, clock=fleet.clock)
        self.token_cache = TokenCache(clock=fleet.clock)
        self.owners = ShareOwners(hosts=self._centres, version=lambda: self.version)
        self.moved_shares = MovedShares(
            own=host,
            wait=LEASE * CLOCK_MARGIN,
            registered=lambda other: other in self.view,
            clock=fleet.clock,
        )
        self.limiter = Limiter(
            bounds=BOUNDS,
            limits=lambda name: fleet.limit,
            owns=self._owns,
            active=lambda: self.host_lease.active,
            term=lambda: self.host_lease.term,
            since=self._owned_since,
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

    def advance_read(self) -> None:
        """Begin a read at times, and apply its answer once it has arrived.

        A process that wakes up may handle requests before the answer.
        """
        if self.unregistered and self.can_write and self.reaches_store:
            self.unregistered = False
            self.fleet.register(self)
        read = self.read
        if read is None:
            if self.fleet.rng.random() < 0.2:
                self.read_registrations()
        elif self.runs and self.fleet.now >= read.answered_at:
            if self.fleet.now - read.began > READ_TIMEOUT:
                self.read = None
            elif self.fleet.rng.random() < 0.5:
                self.read = None
                self._apply_read(read)

    def read_registrations(self) -> None:
        """Read the changes of registrations in order; the answer may take time."""
        if not self.reaches_store:
            if self.fleet.missing.lease_never_expires:
                self.host_lease.renew(self.fleet.now)
            return
        slow = self.fleet.now < self.slow_reads_until
        read_seconds = self.read_seconds if slow else 0.0
        read = Read(
            began=self.fleet.now,
            answered_at=self.fleet.now + read_seconds,
            version=len(self.fleet.changes),
        )
        if read_seconds:
            self.read = read
        else:
            self._apply_read(read)

    def _apply_read(self, read: Read) -> None:
        first = self.read_at == float("-inf")
        if self.version < read.version:
            self.host_lease.hosts_changed()
        self.read_at = read.began
        for host, registration in self.fleet.changes[self.version : read.version]:
            before = self._centres()
            self._change(host, registration, ordered=not first)
            if not first:
                self.moved_shares.hosts_changed(before, self._centres())
        if first:
            self._update_lease(ordered=False)
        self.version = max(self.version, read.version)
        self.host_lease.renew(read.began)
        if self.host_lease.confirmable and all(map(self._seen_by, self.view)):
            self.host_lease.activate()
        self._settle()
        self.limiter.drop_unowned()

    def take(self, requested_at: float, begins: bool) -> bool:
        """Queue a request if it gets a token; return whether it did."""
        token = self.token_cache.take(self.fleet.workspace)
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
        return self.limiter.grant(self.fleet.workspace, share, count, begins=begins)

    def _fill(self) -> None:
        """Clear new windows, as if no previous owner had granted tokens."""
        for share in range(SHARES):
            share_state = self.limiter._share(self.fleet.workspace, share)
            if share_state is not None and share not in self.filled:
                self.filled.add(share)
                share_state.window._entries.clear()

    def _ask(self, requested_at: float, begins: bool) -> Token | None:
        for share, host in enumerate(self.owners.of(self.fleet.workspace)):
            owner = self if host == self.host else self.fleet.processes.get(host)
            if owner is None or not owner.runs:
                continue
            count = self.token_cache.wanted(self.fleet.workspace)
            grant = owner.answer(share, count, begins)
            if grant.count:
                return self.token_cache.put(
                    self.fleet.workspace, grant.count - 1, asked=requested_at
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

    def _settle(self) -> None:
        """Write at some time that this process owns its shares."""
        own = self.view.get(self.host)
        if own is None or own.process != self.process_id or own.settled:
            return
        if own.suspected:
            return
        if self.host_lease.active and self.fleet.rng.random() < 0.5:
            own = replace(own, settled=True)
            self.fleet.append_at(self.version, self.host, own)

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
            self.unregistered = self.read_at > float("-inf")
        elif own.suspected and own.process == self.process_id:
            if not self.fleet.missing.suspicion_is_ignored:
                self.host_lease.suspected()
            self.unregistered = True
        else:
            registration = HostRegistration(
                own=own.process == self.process_id,
                ended=own.address == self.address,
                settled=own.settled or self.fleet.missing.waiting_is_inherited,
            )
            if self.fleet.missing.lease_starts_at_once and registration.own:
                self._inherit()
            self.host_lease.registered(registration, ordered=ordered)

    def _inherit(self) -> None:
        """Act as if an earlier process of this host had ended and owned its shares."""
        if self.inherited:
            return
        self.inherited = True
        previous = HostRegistration(own=False, ended=True, settled=True)
        self.host_lease.registered(previous, ordered=True)
        own = HostRegistration(own=True, ended=True, settled=False)
        self.host_lease.registered(own, ordered=True)

    def _centres(self) -> dict[DataCentre, list[HostName]]:
        hosts = defaultdict(list)
        for host, registration in self.view.items():
            hosts[registration.centre].append(host)
        return hosts

    def _owns(self, workspace: Workspace, share: int) -> bool:
        owners = self.owners.of(workspace)
        if not owners or owners[share] != self.host:
            return False
        return self.moved_shares.owned_from(workspace, share) <= self.fleet.now

    def _owned_since(self, workspace: Workspace, share: int) -> float:
        moved = self.moved_shares.owned_from(workspace, share)
        return max(self.host_lease.since, moved)


@dataclass(kw_only=True, eq=False)
class Fleet:
    """Hold the processes, the registrations in the store and the requests that ran."""

    limit: RateLimit
    rng: random.Random
    missing: MissingSafeguards = field(default_factory=MissingSafeguards)
    workspace: Workspace = WORKSPACE
    now: float = 0.0
    store_down_until: float = 0.0
    sends_held_until: float = 0.0

    def __post_init__(self) -> None:
        """Start without processes and registrations."""
        self.processes: dict[HostName, Process] = {}
        # Processes that were replaced and still serve their open connections.
        self.replaced: list[Process] = []
        self.changes: list[tuple[HostName, Registration | None]] = []
        self.ran: list[float] = []
        self.sending: list[tuple[float, Process]] = []
        # Suspicions with the times at which their hosts may be removed.
        self.suspicions: list[tuple[float, HostName, Registration]] = []
        # Registrations that the store carries out at some time.
        self.late: list[tuple[float, HostName, Registration]] = []
        self.write_seconds = 0.0
        self._started = 0

    def clock(self) -> float:
        """Return the simulated time, which includes pauses."""
        return self.now

    def append_at(
        self, end: int, host: HostName, registration: Registration | None
    ) -> None:
        """Append a change of registrations if there are `end` changes."""
        if end == len(self.changes):
            self.changes.append((host, registration))

    def start(self, host: HostName, *, address: int = 0) -> None:
        """Start a process at a host; it registers after its first read."""
        self._started += 1
        process = self.processes[host] = Process(
            fleet=self, host=host, process_id=self._started, address=address
        )
        process.read_registrations()
        process.read_registrations()
        self.changes.append((host, self._registration(process)))

    def register(self, process: Process) -> None:
        """Register a process again; the store may carry it out late."""
        at = self.now + self.rng.uniform(0.0, self.write_seconds)
        self.late.append((at, process.host, self._registration(process)))

    def _registration(self, process: Process) -> Registration:
        return Registration(
            process=process.process_id,
            address=process.address,
            centre=DataCentre(f"dc{centre_number(process.host)}"),
        )

    def registered(self, host: HostName) -> Registration | None:
        """Return the newest registration of a host."""
        newest = (change for name, change in reversed(self.changes) if name == host)
        return next(newest, None)

    def suspect(self, host: HostName) -> None:
        """Register that a host is suspected; it is removed unless it refutes that."""
        registration = self.registered(host)
        if registration is None or registration.suspected:
            return
        suspicion = replace(registration, suspected=True)
        self.changes.append((host, suspicion))
        at_once = self.missing.lost_hosts_are_removed_at_once
        wait = 0.0 if at_once else LEASE * CLOCK_MARGIN
        self.suspicions.append((self.now + wait, host, suspicion))

    def _change_registrations(self) -> None:
        """Carry out late registrations, and remove hosts that refuted nothing."""
        for entry in [one for one in self.late if one[0] <= self.now]:
            self.late.remove(entry)
            self.changes.append(entry[1:])
        for entry in [one for one in self.suspicions if one[0] <= self.now]:
            self.suspicions.remove(entry)
            if self.registered(entry[1]) is entry[2]:
                self.changes.append((entry[1], None))

    def replace(self, host: HostName) -> None:
        """Start a process at another address of a host whose process still runs."""
        self.replaced.append(self.processes[host])
        self.start(host, address=self._started + 1)

    def end_replaced(self) -> None:
        """Kill all processes that were replaced."""
        self.sending = [
            entry for entry in self.sending if entry[1] not in self.replaced
        ]
        self.replaced.clear()

    def kill(self, host: HostName) -> None:
        """Kill a process; its registration stays."""
        process = self.processes.pop(host, None)
        self.sending = [entry for entry in self.sending if entry[1] is not process]

    def stop(self, host: HostName) -> None:
        """Stop a process cleanly if it can reach the store."""
        process = self.processes.get(host)
        if process is not None and process.reaches_store:
            self.leave(host)

    def leave(self, host: HostName) -> None:
        """End a process that has released its lease and removed its registration."""
        self.processes[host].host_lease.release()
        self.changes.append((host, None))
        self.kill(host)

    def exhaust(self) -> None:
        """Use all tokens that any running process grants, at any time of their life."""
        for process in self.running:
            if not process.runs:
                continue
            for share in range(SHARES):
                while process.answer(share, 1, False).count:
                    used_after = self.rng.choice((0.0, TOKEN_LIFE - STEP / 10))
                    self.ran.append(self.now + used_after)

    def advance(self, seconds: float) -> None:
        """Advance the time without requests."""
        until = self.now + seconds
        while self.now < until:
            self.step()

    def step(self) -> None:
        """Advance the time, read registrations and send queued requests."""
        self.now += STEP
        self._change_registrations()
        for process in self.running:
            process.advance_read()
        waiting, self.sending = self.sending, []
        for until, process in waiting:
            waits = self.now < self.sends_held_until or self.rng.random() < 0.3
            if waits or not process.runs:
                self.sending.append((until, process))
            elif self.now < until or self.missing.tokens_never_expire:
                self.ran.append(self.now)

    @property
    def running(self) -> list[Process]:
        """Return all processes, those that were replaced included."""
        return [*self.processes.values(), *self.replaced]

    def largest_window(self) -> int:
        """Return the maximum number of requests that ran in any window."""
        times = sorted(self.ran)
        return max(
            (
                bisect_left(times, begin + BOUNDS.window) - index
                for index, begin in enumerate(times)
            ),
            default=0,
        )
