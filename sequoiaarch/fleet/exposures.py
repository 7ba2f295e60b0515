"""Track which requests targets were sent and did not answer."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable

import msgspec

from ..ids import InstanceId, RequestKey
from ..policies.exposures import (
    Exposure,
    ExposureState,
    ExposureTable,
    RequestIdentity,
)

# A target goes on with a request for a while after its connection was closed here.
# Seconds.
ABANDONED_SETTLES = 2.0


class TargetEnd(msgspec.Struct, frozen=True, kw_only=True):
    """End of a target that had not answered a request.

    `age` is the time in seconds since the request's connection broke, or was given up.
    """

    key: RequestKey
    target: InstanceId
    evidence: str
    age: float
    ends: int


class ExposureTracker:
    """Follow the requests of this process from their send to the target's answer."""

    def __init__(self) -> None:
        self.table = ExposureTable()
        # Called when the end of a target is put to a request.
        self.on_end: Callable[[TargetEnd], None] = lambda end: None
        # Requests that targets have not answered yet.
        self._open: defaultdict[RequestIdentity, set[InstanceId]] = defaultdict(set)
        # Answers that show that targets live if a later list of them does so too: when
        # the request was sent, and when it was answered.
        self._life_signs: dict[InstanceId, tuple[float, float]] = {}

    def sent(self, request: RequestIdentity, target: InstanceId) -> None:
        """Record that a target is sent a request."""
        self._open[request].add(target)

    def not_run(self, request: RequestIdentity, target: InstanceId) -> None:
        """Record that a target does not run a request that it may have been sent."""
        self._ended(request, target)

    def answered(
        self, request: RequestIdentity, target: InstanceId, *, ok: bool
    ) -> None:
        """Record the whole answer of a target.

        A request that one target has served is not what ended the others.
        """
        self._ended(request, target)
        if ok and self.table:
            self.table.clear(request.key)

    def unanswered(
        self, request: RequestIdentity, target: InstanceId, *, settles: float = 0.0
    ) -> bool:
        """Record that a target did not answer, or was not waited for any longer.

        Returns whether it had been sent the request.
        """
        if not self._ended(request, target):
            return False
        now = asyncio.get_running_loop().time()
        exposure = Exposure(
            target=target, state=ExposureState.BROKEN, at=now, settles=settles
        )
        self.table.put(
            request.key,
            exposure,
            workspace=request.workspace,
            life=request.life,
            now=now,
        )
        return True

    def target_responded(self, target: InstanceId, sent_at: float) -> None:
        """Record a response of a target to a request that was sent at a time."""
        if self.table.concerns(target) and target not in self._life_signs:
            now = asyncio.get_running_loop().time()
            self._life_signs[target] = sent_at, now

    def targets_listed(self, as_of: float) -> None:
        """Record that the list of targets was read, as of a time.

        Targets may start again under their address, so that only the list tells
        whether the one that responded is still the same.
        """
        for target, (sent_at, answered_at) in list(self._life_signs.items()):
            if answered_at <= as_of:
                del self._life_signs[target]
                self.table.target_lived(target, sent_at)

    def target_left(self, target: InstanceId, evidence: str) -> None:
        """Put the end of a target to the requests that it had not answered."""
        self._life_signs.pop(target, None)
        now = asyncio.get_running_loop().time()
        for key, exposure in self.table.target_ended(target, now):
            known = self.table.exposures(key, now)
            ends = sum(known.state is ExposureState.ENDED for known in known)
            self.on_end(
                TargetEnd(
                    key=key,
                    target=target,
                    evidence=evidence,
                    age=now - exposure.at,
                    ends=ends,
                )
            )

    def _ended(self, request: RequestIdentity, target: InstanceId) -> bool:
        """Stop tracking a send; return whether it was tracked."""
        targets = self._open.get(request)
        if targets is None or target not in targets:
            return False
        targets.discard(target)
        if not targets:
            del self._open[request]
        return True
