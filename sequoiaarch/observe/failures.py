"""Count failed requests from the lines of gateways' logs."""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from enum import Enum

import msgspec

ANSWERED = "answered"
# What differs from line to line of one cause: ids, times and numbers.
VARIABLE = re.compile(r"\b[0-9a-f]{8,}\b|\d+(?:\.\d+)?")
NO_REASON = "no reason given"
# How a step of a request begins that names the target it went to.
CHOSEN = re.compile(r"^(\S+) chosen:")
NOT_SENT = "sent to no target"
NO_WORKSPACE = "no workspace"


class Grouping(Enum):
    """Say what failures are put together by."""

    CAUSE = "cause"
    GATEWAY = "gateway"
    ROUTE = "route"
    TARGET = "target"
    WORKSPACE = "workspace"


class RequestLine(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the log says of one request; `time` is in seconds.

    `gateway` is what stands before the line, or else the name of the log.
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
        """Return the program and its workspace, which may share its id with others."""
        return self.workspace, self.program


class GroupRow(msgspec.Struct, frozen=True, kw_only=True):
    """Count the failures of one target, gateway, route, workspace or cause.

    `first` and `final` are the seconds from the start of the log at which they
    began and ended; `last` counts programs as in FailureRow.
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
    """Count the failures of one cause that ended in one span of time.

    `programs` counts those that had such a failure, `last` those whose last
    request it was, which is where a program is given up.
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
    """Return the lines of requests in a log, whatever stands before and between."""
    for line in lines:
        begin = line.find("{")
        if begin < 0:
            continue
        try:
            found = _decoder.decode(line[begin:].strip())
        except msgspec.DecodeError:
            continue
        if found.event == "request":
            gateway = line[:begin].strip() or name
            yield msgspec.structs.replace(found, gateway=gateway)


class _Failures:
    """Hold the failed requests of logs in the order of time."""

    def __init__(self, requests: Iterable[RequestLine]) -> None:
        ordered = sorted(requests, key=lambda one: one.time)
        self.failed = [one for one in ordered if one.outcome != ANSWERED]
        self._begin = ordered[0].time if ordered else 0.0
        self._last_of = {one.owner: one.id for one in ordered if one.program}

    def second(self, one: RequestLine) -> float:
        """Return when a request ended, in seconds from the start of the logs."""
        return one.time - self._begin

    def given_up(self, group: Iterable[RequestLine]) -> int:
        """Return how many programs had their last request in a group."""
        return sum(self._last_of.get(one.owner) == one.id for one in group)


def count_failures(requests: Iterable[RequestLine], span: float) -> list[FailureRow]:
    """Return the failures in spans of `span` seconds, in the order of time."""
    found = _Failures(requests)
    groups: dict[tuple[int, str, str], list[RequestLine]] = defaultdict(list)
    for one in found.failed:
        cause = (int(found.second(one) / span), one.outcome, _cause(one.reason))
        groups[cause].append(one)
    rows = [
        FailureRow(
            start=number * span,
            outcome=outcome,
            reason=reason,
            requests=len(group),
            programs=_programs(group),
            last=found.given_up(group),
            example=group[0].id,
        )
        for (number, outcome, reason), group in groups.items()
    ]
    return sorted(rows, key=lambda row: (row.start, -row.requests))


def group_failures(requests: Iterable[RequestLine], by: Grouping) -> list[GroupRow]:
    """Return the failures of each group, those with the most first."""
    found = _Failures(requests)
    groups: dict[str, list[RequestLine]] = defaultdict(list)
    for one in found.failed:
        groups[GROUPS[by](one)].append(one)
    rows = [
        GroupRow(
            group=name,
            first=round(found.second(group[0]), 3),
            final=round(found.second(group[-1]), 3),
            requests=len(group),
            gateways=len({one.gateway for one in group}),
            programs=_programs(group),
            last=found.given_up(group),
            example=group[0].id,
        )
        for name, group in groups.items()
    ]
    return sorted(rows, key=lambda row: -row.requests)


def total_by_cause(rows: Iterable[FailureRow]) -> Counter[str]:
    """Return the failed requests of each cause, over all spans."""
    totals: Counter[str] = Counter()
    for row in rows:
        totals[f"{row.outcome}: {row.reason}"] += row.requests
    return totals


def _programs(group: Iterable[RequestLine]) -> int:
    return len({one.owner for one in group if one.program})


def _cause(reason: str) -> str:
    return VARIABLE.sub("#", reason) or NO_REASON


def _target(one: RequestLine) -> str:
    """Return the target that a request went to last."""
    chosen = [found.group(1) for step in one.steps if (found := CHOSEN.match(step))]
    return chosen[-1] if chosen else NOT_SENT


GROUPS: dict[Grouping, Callable[[RequestLine], str]] = {
    Grouping.CAUSE: lambda one: f"{one.outcome}: {_cause(one.reason)}",
    Grouping.GATEWAY: lambda one: one.gateway,
    Grouping.ROUTE: lambda one: one.route,
    Grouping.TARGET: _target,
    Grouping.WORKSPACE: lambda one: one.workspace or NO_WORKSPACE,
}
