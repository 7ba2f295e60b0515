"""Test which targets may take new work."""

from __future__ import annotations

import unittest

from ...ids import DataCentre, InstanceId, ServiceName
from ...routing.targets import LAPSE_GRACE_SECONDS, TargetEntry, Targets

SERVICE = ServiceName("engines")


def entry(name: str, *, draining: bool = False) -> TargetEntry:
    """Return a registered target."""
    return TargetEntry(
        instance=InstanceId(name),
        service=SERVICE,
        host="127.0.0.1",
        port=1,
        data_centre=DataCentre("here"),
        slots=8,
        draining=draining,
    )


class TargetsTests(unittest.TestCase):
    """Run a clock by hand."""

    def setUp(self) -> None:
        """Register two targets."""
        self.now = 100.0
        self.dropped: list[InstanceId] = []
        self.targets = Targets(clock=lambda: self.now, dropped=self.dropped.append)
        self.targets.put(entry("i-1"))
        self.targets.put(entry("i-2"))

    def usable(self) -> list[str]:
        """Return the names of targets that may take work."""
        return sorted(one.instance for one in self.targets.of(SERVICE))

    def test_removed(self) -> None:
        """Send nothing more to a target whose registration was removed."""
        self.targets.remove(InstanceId("i-1"))
        self.assertEqual(self.usable(), ["i-2"])
        self.assertEqual(self.dropped, ["i-1"])

    def test_lapsed_with_the_store(self) -> None:
        """Keep targets whose registrations lapsed while the store was away.

        Heartbeats can't be written, so all registrations lapse. The targets
        live, and are back on the list within two seconds of its return.
        """
        self.targets.store_lost()
        self.targets.replace([])
        self.assertEqual(self.usable(), ["i-1", "i-2"])
        self.targets.store_regained()
        self.now += LAPSE_GRACE_SECONDS / 2
        self.targets.put(entry("i-1"))
        self.assertEqual(self.usable(), ["i-1", "i-2"])
        self.now += LAPSE_GRACE_SECONDS
        self.assertEqual(self.usable(), ["i-1"])

    def test_second_outage_within_the_grace(self) -> None:
        """Keep lapsed targets when the store goes away again at once.

        The store returns for a second, too short for the targets to come back
        to the list, and is lost again. Without them every request of the
        second outage would be refused for want of a target.
        """
        self.targets.store_lost()
        self.targets.replace([])
        self.targets.store_regained()
        self.now += LAPSE_GRACE_SECONDS / 2
        self.targets.store_lost()
        self.now += 10 * LAPSE_GRACE_SECONDS
        self.assertEqual(self.usable(), ["i-1", "i-2"])

    def test_draining_during_an_outage(self) -> None:
        """Believe a target that says it drains, whatever the store does."""
        self.targets.store_lost()
        self.targets.put(entry("i-1", draining=True))
        self.assertEqual(self.usable(), ["i-2"])
