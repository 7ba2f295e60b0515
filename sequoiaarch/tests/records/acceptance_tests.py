"""Test the validation of shard records."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

import msgspec
from hypothesis import given, settings, strategies as st

from ...ids import (
    AttemptId,
    CallKey,
    Epoch,
    Offset,
    ProgramId,
    RecordId,
    Seq,
    TargetName,
    Workspace,
)
from ...records import acceptance
from ...records.acceptance import Refusal, ShardView
from ...records.codec import decode_record, encode_record
from ...records.types import (
    Claim,
    Commit,
    End,
    Intent,
    Outcome,
    ProgramSpec,
    Release,
    Reserve,
    ShardRecord,
    Snapshot,
    Spawn,
    Withdraw,
)

ROOT = ProgramId("alpha:root")
CHILD = ProgramId("alpha:root.1")
KEY = CallKey("k")


class Writer:
    """Append records to a log and apply them to a view."""

    def __init__(self) -> None:
        self.view = ShardView()
        self.log: list[ShardRecord] = []

    def append(self, record: ShardRecord) -> Refusal:
        """Append one record and return its refusal, which is NONE if it is valid."""
        offset = Offset(len(self.log))
        self.log.append(record)
        return self.view.apply(offset, record).refusal

    def new_id(self) -> RecordId:
        """Return a new record identifier."""
        return RecordId(f"r{len(self.log)}")

    def claim(
        self, program: ProgramId = ROOT, replaces: int = 0, **fields: Any
    ) -> Refusal:
        """Append a claim."""
        parent = ROOT if program == CHILD else None
        budget = fields.pop("budget", 100)
        spec = ProgramSpec(
            workspace=Workspace("alpha"), name="p", budget=budget, parent=parent
        )
        return self.append(
            Claim(
                id=self.new_id(),
                program=program,
                replaces=Epoch(replaces),
                home=TargetName(fields.get("home", "a")),
                block=fields.get("block", 30),
                spec=spec if replaces == 0 else None,
            )
        )

    def epoch(self, program: ProgramId = ROOT) -> Epoch:
        """Return the current epoch."""
        state = self.view.state(program)
        assert state is not None
        return state.epoch

    def commit(self, seq: int, epoch: int | None = None, **fields: Any) -> Refusal:
        """Append a commit."""
        return self.append(
            Commit(
                id=self.new_id(),
                program=fields.get("program", ROOT),
                epoch=Epoch(epoch if epoch is not None else self.epoch()),
                seq=Seq(seq),
                prefix=fields.get("prefix", str(seq - 1) if seq > 1 else ""),
                digest=str(seq),
                used=fields.get("used", 5),
                block=fields.get("block", 5),
                key=fields.get("key"),
                outcome=Outcome.DONE if fields.get("key") else None,
            )
        )

    def intent(self, attempt: str = "t") -> Refusal:
        """Append an intent."""
        return self.append(
            Intent(
                id=self.new_id(),
                program=ROOT,
                epoch=self.epoch(),
                key=KEY,
                request="r",
                executor=TargetName("tools"),
                attempt=AttemptId(attempt),
            )
        )


class ValidationTests(unittest.TestCase):
    """Check each validation rule."""

    def setUp(self) -> None:
        """Create a program."""
        self.writer = Writer()
        self.assertIs(self.writer.claim(), Refusal.NONE)

    @property
    def state(self) -> Any:
        """Return the state of the program."""
        return self.writer.view.state(ROOT)

    def test_first_of_two_racing_claims_wins(self) -> None:
        """Accept only the first of two claims that replace the same epoch."""
        epoch = self.writer.epoch()
        self.assertIs(self.writer.claim(replaces=epoch, home="b"), Refusal.NONE)
        self.assertIs(self.writer.claim(replaces=epoch, home="c"), Refusal.STALE_EPOCH)
        self.assertEqual(self.state.home, "b")

    def test_commit_of_an_old_epoch_is_rejected(self) -> None:
        """Reject a commit of a home that was replaced."""
        old_epoch = self.writer.epoch()
        self.writer.claim(replaces=old_epoch, home="b")
        self.assertIs(self.writer.commit(1, epoch=old_epoch), Refusal.STALE_EPOCH)
        self.assertIs(self.writer.commit(1), Refusal.NONE)

    def test_commit_must_extend_the_history(self) -> None:
        """Reject gaps, duplicates and diverging histories."""
        self.assertIs(self.writer.commit(2), Refusal.WRONG_SEQ)
        self.assertIs(self.writer.commit(1, prefix="other"), Refusal.WRONG_PREFIX)
        self.assertIs(self.writer.commit(1), Refusal.NONE)
        self.assertIs(self.writer.commit(1), Refusal.WRONG_SEQ)

    def test_duplicate_record_has_no_effect(self) -> None:
        """Return the first verdict for a record that is appended twice."""
        record = Reserve(
            id=RecordId("same"),
            program=ROOT,
            epoch=self.writer.epoch(),
            number=1,
            block=10,
        )
        self.assertIs(self.writer.append(record), Refusal.NONE)
        self.assertIs(self.writer.append(record), Refusal.NONE)
        self.assertEqual(self.state.open_block, 40)

    def test_takeover_counts_the_open_block_as_spent(self) -> None:
        """Count the open block of a replaced home as spent."""
        self.writer.claim(replaces=self.writer.epoch(), home="b", block=20)
        self.assertEqual((self.state.spent, self.state.open_block), (30, 20))

    def test_release_returns_the_open_block(self) -> None:
        """Count nothing as spent when a home releases its program."""
        release = Release(
            id=RecordId("release"), program=ROOT, epoch=self.writer.epoch()
        )
        self.writer.append(release)
        self.assertEqual((self.state.spent, self.state.open_block), (0, 0))
        self.assertIs(self.writer.commit(1), Refusal.STALE_EPOCH)

    def test_budget_limits_open_blocks(self) -> None:
        """Reject blocks and commits that exceed the budget."""
        record = Reserve(
            id=RecordId("much"),
            program=ROOT,
            epoch=self.writer.epoch(),
            number=1,
            block=71,
        )
        self.assertIs(self.writer.append(record), Refusal.NO_BUDGET)
        self.assertIs(self.writer.commit(1, used=31), Refusal.NO_BUDGET)

    def test_takeover_makes_open_intents_unknown(self) -> None:
        """Make the outcome of an open call permanently unknown after a takeover."""
        self.writer.intent()
        self.writer.claim(replaces=self.writer.epoch(), home="b")
        self.assertIs(self.state.intents[KEY].outcome, Outcome.UNKNOWN)
        self.assertIs(self.writer.intent("again"), Refusal.KEY_USED)
        self.assertIs(self.writer.commit(1, key=KEY), Refusal.KEY_USED)

    def test_withdrawn_key_can_be_used_again(self) -> None:
        """Accept a new intent for the key of a call that was not run."""
        self.writer.intent()
        withdraw = Withdraw(
            id=RecordId("w"),
            program=ROOT,
            epoch=self.writer.epoch(),
            key=KEY,
            attempt=AttemptId("t"),
        )
        self.assertIs(self.writer.append(withdraw), Refusal.NONE)
        self.assertIs(self.writer.intent("second"), Refusal.NONE)

    def test_sub_agent_returns_unspent_budget(self) -> None:
        """Move budget to a sub-agent and return the unspent rest when it ends."""
        self.assertIs(self.writer.claim(CHILD, budget=40), Refusal.NO_SPAWN)
        spawn = Spawn(
            id=RecordId("s"),
            program=ROOT,
            epoch=self.writer.epoch(),
            child=CHILD,
            budget=40,
        )
        self.assertIs(self.writer.append(spawn), Refusal.NONE)
        self.assertEqual(self.state.available, 30)
        self.assertIs(self.writer.claim(CHILD, budget=40, block=10), Refusal.NONE)
        end = End(
            id=RecordId("e"),
            program=CHILD,
            epoch=self.writer.epoch(CHILD),
            reason="done",
            settled=True,
            used=7,
        )
        self.assertIs(self.writer.append(end), Refusal.NONE)
        self.assertEqual((self.state.spent, self.state.available), (7, 63))

    def test_end_ends_sub_agents(self) -> None:
        """End the sub-agents when a program ends."""
        spawn = Spawn(
            id=RecordId("s"),
            program=ROOT,
            epoch=self.writer.epoch(),
            child=CHILD,
            budget=40,
        )
        self.writer.append(spawn)
        self.writer.claim(CHILD, budget=40)
        end = End(
            id=RecordId("e"), program=ROOT, epoch=self.writer.epoch(), reason="over"
        )
        self.writer.append(end)
        child = self.writer.view.state(CHILD)
        assert child is not None
        self.assertIsNotNone(child.ended)
        self.assertIs(self.writer.claim(replaces=self.writer.epoch()), Refusal.ENDED)

    def test_ended_programs_are_removed(self) -> None:
        """Remove an ended program, and later one that used an idempotency key."""
        self.writer.intent()
        self.end(ROOT)
        unrelated = ProgramId("alpha:other")
        self.writer.claim(unrelated)
        self.end(unrelated)
        with (
            mock.patch.object(acceptance, "ENDED_RETENTION", 3),
            mock.patch.object(acceptance, "ENDED_WITH_KEYS_RETENTION", 8),
        ):
            for number in range(5):
                self.writer.claim(ProgramId(f"alpha:p{number}"))
            self.assertIsNone(self.writer.view.state(unrelated))
            self.assertIsNotNone(self.state)
            for number in range(5, 10):
                self.writer.claim(ProgramId(f"alpha:p{number}"))
            self.assertIsNone(self.state)

    def end(self, program: ProgramId) -> None:
        """End a program."""
        record = End(
            id=self.writer.new_id(),
            program=program,
            epoch=self.writer.epoch(program),
            reason="over",
        )
        self.assertIs(self.writer.append(record), Refusal.NONE)

    def test_codec_round_trip(self) -> None:
        """Decode every encoded record, and return None for invalid bytes."""
        self.writer.commit(1)
        for record in self.writer.log:
            self.assertEqual(decode_record(encode_record(record)), record)
        self.assertIsNone(decode_record(b"nothing of ours"))


ACTIONS = st.lists(
    st.sampled_from(["commit", "takeover", "intent", "reserve", "other", "snapshot"]),
    min_size=4,
    max_size=24,
)


class TrimmedLogTests(unittest.TestCase):
    """Read a shard whose oldest records were trimmed from the log."""

    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(actions=ACTIONS, trim_offset=st.integers(0, 23))
    def test_state_equals_that_of_a_full_reader(
        self, actions: list[str], trim_offset: int
    ) -> None:
        """Derive the same state from a trimmed log as from the full log.

        Records are appended between `as_of` of a snapshot and its own offset, and a
        delayed duplicate of the first claim may precede it.
        """
        writer = Writer()
        writer.claim(budget=10_000)
        first_claim = writer.log[0]
        snapshot: Snapshot | None = None
        snapshot_offset = 0
        for action in actions:
            state = writer.view.state(ROOT)
            assert state is not None
            if action == "commit":
                writer.commit(state.seq + 1)
            elif action == "takeover":
                writer.claim(replaces=state.epoch, home="b")
            elif action == "intent":
                writer.intent(writer.new_id())
            elif action == "reserve":
                self.reserve(writer, state)
            elif action == "other":
                writer.append(msgspec.structs.replace(first_claim, id=writer.new_id()))
            else:
                snapshot = self.snapshot(writer, state)
                writer.commit(state.seq + 1)
                snapshot_offset = len(writer.log)
                writer.append(snapshot)
        if snapshot is None:
            return
        first = min(trim_offset, snapshot.as_of + 1)
        if snapshot_offset < first:
            return
        derived = self.final_state(writer.log, first)
        expected = writer.view.state(ROOT)
        assert derived is not None and expected is not None
        for name in ("epoch", "seq", "digest", "spent", "open_block", "home"):
            self.assertEqual(getattr(derived, name), getattr(expected, name), name)
        self.assertEqual(derived.intents, expected.intents)

    def reserve(self, writer: Writer, state: Any) -> None:
        """Append a reservation."""
        writer.append(
            Reserve(
                id=writer.new_id(),
                program=ROOT,
                epoch=state.epoch,
                number=state.reserves + 1,
                block=3,
            )
        )

    def snapshot(self, writer: Writer, state: Any) -> Snapshot:
        """Return a snapshot of the current state."""
        copy = msgspec.convert(msgspec.to_builtins(state), type(state))
        return Snapshot(
            id=RecordId(f"snapshot-{len(writer.log)}"),
            program=ROOT,
            as_of=Offset(len(writer.log) - 1),
            state=copy,
            commits=[],
        )

    def final_state(self, log: list[ShardRecord], first: int) -> Any:
        """Return the state that a reader derives from an offset onwards."""
        snapshot_only: frozenset[ProgramId] = frozenset()
        while True:
            view = ShardView(first_offset=Offset(first), snapshot_only=snapshot_only)
            for offset in range(first, len(log)):
                view.apply(Offset(offset), log[offset])
            if not view.conflicts:
                return view.state(ROOT)
            snapshot_only = frozenset(view.conflicts)
