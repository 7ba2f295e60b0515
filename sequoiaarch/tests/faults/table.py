"""Table of the faults that are injected, and at which moments."""

from __future__ import annotations

from dataclasses import dataclass

from .scenario import Fault, Moment


@dataclass(frozen=True, kw_only=True)
class Row:
    """One or two faults and the moments at which they are injected."""

    faults: tuple[tuple[Moment, Fault], ...]

    @property
    def name(self) -> str:
        """Return a description of the faults and their moments."""
        parts = [f"{fault.value} {moment.value}" for moment, fault in self.faults]
        return ", and ".join(parts)

    def by_moment(self) -> dict[Moment, list[Fault]]:
        """Return the faults of each moment."""
        found: dict[Moment, list[Fault]] = {}
        for moment, fault in self.faults:
            found.setdefault(moment, []).append(fault)
        return found


SINGLE_FAULTS: dict[Fault, tuple[Moment, ...]] = {
    Fault.KILL_HOME: (
        Moment.BEFORE_START,
        Moment.DURING_FIRST,
        Moment.AFTER_FIRST,
        Moment.DURING_TOOL,
        Moment.AFTER_TOOL,
        Moment.BETWEEN,
        Moment.DURING_ANSWER,
        Moment.AFTER_ANSWER,
        Moment.BEFORE_END,
    ),
    Fault.RESTART_HOME: (
        Moment.DURING_FIRST,
        Moment.AFTER_FIRST,
        Moment.DURING_TOOL,
        Moment.BETWEEN,
        Moment.AFTER_ANSWER,
    ),
    Fault.PAUSE_HOME: (
        Moment.DURING_FIRST,
        Moment.AFTER_FIRST,
        Moment.DURING_TOOL,
        Moment.BETWEEN,
        Moment.DURING_ANSWER,
    ),
    Fault.STOP_HOME: (
        Moment.DURING_FIRST,
        Moment.BETWEEN,
        Moment.DURING_ANSWER,
    ),
    Fault.DRAIN_HOME: (Moment.AFTER_FIRST, Moment.BETWEEN, Moment.DURING_ANSWER),
    Fault.HOST_LEAVES: (
        Moment.BEFORE_START,
        Moment.BETWEEN,
        Moment.DURING_ANSWER,
    ),
    Fault.HOST_LIST_LAGS: (Moment.BETWEEN,),
    Fault.KILL_GATEWAY: (
        Moment.DURING_FIRST,
        Moment.AFTER_FIRST,
        Moment.DURING_TOOL,
        Moment.DURING_ANSWER,
    ),
    Fault.STOP_GATEWAY: (Moment.DURING_ANSWER, Moment.DURING_TOOL),
    Fault.PAUSE_GATEWAY: (Moment.BETWEEN,),
    Fault.KILL_TOOL: (Moment.AFTER_FIRST, Moment.DURING_TOOL),
    Fault.RESTART_TOOL: (Moment.AFTER_FIRST, Moment.DURING_TOOL),
    Fault.PAUSE_TOOL: (Moment.DURING_TOOL,),
    Fault.LOG_DOWN: (
        Moment.DURING_FIRST,
        Moment.AFTER_FIRST,
        Moment.DURING_TOOL,
        Moment.BETWEEN,
        Moment.DURING_ANSWER,
    ),
    Fault.LOG_SLOW: (Moment.BEFORE_START, Moment.AFTER_FIRST),
    Fault.LOSE_REPLY: (
        Moment.BEFORE_START,
        Moment.DURING_FIRST,
        Moment.AFTER_FIRST,
        Moment.DURING_TOOL,
        Moment.DURING_ANSWER,
    ),
    Fault.LOSE_REQUEST: (Moment.BEFORE_START, Moment.AFTER_FIRST),
    Fault.CUT_HOME_FROM_LOG: (Moment.AFTER_FIRST, Moment.DURING_ANSWER),
    Fault.CUT_STREAM: (Moment.BEFORE_START, Moment.BETWEEN),
    Fault.SECOND_GATEWAY: (
        Moment.DURING_FIRST,
        Moment.DURING_TOOL,
        Moment.DURING_ANSWER,
    ),
    Fault.PUBLISH: (Moment.BETWEEN,),
    Fault.TRIM_LOG: (Moment.BETWEEN,),
}

DOUBLE_FAULTS: tuple[tuple[tuple[Moment, Fault], tuple[Moment, Fault]], ...] = (
    (
        (Moment.DURING_FIRST, Fault.LOSE_REPLY),
        (Moment.AFTER_FIRST, Fault.KILL_HOME),
    ),
    (
        (Moment.AFTER_FIRST, Fault.LOG_SLOW),
        (Moment.DURING_TOOL, Fault.KILL_HOME),
    ),
    (
        (Moment.DURING_TOOL, Fault.KILL_HOME),
        (Moment.DURING_TOOL, Fault.KILL_GATEWAY),
    ),
    (
        (Moment.DURING_TOOL, Fault.KILL_TOOL),
        (Moment.DURING_TOOL, Fault.KILL_HOME),
    ),
    (
        (Moment.DURING_TOOL, Fault.PAUSE_HOME),
        (Moment.DURING_TOOL, Fault.SECOND_GATEWAY),
    ),
    (
        (Moment.DURING_TOOL, Fault.LOSE_REPLY),
        (Moment.AFTER_TOOL, Fault.RESTART_HOME),
    ),
    (
        (Moment.DURING_ANSWER, Fault.KILL_HOME),
        (Moment.DURING_ANSWER, Fault.KILL_GATEWAY),
    ),
    (
        (Moment.DURING_ANSWER, Fault.LOG_DOWN),
        (Moment.DURING_ANSWER, Fault.KILL_GATEWAY),
    ),
    (
        (Moment.DURING_ANSWER, Fault.LOG_DOWN),
        (Moment.AFTER_ANSWER, Fault.KILL_HOME),
    ),
    (
        (Moment.AFTER_FIRST, Fault.KILL_HOME),
        (Moment.AFTER_FIRST, Fault.LOSE_REPLY),
    ),
    (
        (Moment.BETWEEN, Fault.PAUSE_HOME),
        (Moment.DURING_ANSWER, Fault.KILL_GATEWAY),
    ),
    (
        (Moment.BETWEEN, Fault.DRAIN_HOME),
        (Moment.BETWEEN, Fault.LOSE_REPLY),
    ),
    (
        (Moment.BETWEEN, Fault.DRAIN_HOME),
        (Moment.DURING_ANSWER, Fault.KILL_GATEWAY),
    ),
    (
        (Moment.BETWEEN, Fault.TRIM_LOG),
        (Moment.DURING_ANSWER, Fault.KILL_HOME),
    ),
    (
        (Moment.BETWEEN, Fault.RESTART_HOME),
        (Moment.DURING_ANSWER, Fault.RESTART_HOME),
    ),
    (
        (Moment.BETWEEN, Fault.PUBLISH),
        (Moment.DURING_ANSWER, Fault.KILL_GATEWAY),
    ),
    (
        (Moment.DURING_FIRST, Fault.PAUSE_HOME),
        (Moment.DURING_TOOL, Fault.SECOND_GATEWAY),
    ),
    (
        (Moment.DURING_FIRST, Fault.CUT_HOME_FROM_LOG),
        (Moment.DURING_TOOL, Fault.KILL_GATEWAY),
    ),
)

ROWS: tuple[Row, ...] = tuple(
    Row(faults=((moment, fault),))
    for fault, moments in SINGLE_FAULTS.items()
    for moment in moments
) + tuple(Row(faults=pair) for pair in DOUBLE_FAULTS)
