"""Decide whether this process may act for its host."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

# Factor on the lease, as the clocks of two machines may drift apart.
CLOCK_MARGIN = 1.05


class Registration(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a registration of this host.

    `own` tells that this process wrote it, `ended` that its process has ended, as
    this one listens at its address, and `settled` that its process owned its shares.
    """

    own: bool
    ended: bool
    settled: bool


class HostLease:
    """Ensure without a lock that at most one process acts on a share.

    Hosts are ranked by the registrations in the store, which each process reads with
    its own delay. A process acts only while its last read is at most `lease` seconds
    old. A newly registered host waits for a lease, or until all other hosts confirm
    that they see its registration: the previous owner has then seen it too, or its
    lease has ended. A process that stops releases its lease before it removes its
    registration, so that its successor need not wait. The registration of a lost
    process is removed by others a lease after a suspicion of it was registered: a live
    process that has read the suspicion acts no more until it has read a registration of
    its own behind it. A process that replaces a lost
    one of the same host need not wait either while that registration still exists,
    provided that the lost one has ended and had waited itself.

    `term` increases whenever another process may have acted in between.
    """

    def __init__(
        self,
        *,
        lease: float,
        clock: Callable[[], float],
    ) -> None:
        self._lease = lease
        self._clock = clock
        self._started_at = clock()
        self._active_from: float | None = None
        self._previous: Registration | None = None
        self._was_registered = False
        self._released = False
        self._suspected = False
        self.last_read = float("-inf")
        self._shares_changed_at = float("-inf")
        self.term = 0

    @property
    def since(self) -> float:
        """Return the time since which this process owns its current shares."""
        start = self._clock() if self._active_from is None else self._active_from
        return max(start, self._shares_changed_at)

    @property
    def active(self) -> bool:
        """Return whether this process may act now."""
        now = self._clock()
        if self._released or self._suspected:
            return False
        if self._active_from is None or now < self._active_from:
            return False
        return now - self.last_read <= self._lease

    def registered(self, registration: Registration, *, ordered: bool) -> None:
        """Handle a registration of this host, by this process or another one.

        `ordered` tells that no change between it and the previous one was missed.
        """
        refuted, self._suspected = self._suspected, False
        if not registration.own:
            self._previous = registration
            self._active_from = None
            self.term += 1
            return
        if refuted and not ordered:
            # The host may have been removed in between.
            self._active_from = None
            self.term += 1
        if self._active_from is not None:
            return
        inherits = ordered and not self._was_registered and self._previous_settled
        self._was_registered = True
        now = self._clock()
        self._active_from = (
            self._started_at if inherits else now + self._lease * CLOCK_MARGIN
        )

    def suspected(self) -> None:
        """Stop acting until this process's registration is read again."""
        self._suspected = True

    def activate(self) -> None:
        """Activate the lease, as all other hosts see this host's registration."""
        if self.confirmable and self._active_from is not None:
            self._active_from = self._clock()

    @property
    def confirmable(self) -> bool:
        """Return whether this host may act as soon as all other hosts see it.

        They can't tell whether another process of this host still acts.
        """
        waits = self._active_from is not None and self._clock() < self._active_from
        return waits and not self.earlier_may_act

    @property
    def earlier_may_act(self) -> bool:
        """Return whether an earlier process of this host may still act on its view."""
        if self._previous is None or self._previous_settled:
            return False
        return self._active_from is None or self._clock() < self._active_from

    def unregistered(self) -> None:
        """Deactivate the lease, as this host is not registered."""
        if self._active_from is not None:
            self.term += 1
        self._previous = None
        self._active_from = None
        self._suspected = False

    @property
    def _previous_settled(self) -> bool:
        """Return whether the previous process has ended and owned its shares."""
        previous = self._previous
        return previous is not None and previous.ended and previous.settled

    def renew(self, since: float) -> None:
        """Renew the lease by a read of the registrations that began at `since`."""
        if since - self.last_read > self._lease:
            self.term += 1
            self._shares_changed_at = self._clock()
        self.last_read = since

    def hosts_changed(self) -> None:
        """Note that the shares of this host may have changed."""
        self._shares_changed_at = self._clock()

    def release(self) -> None:
        """End the lease for good, before the registration is removed."""
        self._released = True
