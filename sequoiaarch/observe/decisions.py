"""Recent scheduling decisions and their reasons, by program."""

from __future__ import annotations

import time
from collections import OrderedDict, deque

from ..ids import ProgramId
from ..wire.messages import Decision

DECISIONS_PER_PROGRAM = 64
MAX_PROGRAMS = 2048


class Decisions:
    """Keep the latest decisions of the most recently active programs."""

    def __init__(self) -> None:
        self._by_program: OrderedDict[ProgramId, deque[Decision]] = OrderedDict()

    def note(self, program: ProgramId, part: str, choice: str, reason: str) -> None:
        """Record a decision of one part of the system and its reason."""
        entries = self._by_program.get(program)
        if entries is None:
            entries = self._by_program[program] = deque(maxlen=DECISIONS_PER_PROGRAM)
        self._by_program.move_to_end(program)
        entries.append(
            Decision(at=time.time(), part=part, choice=choice, reason=reason)
        )
        while len(self._by_program) > MAX_PROGRAMS:
            self._by_program.popitem(last=False)

    def of(self, program: ProgramId) -> list[Decision]:
        """Return the recorded decisions for a program, oldest first."""
        return list(self._by_program.get(program, ()))
