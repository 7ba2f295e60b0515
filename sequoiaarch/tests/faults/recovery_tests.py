"""Test that turns outlive the home that streamed them."""

from __future__ import annotations

import unittest

from ..base import Conversation, SystemUnderTest, wait_until


class RecoveryTests(unittest.TestCase):
    """Lose a home between answer and commit."""

    def test_another_gateway_finds_the_turn(self) -> None:
        """Keep a turn whose home died before the log had it.

        The log takes nothing while the second answer streams, so its turn
        stands only in its home and in the first gateway. The home is killed.
        The caller goes on through the second gateway, which has no copy. The
        first gateway must have the turn committed by itself.
        """
        system = SystemUnderTest(gateways=2).start()
        self.addCleanup(system.stop)
        talk = Conversation(client=system.client(), program="copied")
        talk.say("first", seq=1)
        wait_until(lambda: system.state("copied").seq == 1, "first commit")
        system.platform.faults.down = True
        talk.say("second", seq=2)
        system.kill(system.home_of("copied"))
        system.platform.faults.down = False
        talk.client = system.client("gateway-2")
        wait_until(lambda: system.state("copied").seq == 2, "the turn is kept")
        talk.say("third", seq=3)
        wait_until(lambda: len(talk.stored_messages()) == 6, "all turns")
        self.assertEqual(
            [one["content"] for one in talk.stored_messages()],
            [one["content"] for one in talk.messages],
        )
        router = system.nodes["gateway-1"].gateway
        assert router is not None
        wait_until(lambda: router.held_copies == 0, "the copy is dropped")

    def test_unnumbered_repeat_after_the_home_is_lost(self) -> None:
        """Answer a repeat without a number from the log, as its home would have.

        A stock client sends no sequence numbers. Its answer is kept, but its
        connection breaks; its home dies, and the client repeats the request.
        The next home has never seen it, and refused it as a conflict with the
        history, which already held this very turn, until the client gave up.
        """
        system = SystemUnderTest(engines=2).start()
        self.addCleanup(system.stop)
        first = Conversation(client=system.client(), program="unnumbered")
        answer = first.say("hello")
        wait_until(lambda: system.state("unnumbered").seq == 1, "the commit")
        system.kill(system.home_of("unnumbered"))
        requests = sum(engine.requests for engine in system.engines)
        again = Conversation(client=system.client(), program="unnumbered")
        self.assertEqual(again.say("hello"), answer)
        self.assertEqual(sum(one.requests for one in system.engines), requests)
        self.assertTrue(again.say("go on"))
        wait_until(lambda: system.state("unnumbered").seq == 2, "the next commit")
