"""Test the rule by which every reader judges records."""

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
    """Append records to a view and count their offsets."""

    def __init__(self) -> None:
        self.view = ShardView()
        self.log: list[ShardRecord] = []

    def add(self, record: ShardRecord) -> Refusal:
        """Append one record and return how it was judged."""
        offset = Offset(len(self.log))
        self.log.append(record)
        return self.view.apply(offset, record).refusal

    def name(self) -> RecordId:
        """Return a fresh identifier."""
        return RecordId(f"r{len(self.log)}")

    def claim(
        self, program: ProgramId = ROOT, replaces: int = 0, **extra: Any
    ) -> Refusal:
        """Append a claim."""
        parent = ROOT if program == CHILD else None
        budget = extra.pop("budget", 100)
        spec = ProgramSpec(
            workspace=Workspace("alpha"), name="p", budget=budget, parent=parent
        )
        return self.add(
            Claim(
                id=self.name(),
                program=program,
                replaces=Epoch(replaces),
                home=TargetName(extra.get("home", "a")),
                block=extra.get("block", 30),
                spec=spec if replaces == 0 else None,
            )
        )

    def epoch(self, program: ProgramId = ROOT) -> Epoch:
        """Return the current epoch."""
        state = self.view.state(program)
        assert state is not None
        return state.epoch

    def commit(self, seq: int, epoch: int | None = None, **extra: Any) -> Refusal:
        """Append a commit."""
        return self.add(
            Commit(
                id=self.name(),
                program=extra.get("program", ROOT),
                epoch=Epoch(epoch if epoch is not None else self.epoch()),
                seq=Seq(seq),
                prefix=extra.get("prefix", str(seq - 1) if seq > 1 else ""),
                digest=str(seq),
                used=extra.get("used", 5),
                block=extra.get("block", 5),
                key=extra.get("key"),
                outcome=Outcome.DONE if extra.get("key") else None,
            )
        )

    def intent(self, attempt: str = "t") -> Refusal:
        """Append an intent."""
        return self.add(
            Intent(
                id=self.name(),
                program=ROOT,
                epoch=self.epoch(),
                key=KEY,
                request="r",
                executor=TargetName("tools"),
                attempt=AttemptId(attempt),
            )
        )


