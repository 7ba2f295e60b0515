"""Summarise failed requests from gateways' logs."""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from enum import Enum

import msgspec

ANSWERED = "answered"
# Ids and numbers, which differ between failures of the same cause.
VARIABLE_PART = re.compile(r"\b[0-9a-f]{8,}\b|\d+(?:\.\d+)?")
NO_REASON = "no reason given"
# A step that names the target of an attempt.
CHOSEN_STEP = re.compile(r"^(\S+) chosen:")
NOT_SENT = "sent to no target"
NO_WORKSPACE = "no workspace"


class Grouping(Enum):
    """Key that failures are grouped by."""

    CAUSE = "cause"
    GATEWAY = "gateway"
    ROUTE = "route"
    TARGET = "target"
    WORKSPACE = "workspace"


class RequestLine(msgspec.Struct, frozen=True, kw_only=True):
    """Log line of one request; `time` is in Unix seconds.

    `gateway` is the prefix of the line, or else the name of the log.
    """

    time: float
    event: str
    id: str = ""
    workspace: str | None = None
    program: str = ""
    outcome: str = ""
    reason: str = ""
    route: str = ""
    steps: list[str] = []
    gateway: str = ""

    @property
    def owner(self) -> tuple[str | None, str]:
        """Return the workspace and the program, whose id is unique only in it."""
        return self.workspace, self.program


class GroupRow(msgspec.Struct, frozen=True, kw_only=True):
    """Failures of one target, gateway, route, workspace or cause.

    `first` and `final` are the times of the first and last failure, in seconds from
    the start of the log; `last` counts programs as in FailureRow.
    """

    group: str
    first: float
    final: float
    requests: int
    gateways: int
    programs: int
    last: int
    example: str


class FailureRow(msgspec.Struct, frozen=True, kw_only=True):
    """Failures of one cause in one time span.

    `programs` counts the programs with such a failure, and `last` those that sent
    no further request after it, which were given up.
    """

    start: float
    outcome: str
    reason: str
    requests: int
    programs: int
    last: int
    example: str


_decoder = msgspec.json.Decoder(RequestLine)


def read_requests(lines: Iterable[str], name: str = "") -> Iterator[RequestLine]:
    """Yield the request lines of a log; skips other lines and strips prefixes."""
    for line in lines:
        brace = line.find("{")
        if brace < 0:
            continue
        try:
            request = _decoder.decode(line[brace:].strip())
        except msgspec.DecodeError:
            continue
        if request.event == "request":
            gateway = line[:brace].strip() or name
            yield msgspec.structs.replace(request, gateway=gateway)


class _FailedRequests:
    """Failed requests of logs, ordered by time."""

    def __init__(self, requests: Iterable[RequestLine]) -> None:
        ordered = sorted(requests, key=lambda request: request.time)
        self.failed = [request for request in ordered if request.outcome != ANSWERED]
        self._start_time = ordered[0].time if ordered else 0.0
        self._last_requests = {
            request.owner: request.id for request in ordered if request.program
        }

    def elapsed(self, request: RequestLine) -> float:
        """Return the end of a request, in seconds from the start of the logs."""
        return request.time - self._start_time

    def count_given_up(self, group: Iterable[RequestLine]) -> int:
        """Return the number of programs whose last request is in a group."""
        return sum(
            self._last_requests.get(request.owner) == request.id for request in group
        )


def count_failures(requests: Iterable[RequestLine], span: float) -> list[FailureRow]:
    """Return failures by cause and span of `span` seconds, ordered by time."""
    failures = _FailedRequests(requests)
    groups: dict[tuple[int, str, str], list[RequestLine]] = defaultdict(list)
    for request in failures.failed:
        cause = (
            int(failures.elapsed(request) / span),
            request.outcome,
            _normalised_reason(request.reason),
        )
        groups[cause].append(request)
    rows = [
        FailureRow(
            start=number * span,
            outcome=outcome,
            reason=reason,
            requests=len(group),
            programs=_count_programs(group),
            last=failures.count_given_up(group),
            example=group[0].id,
        )
        for (number, outcome, reason), group in groups.items()
    ]
    return sorted(rows, key=lambda row: (row.start, -row.requests))


def group_failures(requests: Iterable[RequestLine], by: Grouping) -> list[GroupRow]:
    """Return the failures of each group, the largest first."""
    failures = _FailedRequests(requests)
    groups: dict[str, list[RequestLine]] = defaultdict(list)
    for request in failures.failed:
        groups[GROUP_KEYS[by](request)].append(request)
    rows = [
        GroupRow(
            group=name,
            first=round(failures.elapsed(group[0]), 3),
            final=round(failures.elapsed(group[-1]), 3),
            requests=len(group),
            gateways=len({request.gateway for request in group}),
            programs=_count_programs(group),
            last=failures.count_given_up(group),
            example=group[0].id,
        )
        for name, group in groups.items()
    ]
    return sorted(rows, key=lambda row: -row.requests)


def total_by_cause(rows: Iterable[FailureRow]) -> Counter[str]:
    """Return the number of failed requests of each cause over all spans."""
    totals: Counter[str] = Counter()
    for row in rows:
        totals[f"{row.outcome}: {row.reason}"] += row.requests
    return totals


def _count_programs(group: Iterable[RequestLine]) -> int:
    return len({request.owner for request in group if request.program})


def _normalised_reason(reason: str) -> str:
    return VARIABLE_PART.sub("#", reason) or NO_REASON


def _last_target(request: RequestLine) -> str:
    """Return the target of the last attempt of a request."""
    chosen = [
        match.group(1) for step in request.steps if (match := CHOSEN_STEP.match(step))
    ]
    return chosen[-1] if chosen else NOT_SENT


GROUP_KEYS: dict[Grouping, Callable[[RequestLine], str]] = {
    Grouping.CAUSE: lambda request: (
        f"{request.outcome}: {_normalised_reason(request.reason)}"
    ),
    Grouping.GATEWAY: lambda request: request.gateway,
    Grouping.ROUTE: lambda request: request.route,
    Grouping.TARGET: _last_target,
    Grouping.WORKSPACE: lambda request: request.workspace or NO_WORKSPACE,
}
