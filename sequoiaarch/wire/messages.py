"""Define the messages between gateways, homes, sidecars and shard keepers.

Times are in seconds. Deadlines travel as the time that is left, so that no
two clocks are compared.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from ..errors import Failure
from ..ids import (
    AttemptId,
    CallKey,
    Epoch,
    HostName,
    InstanceId,
    LoanId,
    Offset,
    OpeningId,
    ProgramId,
    Seq,
    TargetName,
    Workspace,
    WriterId,
)
from ..ledger.terms import (
    BudgetVerdict,
    History,
    Lookup,
    TurnContent,
    TurnStart,
    TurnTerms,
)
from ..records.acceptance import Verdict
from ..records.types import (
    CallAnswer,
    ProgramSpec,
    ProgramState,
    ShardRecord,
)
from ..storage.calls import StoreCall, StoreReply
from ..workspaces.limiter import TokenGrant


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field="t"):
    """Be the common type of all messages."""


class CallKind(Enum):
    """Say what a call asks for."""

    MODEL = "model"
    SERVICE = "service"


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Report the load of one target.

    `queued_tokens` is the work that waits, in tokens; `cache_free` is the
    prefix memory that no kept program uses, in tokens; `call_seconds` is the
    time that a call has lately taken, 0 where none is known.
    """

    target: TargetName
    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    slots: int = 1
    cache_free: int = 0
    programs: int = 0
    call_seconds: float = 0.0
    draining: bool = False


class Turn(msgspec.Struct, frozen=True, kw_only=True):
    """Copy one answered call until its commit is known."""

    seq: Seq
    prefix: str
    digest: str
    messages: bytes
    message_count: int
    answer: CallAnswer
    request: str
    used: int


class CallRequest(Message, frozen=True, kw_only=True, tag="call"):
    """Ask the home of a program to run its next call."""

    program: ProgramId
    spec: ProgramSpec
    kind: CallKind
    seq: Seq | None = None
    target: TargetName | None = None
    service: str = ""
    method: str = "POST"
    path: str = ""
    body: bytes = b""
    stream: bool = False
    key: CallKey | None = None
    non_idempotent: bool = False
    single: bool = False
    deadline: float = 600.0
    trace: str = ""
    previous_home: TargetName | None = None
    previous_silent: bool = False
    pending: list[Turn] = []
    reason: str = ""


class DispatchRequest(Message, frozen=True, kw_only=True, tag="dispatch"):
    """Ask the sidecar of a target to run one attempt of a call."""

    program: ProgramId
    workspace: Workspace
    target: TargetName
    epoch: Epoch
    attempt: AttemptId
    kind: CallKind
    method: str
    path: str
    body: bytes
    deadline: float
    name: str = ""
    key: CallKey | None = None
    trace: str = ""
    attained: float = 0.0
    weight: float = 1.0
    tokens: int = 0


class SubmitRequest(Message, frozen=True, kw_only=True, tag="submit"):
    """Ask a shard keeper to append a record and to judge it."""

    shard: int
    record: ShardRecord


class StateRequest(Message, frozen=True, kw_only=True, tag="state"):
    """Ask a shard keeper what the log says of programs."""

    shard: int
    programs: list[ProgramId]


class HistoryRequest(Message, frozen=True, kw_only=True, tag="history"):
    """Ask a shard keeper for the commits of a program, from a sequence on."""

    shard: int
    program: ProgramId
    after: Seq = Seq(0)


class HandoverRequest(Message, frozen=True, kw_only=True, tag="handover"):
    """Ask a home to release a program that moves elsewhere."""

    program: ProgramId


class CreateRequest(Message, frozen=True, kw_only=True, tag="create"):
    """Ask a home to create a program, or a sub-agent of its parent."""

    program: ProgramId
    spec: ProgramSpec
    silent_home: TargetName | None = None


class SpawnRequest(Message, frozen=True, kw_only=True, tag="spawn"):
    """Ask the home of a parent to move budget to a sub-agent."""

    parent: ProgramId
    spec: ProgramSpec
    child: ProgramId
    budget: int
    silent_home: TargetName | None = None


class RecoverRequest(Message, frozen=True, kw_only=True, tag="recover"):
    """Ask for a home that commits turns whose own home was lost."""

    program: ProgramId
    spec: ProgramSpec
    pending: list[Turn]
    silent_home: TargetName | None = None


class EndRequest(Message, frozen=True, kw_only=True, tag="end"):
    """Ask the home of a program to end it."""

    program: ProgramId
    spec: ProgramSpec
    reason: str
    silent_home: TargetName | None = None