class RuleTests(unittest.TestCase):
    """Check each rule by itself."""

    def setUp(self) -> None:
        """Start with a program that exists."""
        self.writer = Writer()
        self.assertIs(self.writer.claim(), Refusal.NONE)

    @property
    def state(self) -> Any:
        """Return the state of the program."""
        return self.writer.view.state(ROOT)

    def test_claim_names_what_it_replaces(self) -> None:
        """Let one of two racing claims win."""
        epoch = self.writer.epoch()
        self.assertIs(self.writer.claim(replaces=epoch, home="b"), Refusal.NONE)
        self.assertIs(self.writer.claim(replaces=epoch, home="c"), Refusal.STALE_EPOCH)
        self.assertEqual(self.state.home, "b")

    def test_old_epoch_commits_nothing(self) -> None:
        """Ignore the commit of a home that was replaced."""
        old = self.writer.epoch()
        self.writer.claim(replaces=old, home="b")
        self.assertIs(self.writer.commit(1, epoch=old), Refusal.STALE_EPOCH)
        self.assertIs(self.writer.commit(1), Refusal.NONE)

    def test_commit_is_next_and_extends(self) -> None:
        """Refuse gaps, repeats and other histories."""
        self.assertIs(self.writer.commit(2), Refusal.WRONG_SEQ)
        self.assertIs(self.writer.commit(1, prefix="other"), Refusal.WRONG_PREFIX)
        self.assertIs(self.writer.commit(1), Refusal.NONE)
        self.assertIs(self.writer.commit(1), Refusal.WRONG_SEQ)

    def test_copy_counts_once(self) -> None:
        """Give a copy the verdict of the first."""
        record = Reserve(
            id=RecordId("same"),
            program=ROOT,
            epoch=self.writer.epoch(),
            number=1,
            block=10,
        )
        self.assertIs(self.writer.add(record), Refusal.NONE)
        self.assertIs(self.writer.add(record), Refusal.NONE)
        self.assertEqual(self.state.open_block, 40)

    def test_open_block_of_a_dead_home_is_spent(self) -> None:
        """Count what a dead home may have used."""
        self.writer.claim(replaces=self.writer.epoch(), home="b", block=20)
        self.assertEqual((self.state.spent, self.state.open_block), (30, 20))

    def test_release_returns_the_block(self) -> None:
        """Count nothing when a home leaves in an orderly way."""
        release = Release(
            id=RecordId("release"), program=ROOT, epoch=self.writer.epoch()
        )
        self.writer.add(release)
        self.assertEqual((self.state.spent, self.state.open_block), (0, 0))
        self.assertIs(self.writer.commit(1), Refusal.STALE_EPOCH)

    def test_budget_bounds_blocks(self) -> None:
        """Never open more than the budget holds."""
        record = Reserve(
            id=RecordId("much"),
            program=ROOT,
            epoch=self.writer.epoch(),
            number=1,
            block=71,
        )
        self.assertIs(self.writer.add(record), Refusal.NO_BUDGET)
        self.assertIs(self.writer.commit(1, used=31), Refusal.NO_BUDGET)

    def test_claim_closes_open_questions(self) -> None:
        """Make the outcome of an open call unknown for good."""
        self.writer.intent()
        self.writer.claim(replaces=self.writer.epoch(), home="b")
        self.assertIs(self.state.intents[KEY].outcome, Outcome.UNKNOWN)
        self.assertIs(self.writer.intent("again"), Refusal.KEY_USED)
        self.assertIs(self.writer.commit(1, key=KEY), Refusal.KEY_USED)

    def test_withdrawn_key_is_free(self) -> None:
        """Let a call that was not run be announced again."""
        self.writer.intent()
        withdraw = Withdraw(
            id=RecordId("w"),
            program=ROOT,
            epoch=self.writer.epoch(),
            key=KEY,
            attempt=AttemptId("t"),
        )
        self.assertIs(self.writer.add(withdraw), Refusal.NONE)
        self.assertIs(self.writer.intent("second"), Refusal.NONE)

    def test_child_takes_and_returns_budget(self) -> None:
        """Move budget to a sub-agent and take back what is left."""
        self.assertIs(self.writer.claim(CHILD, budget=40), Refusal.NO_SPAWN)
        spawn = Spawn(
            id=RecordId("s"),
            program=ROOT,
            epoch=self.writer.epoch(),
            child=CHILD,
            budget=40,
        )
        self.assertIs(self.writer.add(spawn), Refusal.NONE)
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
        self.assertIs(self.writer.add(end), Refusal.NONE)
        self.assertEqual((self.state.spent, self.state.available), (7, 63))

    def test_end_ends_children(self) -> None:
        """End the sub-agents of an ended program."""
        spawn = Spawn(
            id=RecordId("s"),
            program=ROOT,
            epoch=self.writer.epoch(),
            child=CHILD,
            budget=40,
        )
        self.writer.add(spawn)
        self.writer.claim(CHILD, budget=40)
        end = End(
            id=RecordId("e"), program=ROOT, epoch=self.writer.epoch(), reason="over"
        )
        self.writer.add(end)
        child = self.writer.view.state(CHILD)
        assert child is not None
        self.assertIsNotNone(child.ended)
        self.assertIs(self.writer.claim(replaces=self.writer.epoch()), Refusal.ENDED)

    def test_ended_programs_are_forgotten(self) -> None:
        """Forget an ended program, and later one that used a key."""
        self.writer.intent()
        self.end(ROOT)
        other = ProgramId("alpha:other")
        self.writer.claim(other)
        self.end(other)
        with (
            mock.patch.object(acceptance, "ENDED_KEPT", 3),
            mock.patch.object(acceptance, "KEYED_KEPT", 8),
        ):
            for number in range(5):
                self.writer.claim(ProgramId(f"alpha:p{number}"))
            self.assertIsNone(self.writer.view.state(other))
            self.assertIsNotNone(self.state)
            for number in range(5, 10):
                self.writer.claim(ProgramId(f"alpha:p{number}"))
            self.assertIsNone(self.state)

    def end(self, program: ProgramId) -> None:
        """End a program."""
        record = End(
            id=self.writer.name(),
            program=program,
            epoch=self.writer.epoch(program),
            reason="over",
        )
        self.assertIs(self.writer.add(record), Refusal.NONE)

    def test_records_survive_the_codec(self) -> None:
        """Decode what was encoded."""
        self.writer.commit(1)
        for record in self.writer.log:
            self.assertEqual(decode_record(encode_record(record)), record)
        self.assertIsNone(decode_record(b"nothing of ours"))


