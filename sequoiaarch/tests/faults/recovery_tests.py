"""Test that turns survive the loss of their home."""

from __future__ import annotations

import unittest

from ..base import Conversation, SystemUnderTest, wait_until


class RecoveryTests(unittest.TestCase):
    """Kill the home of a program after it has answered."""

    def test_turn_is_committed_by_the_gateway_that_has_a_copy(self) -> None:
        """Commit a turn whose home is killed before it was appended to the log.

        Only the first gateway has a copy of the turn, and the caller continues through
        the second one: the first must commit the turn without a further request.
        """
        system = SystemUnderTest(gateways=2).start()
        self.addCleanup(system.stop)
        conversation = Conversation(client=system.client(), program="copied")
        conversation.say("first", seq=1)
        wait_until(lambda: system.state("copied").seq == 1, "first commit")
        system.platform.faults.down = True
        conversation.say("second", seq=2)
        system.kill(system.home_of("copied"))
        system.platform.faults.down = False
        conversation.client = system.client("gateway-2")
        wait_until(lambda: system.state("copied").seq == 2, "the second commit")
        conversation.say("third", seq=3)
        wait_until(lambda: len(conversation.stored_messages()) == 6, "all turns")
        self.assertEqual(
            [one["content"] for one in conversation.stored_messages()],
            [one["content"] for one in conversation.messages],
        )
        gateway = system.nodes["gateway-1"].gateway
        assert gateway is not None
        wait_until(lambda: gateway.pending_programs == 0, "removal of the copy")

    def test_unnumbered_retry_after_the_home_is_lost(self) -> None:
        """Answer a repeated request without a sequence number from the log.

        After the home is lost, the next one must recognise the committed turn instead
        of rejecting the request as a history conflict.
        """
        system = SystemUnderTest(engines=2).start()
        self.addCleanup(system.stop)
        first = Conversation(client=system.client(), program="unnumbered")
        answer = first.say("hello")
        wait_until(lambda: system.state("unnumbered").seq == 1, "the commit")
        system.kill(system.home_of("unnumbered"))
        requests = sum(engine.requests for engine in system.engines)
        second = Conversation(client=system.client(), program="unnumbered")
        self.assertEqual(second.say("hello"), answer)
        self.assertEqual(sum(one.requests for one in system.engines), requests)
        self.assertTrue(second.say("go on"))
        wait_until(lambda: system.state("unnumbered").seq == 2, "the next commit")
