"""Define the messages between gateways, homes, sidecars and shard keepers.

Times are in seconds. A deadline is sent as the time that remains, since clocks
of different hosts are not comparable.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from ..errors import Failure
from ..ids import (
    AttemptId,
    CallKey,
    DataCentre,
    Epoch,
    HostName,
    InstanceId,
    LoanId,
    Offset,
    OpeningId,
    ProgramId,
    RequestKey,
    SendId,
    Seq,
    StreamKey,
    TargetName,
    Workspace,
    WriterId,
)
from ..ledger.terms import (
    BudgetVerdict,
    History,
    LookupFailure,
    TurnContent,
    TurnStart,
    TurnTerms,
)
from ..policies.exposures import ExposureState
from ..policies.pace import PaceSample
from ..policies.program_placement import ProgramDemand
from ..policies.stream_origins import Origin
from ..records.acceptance import Verdict
from ..records.types import (
    CallAnswer,
    ProgramSpec,
    ProgramState,
    ShardRecord,
)
from ..storage.calls import StoreCall, StoreReply
from ..workspaces.limiter import TokenGrant

# Exposures in one report, and reports in one list: about 200 bytes each.
MAX_REPORTED_EXPOSURES = 32
MAX_LISTED_REPORTS = 1024
# A stream is found by its first attempt or by its request.
MAX_STREAM_KEYS = 2


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field="t"):
    """Base class of all messages."""


class CallKind(Enum):
    """Kind of target that a call goes to."""

    MODEL = "model"
    SERVICE = "service"


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Load of one target.

    `queued_tokens` is the queued work in tokens, `cache_free` the prefix cache
    that no retained program uses, in tokens, and `call_seconds` the recent
    duration of a call, 0 if unknown.
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


class PendingTurn(msgspec.Struct, frozen=True, kw_only=True):
    """An answered call that is not yet known to be committed."""

    seq: Seq
    prefix: str
    digest: str
    messages: bytes
    message_count: int
    answer: CallAnswer
    request: str
    used: int


class CallRequest(Message, frozen=True, kw_only=True, tag="call"):
    """Ask the home of a program to run its next call.

    `single` marks a call outside any named program, `pending` holds answered
    calls without a known commit, `previous_silent` says that the previous home
    did not respond, and `reason` why the gateway chose this home.
    """

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
    pending: list[PendingTurn] = []
    reason: str = ""


class DispatchRequest(Message, frozen=True, kw_only=True, tag="dispatch"):
    """Ask the sidecar of a target to run one attempt of a call.

    `attained` is the execution time of the program so far, in seconds, and
    `weight` its priority.
    """

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
    """Ask a shard keeper to append a record; the reply has its verdict."""

    shard: int
    record: ShardRecord


class StateRequest(Message, frozen=True, kw_only=True, tag="state"):
    """Ask a shard keeper for the state of programs."""

    shard: int
    programs: list[ProgramId]


class HistoryRequest(Message, frozen=True, kw_only=True, tag="history"):
    """Ask a shard keeper for the commits of a program after a sequence number."""

    shard: int
    program: ProgramId
    after: Seq = Seq(0)


class HandoverRequest(Message, frozen=True, kw_only=True, tag="handover"):
    """Ask a home to release a program that moves to another home."""

    program: ProgramId


class CreateRequest(Message, frozen=True, kw_only=True, tag="create"):
    """Ask a home to create a program, which may be a sub-agent."""

    program: ProgramId
    spec: ProgramSpec
    silent_home: TargetName | None = None


class SpawnRequest(Message, frozen=True, kw_only=True, tag="spawn"):
    """Ask the home of a parent program to transfer budget to a sub-agent."""

    parent: ProgramId
    spec: ProgramSpec
    child: ProgramId
    budget: int
    silent_home: TargetName | None = None


class RecoverRequest(Message, frozen=True, kw_only=True, tag="recover"):
    """Ask a home to take over a lost program and commit its pending turns."""

    program: ProgramId
    spec: ProgramSpec
    pending: list[PendingTurn]
    silent_home: TargetName | None = None


class EndRequest(Message, frozen=True, kw_only=True, tag="end"):
    """Ask the home of a program to end it."""

    program: ProgramId
    spec: ProgramSpec
    reason: str
    silent_home: TargetName | None = None


ProgramOrder = CreateRequest | SpawnRequest | RecoverRequest | EndRequest


class LoadRequest(Message, frozen=True, kw_only=True, tag="load"):
    """Ask a sidecar for the load of its target."""


class ConfigRequest(Message, frozen=True, kw_only=True, tag="config"):
    """Ask a peer for the configuration that it uses."""


class DrainRequest(Message, frozen=True, kw_only=True, tag="drain"):
    """Ask a sidecar to stop accepting work, or to accept it again."""

    drain: bool = True


class ExplainRequest(Message, frozen=True, kw_only=True, tag="explain"):
    """Ask a home for its decisions about a program."""

    program: ProgramId


class TraceRequest(Message, frozen=True, kw_only=True, tag="trace"):
    """Ask a process for the spans of one trace."""

    trace_id: str


class StoreRequest(Message, frozen=True, kw_only=True, tag="store"):
    """Ask a peer to relay a call to the store."""

    call: StoreCall


class OpenTurnRequest(Message, frozen=True, kw_only=True, tag="open"):
    """Ask the delegate of a program to open a turn.

    Later requests refer to it by `opening`, since the caller may reuse the id
    of the turn.
    """

    opening: OpeningId
    start: TurnStart
    demand: ProgramDemand | None = None


class ConfirmTurnRequest(Message, frozen=True, kw_only=True, tag="confirm"):
    """Ask whether the budget for an open turn has been granted."""

    opening: OpeningId


class CommitTurnRequest(Message, frozen=True, kw_only=True, tag="commit_turn"):
    """Ask to commit a turn that has used `handed` tokens.

    `ran_at` is the engine that ran it.
    """

    opening: OpeningId
    terms: TurnTerms
    handed: int
    content: TurnContent
    ran_at: InstanceId | None = None


class CloseTurnRequest(Message, frozen=True, kw_only=True, tag="close_turn"):
    """Report the end of an uncommitted turn that has used `handed` tokens.

    `ran_at` is the engine that ran it, if one did.
    """

    opening: OpeningId
    handed: int
    ran_at: InstanceId | None = None


class PlaceProgramRequest(Message, frozen=True, kw_only=True, tag="place"):
    """Ask the owner of a data centre's engines for a placement of a program.

    `redirected` says that the owner must not name another data centre. `sent_from` is
    the data centre whose owner named this one; a program that is refused then keeps its
    place among the retries there.
    """

    program: ProgramId
    demand: ProgramDemand
    redirected: bool = False
    sent_from: DataCentre | None = None


class ProgramReport(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a program in progress: its engine and the tokens of its prompt.

    `ran` says that an engine has run a turn of it, and `weight` is the probability
    that it goes on, which is 1 while a turn is open.
    """

    program: ProgramId
    instance: InstanceId
    tokens: int
    workspace: Workspace | None = None
    ran: bool = True
    weight: float = 1.0


