"""Play every order of a few steps of turns whose grants are raised while they run."""

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
# A turn and a half at their most, each of which is granted in two parts.
BUDGET = 3
MOST = 2
PART = 1
STEPS = 7
NAMES = "ab"
VERBS = ("open", "raise", "read", "hand", "close", "lose")


@dataclass(kw_only=True)
class _Process:
    """Hold one life of a process that may run one turn at a time.

    `held` and `left` are what the open turn asked for and may come to; `granted`
    is what the process knows to be granted.
    """

    writer: WriterId
    state: LedgerState
    began: int = 0
    cursor: int = 0
    turn: TurnId | None = None
    held: int = 0
    left: int = 0
    granted: int = 0
    handed: int = 0


@dataclass(kw_only=True)
class _World:
    """Hold a log, two processes, and what a program was handed in all.

    `hasty` processes hand out what they asked for without reading whether it
    was granted.
    """

    hasty: bool = False
    log: list[tuple[str, bytes]] = field(default_factory=list)
    processes: dict[str, _Process] = field(default_factory=dict)
    handed: int = 0
    lives: int = 0

    def __post_init__(self) -> None:
        """Start both processes."""
        for name in NAMES:
            self.process(name)

    @property
    def key(self) -> object:
        """Return what all later steps depend on."""
        lives = [
            (one.writer, one.began, one.cursor, one.turn, one.held, one.left)
            + (one.granted, one.handed)
            for one in self.processes.values()
        ]
        return tuple(self.log), tuple(lives), self.handed

    def process(self, name: str) -> _Process:
        """Return a process, which starts with a list of the newest records."""
        found = self.processes.get(name)
        if found is not None:
            return found
        self.lives += 1
        writer = WriterId(f"{name}{self.lives}")
        # A process that starts has been granted nothing.
        state = LedgerState(writer=writer, clock=lambda: 0.0, own_grant=lambda _: 0)
        for key, value in dict(self.log).items():
            state.apply(key, value, ordered=False)
        now = len(self.log)
        process = _Process(writer=writer, state=state, began=now, cursor=now)
        self.processes[name] = process
        return process

    def do(self, name: str, verb: str) -> bool:
        """Do one step; False where it changes nothing."""
        process = self.process(name)
        steps: dict[str, Callable[[_Process], bool]] = {
            "open": self._open,
            "raise": self._raise,
            "read": self._read,
            "hand": self._hand,
            "close": self._close,
        }
        if verb == "lose":
            del self.processes[name]
            self.process(name)
            return process.turn is not None or process.handed > 0
        return steps[verb](process)

    def _open(self, process: _Process) -> bool:
        others = process.state.wanted_by_others(PROGRAM, since=0.0)
        if process.turn or others + process.handed + MOST > BUDGET:
            return False
        process.turn = TurnId("turn")
        process.held, process.left = PART, MOST
        self._write(process)
        return True

    def _raise(self, process: _Process) -> bool:
        if process.held >= process.left:
            return False
        process.held += PART
        self._write(process)
        return True

    def _read(self, process: _Process) -> bool:
        """Have the answer of the last append arrive, with all before it."""
        if process.cursor == len(self.log):
            return False
        for key, value in self.log[process.cursor :]:
            process.state.apply(key, value)
        process.cursor = len(self.log)
        process.granted = process.state.granted(PROGRAM, process.writer)
        return True

    def _hand(self, process: _Process) -> bool:
        needed = process.handed + process.held
        known = needed if self.hasty else min(process.granted, needed)
        tokens = known - process.handed
        if tokens <= 0:
            return False
        process.handed += tokens
        process.held -= tokens
        process.left -= tokens
        self.handed += tokens
        return True

    def _close(self, process: _Process) -> bool:
        if process.turn is None:
            return False
        process.turn = None
        process.held = process.left = 0
        process.granted = min(process.granted, process.handed)
        self._write(process)
        return True

    def _write(self, process: _Process) -> None:
        record = GrantRecord(
            program=PROGRAM,
            retention=RETENTION,
            writer=process.writer,
            budget=BUDGET,
            tokens=process.handed + process.held,
            used=process.handed,
            wanted=process.handed + process.left,
        )
        key = grant_key(PROGRAM, process.writer)
        self.log.append((key, encode_record(record)))


Path = tuple[tuple[str, str], ...]


def _played(path: Path, *, hasty: bool) -> _World | None:
    """Return the world after the steps of a path; None where the last did nothing."""
    world = _World(hasty=hasty)
    changed = True
    for name, verb in path:
        changed = world.do(name, verb)
    return world if changed else None


def _worlds(hasty: bool) -> Iterator[tuple[Path, _World]]:
    """Return the worlds after all paths of some steps, equal ones once."""
    paths: list[Path] = [()]
    seen: set[object] = set()
    for _ in range(STEPS):
        longer: list[Path] = []
        for path, step in itertools.product(paths, itertools.product(NAMES, VERBS)):
            world = _played((*path, step), hasty=hasty)
            if world is None or world.key in seen:
                continue
            seen.add(world.key)
            longer.append((*path, step))
            yield longer[-1], world
        paths = longer


class RaisesTests(unittest.TestCase):
    """Bound what two processes of one program hand out, whatever happens when."""

    def test_no_order_of_steps_exceeds_the_budget(self) -> None:
        """Hand out the budget at most, with raises in the middle of turns.

        Two processes run turns of one program on a budget of two turns. Appends
        take effect before their answer arrives, or the answer never does;
        processes are lost between a raise and what it allows, and others begin
        with a list that has lost the order of the records.
        """
        most = 0
        for path, world in _worlds(hasty=False):
            self.assertLessEqual(world.handed, BUDGET, path)
            most = max(most, world.handed)
        self.assertGreater(most, BUDGET / 2)

    def test_the_check_finds_what_is_handed_out_unread(self) -> None:
        """Exceed the budget where a process doesn't wait for the log's word."""
        found = any(world.handed > BUDGET for _, world in _worlds(hasty=True))
        self.assertTrue(found)
