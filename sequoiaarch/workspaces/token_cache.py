"""Hold the tokens that this process may use for requests of workspaces."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from ..ids import Workspace
from .sliding_window import TOKEN_LIFE

# Over how long the requests of a workspace are averaged here. Seconds.
RATE_SPAN = 1.0
# Of the requests that are expected within a token's life so many are asked for at
# once: a token that is not used in time is lost to its workspace.
AHEAD_PART = 0.25


@dataclass(kw_only=True)
class _Held:
    """Hold tokens until a time of the clock, and how often they are asked for.

    Until `all_until` nothing is to be had, until `begins_until` nothing by requests
    that begin a program; `wait` is when to come back.
    """

    tokens: int = 0
    until: float = 0.0
    recent: float = 0.0
    seen: float = 0.0
    wait: float = 0.0
    all_until: float = 0.0
    begins_until: float = 0.0


class TokenCache:
    """Hold what was handed out to this process, and what it may no more use.

    `clock` counts pauses of the machine: a process that was frozen must not use
    tokens of a window that has passed.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._held: dict[Workspace, _Held] = {}

    def now(self) -> float:
        """Return the time of the clock."""
        return self._clock()

    def take(self, workspace: Workspace) -> float | None:
        """Use a token that is held; return until when it counts, None for none."""
        held = self._of(workspace)
        now = self._clock()
        faded = held.recent * math.exp(-(now - held.seen) / RATE_SPAN)
        held.recent, held.seen = faded + 1, now
        if held.tokens < 1 or now >= held.until:
            return None
        held.tokens -= 1
        return held.until

    def wanted(self, workspace: Workspace) -> int:
        """Return how many tokens to ask for."""
        expected = self._of(workspace).recent / RATE_SPAN * TOKEN_LIFE
        return max(1, int(AHEAD_PART * expected))

    def put(self, workspace: Workspace, tokens: int, *, asked: float) -> float:
        """Hold tokens that were asked for at a time; return until when they count."""
        until = asked + TOKEN_LIFE
        if tokens:
            self._add(workspace, tokens, until)
        return until

    def give_back(self, workspace: Workspace, until: float) -> None:
        """Hold a token again that was not used."""
        if self._clock() < until:
            self._add(workspace, 1, until)

    def refuse(self, workspace: Workspace, wait: float, *, begins: bool) -> None:
        """Note that there is nothing to be had for some seconds."""
        held = self._of(workspace)
        held.wait = wait
        held.begins_until = self._clock() + min(wait, TOKEN_LIFE)
        if not begins:
            held.all_until = held.begins_until

    def refused(self, workspace: Workspace, *, begins: bool) -> float | None:
        """Return when to come back where asking would be in vain, in seconds."""
        held = self._of(workspace)
        until = held.begins_until if begins else held.all_until
        return held.wait if self._clock() < until else None

    def _add(self, workspace: Workspace, tokens: int, until: float) -> None:
        held = self._of(workspace)
        if held.until <= self._clock():
            held.tokens = 0
        # Of two lots the older one's time counts for both.
        held.until = min(held.until, until) if held.tokens else until
        held.tokens += tokens

    def _of(self, workspace: Workspace) -> _Held:
        return self._held.setdefault(workspace, _Held())
