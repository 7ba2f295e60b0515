"""Track registered targets by service."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterable

import logbook
import msgspec

from ..ids import DataCentre, InstanceId, Offset, ServiceName, SoftwareVersion

log = logbook.Logger("targets")

# Time after an outage of the store within which live targets register again: about two
# seconds, and a tenth more for the read that shows it.
LAPSE_GRACE_SECONDS = 2.2

# Seconds for which targets serve after the report that they leave, unless the settings
# tell otherwise.
DRAIN_SECONDS = 2.0
# Part of that time, in seconds, that is left for a request to reach a target at which
# something has begun.
FINISH_MARGIN = 0.3


class TargetEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a registered instance of a service.

    `born` is its start time in milliseconds of its own clock, 0 if unknown. It
    changes when the instance restarts under the same name, and may decrease, as the
    clock may have been set. `version` is that of its software.
    """

    instance: InstanceId
    service: ServiceName
    host: str
    port: int
    data_centre: DataCentre
    slots: int
    version: SoftwareVersion = SoftwareVersion("")
    draining: bool = False
    born: int = 0

    @property
    def incarnation(self) -> InstanceId:
        """Return the name of the instance since its last start.

        State of targets is kept by this name, as a restarted one has no cache, queue
        or connections.
        """
        return (
            InstanceId(f"{self.instance}@{self.born}") if self.born else self.instance
        )

    @property
    def address(self) -> tuple[str, int]:
        """Return the address for a new connection."""
        return self.host, self.port


