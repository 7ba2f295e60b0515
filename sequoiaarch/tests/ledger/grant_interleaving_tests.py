"""Enumerate interleavings of turns whose grants are raised while they run."""

from __future__ import annotations

import itertools
import unittest
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ...ids import ProgramId, TurnId, WriterId
from ...ledger.records import GrantRecord, encode_record, grant_key
from ...ledger.state import LedgerState

PROGRAM = ProgramId("program")
RETENTION = 60.0
# One and a half turns of maximum size, each granted in two steps.
BUDGET = 3
MOST = 2
INCREMENT = 1
STEPS = 7
NAMES = "ab"
ACTIONS = ("open", "raise", "read", "use", "close", "crash")


@dataclass(kw_only=True)
class _Process:
    """One run of a process, with at most one open turn.

    `reserved` and `remaining` are what the open turn requested and may still use;
    `granted` is what the process knows to be granted.
    """

    writer: WriterId
    state: LedgerState
    started_at: int = 0
    cursor: int = 0
    turn: TurnId | None = None
    reserved: int = 0
    remaining: int = 0
    granted: int = 0
    used: int = 0


@dataclass(kw_only=True)
class _Simulation:
    """A log, two processes, and the tokens used in total.

    `unchecked` processes use what they requested without reading whether it was
    granted.
    """

    unchecked: bool = False
    log: list[tuple[str, bytes]] = field(default_factory=list)
    processes: dict[str, _Process] = field(default_factory=dict)
    used: int = 0
    starts: int = 0

    def __post_init__(self) -> None:
        """Start both processes."""
        for name in NAMES:
            self.process(name)

    @property
    def key(self) -> object:
        """Return all state on which later steps depend."""
        process_states = [
            (
                process.writer,
                process.started_at,
                process.cursor,
                process.turn,
                process.reserved,
                process.remaining,
            )
            + (process.granted, process.used)
            for process in self.processes.values()
        ]
        return tuple(self.log), tuple(process_states), self.used

    def process(self, name: str) -> _Process:
        """Return a process; a new one starts from a snapshot of the newest records."""
        existing = self.processes.get(name)
        if existing is not None:
            return existing
        self.starts += 1
        writer = WriterId(f"{name}{self.starts}")
        # A new process has no grants.
        state = LedgerState(writer=writer, clock=lambda: 0.0, own_grant=lambda _: 0)
        for key, value in dict(self.log).items():
            state.apply(key, value, ordered=False)
        now = len(self.log)
        process = _Process(writer=writer, state=state, started_at=now, cursor=now)
        self.processes[name] = process
        return process

    def perform(self, name: str, action: str) -> bool:
        """Perform one step; return False if it changes nothing."""
        process = self.process(name)
        steps: dict[str, Callable[[_Process], bool]] = {
            "open": self._open,
            "raise": self._raise,
            "read": self._read,
            "use": self._use,
            "close": self._close,
        }
        if action == "crash":
            del self.processes[name]
            self.process(name)
            return process.turn is not None or process.used > 0
        return steps[action](process)

    def _open(self, process: _Process) -> bool:
        others = process.state.wanted_by_others(PROGRAM, since=0.0)
        if process.turn or others + process.used + MOST > BUDGET:
            return False
        process.turn = TurnId("turn")
        process.reserved, process.remaining = INCREMENT, MOST
        self._write(process)
        return True

    def _raise(self, process: _Process) -> bool:
        if process.reserved >= process.remaining:
            return False
        process.reserved += INCREMENT
        self._write(process)
        return True

    def _read(self, process: _Process) -> bool:
        """Deliver the answer of the last append, with all records before it."""
        if process.cursor == len(self.log):
            return False
        for key, value in self.log[process.cursor :]:
            process.state.apply(key, value)
        process.cursor = len(self.log)
        process.granted = process.state.granted(PROGRAM, process.writer)
        return True

    def _use(self, process: _Process) -> bool:
        needed = process.used + process.reserved
        known = needed if self.unchecked else min(process.granted, needed)
        tokens = known - process.used
        if tokens <= 0:
            return False
        process.used += tokens
        process.reserved -= tokens
        process.remaining -= tokens
        self.used += tokens
        return True

    def _close(self, process: _Process) -> bool:
        if process.turn is None:
            return False
        process.turn = None
        process.reserved = process.remaining = 0
        process.granted = min(process.granted, process.used)
        self._write(process)
        return True

    def _write(self, process: _Process) -> None:
        record = GrantRecord(
            program=PROGRAM,
            retention=RETENTION,
            writer=process.writer,
            budget=BUDGET,
            tokens=process.used + process.reserved,
            used=process.used,
            wanted=process.used + process.remaining,
        )
        key = grant_key(PROGRAM, process.writer)
        self.log.append((key, encode_record(record)))


Path = tuple[tuple[str, str], ...]


def _replay(path: Path, *, unchecked: bool) -> _Simulation | None:
    """Return the simulation after a path; None if its last step changed nothing."""
    simulation = _Simulation(unchecked=unchecked)
    changed = True
    for name, action in path:
        changed = simulation.perform(name, action)
    return simulation if changed else None


def _simulations(unchecked: bool) -> Iterator[tuple[Path, _Simulation]]:
    """Yield the simulations after all paths, each distinct state once."""
    paths: list[Path] = [()]
    seen: set[object] = set()
    for _ in range(STEPS):
        extended: list[Path] = []
        for path, step in itertools.product(paths, itertools.product(NAMES, ACTIONS)):
            simulation = _replay((*path, step), unchecked=unchecked)
            if simulation is None or simulation.key in seen:
                continue
            seen.add(simulation.key)
            extended.append((*path, step))
            yield extended[-1], simulation
        paths = extended


class GrantInterleavingTests(unittest.TestCase):
    """Bound the tokens that two processes of one program use."""

    def test_no_order_of_steps_exceeds_the_budget(self) -> None:
        """Stay within the budget while grants are raised in running turns.

        Appends take effect before their answer, or are never answered; processes crash
        after a raise, and others start from a snapshot.
        """
        most = 0
        for path, simulation in _simulations(unchecked=False):
            self.assertLessEqual(simulation.used, BUDGET, path)
            most = max(most, simulation.used)
        self.assertGreater(most, BUDGET / 2)

    def test_check_detects_use_of_unconfirmed_grants(self) -> None:
        """Exceed the budget if processes do not wait for the log."""
        exceeded = any(
            simulation.used > BUDGET for _, simulation in _simulations(unchecked=True)
        )
        self.assertTrue(exceeded)
