"""Define the records of a shard and the program state derived from them.

A record takes effect only if it is valid at its offset; `acceptance` checks that.
Budgets and token amounts are in model tokens. The home of a program is the sidecar
that runs its calls; an epoch is the period between two claims of a program.
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
    """Outcome of a non-idempotent call."""

    OPEN = "open"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ProgramSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Properties of a program, given when it is created."""

    workspace: Workspace
    name: str
    labels: dict[str, str] = {}
    budget: int
    parent: ProgramId | None = None


class CallAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Complete response to one call, as sent to the caller."""

    status: int
    body: bytes
    content_type: str = "application/json"


class Record(msgspec.Struct, frozen=True, kw_only=True, tag_field="t"):
    """Base class of the records of a shard."""

    id: RecordId
    program: ProgramId


class Claim(Record, frozen=True, kw_only=True, tag="claim"):
    """Make `home` the home of a program; create the program if `replaces` is 0.

    `block` is reserved for the first calls of the new epoch, as far as the budget
    allows.
    """

    replaces: Epoch
    home: TargetName
    block: int
    spec: ProgramSpec | None = None


class Commit(Record, frozen=True, kw_only=True, tag="commit"):
    """Append a finished call to the history of a program.

    `prefix` and `digest` are the digests of the history before and after the call.
    `used` is taken from the open block; `block` is then added to it, as far as the
    budget allows.
    """

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
    """Reserve a block of the budget before its tokens are used.

    `number` is one more than that of the previous reservation.
    """

    epoch: Epoch
    number: int
    block: int


class Intent(Record, frozen=True, kw_only=True, tag="intent"):
    """Record that a non-idempotent call is about to be dispatched."""

    epoch: Epoch
    key: CallKey
    request: str
    executor: TargetName
    attempt: AttemptId


class Withdraw(Record, frozen=True, kw_only=True, tag="withdraw"):
    """Record that the call of an intent was not run; its key can be used again."""

    epoch: Epoch
    key: CallKey
    attempt: AttemptId


class Spawn(Record, frozen=True, kw_only=True, tag="spawn"):
    """Transfer budget from a program to a new sub-agent."""

    epoch: Epoch
    child: ProgramId
    budget: int


class Release(Record, frozen=True, kw_only=True, tag="release"):
    """Release a program from its home, so that another can claim it.

    `used` is what was used of the open block and not committed; the rest is returned
    to the budget.
    """

    epoch: Epoch
    used: int = 0


class End(Record, frozen=True, kw_only=True, tag="end"):
    """End a program and all its sub-agents.

    If `settled`, `used` is what was used of the open block; otherwise the whole block
    counts as spent.
    """

    epoch: Epoch
    reason: str
    settled: bool = False
    used: int = 0


class IntentState(msgspec.Struct, kw_only=True):
    """State of one non-idempotent call."""

    epoch: Epoch
    request: str
    executor: TargetName
    attempt: AttemptId
    outcome: Outcome = Outcome.OPEN
    answer_offset: Offset | None = None


class ProgramState(msgspec.Struct, kw_only=True):
    """State of one program, without the contents of its history.

    `entries` are the offsets of the commits and snapshots that hold the history.
    `base` is the offset from which the state can be rebuilt.
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
        """Return the tokens that are not spent, reserved or moved to sub-agents."""
        unavailable = self.spent + self.open_block + sum(self.moved.values())
        return max(0, self.spec.budget - unavailable)


class Snapshot(Record, frozen=True, kw_only=True, tag="snapshot"):
    """Replace all records of a program up to and including offset `as_of`."""

    as_of: Offset
    state: ProgramState
    commits: list[Commit]


ShardRecord = (
    Claim | Commit | Reserve | Intent | Withdraw | Spawn | Release | End | Snapshot
)