class LoadReportRequest(Message, frozen=True, kw_only=True, tag="load_report"):
    """Report to an owner what this host knows of the engines of a data centre.

    `programs` are all programs in progress there whose account this host keeps,
    `paces` the events since the last report, `pause` the mean pause between turns.
    An owner reports the free placements of its own data centre, `centre`. A report
    replaces the previous one of the same `process`.
    """

    host: HostName
    process: WriterId | None = None
    programs: list[ProgramReport]
    paces: list[PaceSample] = []
    pause: float | None = None
    centre: DataCentre | None = None
    free: int = 0


class CoverTurnRequest(Message, frozen=True, kw_only=True, tag="cover"):
    """Ask whether an open turn may use `total` tokens in all.

    `handed` is the number of tokens that it has used so far.
    """

    opening: OpeningId
    total: int
    handed: int = 0


class LendRequest(Message, frozen=True, kw_only=True, tag="lend"):
    """Ask a lender for a loan of at least `least` tokens, or to increase it."""

    loan: LoanId
    terms: TurnTerms
    least: int


class SettleRequest(Message, frozen=True, kw_only=True, tag="settle"):
    """Report to a lender how many tokens of a loan were used."""

    loan: LoanId
    program: ProgramId
    handed: int


class TakeTokensRequest(Message, frozen=True, kw_only=True, tag="take_tokens"):
    """Ask the owner of a share of a workspace's rate limit for tokens.

    `begins` says that the request begins a program.
    """

    workspace: Workspace
    share: int
    count: int
    begins: bool


class RegistrationSeenRequest(Message, frozen=True, kw_only=True, tag="seen"):
    """Ask whether a peer sees the registration of a host by process `writer`."""

    host: HostName
    writer: WriterId


class HostCheckRequest(Message, frozen=True, kw_only=True, tag="host_check"):
    """Ask a peer whether it is the host `host`."""

    host: HostName


