"""Explain from gateways' logs why programs waited or were refused."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Annotated

import msgspec

from .failures import NO_WORKSPACE

REQUEST = "request"
PLACEMENT = "placement"
OVERLOADED = "overloaded"
# Steps and reasons of requests, as gateways write them.
_PLACED = re.compile(r"placed on (\S+) by (.+)")
_STAYS = re.compile(r"stays on (\S+)")
_NOT_PLACED = "not placed, no owner of engines answered"
_NO_ROOM = re.compile(r"(.+?) has no room for the program: .*", re.DOTALL)
_ENGINES_FULL = "all engines are full"
# Separate a workspace, a program and a line of its turns in the names of owners.
_WORKSPACE_SEPARATOR = ":"
_LINE_SEPARATOR = "#"
# The last second that dates of the command's output can show.
_LAST_SECOND = 253_402_300_799

Seconds = Annotated[float, msgspec.Meta(ge=0, le=_LAST_SECOND)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=_LAST_SECOND)]
ProgramKey = tuple[str | None, str]


class Result(Enum):
    """What a request's line says about the placement of its program."""

    PLACED = "placed"
    STAYS = "stays"
    NO_OWNER = "no owner"
    REFUSED = "refused"
    OTHER = "other"


class _Header(msgspec.Struct, frozen=True, kw_only=True):
    """Fields of any line; `omitted` lines before it were not written."""

    time: Seconds
    event: str
    omitted: int = 0


class _RequestLine(msgspec.Struct, frozen=True, kw_only=True):
    """Line of a request; `time` is that of its end."""

    time: Seconds
    id: str = ""
    workspace: str | None = None
    program: str = ""
    session: str = ""
    status: int = 0
    outcome: str = ""
    reason: str = ""
    retry_after: Seconds | None = None
    milliseconds: Milliseconds = 0.0
    steps: list[str] = []


class _DecisionLine(msgspec.Struct, frozen=True, kw_only=True):
    """Line of an owner; `decision` is empty in the lines about something else."""

    time: Seconds
    decision: str = ""
    owner: str = ""
    program: str = ""
    workspace: str | None = None
    message: str = ""
    programs: int | None = None
    engines: int | None = None
    max_wait: float | None = None
    to_retry: int | None = None
    rate: float | None = None
    age: float | None = None
    retry_after: Seconds | None = None
    centre: str | None = None
    centre_free: int | None = None
    centre_age: float | None = None
    sent_from: str | None = None


class RequestEntry(msgspec.Struct, frozen=True, kw_only=True, tag="request"):
    """A request of a program; `time` is that of its start, in Unix seconds.

    If the request before it was refused, `after_refusal` is the time since then and
    `after_retry_time` that since it was to retry, negative if it came too early, in
    seconds.
    """

    time: float
    gateway: str
    workspace: str | None
    program: str
    session: str
    id: str
    status: int
    outcome: str
    reason: str
    milliseconds: float
    result: Result
    engine: str | None = None
    owner: str | None = None
    retry_after: float | None = None
    after_refusal: float | None = None
    after_retry_time: float | None = None

    @property
    def key(self) -> ProgramKey:
        """Return the workspace and the program, whose id is unique only in it."""
        return self.workspace, self.program

    @property
    def end(self) -> float:
        """Return the end of the request, in Unix seconds."""
        return self.time + self.milliseconds / 1000


class DecisionEntry(msgspec.Struct, frozen=True, kw_only=True, tag="decision"):
    """A decision of an owner about a program that it gave no placement.

    The fields are those of the owner's line, whose ages are in seconds.
    """

    time: float
    gateway: str
    workspace: str | None
    program: str
    decision: str
    owner: str
    message: str
    programs: int | None
    engines: int | None
    max_wait: float | None
    to_retry: int | None
    rate: float | None
    age: float | None
    retry_after: float | None
    centre: str | None
    centre_free: int | None
    centre_age: float | None
    sent_from: str | None