ProgramOrder = CreateRequest | SpawnRequest | RecoverRequest | EndRequest


class LoadRequest(Message, frozen=True, kw_only=True, tag="load"):
    """Ask a sidecar for its load."""


class ConfigRequest(Message, frozen=True, kw_only=True, tag="config"):
    """Ask a peer for the configuration that it has accepted."""


class DrainRequest(Message, frozen=True, kw_only=True, tag="drain"):
    """Ask a sidecar to take no new work, or to take it again."""

    drain: bool = True


class ExplainRequest(Message, frozen=True, kw_only=True, tag="explain"):
    """Ask a home for the decisions that it made for a program."""

    program: ProgramId


class TraceRequest(Message, frozen=True, kw_only=True, tag="trace"):
    """Ask a process for the spans of one trace."""

    trace_id: str


class StoreRequest(Message, frozen=True, kw_only=True, tag="store"):
    """Ask a peer to make a call to the store."""

    call: StoreCall


class OpenTurnRequest(Message, frozen=True, kw_only=True, tag="open"):
    """Ask the delegate of a program to open a turn.

    Later requests name the opening and not the turn, whose id its caller may use
    again.
    """

    opening: OpeningId
    start: TurnStart


class ConfirmTurnRequest(Message, frozen=True, kw_only=True, tag="confirm"):
    """Ask whether the tokens of an open turn are granted."""

    opening: OpeningId


class CommitTurnRequest(Message, frozen=True, kw_only=True, tag="commit_turn"):
    """Ask to write a turn that handed out so many tokens."""

    opening: OpeningId
    terms: TurnTerms
    handed: int
    content: TurnContent


class CloseTurnRequest(Message, frozen=True, kw_only=True, tag="close_turn"):
    """Tell the end of a turn that is not written, and what it handed out."""

    opening: OpeningId
    handed: int


class CoverTurnRequest(Message, frozen=True, kw_only=True, tag="cover"):
    """Ask whether an open turn may hand out so many tokens in all.

    `handed` is what it has handed out so far.
    """

    opening: OpeningId
    total: int
    handed: int = 0


class LendRequest(Message, frozen=True, kw_only=True, tag="lend"):
    """Ask a lender to cover a turn, or to raise the loan that it has."""

    loan: LoanId
    terms: TurnTerms
    least: int


class SettleRequest(Message, frozen=True, kw_only=True, tag="settle"):
    """Tell a lender what the turn of a loan handed out."""

    loan: LoanId
    program: ProgramId
    handed: int


class TakeTokens(Message, frozen=True, kw_only=True, tag="take_tokens"):
    """Ask the keeper of a share of a workspace's limit for some tokens."""

    workspace: Workspace
    share: int
    count: int
    begins: bool


class SeenRequest(Message, frozen=True, kw_only=True, tag="seen"):
    """Ask whether a host's registration by a process is seen."""

    host: HostName
    writer: WriterId


class TargetReport(Message, frozen=True, kw_only=True, tag="target"):
    """Tell what a host saw of a target: that it failed, or serves again."""

    instance: InstanceId
    host: HostName
    ok: bool


class Ping(Message, frozen=True, kw_only=True, tag="ping"):
    """Ask whether the peer's process still answers."""


Request = (
    CallRequest
    | StoreRequest
    | OpenTurnRequest
    | ConfirmTurnRequest
    | CommitTurnRequest
    | CloseTurnRequest
    | CoverTurnRequest
    | LendRequest
    | SettleRequest
    | TakeTokens
    | SeenRequest
    | TargetReport
    | DispatchRequest
    | SubmitRequest
    | StateRequest
    | HistoryRequest
    | HandoverRequest
    | CreateRequest
    | SpawnRequest
    | RecoverRequest
    | EndRequest
    | LoadRequest
    | ConfigRequest
    | DrainRequest
    | ExplainRequest
    | TraceRequest
    | Ping
)


class Chunk(Message, frozen=True, kw_only=True, tag="chunk"):
    """Carry one piece of an answer that is streamed."""

    data: bytes


class Head(Message, frozen=True, kw_only=True, tag="head"):
    """Say that the call was admitted and at which place in its program."""

    program: ProgramId
    seq: Seq
    epoch: Epoch


class Done(Message, frozen=True, kw_only=True, tag="done"):
    """End an answer.

    `turn` is the gateway's copy of what is not yet committed.
    """

    answer: CallAnswer | None = None
    seq: Seq = Seq(0)
    committed: bool = False
    turn: Turn | None = None
    used: int = 0
    load: Load | None = None


