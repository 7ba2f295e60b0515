"""Test that a program outlives the log's memory of its records."""

from __future__ import annotations

import unittest

from ...config.settings import LimitOptions
from ...shards.stream import stream_name
from ..base import SHARDS, Conversation, SystemUnderTest, wait_until

KEPT = 60
PROGRAM = "sleeper"


class RetentionTests(unittest.TestCase):
    """Let the log forget while a program pauses."""

    def setUp(self) -> None:
        """Start a system whose log keeps few records."""
        self.system = SystemUnderTest(
            engines=2,
            limits=LimitOptions(
                lame_duck=0.0,
                submit_timeout=2.0,
                append_interval=0.0,
                cache_check=0.5,
                renew_after=20,
            ),
        ).start()
        self.addCleanup(self.system.stop)
        self.system.platform.faults.retention = KEPT

    def fill(self) -> None:
        """Append records of other programs until all older ones are gone."""
        before = {
            name: self.system.platform.end(stream_name(name)) for name in range(SHARDS)
        }
        count = 0
        while any(
            self.system.platform.first(stream_name(shard)) <= before[shard]
            for shard in before
        ):
            count += 1
            filler = Conversation(
                client=self.system.client(), program=f"filler-{count}"
            )
            filler.say("filler")
            # The log forgets by the count here, and by the time on a platform:
            # a fast machine wrote all that is kept between two rounds of a keeper.
            wait_until(self.renewed, "the program is appended again in time")

    def renewed(self) -> bool:
        """Return whether all records of the program are among the newest half."""
        state = self.system.state(PROGRAM)
        views = [self.system.view(shard) for shard in range(SHARDS)]
        view = next(one for one in views if one.state(state.program) is not None)
        return min([state.base, *state.entries]) > view.next_offset - KEPT // 2

    def test_conversation_goes_on_after_a_long_pause(self) -> None:
        """Go on where the log holds no record of the time before the pause.

        The caller pauses; meanwhile the log forgets everything that was
        written until then. Every process that remembers dies. New ones read
        only what is left, and the caller's next turn must extend a history
        that they know, under a configuration that they know.
        """
        talk = Conversation(client=self.system.client(), program=PROGRAM)
        talk.say("before the pause", seq=1)
        talk.tool("slip", seq=2)
        wait_until(lambda: self.system.state(PROGRAM).seq == 2, "both commits")
        self.fill()
        self.system.platform.faults.retention = KEPT
        names = list(self.system.nodes)
        documents = {one.name: one for one in self.system.known_targets()}
        for name in names:
            self.system.kill(name)
        for name, document in documents.items():
            node = self.system.add_sidecar(name, document.spec.address)
            self.system.start_sidecar(node)
        self.system.add_gateway("gateway-9")
        talk.client = self.system.client("gateway-9")
        talk.say("after the pause", seq=3)
        again = talk.tool("slip", seq=2)
        self.assertEqual(again["run"], 1)
        self.assertEqual(self.system.executions()["slip"], 1)
        wait_until(lambda: len(talk.stored_messages()) == 4, "all turns")
        self.assertEqual(
            [one["content"] for one in talk.stored_messages()],
            [one["content"] for one in talk.messages],
        )
