"""Limit how many targets may end under one request."""

from __future__ import annotations

import asyncio
import itertools
import math
import secrets
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from ..ids import HostName, InstanceId, RequestKey, SendId, Workspace
from ..policies.answered_sends import AnsweredSend, AnsweredSends
from ..policies.exposures import (
    MAX_ENDS,
    MAX_REQUESTS,
    OPEN_RETRY_AFTER,
    Exposure,
    ExposureState,
    ExposureTable,
    RequestIdentity,
    Verdict,
    judge,
    request_key,
)

# A target goes on with a request for a while after its connection was closed here.
# Seconds.
ABANDONED_SETTLES = 2.0
PROCESS_ID_BYTES = 4
# Seconds; three heartbeats of the usual length, and as much for a late one.
REGISTRATION_LIFE = 8.0


class KnownRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Exposures of one request; times are those of the clock of the process."""

    key: RequestKey
    workspace: Workspace
    life: float
    exposures: list[Exposure]


class Told(msgspec.Struct, frozen=True, kw_only=True):
    """What other gateways know of a request.

    Of all registered `hosts`, `answered` ones did so. `complete` tells that nothing
    else is known: all of them answered, or what they know was read from the log.
    """

    known: list[KnownRequest]
    complete: bool
    logged: bool = False
    hosts: int = 0
    answered: int = 0

    @property
    def majority(self) -> bool:
        """Return whether more than half of all gateways, with this one, are in touch.

        Only one part of gateways that are cut off from each other can be so large.
        """
        return 2 * (self.answered + 1) > self.hosts + 1


class Sharing(Protocol):
    """Tell other gateways of exposures, and learn theirs."""

    async def synchronised(self) -> None:
        """Return once the exposures known to other gateways are known here."""

    async def tell(
        self, known: KnownRequest, *, announced: bool, patient: bool
    ) -> Told:
        """Tell the other gateways of a request; return what they know of it.

        A request that is `announced` is sent only if nothing of what they know rules
        it out. A `patient` caller would be refused without the answer of each.
        """

    def notify(self, known: KnownRequest, *, withdrawn: SendId | None) -> None:
        """Tell the other gateways of a request in the background."""

    def cleared(self, key: RequestKey) -> None:
        """Tell the other gateways that a request ended no target."""


class NotShared:
    """Share nothing, where there is a single gateway."""

    async def synchronised(self) -> None:
        """Return at once."""

    async def tell(
        self, known: KnownRequest, *, announced: bool, patient: bool
    ) -> Told:
        """Learn nothing."""
        return Told(known=[], complete=True)

    def notify(self, known: KnownRequest, *, withdrawn: SendId | None) -> None:
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


class Admission(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a suspected request was sent to a further target, and why.

    `exposures` are those known of its other sends, after `answered` of `hosts` other
    gateways were asked. `logged` tells that the log was read, too.
    """

    key: RequestKey
    target: InstanceId
    exposures: tuple[Exposure, ...]
    hosts: int
    answered: int
    logged: bool
    verdict: Verdict | None


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
        # Called when a suspected request is sent to a further target, or is refused.
        self.on_admission: Callable[[Admission], None] = lambda admission: None
        self._own = own
        # Sends of this process that targets have not answered yet.
        self._open: defaultdict[RequestIdentity, dict[InstanceId, Exposure]] = (
            defaultdict(dict)
        )
        # Part of the ids of this process's sends.
        self.process = secrets.token_hex(PROCESS_ID_BYTES)
        self._numbers = itertools.count(1)
        # Tells whether a target is registered by a list that is up to date.
        self.registered: Callable[[InstanceId], bool] = lambda target: False
        # Seconds after which the registration of a target that has ended is gone.
        self.registration_life = REGISTRATION_LIFE
        # When the store was last unavailable: registrations may outlive that time.
        self._store_away_at = -math.inf
        # Requests with exposures that the other gateways were not told of.
        self._untold: dict[RequestKey, None] = {}
        # Requests that other gateways may remember.
        self._shared: dict[RequestKey, None] = {}
        # Sends that targets answered without serving the request.
        self._answered = AnsweredSends()
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
        return bool(self._known(request.key))

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
            self._begin(request, target)
            return None
        verdict = self.verdict(request)
        if verdict is not None:
            return verdict
        own = self._begin(request, target)
        last = len(self._known(request.key)) == MAX_ENDS
        told = await self.tell(request, announced=True, patient=last)
        others = [known for known in self._known(request.key) if known.send != own.send]
        verdict = self._judge(request.key, others)
        unsure = not told.complete and not told.majority
        if unsure or (len(others) == MAX_ENDS - 1 and not told.complete):
            # A gateway that can't be asked may be sending the request to further
            # targets, or to the last allowed one.
            verdict = Verdict(exposures=tuple(others), retry_after=OPEN_RETRY_AFTER)
        if verdict is not None:
            self.not_run(request, target)
        self.on_admission(
            Admission(
                key=request.key,
                target=target,
                exposures=tuple(others),
                hosts=told.hosts,
                answered=told.answered,
                logged=told.logged,
                verdict=verdict,
            )
        )
        return verdict

    def not_run(self, request: RequestIdentity, target: InstanceId) -> None:
        """Record that a target does not run a request that it may have been sent."""
        own = self._close(request, target)
        if own is not None and request.key in self._shared:
            known = self._known_request(request.key, request)
            self.sharing.notify(known, withdrawn=own.send)

    def refused(self, request: RequestIdentity, target: InstanceId) -> None:
        """Record that a target answered that it did not run or complete a request.

        It may still end because of it.
        """
        own = self._open.get(request, {}).get(target)
        self.not_run(request, target)
        if own is not None:
            self._remember_answered(request, own)

    def answered_at(self, target: InstanceId) -> bool:
        """Return whether a target has just answered a request without serving it."""
        return self._answered.has(target, asyncio.get_running_loop().time())

    def _remember_answered(self, request: RequestIdentity, exposure: Exposure) -> None:
        self._answered.add(
            exposure.target,
            AnsweredSend(
                key=request.key,
                workspace=request.workspace,
                life=request.life,
                send=exposure.send,
                at=asyncio.get_running_loop().time(),
            ),
        )

    def answered(
        self, request: RequestIdentity, target: InstanceId, *, ok: bool
    ) -> None:
        """Record the whole answer of a target.

        A request that one target has served is not what ended the others.
        """
        if not ok:
            self.refused(request, target)
            return
        self._close(request, target)
        if self._answered:
            self._answered.forget(request.key)
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
        own = self._unanswered(request, target, ExposureState.BROKEN, settles=0.0)
        return own is not None

    def abandoned(
        self, request: RequestIdentity, target: InstanceId, *, answering: bool
    ) -> Exposure | None:
        """Record that a target is not waited for any longer.

        `answering` tells that it has sent a part of its answer. Returns the send if it
        is remembered.
        """
        # The caller of a suspected request may leave as its target hangs, and be back
        # before that ends.
        suspected = self.suspected(request)
        if answering and not suspected:
            own = self._close(request, target)
            if own is not None:
                self._remember_answered(request, own)
            return None
        state = ExposureState.BROKEN if suspected else ExposureState.ABANDONED
        own = self._unanswered(request, target, state, settles=ABANDONED_SETTLES)
        if own is not None and request.key in self._shared:
            known = self._known_request(request.key, request)
            self.sharing.notify(known, withdrawn=None)
        return own

    def timed_out(self, request: RequestIdentity, send: SendId) -> None:
        """Count a target that was given up as it did not answer in time."""
        self.table.timed_out(request.key, send)

    def _unanswered(
        self,
        request: RequestIdentity,
        target: InstanceId,
        state: ExposureState,
        *,
        settles: float,
    ) -> Exposure | None:
        own = self._close(request, target)
        if own is None:
            return None
        now = asyncio.get_running_loop().time()
        exposure = msgspec.structs.replace(own, state=state, at=now, settles=settles)
        self.table.put(
            request.key,
            exposure,
            workspace=request.workspace,
            life=request.life,
            now=now,
        )
        self._remember(self._untold, request.key)
        return exposure

    async def tell(
        self,
        request: RequestIdentity,
        *,
        announced: bool = False,
        patient: bool = False,
    ) -> Told:
        """Tell the other gateways of a request, and learn what they know of it."""
        self._untold.pop(request.key, None)
        self._remember(self._shared, request.key)
        known = self._known_request(request.key, request)
        told = await self.sharing.tell(known, announced=announced, patient=patient)
        self.merge(told.known)
        return told

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
        self, report: KnownRequest, withdrawn: SendId | None
    ) -> KnownRequest | None:
        """Add what another gateway tells; return what is known of the request here."""
        self.merge([report])
        if withdrawn is not None:
            self.table.withdraw(report.key, withdrawn)
        own = next((sent for sent in self._open if sent.key == report.key), None)
        if own is None and report.key not in self.table:
            return None
        return self._known_request(report.key, own)

    def told_cleared(self, key: RequestKey) -> None:
        """Forget a request that another gateway saw served."""
        self._untold.pop(key, None)
        self._shared.pop(key, None)
        self.table.clear(key)

    def withdrawn(self, key: RequestKey, send: SendId) -> None:
        """Remove the send of another gateway, whose target has not ended."""
        self.table.withdraw(key, send)

    def own_exposures(self) -> list[KnownRequest]:
        """Return what other gateways should know of the sends of this process."""
        now = asyncio.get_running_loop().time()
        own = f"{self.process}/"
        found = {
            key: KnownRequest(
                key=key,
                workspace=self.table.workspace_of(key),
                life=self.table.life_of(key),
                exposures=[
                    exposure
                    for exposure in self.table.exposures(key, now)
                    if exposure.counts
                    and exposure.send.startswith(own)
                    and not (self.table.is_common(key) and not exposure.ended)
                ],
            )
            for key in self.table.keys(now)
        }
        # Others need not know of the first sends of requests.
        for request, targets in self._open.items() if self._shared else ():
            if request.key in self._shared:
                known = found.setdefault(
                    request.key,
                    KnownRequest(
                        key=request.key,
                        workspace=request.workspace,
                        life=request.life,
                        exposures=[],
                    ),
                )
                known.exposures.extend(targets.values())
        return [known for known in found.values() if known.exposures]

    def all_known(self) -> list[KnownRequest]:
        """Return all requests that are remembered."""
        now = asyncio.get_running_loop().time()
        return [self._known_request(key, None) for key in self.table.keys(now)]

    def describe(self) -> list[dict[str, object]]:
        """Return all requests that are remembered, for operators."""
        now = asyncio.get_running_loop().time()
        return [
            {
                "request_key": known.key.hex(),
                "workspace": known.workspace,
                "left": self.table.life_left(known.key, now),
                "exposures": [
                    {
                        "target": exposure.target,
                        "state": exposure.state.name.lower(),
                        "age": now - exposure.at,
                        "source": exposure.source,
                    }
                    for exposure in known.exposures
                ],
            }
            for known in self.all_known()
        ]

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
                self._target_lived(target, sent_at)
        # Without requests of others, only its registration shows that a target lives.
        lived_at = as_of - self.registration_life
        if lived_at > self._store_away_at:
            for target in self.table.targets():
                if self.registered(target):
                    self._target_lived(target, lived_at)

    def _target_lived(self, target: InstanceId, at: float) -> None:
        """Settle the sends of a target that has been alive at a time.

        One that hangs while it answers other requests may still end.
        """
        for sent in self.table.target_lived(target, at):
            if sent.exposure.source == self._own:
                self._answered.add(
                    target,
                    AnsweredSend(
                        key=sent.key,
                        workspace=sent.workspace,
                        life=sent.life,
                        send=sent.exposure.send,
                        at=sent.exposure.at,
                    ),
                )

    def store_lost(self) -> None:
        """Record that the list of targets can't be read."""
        self._store_away_at = math.inf

    def store_regained(self) -> None:
        """Record that the list of targets can be read again."""
        self._store_away_at = asyncio.get_running_loop().time()

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

    def broken_targets(self, request: RequestIdentity) -> list[InstanceId]:
        """Return the targets that did not answer a request, dead or alive."""
        now = asyncio.get_running_loop().time()
        return [
            exposure.target
            for exposure in self.table.exposures(request.key, now)
            if exposure.state >= ExposureState.BROKEN
        ]

    def ended_unanswered(
        self, request: RequestIdentity, target: InstanceId, evidence: str
    ) -> None:
        """Put the end of a target to a request that it did not answer."""
        now = asyncio.get_running_loop().time()
        self.table.ended(request.key, target, now)
        ends = len(self._known(request.key))
        self.on_end(
            TargetEnd(
                key=request.key, target=target, evidence=evidence, age=0.0, ends=ends
            )
        )

    def ended_after_answers(self, target: InstanceId, evidence: str) -> None:
        """Put the end of a target to requests that it answered without serving them."""
        now = asyncio.get_running_loop().time()
        for sent in self._answered.take(target, now):
            self._end_shown(sent, target, evidence, now)

    def _end_shown(
        self, sent: AnsweredSend, target: InstanceId, evidence: str, now: float
    ) -> None:
        exposure = Exposure(
            # The first id may be settled at other gateways.
            send=self._new_send(),
            target=target,
            state=ExposureState.ENDED,
            at=now,
            source=self._own,
        )
        self.table.put(
            sent.key, exposure, workspace=sent.workspace, life=sent.life, now=now
        )
        self._notify(sent.key)
        ends = len(self.table.exposures(sent.key, now))
        self.on_end(
            TargetEnd(
                key=sent.key,
                target=target,
                evidence=evidence,
                age=now - sent.at,
                ends=ends,
            )
        )

    def exposed_targets(self, request: RequestIdentity) -> set[InstanceId]:
        """Return the targets that may have ended under a request."""
        if not self.suspected(request):
            return set()
        return {exposure.target for exposure in self._known(request.key)}

    def digest(self) -> bytes:
        """Return a digest of the sends that other gateways should know."""
        now = asyncio.get_running_loop().time()
        sends = sorted(
            exposure.send
            for key in self.table.keys(now)
            for exposure in self.table.exposures(key, now)
            if exposure.state >= ExposureState.BROKEN
        )
        return request_key("\0".join(sends).encode())

    def _begin(self, request: RequestIdentity, target: InstanceId) -> Exposure:
        """Track a send."""
        exposure = self._open[request][target] = Exposure(
            send=self._new_send(),
            target=target,
            state=ExposureState.OPEN,
            at=asyncio.get_running_loop().time(),
            source=self._own,
        )
        return exposure

    def _new_send(self) -> SendId:
        return SendId(f"{self.process}/{next(self._numbers)}")

    def _close(self, request: RequestIdentity, target: InstanceId) -> Exposure | None:
        """Stop tracking a send, and return it."""
        targets = self._open.get(request)
        if targets is None:
            return None
        exposure = targets.pop(target, None)
        if not targets:
            del self._open[request]
        return exposure

    def _known(self, key: RequestKey) -> list[Exposure]:
        """Return the exposures of a request, with those that are open here."""
        known = [exposure for exposure in self._all_known(key) if exposure.counts]
        if self.table.is_common(key):
            # Breaks of one caller's connections must not refuse the others.
            return [sent for sent in known if sent.state is ExposureState.ENDED]
        return known

    def _all_known(self, key: RequestKey) -> list[Exposure]:
        now = asyncio.get_running_loop().time()
        known = {exposure.send: exposure for exposure in self.table.exposures(key, now)}
        for request, targets in self._open.items():
            if request.key == key:
                for exposure in targets.values():
                    known.setdefault(exposure.send, exposure)
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
            for known in self._all_known(key)
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
