"""Test which hosts are suspected and removed."""

from __future__ import annotations

import unittest

from ...ids import HostName, WriterId
from ...policies.lost_hosts import (
    MAX_PAUSE,
    MAX_WATCHED,
    MIN_PATIENCE,
    SILENT_PROBES,
    SILENT_PROBES_OLD,
    LostHosts,
    Suspicion,
    Verdict,
)

WAIT = 5.0
PROBE_INTERVAL = 1.0
MINUTE = 60.0
# The smallest recoveryS of a deployment.
RECOVERY = 12.0


class _Store:
    """The registrations, and the hosts that watch each other by them."""

    def __init__(self, count: int) -> None:
        self.ring = [HostName(f"h{number:03}") for number in range(count)]
        self.processes = {host: WriterId(f"w-{host}") for host in self.ring}
        self.suspicions: dict[HostName, Suspicion] = {}
        self.watches = {host: LostHosts(own=host, wait=WAIT) for host in self.ring}
        self.lost: set[HostName] = set()
        # Live hosts that a host can't reach.
        self.cut: dict[HostName, set[HostName]] = {}
        self.old: set[HostName] = set()
        self.now = 0.0
        self.probes = 0
        self.writes = 0
        self.removed_at: dict[HostName, float] = {}

    def live(self) -> list[HostName]:
        """Return the hosts that run."""
        return [host for host in self.watches if host not in self.lost]

    def registered(self) -> list[HostName]:
        """Return the registered hosts in their common order."""
        return [host for host in self.ring if host in self.processes]

    def step(self) -> None:
        """Let each live host probe, judge, and refute suspicions of itself."""
        self.now += PROBE_INTERVAL
        registered = self.registered()
        verdicts = {
            host: self._judge(host, registered)
            for host in self.live()
            if host not in self.old
        }
        for author, verdict in verdicts.items():
            self._carry_out(author, verdict)
        if any(verdict != Verdict() for verdict in verdicts.values()):
            self._read()
        refuted = set(self.suspicions) - self.lost - self.old
        for host in refuted:
            del self.suspicions[host]
            self.writes += 1
        if refuted:
            self._read()

    def run(self, seconds: float) -> None:
        """Advance the time."""
        until = self.now + seconds
        while self.now < until:
            self.step()

    def _judge(self, host: HostName, registered: list[HostName]) -> Verdict:
        watch = self.watches[host]
        watched = watch.watched(registered, self.old)
        unreachable = self.lost | self.cut.get(host, set())
        for other in watched:
            self.probes += 1
            watch.probed(other, answered=other not in unreachable)
        return watch.judge(watched, self.old, self.now)

    def _carry_out(self, author: HostName, verdict: Verdict) -> None:
        self.writes += verdict != Verdict()
        for host in verdict.remove:
            del self.processes[host], self.suspicions[host]
            self.removed_at[host] = self.now
        for host in verdict.suspect:
            assert host not in self.suspicions, "two hosts suspect the same one"
            self.suspicions[host] = Suspicion(
                id=f"{author}/{self.now}", process=self.processes[host], author=author
            )

    def _read(self) -> None:
        for host in self.live():
            self.watches[host].registrations_changed(
                self.suspicions, self.processes, self.now
            )


