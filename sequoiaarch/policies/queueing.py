"""Estimate waits at a target that serves a fixed set of programs."""

from __future__ import annotations

import functools

# Relative pauses are rounded to this step, so that few distinct models are computed.
PAUSE_STEP = 0.1
# Relative pause below which programs count as always wanting a slot.
MIN_PAUSE = 0.05


def expected_wait(*, programs: int, slots: int, turn: float, pause: float) -> float:
    """Return the seconds that a turn waits for a slot.

    `programs` programs alternate between turns of `turn` seconds, each in one of
    `slots` slots, and pauses of `pause` seconds: the machine repair model.
    """
    if programs <= slots or slots < 1 or turn <= 0:
        return 0.0
    steps = round(max(MIN_PAUSE, pause / turn) / PAUSE_STEP)
    return turn * _relative_wait(programs, slots, max(1, steps))


@functools.lru_cache(maxsize=4096)
def _relative_wait(programs: int, slots: int, pause_steps: int) -> float:
    """Return the wait in turn durations, in the steady state of the birth-death chain.

    The state is the number of programs that run or wait.
    """
    pause = pause_steps * PAUSE_STEP
    weight = total = 1.0
    waiting = completed = 0.0
    for present in range(1, programs + 1):
        arrivals = (programs - present + 1) / pause
        completions = min(present, slots)
        weight *= arrivals / completions
        total += weight
        waiting += max(0, present - slots) * weight
        completed += completions * weight
    return waiting / completed
