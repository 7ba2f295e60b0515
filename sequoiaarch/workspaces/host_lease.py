"""Say whether this process may act on what falls to its host."""

from __future__ import annotations

from collections.abc import Callable

# Beyond the lease, as clocks of two machines run at slightly different speeds.
CLOCK_MARGIN = 1.05


class HostLease:
    """Let at most one process at a time act on a share, without a lock.

    Hosts are ranked by the registrations in the store, and each process sees them
    with a delay of its own. A process acts by a view that is at most a lease old.
    One whose host is new there waits for a lease, or until all others have told it
    that they see its host: whoever came first before has seen it by then, or stopped.
    A process that ends removes its registration when it acts no more, so that the
    next one need not wait. One that follows a lost process of the same host, whose
    registration still stood, need not either.

    `term` grows whenever another process may have acted meanwhile.
    """

    def __init__(
        self,
        *,
        lease: float,
        clock: Callable[[], float],
    ) -> None:
        self._lease = lease
        self._clock = clock
        self._begun = clock()
        self._acts_from: float | None = None
        self._before = False
        self._ceased = False
        self._last_view = float("-inf")
        self._changed = float("-inf")
        self.term = 0

    @property
    def since(self) -> float:
        """Return from when on this process has acted on what is its own now."""
        begun = self._clock() if self._acts_from is None else self._acts_from
        return max(begun, self._changed)

    @property
    def active(self) -> bool:
        """Return whether this process may act now."""
        now = self._clock()
        if self._ceased or self._acts_from is None or now < self._acts_from:
            return False
        return now - self._last_view <= self._lease

    def registered(self, *, own: bool, ordered: bool) -> None:
        """Note a registration of this host, by this process or an earlier one.

        `ordered` says that it was read right after the one before it.
        """
        if not own:
            self._before = True
            self._acts_from = None
            return
        if self._acts_from is not None:
            return
        now = self._clock()
        # Whoever acted here before had ended when this process began.
        inherits = self._before and ordered
        self._acts_from = self._begun if inherits else now + self._lease * CLOCK_MARGIN

    def seen_by_all(self) -> None:
        """Note that every other host sees this one's registration."""
        if self._acts_from is not None:
            self._acts_from = min(self._acts_from, self._clock())

    @property
    def pending(self) -> bool:
        """Return whether this host is registered and may not act yet."""
        return self._acts_from is not None and self._clock() < self._acts_from

    def unregistered(self) -> None:
        """Note that this host is not registered."""
        self._before = False
        self._acts_from = None

    def renew(self, since: float) -> None:
        """Note a view of the registrations that is as of a time of the clock."""
        if since - self._last_view > self._lease:
            self.term += 1
            self._changed = self._clock()
        self._last_view = since

    def hosts_changed(self) -> None:
        """Note that something may have come to this host, or gone."""
        self._changed = self._clock()

    def release(self) -> None:
        """Act no more, as the registration is to be removed."""
        self._ceased = True
