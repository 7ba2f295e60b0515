"""Count failed requests by cause and second from the lines of gateways' logs."""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

import msgspec

ANSWERED = "answered"
# What differs from line to line of one cause: ids, times and numbers.
VARIABLE = re.compile(r"\b[0-9a-f]{8,}\b|\d+(?:\.\d+)?")
NO_REASON = "no reason given"


class RequestLine(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the log says of one request; `time` is in seconds."""

    time: float
    event: str
    id: str = ""
    program: str = ""
    outcome: str = ""
    reason: str = ""


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


def read_requests(lines: Iterable[str]) -> Iterator[RequestLine]:
    """Return the lines of requests, whatever stands before and between them."""
    for line in lines:
        begin = line.find("{")
        if begin < 0:
            continue
        try:
            found = _decoder.decode(line[begin:].strip())
        except msgspec.DecodeError:
            continue
        if found.event == "request":
            yield found


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


def total_by_cause(rows: Iterable[FailureRow]) -> Counter[str]:
    """Return the failed requests of each cause, over all spans."""
    totals: Counter[str] = Counter()
    for row in rows:
        totals[f"{row.outcome}: {row.reason}"] += row.requests
    return totals


def _cause(reason: str) -> str:
    return VARIABLE.sub("#", reason) or NO_REASON
