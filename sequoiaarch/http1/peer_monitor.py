"""Notice peers that have vanished while data is on its way to them."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable

from .sockets import (
    Acknowledgements,
    detect_dead_peer,
    limit_probe_interval,
    read_acknowledgements,
)

# Seconds between two looks at a connection with data on its way.
CHECK_INTERVAL = 0.25
# Seconds without any acknowledgement after which a peer counts as vanished.
SILENCE_LIMIT = 2.0
# Probes that must be unanswered by then, as one may be lost, and the time in which the
# last of them may still be answered, in seconds.
MIN_PROBES = 2
PROBE_LIMIT = 0.25


class PeerMonitor:
    """Report a peer that has stopped to acknowledge what is sent to it.

    A closed window is no sign of that: a slow reader opens it in steps that can be
    seconds apart, and its kernel acknowledges probes meanwhile. Idle connections are
    left to the kernel's own probes.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        lost: Callable[[str], None],
        checked: Callable[[], object] = lambda: None,
    ) -> None:
        self._sock = sock
        self._lost = lost
        self._checked = checked
        self._reports = detect_dead_peer(sock)
        self._awaited_since = math.inf
        self._window_closed = False
        self._handle: asyncio.TimerHandle | None = None

    def watch(self) -> None:
        """Look at the connection until nothing is on its way; call it after a write."""
        if self._handle is None and self._reports:
            self._awaited_since = asyncio.get_running_loop().time()
            self._schedule()

    def stop(self) -> None:
        """Stop to look at the connection."""
        self._reports = False
        if self._handle is not None:
            self._handle.cancel()

    def _check(self) -> None:
        self._handle = None
        state = read_acknowledgements(self._sock) if self._sock.fileno() >= 0 else None
        if state is None:
            return
        self._checked()
        window_closed = state.unsent and not state.data_awaited
        if window_closed != self._window_closed:
            self._window_closed = window_closed
            limit_probe_interval(self._sock, limited=window_closed)
        if self._has_vanished(state):
            self._lost(f"the peer acknowledged nothing for {state.silence:.1f} s")
        elif state.data_awaited or state.probes or state.unsent:
            self._schedule()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(CHECK_INTERVAL, self._check)

    def _has_vanished(self, state: Acknowledgements) -> bool:
        now = asyncio.get_running_loop().time()
        if not state.data_awaited and state.probes < MIN_PROBES:
            self._awaited_since = math.inf
            return False
        self._awaited_since = max(min(self._awaited_since, now), now - state.silence)
        unanswered = now - self._awaited_since
        if state.data_awaited:
            return unanswered >= SILENCE_LIMIT
        return state.silence >= SILENCE_LIMIT and unanswered >= PROBE_LIMIT
