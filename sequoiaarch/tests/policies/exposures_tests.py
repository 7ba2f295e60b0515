"""Test what is remembered of requests that targets did not answer."""

from __future__ import annotations

import unittest

from ...ids import InstanceId, RequestKey, SendId, Workspace
from ...policies.exposures import (
    COMMON_LIFE,
    MAX_EXPOSURES,
    PROGRAM_LIFE,
    Exposure,
    ExposureState,
    ExposureTable,
    RequestIdentity,
)

KEY = RequestKey(b"key")
TARGET = InstanceId("i-1")
OTHER = InstanceId("i-2")


def send_at(target: InstanceId, key: RequestKey = KEY) -> SendId:
    """Return the send of a request to a target."""
    return SendId(f"{key.hex()}/{target}")


class IdentityTests(unittest.TestCase):
    """Derive the key of a request."""

    def test_same_content(self) -> None:
        """Give attempts of one request the same key, but not another workspace's."""
        first = self.identity("one")
        self.assertEqual(first.key, self.identity("one").key)
        self.assertNotEqual(first.key, self.identity("two").key)

    def test_parts_are_kept_apart(self) -> None:
        """Tell apart requests whose parts are the same bytes when joined."""
        joined = self.identity("one", parts=(b"ab", b"c"))
        self.assertNotEqual(joined.key, self.identity("one", parts=(b"a", b"bc")).key)

    def test_common_content(self) -> None:
        """Remember content that several callers may send for a shorter time."""
        self.assertEqual(self.identity("one").life, PROGRAM_LIFE)
        self.assertEqual(self.identity("one", common=True).life, COMMON_LIFE)

    def identity(
        self,
        workspace: str,
        *,
        common: bool = False,
        parts: tuple[bytes, ...] = (b"body",),
    ) -> RequestIdentity:
        """Return the identity of a request."""
        return RequestIdentity(
            workspace=Workspace(workspace),
            common=common,
            parts=parts,
        )


class TableTests(unittest.TestCase):
    """Add and remove exposures."""

    def setUp(self) -> None:
        """Create a table for a few requests."""
        self.table = ExposureTable(max_requests=4)

    def test_end_of_target(self) -> None:
        """Put the end of a target to what it had not answered, once."""
        self.put(TARGET, at=1.0)
        [(key, exposure)] = self.table.target_ended(TARGET, 2.0)
        self.assertEqual((key, exposure.at), (KEY, 1.0))
        self.assertEqual(self.states(), [ExposureState.ENDED])
        self.assertEqual(self.table.target_ended(TARGET, 3.0), [])

    def test_life_sign(self) -> None:
        """Remove the exposure of a target that answers what it was sent later."""
        self.put(TARGET, at=1.0, settles=2.0)
        self.table.target_lived(TARGET, 2.9)
        self.assertEqual(len(self.states()), 1)
        self.table.target_lived(TARGET, 3.0)
        self.assertEqual(len(self.table), 0)

    def test_life_sign_after_end(self) -> None:
        """Keep an end though the target seems to answer."""
        self.put(TARGET, at=1.0)
        self.table.target_ended(TARGET, 2.0)
        self.table.target_lived(TARGET, 3.0)
        self.assertEqual(self.states(), [ExposureState.ENDED])

    def test_higher_state_prevails(self) -> None:
        """Ignore a report that knows less than the table."""
        self.put(TARGET, at=1.0, state=ExposureState.BROKEN)
        self.put(TARGET, at=2.0, state=ExposureState.OPEN)
        self.assertEqual(self.states(), [ExposureState.BROKEN])

    def test_two_ends_under_one_name(self) -> None:
        """Count each send, as a target may start again before others know."""
        self.put(TARGET, at=1.0)
        self.put(TARGET, at=2.0, send=SendId("second"))
        self.assertEqual(len(self.states()), 2)

    def test_settled_send_is_reported_again(self) -> None:
        """Ignore reports of sends that are known to have ended no target."""
        self.put(TARGET, at=1.0)
        self.table.target_lived(TARGET, 2.0)
        self.put(OTHER, at=2.0)
        self.table.clear(KEY)
        self.put(TARGET, at=1.0)
        self.put(OTHER, at=2.0)
        self.assertEqual(self.states(), [])

    def test_caller_that_left(self) -> None:
        """Count no target whose caller has left, unless it ends."""
        self.put(TARGET, at=1.0, state=ExposureState.ABANDONED)
        [exposure] = self.table.exposures(KEY, 1.0)
        self.assertFalse(exposure.counts)
        self.table.target_ended(TARGET, 2.0)
        [exposure] = self.table.exposures(KEY, 2.0)
        self.assertTrue(exposure.counts)

    def test_cleared(self) -> None:
        """Forget a request, and its targets with it."""
        self.put(TARGET, at=1.0)
        self.assertTrue(self.table.clear(KEY))
        self.assertFalse(self.table.clear(KEY))
        self.assertFalse(self.table.concerns(TARGET))

    def test_withdrawn(self) -> None:
        """Keep the other exposures of a request if one is withdrawn."""
        self.put(TARGET, at=1.0)
        self.put(OTHER, at=1.0)
        self.table.withdraw(KEY, send_at(TARGET))
        self.assertEqual(len(self.states()), 1)
        self.table.withdraw(KEY, send_at(OTHER))
        self.assertEqual(len(self.table), 0)

    def test_life(self) -> None:
        """Remember a request until its life has passed since the last change."""
        self.put(TARGET, at=0.0)
        self.put(OTHER, at=5.0)
        self.assertEqual(len(self.states(now=14.9)), 2)
        self.assertEqual(self.states(now=15.0), [])
        self.put(TARGET, at=20.0, key=RequestKey(b"other"))
        self.assertEqual(len(self.table), 1)

    def test_exposures_of_one_request_are_limited(self) -> None:
        """Keep a limited number of exposures of a request."""
        for number in range(2 * MAX_EXPOSURES):
            self.put(InstanceId(f"i-{number}"), at=0.0)
        self.assertEqual(len(self.states()), MAX_EXPOSURES)

    def test_workspace_keeps_its_share(self) -> None:
        """Drop requests of the workspace that has most of them."""
        self.put(TARGET, at=0.0, workspace="small")
        for number in range(20):
            key = RequestKey(f"{number}".encode())
            self.put(TARGET, at=0.0, key=key, workspace="large")
        self.assertEqual(len(self.table), 4)
        self.assertIn(KEY, self.table)
        self.assertEqual(self.table.dropped, 17)

    def put(
        self,
        target: InstanceId,
        *,
        at: float,
        key: RequestKey = KEY,
        state: ExposureState = ExposureState.BROKEN,
        settles: float = 0.0,
        workspace: str = "one",
        send: SendId | None = None,
    ) -> None:
        """Add an exposure with a life of ten seconds."""
        self.table.put(
            key,
            Exposure(
                send=send or send_at(target, key),
                target=target,
                state=state,
                at=at,
                settles=settles,
            ),
            workspace=Workspace(workspace),
            life=10.0,
            now=at,
        )

    def states(self, now: float = 0.0) -> list[ExposureState]:
        """Return the states of the exposures of a request."""
        return [exposure.state for exposure in self.table.exposures(KEY, now)]
