"""Track the programs whose account this process keeps."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from ..ids import InstanceId, ProgramId, ServiceName, Workspace

# A program counts as ended after a pause that this fraction of pauses do not reach. A
# program that is taken for ended too early is not counted on its engine, which then
# gets more programs than it has room for.
LINGER_QUANTILE = 0.97
# The first guess of that pause, and its bounds, in seconds.
INITIAL_LINGER = 0.5
MIN_LINGER = 0.15
MAX_LINGER = 1.5
# Step of the estimate for each pause that is longer, in seconds.
LINGER_STEP = 0.02
# Weight of a new pause in the moving average.
SMOOTHING = 0.05
# Factor on earlier pauses for each new one, in the probability that a paused program
# goes on: about the last 50 pauses count.
PAUSE_DECAY = 0.98
# First guesses of the seconds of pauses after which programs went on, and did not.
INITIAL_RESUMED_SECONDS = 1.0
INITIAL_ENDED_SECONDS = 0.5
# Pauses longer than this are breaks of the user, not of the program. Seconds.
LONGEST_PAUSE = 3.0
# Programs whose home is remembered, and for how long. Seconds.
MAX_PROGRAMS = 4096
REMEMBERED = 30.0


@dataclass(kw_only=True)
class Program:
    """A line of turns of a program and the engine that has its prompt."""

    root: ProgramId
    workspace: Workspace | None
    service: ServiceName
    home: InstanceId | None = None
    tokens: int = 0
    open_turns: int = 0
    ran: bool = False
    last_end: float = 0.0
    presumed_ended: bool = False


class ProgramTable:
    """Hold the programs in progress and those that paused a moment ago.

    Programs don't announce their end, so one that pauses for longer than usual
    counts as ended.
    """

    def __init__(self) -> None:
        self._programs: OrderedDict[ProgramId, Program] = OrderedDict()
        # The engine of the latest turn of each program, whatever its line.
        self._homes: OrderedDict[ProgramId, InstanceId] = OrderedDict()
        self.pause: float | None = None
        self.linger = INITIAL_LINGER
        self._resumed_seconds = INITIAL_RESUMED_SECONDS
        self._ended_seconds = INITIAL_ENDED_SECONDS

    def home_of(self, program: ProgramId) -> InstanceId | None:
        """Return the engine that last ran a turn of a program."""
        return self._homes.get(program)

    def get(self, program: ProgramId) -> Program | None:
        """Return a remembered program."""
        return self._programs.get(program)

    def turn_opened(
        self,
        name: ProgramId,
        *,
        root: ProgramId,
        workspace: Workspace | None,
        service: ServiceName,
        home: InstanceId | None,
        tokens: int,
        now: float,
    ) -> Program:
        """Record that a turn of a line of turns of the program `root` begins."""
        program = self._programs.get(name)
        if program is None:
            program = Program(root=root, workspace=workspace, service=service)
            self._programs[name] = program
            if len(self._programs) > MAX_PROGRAMS:
                self._programs.popitem(last=False)
        elif not program.open_turns and now - program.last_end < LONGEST_PAUSE:
            self._record_pause(now - program.last_end)
        self._programs.move_to_end(name)
        program.presumed_ended = False
        program.open_turns += 1
        program.tokens = max(program.tokens, tokens)
        if home is not None:
            program.home = home
        return program

    def turn_ended(
        self, name: ProgramId, *, ran_at: InstanceId | None, now: float
    ) -> None:
        """Record the end of a turn and the engine that ran it, if one did."""
        program = self._programs.get(name)
        if program is None:
            return
        program.open_turns = max(0, program.open_turns - 1)
        program.last_end = now
        if ran_at is not None:
            program.home = ran_at
            program.ran = True
            self._homes[program.root] = ran_at
            self._homes.move_to_end(program.root)
            if len(self._homes) > MAX_PROGRAMS:
                self._homes.popitem(last=False)
        if not program.ran and not program.open_turns:
            # Its place is free again, as no engine has run anything of it.
            del self._programs[name]
        else:
            self._programs.move_to_end(name)

    def _record_pause(self, pause: float) -> None:
        """Update the mean pause, and the quantile by stochastic approximation."""
        if self.pause is None:
            self.pause = pause
        self.pause += SMOOTHING * (pause - self.pause)
        if pause > self.linger:
            self.linger += LINGER_STEP * LINGER_QUANTILE
        else:
            self.linger -= LINGER_STEP * (1 - LINGER_QUANTILE)
        self.linger = min(max(self.linger, MIN_LINGER), MAX_LINGER)
        resumed = min(pause, self.linger)
        self._resumed_seconds = self._resumed_seconds * PAUSE_DECAY + resumed
        self._ended_seconds *= PAUSE_DECAY

    def _presume_ended(self, now: float) -> None:
        """Record the programs whose pause has become too long to be one."""
        for program in self._programs.values():
            if program.open_turns or program.presumed_ended:
                continue
            if now - program.last_end >= self.linger:
                program.presumed_ended = True
                self._ended_seconds = self._ended_seconds * PAUSE_DECAY + self.linger
                self._resumed_seconds *= PAUSE_DECAY

    def weight(self, program: Program) -> float:
        """Return the probability that a program is still in progress.

        Without it, programs that ended a moment ago would take room on their engines.
        """
        if program.open_turns:
            return 1.0
        return self._resumed_seconds / (self._resumed_seconds + self._ended_seconds)

    def active(self, now: float) -> dict[ProgramId, Program]:
        """Return the programs in progress, and forget those that ended long ago."""
        self._presume_ended(now)
        for _ in range(len(self._programs)):
            name, oldest = next(iter(self._programs.items()))
            if oldest.open_turns:
                # A long turn must not keep those behind it from being forgotten.
                self._programs.move_to_end(name)
            elif now - oldest.last_end < REMEMBERED:
                break
            else:
                del self._programs[name]
        return {
            name: program
            for name, program in self._programs.items()
            if program.home is not None
            and (program.open_turns or now - program.last_end < self.linger)
        }