class Targets:
    """Hold the registered targets and tell which may take new work.

    All registrations expire when heartbeats can't be written, so a registration that
    disappears during an outage of the store does not mean that its target is gone.
    Such a target stays in use until the end of a grace period after the outage. This
    does not apply to a registration that can't have expired, as it was renewed less
    than `registration_life` before.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float] = time.monotonic,
        dropped: Callable[[InstanceId], None] = lambda instance: None,
        drain_time: float = DRAIN_SECONDS,
        registration_life: float = 0.0,
    ) -> None:
        """Use times in seconds; `registration_life` is 0 if it is unknown."""
        self._clock = clock
        # Seconds from the earliest time at which a target may have reported that it
        # drains, in which it may finish what has begun.
        self._finish_time = drain_time - FINISH_MARGIN
        self._registration_life = registration_life
        # When the newest registrations were written at the earliest.
        self._renewed_at: dict[InstanceId, float] = {}
        self._dropped = dropped
        self._entries: dict[InstanceId, TargetEntry] = {}
        # Offsets of the newest registrations in the log.
        self._offsets: dict[InstanceId, Offset] = {}
        self._by_incarnation: dict[InstanceId, TargetEntry] = {}
        # Incremented when a target is added, changed or removed.
        self.version = 0
        self._lapsed: dict[InstanceId, float] = {}
        self._grace_until = 0.0
        # Returns the age of the list before the update that is applied, in seconds.
        self.age: Callable[[], float] = lambda: math.inf
        # Called with a target that is not registered any more, and what shows it.
        self.on_left: Callable[[TargetEntry, str], None] = lambda entry, reason: None
        # Called with the seconds within which it was learned that a target leaves.
        self.on_leaving: Callable[[float], None] = lambda seconds: None
        # Since when targets drain at the earliest.
        self._drains_since: dict[InstanceId, float] = {}
        self._store_unavailable = False

    def __len__(self) -> int:
        return len(self._entries)

    def store_lost(self) -> None:
        """Note that the store is unavailable.

        This extends the grace period of registrations that are already missing.
        """
        self._store_unavailable = True
        for instance in self._lapsed:
            self._lapsed[instance] = float("inf")

    def store_regained(self) -> None:
        """Note that the store is available again, and start the grace period."""
        self._store_unavailable = False
        self._grace_until = self._clock() + LAPSE_GRACE_SECONDS
        for instance in self._lapsed:
            self._lapsed[instance] = self._grace_until

    def put(self, entry: TargetEntry, offset: Offset) -> None:
        """Add or update a target by the registration at an offset."""
        if offset <= self._offsets.get(entry.instance, -1):
            # Reads that follow a list repeat what the list already showed.
            return
        previous = self._entries.get(entry.instance)
        if previous is not None and previous.born and not entry.born:
            self.reject(entry.instance)
            return
        if previous is not None and entry.born != previous.born:
            self._drop(entry.instance, "it has restarted")
            previous = None
        self._lapsed.pop(entry.instance, None)
        if previous is not None:
            self._by_incarnation.pop(previous.incarnation, None)
        self._entries[entry.instance] = entry
        self._offsets[entry.instance] = offset
        self._renewed_at[entry.instance] = self._clock() - self.age()
        self._by_incarnation[entry.incarnation] = entry
        if previous != entry:
            self.version += 1
        if not entry.draining:
            self._drains_since.pop(entry.instance, None)
        elif previous is not None and not previous.draining:
            self._drains_since[entry.instance] = self._clock() - self.age()
        if previous is None or previous.draining != entry.draining:
            log.info(
                "target {} of {} {} as of offset {}, written at most {:.2f} s ago",
                entry.instance,
                entry.service,
                "drains" if entry.draining else "is ready",
                offset,
                self.age(),
            )
            if previous is not None and entry.draining:
                self.on_leaving(self.age())

    def remove(self, instance: InstanceId, offset: Offset | None = None) -> None:
        """Remove a target, at once or after the grace period of an outage.

        `offset` is that of the removal; None if the registration is missing in a list.
        """
        if instance not in self._entries:
            return
        if offset is not None:
            if offset <= self._offsets[instance]:
                return
            self._offsets[instance] = offset
        if instance not in self._lapsed:
            self.on_leaving(self.age())
            log.info(
                "registration of target {} was removed at offset {}, at most {:.2f} s"
                " ago; {}",
                instance,
                offset,
                self.age(),
                self._lapse_state(instance),
            )
        if not self._may_have_expired(instance):
            self._drop(instance, "its registration was removed")
            return
        if self._store_unavailable:
            self._lapsed[instance] = float("inf")
            return
        if self._clock() < self._grace_until:
            self._lapsed[instance] = self._grace_until
            return
        self._drop(instance, "its registration was removed")

    def reject(self, instance: InstanceId) -> None:
        """Remove a target whose newest registration is invalid."""
        self._drop(instance, "its registration is invalid")

    def replace(self, entries: Iterable[tuple[TargetEntry, Offset]]) -> None:
        """Replace all targets by a complete list with the offset of each."""
        listed = {entry.instance: (entry, offset) for entry, offset in entries}
        for instance in list(self._entries):
            if instance not in listed:
                self.remove(instance)
        for entry, offset in listed.values():
            self.put(entry, offset)

    def of(self, service: ServiceName) -> list[TargetEntry]:
        """Return the targets of a service that may take new work."""
        self._drop_expired()
        return [
            entry
            for entry in self._entries.values()
            if entry.service == service and not entry.draining
        ]

    def leaving(self, service: ServiceName) -> list[TargetEntry]:
        """Return the draining targets of a service that still finish what has begun."""
        return [
            self._entries[instance]
            for instance in self._drains_since
            if self._entries[instance].service == service and self._finishes(instance)
        ]

    def may_take(self, chosen: TargetEntry, *, begun: bool) -> bool:
        """Return whether a target that was chosen may still take the request.

        A request that goes on with what has `begun` may be finished by a draining one.
        """
        self._drop_expired()
        current = self._entries.get(chosen.instance)
        if current is None or _role(current) != _role(chosen):
            return False
        return not current.draining or (begun and self._finishes(chosen.instance))

    def find(self, instance: InstanceId) -> TargetEntry | None:
        """Return the target with the given name, if it is registered."""
        return self._entries.get(instance)

    def find_incarnation(self, incarnation: InstanceId) -> TargetEntry | None:
        """Return the target with a name since its last start, if it is registered."""
        return self._by_incarnation.get(incarnation)

    def registered(self, incarnation: InstanceId) -> bool:
        """Return whether the newest list has a target since its last start."""
        entry = self._by_incarnation.get(incarnation)
        return entry is not None and entry.instance not in self._lapsed

    def describe(self, instance: InstanceId) -> str:
        """Return what is known of a target's registration, for the request log."""
        entry = self._entries.get(instance)
        if entry is None:
            return "not registered"
        state = "drains" if entry.draining else "ready"
        if instance in self._lapsed:
            seconds = self._lapsed[instance] - self._clock()
            state = f"registration missing, used for {seconds:.2f} s more"
        return f"{state} as of offset {self._offsets[instance]}"

    def centre_of(self, incarnation: InstanceId) -> DataCentre | None:
        """Return the data centre of a registered instance since its last start."""
        entry = self._by_incarnation.get(incarnation)
        return None if entry is None else entry.data_centre

    def service_of(self, incarnation: InstanceId) -> ServiceName | None:
        """Return the service of a registered instance since its last start."""
        entry = self._by_incarnation.get(incarnation)
        return None if entry is None else entry.service

    def _finishes(self, instance: InstanceId) -> bool:
        since = self._drains_since.get(instance)
        return since is not None and self._clock() < since + self._finish_time

    def _drop_expired(self) -> None:
        if not self._lapsed:
            return
        now = self._clock()
        for instance, until in list(self._lapsed.items()):
            if until <= now:
                self._drop(instance, "its registration did not come back")

    def _may_have_expired(self, instance: InstanceId) -> bool:
        age = self._clock() - self._renewed_at[instance]
        return age >= self._registration_life

    def _lapse_state(self, instance: InstanceId) -> str:
        if not self._may_have_expired(instance):
            return "it can't have expired"
        if self._store_unavailable:
            return "the store is unavailable"
        seconds = self._grace_until - self._clock()
        return f"used for {seconds:.2f} s more" if seconds > 0 else "not used any more"

    def _drop(self, instance: InstanceId, reason: str) -> None:
        self._lapsed.pop(instance, None)
        self._offsets.pop(instance, None)
        self._renewed_at.pop(instance, None)
        self._drains_since.pop(instance, None)
        entry = self._entries.pop(instance, None)
        if entry is not None:
            self._by_incarnation.pop(entry.incarnation, None)
            self.version += 1
            log.info("target {} of {} left: {}", instance, entry.service, reason)
            self._dropped(entry.incarnation)
            self.on_left(entry, reason)


def _role(entry: TargetEntry) -> tuple[object, ...]:
    """Return what makes a target fit for a request that was sent to it."""
    return entry.incarnation, entry.address, entry.service, entry.version