class WorkspaceRow(msgspec.Struct, frozen=True, kw_only=True):
    """Placements of the programs of a workspace.

    `refused` counts the programs with a refusal, `not_placed` those of them that got no
    placement and did not start without one, and `no_owner` the programs that started
    without one. `mean_refusals` is that of the placed programs. `longest_wait` is in
    seconds, from the first refusal of the program `longest` to its placement.
    """

    workspace: str
    placed: int
    refused: int
    not_placed: int
    no_owner: int
    mean_refusals: float | None
    longest_wait: float | None
    longest: str | None


class _Progress:
    """What the requests of a program tell until it starts."""

    def __init__(self) -> None:
        self.refusals = 0
        self.first_refusal: float | None = None
        self.refused = False
        self.start: Result | None = None
        self.wait: float | None = None

    def add(self, entry: RequestEntry) -> None:
        """Apply a request that was refused, or with which the program starts."""
        if entry.result is Result.REFUSED:
            self.refused = True
            if self.start is None:
                self.refusals += 1
                if self.first_refusal is None:
                    self.first_refusal = entry.end
        elif self.start is None:
            self.start = entry.result
            if self.first_refusal is not None:
                # The clocks of two gateways may differ.
                self.wait = max(0.0, entry.time - self.first_refusal)


class PlacementLog:
    """Read the lines of gateways' logs that tell where programs were placed.

    With `program`, all lines about it are kept, or else only those of refused requests
    and of requests with which a program starts.
    """

    def __init__(self, *, program: str | None = None) -> None:
        self._program = program
        self._requests: list[RequestEntry] = []
        self._decisions: list[tuple[str, _DecisionLine]] = []
        # The programs of lines of turns, by the names that owners know.
        self._lines: dict[str, str] = {}
        self.unreadable = 0
        self.omitted = 0
        self._header = msgspec.json.Decoder(_Header)
        self._request = msgspec.json.Decoder(_RequestLine)
        self._decision = msgspec.json.Decoder(_DecisionLine)

    def read(self, lines: Iterable[str], name: str = "") -> None:
        """Read a log; counts lines that can't be read.

        What stands before the JSON of a line is taken for the gateway's name, or else
        the name of the log.
        """
        for line in lines:
            if not line.strip():
                continue
            brace = line.find("{")
            try:
                if brace < 0:
                    raise msgspec.DecodeError("no JSON")
                self._read_line(line[brace:], line[:brace].strip() or name)
            except msgspec.DecodeError:
                self.unreadable += 1

    def history(self) -> list[RequestEntry | DecisionEntry]:
        """Return requests and decisions ordered by time."""
        entries: list[RequestEntry | DecisionEntry] = [*self._returns()]
        entries += [
            entry
            for gateway, line in self._decisions
            if (entry := self._decision_entry(gateway, line)).program == self._program
        ]
        return sorted(entries, key=lambda entry: entry.time)

    def by_workspace(self) -> list[WorkspaceRow]:
        """Return the placements of each workspace, those with most refusals first."""
        programs: defaultdict[ProgramKey, _Progress] = defaultdict(_Progress)
        for entry in sorted(self._requests, key=lambda entry: entry.time):
            programs[entry.key].add(entry)
        groups: defaultdict[str | None, dict[str, _Progress]] = defaultdict(dict)
        for (workspace, program), progress in programs.items():
            groups[workspace][program] = progress
        rows = [_workspace_row(name, group) for name, group in groups.items()]
        return sorted(rows, key=lambda row: (-row.refused, row.workspace))

    def _read_line(self, text: str, gateway: str) -> None:
        header = self._header.decode(text)
        self.omitted += max(0, header.omitted)
        if header.event == REQUEST:
            self._add_request(self._request.decode(text), gateway)
        elif header.event == PLACEMENT and self._program is not None:
            decision = self._decision.decode(text)
            if decision.decision and self._program in decision.program:
                self._decisions.append((gateway, decision))

    def _add_request(self, line: _RequestLine, gateway: str) -> None:
        if not line.program:
            return
        if self._program is not None and line.program != self._program:
            return
        entry = _request_entry(line, gateway)
        if self._program is not None:
            name = f"{line.program}{_LINE_SEPARATOR}{line.session}"
            self._lines[_scope(line.workspace) + name] = line.program
        elif entry.result in (Result.STAYS, Result.OTHER):
            return
        self._requests.append(entry)

    def _returns(self) -> Iterator[RequestEntry]:
        """Yield the requests with their time since the refusal before them."""
        refused: dict[ProgramKey, RequestEntry] = {}
        for entry in sorted(self._requests, key=lambda entry: entry.time):
            last = refused.pop(entry.key, None)
            if last is not None:
                since = entry.time - last.end
                late = None if last.retry_after is None else since - last.retry_after
                entry = msgspec.structs.replace(
                    entry,
                    after_refusal=round(since, 3),
                    after_retry_time=None if late is None else round(late, 3),
                )
            if entry.result is Result.REFUSED:
                refused[entry.key] = entry
            yield entry

    def _decision_entry(self, gateway: str, line: _DecisionLine) -> DecisionEntry:
        program = self._lines.get(line.program)
        if program is None:
            # No request of this line of turns is in the logs.
            name = line.program.removeprefix(_scope(line.workspace))
            program = name.partition(_LINE_SEPARATOR)[0]
        fields = msgspec.structs.asdict(line)
        return DecisionEntry(**{**fields, "gateway": gateway, "program": program})