class TargetReport(Message, frozen=True, kw_only=True, tag="target"):
    """Report that a target failed, or works again, as seen from a host."""

    instance: InstanceId
    host: HostName
    ok: bool


class RecordOriginRequest(Message, frozen=True, kw_only=True, tag="record_origin"):
    """Remember where a stream, found by any of the keys, began for `life` seconds.

    `origin` is None if the gateway that began it can't be certain.
    """

    keys: Annotated[list[StreamKey], msgspec.Meta(max_length=MAX_STREAM_KEYS)]
    origin: Origin | None
    life: float


class FindOriginRequest(Message, frozen=True, kw_only=True, tag="find_origin"):
    """Ask where a stream began."""

    key: StreamKey


class ReportedExposure(msgspec.Struct, frozen=True, kw_only=True):
    """A target that has not answered a request, as known to `source`.

    `age` is in seconds; for `settles` see `Exposure`.
    """

    send: SendId
    target: InstanceId
    state: ExposureState
    age: float
    settles: float
    source: HostName


class ExposureReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a gateway knows of a request that targets have not answered.

    `life` is the time in seconds for which it is remembered after the last change.
    """

    key: RequestKey
    workspace: Workspace
    life: float
    exposures: Annotated[
        list[ReportedExposure], msgspec.Meta(max_length=MAX_REPORTED_EXPOSURES)
    ]


class ReportExposuresRequest(Message, frozen=True, kw_only=True, tag="exposures"):
    """Report the exposures of a request and ask for those that the peer knows.

    The target of the `withdrawn` send did not run the request, or need not be waited
    for.
    """

    report: ExposureReport
    withdrawn: SendId | None = None


class ClearExposuresRequest(Message, frozen=True, kw_only=True, tag="clear_exposures"):
    """Report that a request is not what ended its targets."""

    key: RequestKey


class ListExposuresRequest(Message, frozen=True, kw_only=True, tag="list_exposures"):
    """Ask for all exposures that the peer knows.

    The peer leaves them out if they have the `digest`.
    """

    digest: bytes = b""


class Ping(Message, frozen=True, kw_only=True, tag="ping"):
    """Check that the peer is alive."""


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
    | TakeTokensRequest
    | RegistrationSeenRequest
    | HostCheckRequest
    | TargetReport
    | RecordOriginRequest
    | FindOriginRequest
    | ReportExposuresRequest
    | ClearExposuresRequest
    | ListExposuresRequest
    | PlaceProgramRequest
    | LoadReportRequest
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
    """One part of a streamed answer."""

    data: bytes


class CallAdmitted(Message, frozen=True, kw_only=True, tag="head"):
    """Report that a call was admitted, with its sequence number."""

    program: ProgramId
    seq: Seq
    epoch: Epoch


class Done(Message, frozen=True, kw_only=True, tag="done"):
    """Last reply to a call.

    `turn` is the copy that the gateway keeps until the commit is known.
    """

    answer: CallAnswer | None = None
    seq: Seq = Seq(0)
    committed: bool = False
    turn: PendingTurn | None = None
    used: int = 0
    load: Load | None = None


class Committed(Message, frozen=True, kw_only=True, tag="committed"):
    """Report that a turn is committed to the log."""

    seq: Seq


class Executed(Message, frozen=True, kw_only=True, tag="executed"):
    """Result of an attempt that was dispatched."""

    status: int
    body: bytes
    content_type: str
    prompt_tokens: int
    answer_tokens: int
    cached_tokens: int
    seconds: float
    load: Load | None = None


class Failed(Message, frozen=True, kw_only=True, tag="failed"):
    """Report that a request failed."""

    failure: Failure
    load: Load | None = None


class VerdictReply(Message, frozen=True, kw_only=True, tag="verdict"):
    """Reply to a submit, with the state of the program after the record."""

    verdict: Verdict
    state: ProgramState | None = None


class StateReply(Message, frozen=True, kw_only=True, tag="states"):
    """Reply to a state request."""

    states: list[ProgramState]
    next_offset: Offset


class HistoryReply(Message, frozen=True, kw_only=True, tag="commits"):
    """Reply to a history request: encoded commit records."""

    commits: list[bytes]


class LoadReply(Message, frozen=True, kw_only=True, tag="loads"):
    """Reply to a load request."""

    load: Load


class ConfigReply(Message, frozen=True, kw_only=True, tag="configs"):
    """Reply to a configuration request: an encoded snapshot."""

    snapshot: bytes


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """One decision about a program, with its reason."""

    at: float
    part: str
    choice: str
    reason: str


class ExplainReply(Message, frozen=True, kw_only=True, tag="decisions"):
    """Reply to an explain request."""

    decisions: list[Decision]


class SpanData(msgspec.Struct, frozen=True, kw_only=True):
    """One finished span of a trace; times in nanoseconds since the Unix epoch."""

    trace_id: str
    span_id: str
    parent_id: str | None
    name: str
    start: int
    end: int
    attributes: dict[str, str]


class TraceReply(Message, frozen=True, kw_only=True, tag="spans"):
    """Reply to a trace request."""

    spans: list[SpanData]


class StoreAnswer(Message, frozen=True, kw_only=True, tag="stored"):
    """Reply of the store to a relayed call."""

    reply: StoreReply


class TurnOpened(Message, frozen=True, kw_only=True, tag="opened"):
    """History that an opened turn continues, and tokens its program has used.

    `granted` says that the turn may begin without a ConfirmTurnRequest, and
    `covered` how many tokens it may then use; None for no limit. `home` is the
    engine that has the program's prompt cached, `placed_by` the owner that assigned the
    program to it for this turn. `judged` says that the delegate applied the demand of
    the request, which older builds ignore.
    """

    history: History | None
    spent: int
    granted: bool
    covered: int | None = None
    home: InstanceId | None = None
    placed_by: HostName | None = None
    judged: bool = False


class TurnRefused(Message, frozen=True, kw_only=True, tag="turn_refused"):
    """Report why a turn was not opened: a lookup, a verdict or the time to retry.

    `retry_after` is set if no engine has room for the program, for the given reason.
    """

    lookup: LookupFailure | None = None
    verdict: BudgetVerdict | None = None
    retry_after: float | None = None
    reason: str = ""


class ProgramPlaced(Message, frozen=True, kw_only=True, tag="placed"):
    """Name the engine for a program, or another data centre to ask.

    With neither, no engine has room for the given reason, and `retry_after` is set
    unless the program was sent from another data centre.
    """

    instance: InstanceId | None = None
    centre: DataCentre | None = None
    retry_after: float | None = None
    reason: str = ""


class LoadReported(Message, frozen=True, kw_only=True, tag="load_reported"):
    """Return the pace of each engine of a data centre, in seconds for each event."""

    paces: dict[InstanceId, float] = {}


class TurnVerdict(Message, frozen=True, kw_only=True, tag="turn_verdict"):
    """Report whether the budget for an open turn is granted, and how much."""

    verdict: BudgetVerdict
    covered: int | None = None


class TurnCovered(Message, frozen=True, kw_only=True, tag="covered"):
    """Report how many tokens an open turn may use in all; None for no limit."""

    covered: int | None


class Lent(Message, frozen=True, kw_only=True, tag="lent"):
    """Report the tokens of a loan; 0 if nothing was lent."""

    tokens: int


class TokensTaken(Message, frozen=True, kw_only=True, tag="tokens"):
    """Reply to a TakeTokensRequest: tokens, or the wait for them."""

    tokens: TokenGrant


class HostChecked(Message, frozen=True, kw_only=True, tag="host_checked"):
    """Reply to a HostCheckRequest: the name of the host that answers."""

    host: HostName


class OriginFound(Message, frozen=True, kw_only=True, tag="origin"):
    """Report where a stream began, if it is `known`.

    Without an `origin` the reports of it contradict each other. `age` is the time since
    the first report, in seconds.
    """

    known: bool
    origin: Origin | None = None
    age: float = 0.0


class ExposuresKnown(Message, frozen=True, kw_only=True, tag="exposures_known"):
    """Report the exposures of one request, or of all."""

    reports: Annotated[
        list[ExposureReport], msgspec.Meta(max_length=MAX_LISTED_REPORTS)
    ]


class Accepted(Message, frozen=True, kw_only=True, tag="accepted"):
    """Report that a request was carried out."""

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
    | HostChecked
    | OriginFound
    | ExposuresKnown
    | ProgramPlaced
    | LoadReported
    | CallAdmitted
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
    """Encode a message as MessagePack."""
    return _ENCODER.encode(message)


def decode_request(data: bytes) -> Request | None:
    """Decode a request; return None for any other bytes."""
    try:
        return _REQUESTS.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None


def decode_reply(data: bytes) -> Reply | None:
    """Decode a reply; return None for any other bytes."""
    try:
        return _REPLIES.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None
