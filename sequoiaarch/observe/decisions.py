"""Remember why a program was treated as it was."""

from __future__ import annotations

import time
from collections import OrderedDict, deque

from ..ids import ProgramId
from ..wire.messages import Decision

DECISIONS_A_PROGRAM = 64
PROGRAMS_KEPT = 2048


class Decisions:
    """Keep the latest decisions of the latest programs."""

    def __init__(self) -> None:
        self._kept: OrderedDict[ProgramId, deque[Decision]] = OrderedDict()

    def note(self, program: ProgramId, part: str, choice: str, reason: str) -> None:
        """Remember one decision."""
        entries = self._kept.get(program)
        if entries is None:
            entries = self._kept[program] = deque(maxlen=DECISIONS_A_PROGRAM)
        self._kept.move_to_end(program)
        entries.append(
            Decision(at=time.time(), part=part, choice=choice, reason=reason)
        )
        while len(self._kept) > PROGRAMS_KEPT:
            self._kept.popitem(last=False)

    def of(self, program: ProgramId) -> list[Decision]:
        """Return the decisions for a program, oldest first."""
        return list(self._kept.get(program, ()))
