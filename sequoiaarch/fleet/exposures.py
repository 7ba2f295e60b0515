"""Limit how many targets may end under one request."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from ..ids import HostName, InstanceId, RequestKey, Workspace
from ..policies.exposures import (
    MAX_REQUESTS,
    Exposure,
    ExposureState,
    ExposureTable,
    RequestIdentity,
    Verdict,
    judge,
)

# A target goes on with a request for a while after its connection was closed here.
# Seconds.
ABANDONED_SETTLES = 2.0


class KnownRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Exposures of one request; times are those of the clock of the process."""

    key: RequestKey
    workspace: Workspace
    life: float
    exposures: list[Exposure]


class Sharing(Protocol):
    """Tell other gateways of exposures, and learn theirs."""

    async def synchronised(self) -> None:
        """Return once the exposures known to other gateways are known here."""

    async def tell(self, known: KnownRequest) -> list[KnownRequest]:
        """Tell the other gateways of a request; return what they know of it."""

    def notify(self, known: KnownRequest, *, withdrawn: InstanceId | None) -> None:
        """Tell the other gateways of a request in the background."""

    def cleared(self, key: RequestKey) -> None:
        """Tell the other gateways that a request ended no target."""


class NotShared:
    """Share nothing, where there is a single gateway."""

    async def synchronised(self) -> None:
        """Return at once."""

    async def tell(self, known: KnownRequest) -> list[KnownRequest]:
        """Learn nothing."""
        return []

    def notify(self, known: KnownRequest, *, withdrawn: InstanceId | None) -> None:
        """Tell nobody."""

    def cleared(self, key: RequestKey) -> None:
        """Tell nobody."""


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
    """Follow requests from their send to a target's answer, and limit the targets.

    Requests that all targets answer cost nothing. Once a target has not answered a
    request, the gateways agree before they send it to another one.
    """

    def __init__(self, *, own: HostName) -> None:
        self.table = ExposureTable()
        self.sharing: Sharing = NotShared()
        # Called when the end of a target is put to a request that this process sent.
        self.on_end: Callable[[TargetEnd], None] = lambda end: None
        self._own = own
        # Requests that targets have not answered yet, with the time of each send.
        self._open: defaultdict[RequestIdentity, dict[InstanceId, float]] = defaultdict(
            dict
        )
        # Requests with exposures that the other gateways were not told of.
        self._untold: dict[RequestKey, None] = {}
        # Requests that other gateways may remember.
        self._shared: dict[RequestKey, None] = {}
        # Answers that show that targets live if a later list of them does so too: when
        # the request was sent, and when it was answered.
        self._life_signs: dict[InstanceId, tuple[float, float]] = {}

    def verdict(self, request: RequestIdentity) -> Verdict | None:
        """Return why a request may not be sent to a further target; None if it may."""
        if not self.suspected(request):
            return None
        return self._judge(request.key, self._known(request.key))

    def suspected(self, request: RequestIdentity) -> bool:
        """Return whether a target may have ended under a request."""
        if not self.table or request.key not in self.table:
            return False
        now = asyncio.get_running_loop().time()
        known = self.table.exposures(request.key, now)
        return any(exposure.counts for exposure in known)

    def count(self, request: RequestIdentity) -> int:
        """Return how many targets may have ended under a request."""
        return len(self._known(request.key)) if self.suspected(request) else 0

    async def admit(
        self, request: RequestIdentity, target: InstanceId
    ) -> Verdict | None:
        """Track a send of a request, or return why it may not be sent.

        A suspected request is announced first, so that gateways that send it at the
        same time count each other's targets.
        """
        await self.sharing.synchronised()
        if not self.suspected(request):
            self._open[request][target] = asyncio.get_running_loop().time()
            return None
        verdict = self.verdict(request)
        if verdict is not None:
            return verdict
        self._open[request][target] = asyncio.get_running_loop().time()
        await self.tell(request)
        others = [known for known in self._known(request.key) if known.target != target]
        verdict = self._judge(request.key, others)
        if verdict is not None:
            self.not_run(request, target)
        return verdict

    def not_run(self, request: RequestIdentity, target: InstanceId) -> None:
        """Record that a target does not run a request that it may have been sent."""
        if self._close(request, target) and self.suspected(request):
            self.table.withdraw(request.key, target)
            if request.key in self._shared:
                known = self._known_request(request.key, request)
                self.sharing.notify(known, withdrawn=target)

    def answered(
        self, request: RequestIdentity, target: InstanceId, *, ok: bool
    ) -> None:
        """Record the whole answer of a target.

        A request that one target has served is not what ended the others.
        """
        if not ok:
            self.not_run(request, target)
            return
        self._close(request, target)
        if self.table and request.key in self.table:
            self.clear(request.key)

    def clear(self, key: RequestKey) -> bool:
        """Forget a request at all gateways; return whether it was known here."""
        self._untold.pop(key, None)
        if key in self._shared:
            del self._shared[key]
            self.sharing.cleared(key)
        return self.table.clear(key)

    def broken(self, request: RequestIdentity, target: InstanceId) -> bool:
        """Record that the exchange with a target broke; return whether it was open."""
        return self._unanswered(request, target, ExposureState.BROKEN, settles=0.0)

    def abandoned(self, request: RequestIdentity, target: InstanceId) -> bool:
        """Record that a target is not waited for any longer.

        Returns whether the exchange was open.
        """
        if not self._unanswered(
            request, target, ExposureState.ABANDONED, settles=ABANDONED_SETTLES
        ):
            return False
        if request.key in self._shared:
            known = self._known_request(request.key, request)
            self.sharing.notify(known, withdrawn=target)
        return True

    def timed_out(self, request: RequestIdentity, target: InstanceId) -> None:
        """Count a target that was given up as it did not answer in time."""
        self.table.timed_out(request.key, target)

    def _unanswered(
        self,
        request: RequestIdentity,
        target: InstanceId,
        state: ExposureState,
        *,
        settles: float,
    ) -> bool:
        if not self._close(request, target):
            return False
        now = asyncio.get_running_loop().time()
        exposure = Exposure(
            target=target, state=state, at=now, settles=settles, source=self._own
        )
        self.table.put(
            request.key,
            exposure,
            workspace=request.workspace,
            life=request.life,
            now=now,
        )
        self._remember(self._untold, request.key)
        return True

    async def tell(self, request: RequestIdentity) -> None:
        """Tell the other gateways of a request, and learn what they know of it."""
        self._untold.pop(request.key, None)
        self._remember(self._shared, request.key)
        known = self._known_request(request.key, request)
        self.merge(await self.sharing.tell(known))

    def tell_later(self, request: RequestIdentity) -> None:
        """Tell the other gateways of a request in the background."""
        if request.key in self._untold:
            self._notify(request.key)

    def merge(self, reports: Iterable[KnownRequest]) -> None:
        """Add what other gateways know."""
        now = asyncio.get_running_loop().time()
        for report in reports:
            self._remember(self._shared, report.key)
            for exposure in report.exposures:
                self.table.put(
                    report.key,
                    exposure,
                    workspace=report.workspace,
                    life=report.life,
                    now=now,
                )

    def told(
        self, report: KnownRequest, withdrawn: Iterable[InstanceId]
    ) -> KnownRequest | None:
        """Add what another gateway tells; return what is known of the request here."""
        self.merge([report])
        for target in withdrawn:
            self.table.withdraw(report.key, target)
        own = next((open for open in self._open if open.key == report.key), None)
        if own is None and report.key not in self.table:
            return None
        return self._known_request(report.key, own)

    def told_cleared(self, key: RequestKey) -> None:
        """Forget a request that another gateway saw served."""
        self._untold.pop(key, None)
        self._shared.pop(key, None)
        self.table.clear(key)

    def all_known(self) -> list[KnownRequest]:
        """Return all requests that are remembered."""
        now = asyncio.get_running_loop().time()
        return [self._known_request(key, None) for key in self.table.keys(now)]

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
            if key in self._untold:
                self._notify(key)
            if exposure.source != self._own:
                continue
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

    def _close(self, request: RequestIdentity, target: InstanceId) -> bool:
        """Stop tracking a send; return whether it was tracked."""
        targets = self._open.get(request)
        if targets is None or targets.pop(target, None) is None:
            return False
        if not targets:
            del self._open[request]
        return True

    def _known(self, key: RequestKey) -> list[Exposure]:
        """Return the exposures of a request, with those that are open here."""
        now = asyncio.get_running_loop().time()
        known = {
            exposure.target: exposure
            for exposure in self.table.exposures(key, now)
            if exposure.counts
        }
        for request, targets in self._open.items():
            if request.key != key:
                continue
            for target, sent_at in targets.items():
                exposure = Exposure(
                    target=target,
                    state=ExposureState.OPEN,
                    at=sent_at,
                    source=self._own,
                )
                known.setdefault(target, exposure)
        return list(known.values())

    def _known_request(
        self, key: RequestKey, request: RequestIdentity | None
    ) -> KnownRequest:
        if request is not None:
            workspace, life = request.workspace, request.life
        else:
            workspace, life = self.table.workspace_of(key), self.table.life_of(key)
        # Only the gateway that waits for an answer knows when it comes.
        exposures = [
            known
            for known in self._known(key)
            if known.state is not ExposureState.OPEN or known.source == self._own
        ]
        return KnownRequest(
            key=key, workspace=workspace, life=life, exposures=exposures
        )

    def _judge(self, key: RequestKey, exposures: list[Exposure]) -> Verdict | None:
        now = asyncio.get_running_loop().time()
        return judge(exposures, self.table.life_left(key, now))

    def _notify(self, key: RequestKey) -> None:
        self._untold.pop(key, None)
        self._remember(self._shared, key)
        if key in self.table:
            self.sharing.notify(self._known_request(key, None), withdrawn=None)

    def _remember(self, keys: dict[RequestKey, None], key: RequestKey) -> None:
        keys[key] = None
        if len(keys) > MAX_REQUESTS:
            del keys[next(iter(keys))]
