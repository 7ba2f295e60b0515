"""Estimate waits at a target that serves a fixed set of programs."""

from __future__ import annotations

import functools
import math

# Relative pauses are rounded to this step, so that few distinct models are computed.
PAUSE_STEP = 0.1
# Relative pause below which programs count as always wanting a slot.
MIN_PAUSE = 0.05
# Relative pause above which a longer one no longer matters for admission; it bounds the
# number of models and their states.
MAX_PAUSE = 50.0
# Multiple of the programs that keep all slots busy without waits from which on the
# slots count as always busy, so that the wait is linear in the programs.
SATURATION = 4
# Weights of states are scaled down at this size, as they exceed the range of floats.
MAX_WEIGHT = 1e100


def expected_wait(*, programs: int, slots: int, turn: float, pause: float) -> float:
    """Return the seconds that a turn waits for a slot.

    `programs` programs alternate between turns of `turn` seconds, each in one of
    `slots` slots, and pauses of `pause` seconds: the machine repair model. Without
    slots the wait is infinite. Turns and pauses whose duration is impossible take no
    time.
    """
    if programs <= max(0, slots):
        return 0.0
    if slots < 1:
        return math.inf
    if not 0.0 < turn < math.inf:
        return 0.0
    # A comparison with NaN is false.
    relative = pause / turn if pause > 0 else 0.0
    relative = min(max(MIN_PAUSE, relative), MAX_PAUSE)
    steps = max(1, round(relative / PAUSE_STEP))
    if programs > SATURATION * slots * (1 + steps * PAUSE_STEP):
        return turn * (programs / slots - 1 - steps * PAUSE_STEP)
    return turn * _relative_wait(programs, slots, steps)


@functools.lru_cache(maxsize=4096)
def _relative_wait(programs: int, slots: int, pause_steps: int) -> float:
    """Return the wait in turn durations, in the steady state of the birth-death chain.

    The state is the number of programs that run or wait.
    """
    pause = pause_steps * PAUSE_STEP
    weight = 1.0
    waiting = completed = 0.0
    for present in range(1, programs + 1):
        arrivals = (programs - present + 1) / pause
        completions = min(present, slots)
        weight *= arrivals / completions
        waiting += max(0, present - slots) * weight
        completed += completions * weight
        if weight > MAX_WEIGHT:
            waiting /= weight
            completed /= weight
            weight = 1.0
    return waiting / completed
