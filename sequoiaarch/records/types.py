"""Define the records of a shard stream.

A record counts only if it is valid at its offset; `acceptance` decides that.
Token amounts are counted in model tokens.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import (
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


class Outcome(Enum):
    """Say how a non-idempotent call ended."""

    OPEN = "open"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ProgramSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a program as its creator asked for it."""

    workspace: Workspace
    name: str
    labels: dict[str, str] = {}
    budget: int
    parent: ProgramId | None = None


class CallAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the complete answer of one call as the caller receives it."""

    status: int
    body: bytes
    content_type: str = "application/json"


class Record(msgspec.Struct, frozen=True, kw_only=True, tag_field="t"):
    """Be the common head of all records of a shard."""

    id: RecordId
    program: ProgramId


class Claim(Record, frozen=True, kw_only=True, tag="claim"):
    """Take over a program, or create it when no epoch is replaced."""

    replaces: Epoch
    home: TargetName
    block: int
    spec: ProgramSpec | None = None


class Commit(Record, frozen=True, kw_only=True, tag="commit"):
    """Add one finished call to the history of a program."""

    epoch: Epoch
    seq: Seq
    prefix: str
    digest: str
    messages: bytes = b""
    message_count: int = 0
    answer: CallAnswer | None = None
    request: str = ""
    used: int = 0
    block: int = 0
    key: CallKey | None = None
    outcome: Outcome | None = None


class Reserve(Record, frozen=True, kw_only=True, tag="reserve"):
    """Open a further block of the budget ahead of its use."""

    epoch: Epoch
    number: int
    block: int


class Intent(Record, frozen=True, kw_only=True, tag="intent"):
    """Announce a non-idempotent call before it is dispatched."""

    epoch: Epoch
    key: CallKey
    request: str
    executor: TargetName
    attempt: AttemptId


class Withdraw(Record, frozen=True, kw_only=True, tag="withdraw"):
    """Say that an announced call was not run, so that its key is free again."""

    epoch: Epoch
    key: CallKey
    attempt: AttemptId


class Spawn(Record, frozen=True, kw_only=True, tag="spawn"):
    """Move budget out of a program for one sub-agent."""

    epoch: Epoch
    child: ProgramId
    budget: int


class Release(Record, frozen=True, kw_only=True, tag="release"):
    """Give up a program in an orderly way, its open block unspent."""

    epoch: Epoch
    used: int = 0


class End(Record, frozen=True, kw_only=True, tag="end"):
    """End a program and all its sub-agents.

    `settled` says that the writer knows what was used of the open block.
    """

    epoch: Epoch
    reason: str
    settled: bool = False
    used: int = 0


class IntentState(msgspec.Struct, kw_only=True):
    """Hold what the log says of one non-idempotent call."""

    epoch: Epoch
    request: str
    executor: TargetName
    attempt: AttemptId
    outcome: Outcome = Outcome.OPEN
    answer_offset: Offset | None = None


class ProgramState(msgspec.Struct, kw_only=True):
    """Hold what the log says of one program, without its history.

    `entries` are the offsets of the commits that hold the history, so that
    a reader needs a few dozen bytes for each turn and not the turn itself.
    `base` is the offset from which a reader who knows nothing must read.
    """

    program: ProgramId
    spec: ProgramSpec
    epoch: Epoch
    home: TargetName
    claim: RecordId
    created: Offset
    base: Offset
    seq: Seq = Seq(0)
    digest: str = ""
    message_count: int = 0
    spent: int = 0
    open_block: int = 0
    reserves: int = 0
    moved: dict[ProgramId, int] = {}
    intents: dict[CallKey, IntentState] = {}
    entries: list[Offset] = []
    released: bool = False
    ended: str | None = None

    @property
    def available(self) -> int:
        """Return the tokens that are neither spent, reserved nor moved."""
        held = self.spent + self.open_block + sum(self.moved.values())
        return max(0, self.spec.budget - held)


class Snapshot(Record, frozen=True, kw_only=True, tag="snapshot"):
    """Stand for all records of a program up to and with offset `as_of`."""

    as_of: Offset
    state: ProgramState
    commits: list[Commit]


ShardRecord = (
    Claim | Commit | Reserve | Intent | Withdraw | Spawn | Release | End | Snapshot
)
