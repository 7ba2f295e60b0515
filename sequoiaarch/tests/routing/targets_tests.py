"""Test which targets may take new work."""

from __future__ import annotations

import unittest

import msgspec

from ...ids import DataCentre, InstanceId, Offset, ServiceName, SoftwareVersion
from ...routing.targets import (
    DRAIN_SECONDS,
    FINISH_MARGIN,
    LAPSE_GRACE_SECONDS,
    TargetEntry,
    Targets,
)

SERVICE = ServiceName("engines")
LEAVING_SECONDS = DRAIN_SECONDS - FINISH_MARGIN


def entry(name: str, *, draining: bool = False, born: int = 0) -> TargetEntry:
    """Return a registered target."""
    return TargetEntry(
        instance=InstanceId(name),
        service=SERVICE,
        host="127.0.0.1",
        port=1,
        data_centre=DataCentre("here"),
        slots=8,
        draining=draining,
        born=born,
    )


class TargetsTests(unittest.TestCase):
    """Test removal and expiry of targets with a manual clock."""

    def setUp(self) -> None:
        """Register two targets."""
        self.now = 100.0
        self.offset = 0
        self.dropped: list[InstanceId] = []
        self.targets = Targets(clock=lambda: self.now, dropped=self.dropped.append)
        self.put(entry("i-1"))
        self.put(entry("i-2"))

    def put(self, target: TargetEntry) -> None:
        """Apply a registration at the next offset."""
        self.offset += 1
        self.targets.put(target, Offset(self.offset))

    def usable(self) -> list[str]:
        """Return the names of targets that may take work."""
        return sorted(entry.instance for entry in self.targets.of(SERVICE))

    def leaving(self) -> list[str]:
        """Return the names of draining targets that finish what has begun."""
        return [entry.instance for entry in self.targets.leaving(SERVICE)]

    def test_leaving_targets(self) -> None:
        """Let a draining target finish streams, counted from the list before."""
        self.targets.age = lambda: 0.5
        self.put(entry("i-1", draining=True))
        self.assertEqual((self.usable(), self.leaving()), (["i-2"], ["i-1"]))
        self.now += LEAVING_SECONDS - 0.6
        self.assertEqual(self.leaving(), ["i-1"])
        self.put(entry("i-1", draining=True))
        self.now += 0.2
        self.assertEqual(self.leaving(), [])

    def test_drain_is_learned_late(self) -> None:
        """Send nothing to a draining target whose report may be old."""
        self.targets.age = lambda: LEAVING_SECONDS + 0.1
        self.put(entry("i-1", draining=True))
        self.targets.age = lambda: 0.0
        self.put(entry("i-3", draining=True))
        self.assertEqual(self.leaving(), [])

    def test_draining_target_leaves(self) -> None:
        """Send nothing to a draining target that is gone or back."""
        self.targets.age = lambda: 0.0
        for name in ("i-1", "i-2"):
            self.put(entry(name, draining=True))
        self.targets.remove(InstanceId("i-1"))
        self.put(entry("i-2"))
        self.assertEqual((self.usable(), self.leaving()), (["i-2"], []))

    def test_removed_registration(self) -> None:
        """Use no target whose registration was removed."""
        self.targets.remove(InstanceId("i-1"))
        self.assertEqual(self.usable(), ["i-2"])
        self.assertEqual(self.dropped, ["i-1"])

    def test_registrations_missing_after_outage(self) -> None:
        """Keep targets that disappear during an outage until the grace period ends."""
        self.targets.store_lost()
        self.targets.replace([])
        self.assertEqual(self.usable(), ["i-1", "i-2"])
        self.targets.store_regained()
        self.now += LAPSE_GRACE_SECONDS / 2
        self.put(entry("i-1"))
        self.assertEqual(self.usable(), ["i-1", "i-2"])
        self.now += LAPSE_GRACE_SECONDS
        self.assertEqual(self.usable(), ["i-1"])

    def test_second_outage_in_grace_period(self) -> None:
        """Keep missing targets if another outage begins during the grace period."""
        self.targets.store_lost()
        self.targets.replace([])
        self.targets.store_regained()
        self.now += LAPSE_GRACE_SECONDS / 2
        self.targets.store_lost()
        self.now += 10 * LAPSE_GRACE_SECONDS
        self.assertEqual(self.usable(), ["i-1", "i-2"])

    def test_removed_while_this_host_reads_nothing(self) -> None:
        """A removal counts as lapsed though the registration can't have expired."""
        self.targets = Targets(clock=lambda: self.now, registration_life=3.0)
        self.targets.age = lambda: 0.5
        self.put(entry("i-1"))
        self.put(entry("i-2"))
        self.targets.store_lost()
        self.now += 2.0
        self.targets.remove(InstanceId("i-1"), Offset(9))
        self.assertEqual(self.usable(), ["i-2"])
        self.now += 0.5
        self.targets.remove(InstanceId("i-2"), Offset(10))
        self.assertEqual(self.usable(), ["i-2"])

    def test_draining_during_outage(self) -> None:
        """Use no target that drains, also during an outage."""
        self.targets.store_lost()
        self.put(entry("i-1", draining=True))
        self.assertEqual(self.usable(), ["i-2"])

    def test_repeated_registration(self) -> None:
        """A registration that is read again after a list brings a target back."""
        self.targets.replace([(entry("i-1", draining=True), Offset(9))])
        self.targets.put(entry("i-1"), Offset(8))
        self.assertEqual(self.usable(), [])
        self.targets.put(entry("i-1"), Offset(10))
        self.assertEqual(self.usable(), ["i-1"])

    def test_repeated_removal(self) -> None:
        """A removal that is read again after a list removes a new registration."""
        self.targets.replace([(entry("i-1"), Offset(9))])
        self.targets.remove(InstanceId("i-1"), Offset(8))
        self.assertEqual(self.usable(), ["i-1"])
        self.targets.remove(InstanceId("i-1"), Offset(10))
        self.assertEqual(self.usable(), [])

    def test_registration_before_removal(self) -> None:
        """A registration from before the removal revives a lapsed target."""
        self.targets.store_lost()
        self.targets.remove(InstanceId("i-1"), Offset(9))
        self.targets.put(entry("i-1"), Offset(8))
        self.targets.store_regained()
        self.now += LAPSE_GRACE_SECONDS
        self.assertEqual(self.usable(), ["i-2"])

    def test_chosen_target_leaves(self) -> None:
        """A request is sent to a target that has left since it was chosen."""
        self.targets.age = lambda: 0.0
        chosen = {name: self.targets.find(InstanceId(name)) for name in ("i-1", "i-2")}
        self.put(entry("i-1", draining=True))
        self.targets.remove(InstanceId("i-2"))
        self.assertEqual(self.takes(chosen["i-1"], chosen["i-2"]), [False, False])

    def test_chosen_target_drains_for_a_stream(self) -> None:
        """A stream that goes on is sent to a target that drains for too long."""
        self.targets.age = lambda: 0.0
        chosen = self.targets.find(InstanceId("i-1"))
        self.put(entry("i-1", draining=True))
        self.assertEqual(self.takes(chosen, begun=True), [True])
        self.now += LEAVING_SECONDS
        self.assertEqual(self.takes(chosen, begun=True), [False])

    def test_chosen_target_changes(self) -> None:
        """A request is sent to a target that is not the one chosen any more."""
        chosen = entry("i-1")
        self.put(chosen)
        for changed in (
            entry("i-1", born=1),
            msgspec.structs.replace(chosen, port=2),
            msgspec.structs.replace(chosen, service=ServiceName("tools")),
            msgspec.structs.replace(chosen, version=SoftwareVersion("v2")),
        ):
            with self.subTest(changed=changed):
                self.put(changed)
                self.assertEqual(self.takes(chosen), [False])
        self.targets.remove(InstanceId("i-1"))
        self.put(msgspec.structs.replace(chosen, slots=3))
        self.assertEqual(self.takes(chosen), [True])

    def takes(self, *chosen: TargetEntry | None, begun: bool = False) -> list[bool]:
        """Return which of the chosen targets may still take a request."""
        return [
            target is not None and self.targets.may_take(target, begun=begun)
            for target in chosen
        ]

    def test_restarted_target(self) -> None:
        """Find a target by its last start only, and count each change."""
        self.put(entry("i-1", born=1))
        restarted = self.targets.version
        self.put(entry("i-1", born=2))
        self.assertGreater(self.targets.version, restarted)
        self.assertIsNone(self.targets.service_of(InstanceId("i-1@1")))
        self.assertEqual(self.targets.service_of(InstanceId("i-1@2")), SERVICE)
        self.assertEqual(self.targets.centre_of(InstanceId("i-1@2")), "here")
        renewed = self.targets.version
        self.put(entry("i-1", born=2))
        self.assertEqual(self.targets.version, renewed)
        self.targets.remove(InstanceId("i-1"))
        self.assertIsNone(self.targets.centre_of(InstanceId("i-1@2")))
        self.assertEqual(len(self.targets._by_incarnation), len(self.targets))
