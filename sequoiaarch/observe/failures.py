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


class Grouping(Enum):
    """Say what failures are put together by."""

    CAUSE = "cause"
    GATEWAY = "gateway"
    ROUTE = "route"
    TARGET = "target"


class RequestLine(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the log says of one request; `time` is in seconds.

    `gateway` is what stands before the line, or else the name of the log.
    """

    time: float
    event: str
    id: str = ""
    program: str = ""
    outcome: str = ""
    reason: str = ""
    route: str = ""
    steps: list[str] = []
    gateway: str = ""


class GroupRow(msgspec.Struct, frozen=True, kw_only=True):
    """Count the failures of one target, gateway, route or cause.

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


def count_failures(requests: Iterable[RequestLine], span: float) -> list[FailureRow]:
    """Return the failures in spans of `span` seconds, in the order of time."""
    ordered = sorted(requests, key=lambda one: one.time)
    if not ordered:
        return []
    begin = ordered[0].time
    last_of = {one.program: one.id for one in ordered if one.program}
    groups: dict[tuple[int, str, str], list[RequestLine]] = defaultdict(list)
    for one in ordered:
        if one.outcome != ANSWERED:
            cause = (int((one.time - begin) / span), one.outcome, _cause(one.reason))
            groups[cause].append(one)
    rows = [
        FailureRow(
            start=number * span,
            outcome=outcome,
            reason=reason,
            requests=len(found),
            programs=len({one.program for one in found if one.program}),
            last=sum(last_of.get(one.program) == one.id for one in found),
            example=found[0].id,
        )
        for (number, outcome, reason), found in groups.items()
    ]
    return sorted(rows, key=lambda row: (row.start, -row.requests))


def group_failures(requests: Iterable[RequestLine], by: Grouping) -> list[GroupRow]:
    """Return the failures of each group, those with the most first."""
    ordered = sorted(requests, key=lambda one: one.time)
    if not ordered:
        return []
    begin = ordered[0].time
    last_of = {one.program: one.id for one in ordered if one.program}
    groups: dict[str, list[RequestLine]] = defaultdict(list)
    for one in ordered:
        if one.outcome != ANSWERED:
            groups[GROUPS[by](one)].append(one)
    rows = [
        GroupRow(
            group=name,
            first=round(found[0].time - begin, 3),
            final=round(found[-1].time - begin, 3),
            requests=len(found),
            gateways=len({one.gateway for one in found}),
            programs=len({one.program for one in found if one.program}),
            last=sum(last_of.get(one.program) == one.id for one in found),
            example=found[0].id,
        )
        for name, found in groups.items()
    ]
    return sorted(rows, key=lambda row: -row.requests)


def total_by_cause(rows: Iterable[FailureRow]) -> Counter[str]:
    """Return the failed requests of each cause, over all spans."""
    totals: Counter[str] = Counter()
    for row in rows:
        totals[f"{row.outcome}: {row.reason}"] += row.requests
    return totals


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
}