class Committed(Message, frozen=True, kw_only=True, tag="committed"):
    """Tell that a turn is kept in the log."""

    seq: Seq


class Executed(Message, frozen=True, kw_only=True, tag="executed"):
    """End a dispatch with what the attempt brought."""

    status: int
    body: bytes
    content_type: str
    prompt_tokens: int
    answer_tokens: int
    cached_tokens: int
    seconds: float
    load: Load | None = None


class Failed(Message, frozen=True, kw_only=True, tag="failed"):
    """Say why there is no answer."""

    failure: Failure
    load: Load | None = None


class VerdictReply(Message, frozen=True, kw_only=True, tag="verdict"):
    """Answer a submit, with the program as it stands after the record."""

    verdict: Verdict
    state: ProgramState | None = None


class StateReply(Message, frozen=True, kw_only=True, tag="states"):
    """Answer a state request."""

    states: list[ProgramState]
    next_offset: Offset


class HistoryReply(Message, frozen=True, kw_only=True, tag="commits"):
    """Answer a history request with encoded commit records."""

    commits: list[bytes]


class LoadReply(Message, frozen=True, kw_only=True, tag="loads"):
    """Answer a load request."""

    load: Load


class ConfigReply(Message, frozen=True, kw_only=True, tag="configs"):
    """Answer a config request with an encoded snapshot."""

    snapshot: bytes


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """Record one decision for a program, with its reason."""

    at: float
    part: str
    choice: str
    reason: str


class ExplainReply(Message, frozen=True, kw_only=True, tag="decisions"):
    """Answer an explain request."""

    decisions: list[Decision]


class SpanData(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one finished span of a trace; times are nanoseconds since 1970."""

    trace_id: str
    span_id: str
    parent_id: str | None
    name: str
    start: int
    end: int
    attributes: dict[str, str]


class TraceReply(Message, frozen=True, kw_only=True, tag="spans"):
    """Answer a trace request."""

    spans: list[SpanData]


class StoreAnswer(Message, frozen=True, kw_only=True, tag="stored"):
    """Answer with what the store said."""

    reply: StoreReply


class TurnOpened(Message, frozen=True, kw_only=True, tag="opened"):
    """Hold what an open turn continues, and what its program had used.

    `granted` says that it may begin without asking again, `covered` how many
    tokens it may hand out then; None for all.
    """

    history: History | None
    spent: int
    granted: bool
    covered: int | None = None


class TurnRefused(Message, frozen=True, kw_only=True, tag="turn_refused"):
    """Say why a turn was not opened: one of the two is set."""

    lookup: Lookup | None = None
    verdict: BudgetVerdict | None = None


class TurnVerdict(Message, frozen=True, kw_only=True, tag="turn_verdict"):
    """Say whether the tokens of an open turn are granted, and how many."""

    verdict: BudgetVerdict
    covered: int | None = None


class TurnCovered(Message, frozen=True, kw_only=True, tag="covered"):
    """Say how many tokens an open turn may hand out in all; None for all."""

    covered: int | None


class Lent(Message, frozen=True, kw_only=True, tag="lent"):
    """Say how many tokens a loan has now; 0 for none."""

    tokens: int


class TokensTaken(Message, frozen=True, kw_only=True, tag="tokens"):
    """Hand out tokens, or say why not."""

    tokens: TokenGrant


class Accepted(Message, frozen=True, kw_only=True, tag="accepted"):
    """Say that an order was carried out."""

    load: Load | None = None


Reply = (
    Chunk
    | StoreAnswer
    | TurnOpened
    | TurnRefused
    | TurnVerdict
    | TurnCovered
    | Lent
    | TokensTaken
    | Head
    | Done
    | Executed
    | Committed
    | Failed
    | VerdictReply
    | StateReply
    | HistoryReply
    | LoadReply
    | ConfigReply
    | ExplainReply
    | TraceReply
    | Accepted
)

_ENCODER = msgspec.msgpack.Encoder()
_REQUESTS: msgspec.msgpack.Decoder[Request] = msgspec.msgpack.Decoder(Request)
_REPLIES: msgspec.msgpack.Decoder[Reply] = msgspec.msgpack.Decoder(Reply)


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    return _ENCODER.encode(message)


def decode_request(data: bytes) -> Request | None:
    """Return the request, or None where the bytes are none of ours."""
    try:
        return _REQUESTS.decode(data)
    except msgspec.DecodeError:
        return None


def decode_reply(data: bytes) -> Reply | None:
    """Return the reply, or None where the bytes are none of ours."""
    try:
        return _REPLIES.decode(data)
    except msgspec.DecodeError:
        return None
