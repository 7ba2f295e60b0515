"""Test that a program survives the trimming of its records from the log."""

from __future__ import annotations

import unittest

from ...config.settings import LimitOptions
from ...shards.stream import stream_name
from ..base import SHARDS, Conversation, SystemUnderTest, wait_until

RETAINED_RECORDS = 60
PROGRAM = "sleeper"


class RetentionTests(unittest.TestCase):
    """Trim the log while a program is idle."""

    def setUp(self) -> None:
        """Start a system whose log retains few records."""
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
        self.system.platform.faults.retention = RETAINED_RECORDS

    def append_until_trimmed(self) -> None:
        """Append records of other programs until all present records are trimmed."""
        ends = {
            shard: self.system.platform.end(stream_name(shard))
            for shard in range(SHARDS)
        }
        count = 0
        while any(
            self.system.platform.first(stream_name(shard)) <= ends[shard]
            for shard in ends
        ):
            count += 1
            filler = Conversation(
                client=self.system.client(), program=f"filler-{count}"
            )
            filler.say("filler")
            # The log retains a fixed number of records. Wait, so that a fast machine
            # does not trim the program's records between two checks of a keeper.
            wait_until(self.is_renewed, "the program is appended again in time")

    def is_renewed(self) -> bool:
        """Return whether all records of the program are in the log's newest half."""
        state = self.system.state(PROGRAM)
        views = [self.system.view(shard) for shard in range(SHARDS)]
        view = next(
            candidate
            for candidate in views
            if candidate.state(state.program) is not None
        )
        return (
            min([state.base, *state.entries]) > view.next_offset - RETAINED_RECORDS // 2
        )

    def test_conversation_continues_after_its_records_are_trimmed(self) -> None:
        """Continue a conversation whose original records the log has trimmed.

        All processes are killed, so that new ones know the history and the
        configuration only from the records that were renewed.
        """
        conversation = Conversation(client=self.system.client(), program=PROGRAM)
        conversation.say("before the pause", seq=1)
        conversation.tool("slip", seq=2)
        wait_until(lambda: self.system.state(PROGRAM).seq == 2, "both commits")
        self.append_until_trimmed()
        self.system.platform.faults.retention = RETAINED_RECORDS
        names = list(self.system.nodes)
        documents = {
            document.name: document for document in self.system.known_targets()
        }
        for name in names:
            self.system.kill(name)
        for name, document in documents.items():
            node = self.system.add_sidecar(name, document.spec.address)
            self.system.start_sidecar(node)
        self.system.add_gateway("gateway-9")
        conversation.client = self.system.client("gateway-9")
        conversation.say("after the pause", seq=3)
        repeated = conversation.tool("slip", seq=2)
        self.assertEqual(repeated["run"], 1)
        self.assertEqual(self.system.executions()["slip"], 1)
        wait_until(lambda: len(conversation.stored_messages()) == 4, "all turns")
        self.assertEqual(
            [message["content"] for message in conversation.stored_messages()],
            [message["content"] for message in conversation.messages],
        )