def _request_entry(line: _RequestLine, gateway: str) -> RequestEntry:
    result, engine, owner = _result(line)
    return RequestEntry(
        time=round(line.time - line.milliseconds / 1000, 4),
        gateway=gateway,
        workspace=line.workspace,
        program=line.program,
        session=line.session,
        id=line.id,
        status=line.status,
        outcome=line.outcome,
        reason=line.reason,
        milliseconds=line.milliseconds,
        result=result,
        engine=engine,
        owner=owner,
        retry_after=line.retry_after,
    )


def _result(line: _RequestLine) -> tuple[Result, str | None, str | None]:
    """Return what happened to a program, its engine and the owner of that."""
    if line.outcome == OVERLOADED:
        if match := _NO_ROOM.fullmatch(line.reason):
            return Result.REFUSED, None, match[1]
        if line.reason == _ENGINES_FULL:
            return Result.REFUSED, None, None
    for step in line.steps:
        if match := _PLACED.fullmatch(step):
            return Result.PLACED, match[1], match[2]
        if match := _STAYS.fullmatch(step):
            return Result.STAYS, match[1], None
        if step == _NOT_PLACED:
            return Result.NO_OWNER, None, None
    return Result.OTHER, None, None


def _workspace_row(
    workspace: str | None, programs: dict[str, _Progress]
) -> WorkspaceRow:
    placed = [one for one in programs.values() if one.start is Result.PLACED]
    waits = {
        name: one.wait
        for name, one in programs.items()
        if one.start is Result.PLACED and one.wait is not None
    }
    longest = max(waits, key=waits.__getitem__, default=None)
    refusals = sum(one.refusals for one in placed)
    return WorkspaceRow(
        workspace=workspace or NO_WORKSPACE,
        placed=len(placed),
        refused=sum(one.refused for one in programs.values()),
        not_placed=sum(one.start is None for one in programs.values()),
        no_owner=sum(one.start is Result.NO_OWNER for one in programs.values()),
        mean_refusals=round(refusals / len(placed), 2) if placed else None,
        longest_wait=None if longest is None else round(waits[longest], 3),
        longest=longest,
    )


def _scope(workspace: str | None) -> str:
    """Return what stands before the names of a workspace's programs."""
    return "" if workspace is None else f"{workspace}{_WORKSPACE_SEPARATOR}"