ACTIONS = st.lists(
    st.sampled_from(["commit", "takeover", "intent", "reserve", "other", "snapshot"]),
    min_size=4,
    max_size=24,
)


class LateReaderTests(unittest.TestCase):
    """Read a shard whose beginning the log has forgotten."""

    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(actions=ACTIONS, cut=st.integers(0, 23))
    def test_same_state_as_an_old_reader(self, actions: list[str], cut: int) -> None:
        """See what a reader sees that was there from the beginning.

        Records go on between the moment that a snapshot stands for and its
        place in the log, and a late copy of the first claim may come before
        it.
        """
        writer = Writer()
        writer.claim(budget=10_000)
        first_claim = writer.log[0]
        snapshot: Snapshot | None = None
        place = 0
        for action in actions:
            state = writer.view.state(ROOT)
            assert state is not None
            if action == "commit":
                writer.commit(state.seq + 1)
            elif action == "takeover":
                writer.claim(replaces=state.epoch, home="b")
            elif action == "intent":
                writer.intent(writer.name())
            elif action == "reserve":
                self.reserve(writer, state)
            elif action == "other":
                writer.add(msgspec.structs.replace(first_claim, id=writer.name()))
            else:
                snapshot = self.snapshot(writer, state)
                writer.commit(state.seq + 1)
                place = len(writer.log)
                writer.add(snapshot)
        if snapshot is None:
            return
        first = min(cut, snapshot.as_of + 1)
        if place < first:
            return
        late = self.read_from(writer.log, first)
        old = writer.view.state(ROOT)
        assert late is not None and old is not None
        for name in ("epoch", "seq", "digest", "spent", "open_block", "home"):
            self.assertEqual(getattr(late, name), getattr(old, name), name)
        self.assertEqual(late.intents, old.intents)

    def reserve(self, writer: Writer, state: Any) -> None:
        """Append a reservation."""
        writer.add(
            Reserve(
                id=writer.name(),
                program=ROOT,
                epoch=state.epoch,
                number=state.reserves + 1,
                block=3,
            )
        )

    def snapshot(self, writer: Writer, state: Any) -> Snapshot:
        """Return a snapshot of what is known now."""
        copy = msgspec.convert(msgspec.to_builtins(state), type(state))
        return Snapshot(
            id=RecordId(f"snapshot-{len(writer.log)}"),
            program=ROOT,
            as_of=Offset(len(writer.log) - 1),
            state=copy,
            commits=[],
        )

    def read_from(self, log: list[ShardRecord], first: int) -> Any:
        """Return the state that a reader who begins at an offset comes to."""
        distrusted: frozenset[ProgramId] = frozenset()
        while True:
            view = ShardView(first_offset=Offset(first), distrusted=distrusted)
            for offset in range(first, len(log)):
                view.apply(Offset(offset), log[offset])
            if not view.conflicts:
                return view.state(ROOT)
            distrusted = frozenset(view.conflicts)