class LostHostsTests(unittest.TestCase):
    """Play losses among hosts that read their registrations at once."""

    def check_left(self, store: _Store) -> None:
        """Check that the live hosts are registered and no others."""
        self.assertEqual(set(store.registered()), set(store.ring) - store.lost)

    def test_calm_fleet(self) -> None:
        """Guards against writes, or probes of each other, while nothing fails."""
        store = _Store(540)
        store.run(5)
        self.assertEqual(store.probes, 5 * 540)
        self.assertEqual(store.writes, 0)

    def test_one_lost_host(self) -> None:
        """Guards against a lost host that stays, or is removed within a lease."""
        store = _Store(8)
        store.lost = {store.ring[3]}
        store.run(12)
        self.check_left(store)
        suspected = SILENT_PROBES * PROBE_INTERVAL
        removed_at = store.removed_at[store.ring[3]]
        self.assertGreaterEqual(removed_at, suspected + WAIT)
        self.assertLessEqual(removed_at, suspected + WAIT + 2 * PROBE_INTERVAL)
        self.assertEqual(store.writes, 2)

    def test_many_at_once(self) -> None:
        """Guards against losses that are found one after the other."""
        for count, lost in ((8, 4), (36, 35), (540, 36), (540, 270)):
            with self.subTest(count=count, lost=lost):
                store = _Store(count)
                store.lost = set(store.ring[1 : lost + 1])
                store.run(2 * MINUTE)
                self.check_left(store)

    def test_host_is_cut_off_from_all_others(self) -> None:
        """Guards against a host without links that has all others suspected."""
        store = _Store(100)
        alone = store.ring[7]
        store.cut = {host: {alone} for host in store.ring}
        store.cut[alone] = set(store.ring) - {alone}
        store.run(10 * MINUTE)
        self.check_left(store)
        # Both sides back off: some writes a minute remain, of 800 a second.
        self.assertLess(store.writes, 10 * MINUTE / 4)

    def test_regions_lose_each_other(self) -> None:
        """Guards against live hosts that are removed, or a storm of suspicions."""
        store = _Store(100)
        halves = set(store.ring[:50]), set(store.ring[50:])
        for one, other in (halves, halves[::-1]):
            store.cut.update(dict.fromkeys(one, other))
        store.run(10 * MINUTE)
        self.check_left(store)
        self.assertLess(store.writes, 10 * MINUTE / 4)

    def test_suspicion_is_refuted(self) -> None:
        """Guards against suspicions of a host that follow each other at once."""
        watch = LostHosts(own=HostName("a"), wait=WAIT)
        b = HostName("b")
        processes = {b: WriterId("w")}
        suspicion = Suspicion(id="1", process=WriterId("w"), author=HostName("a"))
        watch.registrations_changed({b: suspicion}, processes, 0.0)
        watch.registrations_changed({}, processes, 1.0)
        for _ in range(SILENT_PROBES):
            watch.probed(b, answered=False)
        self.assertEqual(watch.judge([b], (), MIN_PATIENCE), Verdict())
        later = watch.judge([b], (), 1.0 + MIN_PATIENCE)
        self.assertEqual(later, Verdict(suspect=(b,)))

    def test_later_suspicion_of_the_same_process(self) -> None:
        """Guards against a removal by the time of an earlier suspicion."""
        watch = LostHosts(own=HostName("a"), wait=WAIT)
        b, processes = HostName("b"), {HostName("b"): WriterId("w")}
        for number in range(2):
            suspicion = Suspicion(
                id=str(number), process=WriterId("w"), author=HostName("c")
            )
            watch.registrations_changed({b: suspicion}, processes, number * WAIT)
        for _ in range(SILENT_PROBES):
            watch.probed(b, answered=False)
        self.assertEqual(watch.judge([b], (), 2 * WAIT - 0.1), Verdict())
        self.assertEqual(watch.judge([b], (), 2 * WAIT), Verdict(remove=(b,)))

    def test_many_are_lost_after_a_pause(self) -> None:
        """Guards against losses that are found slowly as a paused host had refuted."""
        store = _Store(8)
        for paused in store.ring[1:4]:
            store.lost = {paused}
            store.run(SILENT_PROBES + 1)
            store.lost = set()
            store.run(2)
        store.lost = set(store.ring[1:])
        store.run(RECOVERY)
        self.check_left(store)

    def test_store_was_away(self) -> None:
        """Guards against the removal of a host that had no store to refute by."""
        watch = LostHosts(own=HostName("a"), wait=WAIT)
        b = HostName("b")
        suspicion = Suspicion(id="1", process=WriterId("w"), author=HostName("a"))
        watch.registrations_changed({b: suspicion}, {b: WriterId("w")}, 0.0)
        for _ in range(SILENT_PROBES):
            watch.probed(b, answered=False)
        watch.store_regained(3 * WAIT)
        self.assertEqual(watch.judge([b], (), 3 * WAIT), Verdict())
        self.assertEqual(watch.judge([b], (), 4 * WAIT), Verdict(remove=(b,)))

    def test_suspected_host_answers_again(self) -> None:
        """Guards against the removal of a host that answers but can't write."""
        watch = LostHosts(own=HostName("a"), wait=WAIT)
        b = HostName("b")
        suspicion = Suspicion(id="1", process=WriterId("w"), author=HostName("a"))
        watch.registrations_changed({b: suspicion}, {b: WriterId("w")}, 0.0)
        for answered in (False, False, False, True):
            watch.probed(b, answered=answered)
        self.assertEqual(watch.judge([b], (), 2 * WAIT), Verdict())

    def test_host_of_an_old_build(self) -> None:
        """Guards against hosts that can't refute and are suspected after a pause."""
        store = _Store(3)
        pausing = store.ring[1]
        store.old = {pausing}
        store.lost = {pausing}
        store.run(SILENT_PROBES_OLD - 1)
        self.assertEqual(store.writes, 0)
        store.run(WAIT + 3)
        self.check_left(store)

    def test_hosts_of_old_builds_watch_nobody(self) -> None:
        """Guards against a lost host that only hosts of an old build would watch."""
        store = _Store(6)
        store.old = set(store.ring[1:4])
        store.lost = {store.ring[4]}
        store.run(12)
        self.check_left(store)

    def test_limits(self) -> None:
        """Guards against more probes at once, or longer pauses, than are bounded."""
        store = _Store(540)
        store.lost = set(store.ring[1:])
        before = 0
        for _ in range(30):
            store.step()
            self.assertLessEqual(store.probes - before, MAX_WATCHED)
            before = store.probes
        self.assertGreater(MAX_PAUSE, WAIT)
