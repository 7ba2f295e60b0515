"""Remember which targets may have ended under a request.

A caller sends a request again under a new attempt id and through any gateway, so what
it does to targets is remembered by its content.
"""

from __future__ import annotations

import functools
import hashlib
from collections import OrderedDict, defaultdict
from collections.abc import Sequence
from enum import IntEnum

import msgspec

from ..ids import HostName, InstanceId, RequestKey, SendId, Workspace

KEY_BYTES = 16
# Seconds for which a request is remembered after the last change. Without a program and
# a body, other callers may send the same one, and a wrong verdict would harm them too.
PROGRAM_LIFE = 600.0
COMMON_LIFE = 30.0
# Requests remembered by one process; three exposures each are 1.7 KB.
MAX_REQUESTS = 2048
# Targets that may end under a request: one or two may have ended by chance.
MAX_ENDS = 3
# Seconds after which a request may be sent again if its targets may live: until the
# next read of their list, or until another attempt is over.
UNCLEAR_RETRY_AFTER = 1.0
OPEN_RETRY_AFTER = 0.3
# Seconds after which a send of another gateway that is still open may be one of a lost
# gateway; most requests end before.
OPEN_SETTLES = 5.0
# Exposures kept of one request: several gateways may send it at the same time.
MAX_EXPOSURES = 16
# Sends remembered that ended no target.
MAX_SETTLED = 8192


class ExposureState(IntEnum):
    """What is known of a target that was sent a request; the highest one prevails."""

    OPEN = 1  # the target has not answered yet
    ABANDONED = 2  # the caller left before the target answered
    BROKEN = 3  # it did not answer, and may have ended
    ENDED = 4


class Exposure(msgspec.Struct, frozen=True, kw_only=True):
    """A send of a request that the target has not answered.

    A target that starts again at once may end twice under one name, so each send counts
    by itself. `at` is the time of the last change. An answer of the target to another
    request, sent `settles` seconds after that or later, shows that it has not ended.
    `source` is the host that sent the request.
    """

    send: SendId
    target: InstanceId
    state: ExposureState
    at: float
    settles: float = 0.0
    source: HostName = HostName("")

    @property
    def counts(self) -> bool:
        """Return whether the target counts as ended.

        Callers leave requests that are no danger to any target.
        """
        return self.state is not ExposureState.ABANDONED

    @property
    def ended(self) -> bool:
        """Return whether the target is known to have ended."""
        return self.state is ExposureState.ENDED


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request may not be sent to a further target."""

    exposures: tuple[Exposure, ...]
    retry_after: float

    def describe(self, now: float) -> str:
        """Return the targets with what is known of them and by whom."""
        return describe(self.exposures, now)


def describe(exposures: Sequence[Exposure], now: float) -> str:
    """Return targets with what is known of them and by whom."""
    return ", ".join(
        f"{exposure.target} {exposure.state.name.lower()} {now - exposure.at:.2f} s"
        f" ago at {exposure.source}"
        for exposure in exposures
    )


def judge(exposures: Sequence[Exposure], life_left: float) -> Verdict | None:
    """Return why a request with these exposures may not be sent; None if it may.

    Each target that has not answered counts as ended until it is known to live: its
    end may come to light only after the next attempt.
    """
    if len(exposures) < MAX_ENDS:
        return None
    states = [exposure.state for exposure in exposures]
    if states.count(ExposureState.ENDED) >= MAX_ENDS:
        retry_after = life_left
    elif ExposureState.OPEN in states:
        retry_after = OPEN_RETRY_AFTER
    else:
        retry_after = UNCLEAR_RETRY_AFTER
    return Verdict(exposures=tuple(exposures), retry_after=retry_after)


class RequestIdentity:
    """What all attempts of a request share."""

    def __init__(
        self,
        *,
        workspace: Workspace | None,
        common: bool,
        parts: tuple[bytes, ...],
    ) -> None:
        """Identify a request by the parts of its content.

        Several callers may send a `common` one.
        """
        self.workspace = workspace or Workspace("")
        self.common = common
        self.life = COMMON_LIFE if common else PROGRAM_LIFE
        self._parts = parts

    @functools.cached_property
    def key(self) -> RequestKey:
        """Return the digest of the content; callers choose it in their workspace."""
        digest = hashlib.blake2b(digest_size=KEY_BYTES)
        for part in (self.workspace.encode(), *self._parts):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return RequestKey(digest.digest())


def request_key(content: bytes) -> RequestKey:
    """Return a digest of the size of a request's key."""
    return RequestKey(hashlib.blake2b(content, digest_size=KEY_BYTES).digest())


class SettledSend(msgspec.Struct, frozen=True, kw_only=True):
    """A send whose target was found to live."""

    key: RequestKey
    workspace: Workspace
    life: float
    exposure: Exposure


class _Record(msgspec.Struct, kw_only=True):
    workspace: Workspace
    life: float
    until: float
    exposures: dict[SendId, Exposure]


class ExposureTable:
    """Exposures of requests by key, limited in number and time.

    If there are too many, the oldest of the workspace with most of them is dropped, so
    that no workspace can push out those of others.
    """

    def __init__(self, *, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._records: dict[RequestKey, _Record] = {}
        # Keys of each workspace by the time of the last change.
        self._by_workspace: defaultdict[Workspace, OrderedDict[RequestKey, None]] = (
            defaultdict(OrderedDict)
        )
        self._by_target: defaultdict[InstanceId, set[tuple[RequestKey, SendId]]] = (
            defaultdict(set)
        )
        # Sends that ended no target: other gateways may still report them.
        self._settled: OrderedDict[SendId, None] = OrderedDict()
        # Records dropped for want of room.
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, key: object) -> bool:
        return key in self._records

    def put(
        self,
        key: RequestKey,
        exposure: Exposure,
        *,
        workspace: Workspace,
        life: float,
        now: float,
    ) -> None:
        """Add an exposure, unless more is known of the send already."""
        self._drop_expired(now)
        if exposure.send in self._settled:
            return
        record = self._records.get(key)
        if record is None:
            record = _Record(workspace=workspace, life=life, until=now, exposures={})
            self._records[key] = record
        known = record.exposures.get(exposure.send)
        if known is not None and known.state >= exposure.state:
            return
        if known is None and len(record.exposures) >= MAX_EXPOSURES:
            return
        record.exposures[exposure.send] = exposure
        record.until = max(record.until, exposure.at + record.life)
        self._by_target[exposure.target].add((key, exposure.send))
        self._by_workspace[record.workspace][key] = None
        self._by_workspace[record.workspace].move_to_end(key)
        if len(self._records) > self._max_requests:
            self._drop_one()

    def exposures(self, key: RequestKey, now: float) -> list[Exposure]:
        """Return the exposures of a request."""
        record = self._records.get(key)
        if record is None or record.until <= now:
            return []
        return list(record.exposures.values())

    def life_left(self, key: RequestKey, now: float) -> float:
        """Return the seconds for which a request is still remembered."""
        record = self._records.get(key)
        return 0.0 if record is None else max(0.0, record.until - now)

    def workspace_of(self, key: RequestKey) -> Workspace:
        """Return the workspace of a request that is remembered."""
        return self._records[key].workspace

    def withdraw(self, key: RequestKey, send: SendId) -> None:
        """Remove an exposure whose target has not ended."""
        if self._remove(key, send):
            self._settle(send)

    def clear(self, key: RequestKey) -> bool:
        """Forget a request; return whether it was known."""
        record = self._records.pop(key, None)
        if record is None:
            return False
        for exposure in record.exposures.values():
            self._unlink(key, exposure)
            self._settle(exposure.send)
        keys = self._by_workspace[record.workspace]
        keys.pop(key, None)
        if not keys:
            del self._by_workspace[record.workspace]
        return True

    def concerns(self, target: InstanceId) -> bool:
        """Return whether a target has exposures."""
        return target in self._by_target

    def target_ended(
        self, target: InstanceId, now: float
    ) -> list[tuple[RequestKey, Exposure]]:
        """Record the end of a target; return what it was exposed to before."""
        ended = []
        for key, send in list(self._by_target.get(target, ())):
            record = self._records[key]
            exposure = record.exposures[send]
            if exposure.state is not ExposureState.ENDED and record.until > now:
                ended.append((key, exposure))
                record.exposures[send] = msgspec.structs.replace(
                    exposure, state=ExposureState.ENDED, at=now
                )
                record.until = now + record.life
        return ended

    def ended(self, key: RequestKey, target: InstanceId, now: float) -> None:
        """Record that a target ended under one request."""
        record = self._records.get(key)
        if record is None:
            return
        for send, exposure in record.exposures.items():
            if exposure.target == target and exposure.state < ExposureState.ENDED:
                record.exposures[send] = msgspec.structs.replace(
                    exposure, state=ExposureState.ENDED, at=now
                )
                record.until = now + record.life

    def target_lived(self, target: InstanceId, at: float) -> list[SettledSend]:
        """Remove and return the exposures of a target that has been alive at a time."""
        removed = []
        for key, send in list(self._by_target.get(target, ())):
            record = self._records[key]
            exposure = record.exposures[send]
            if exposure.state is ExposureState.ENDED:
                continue
            if exposure.state is ExposureState.OPEN:
                # Its gateway may be lost, or still tell of its end.
                if exposure.at + OPEN_SETTLES <= at:
                    self._remove(key, send)
            elif exposure.at + exposure.settles <= at:
                self.withdraw(key, send)
                removed.append(
                    SettledSend(
                        key=key,
                        workspace=record.workspace,
                        life=record.life,
                        exposure=exposure,
                    )
                )
        return removed

    def targets(self) -> list[InstanceId]:
        """Return the targets that have exposures."""
        return list(self._by_target)

    def timed_out(self, key: RequestKey, send: SendId) -> None:
        """Count a target that was given up without an answer in time."""
        record = self._records.get(key)
        exposure = record.exposures.get(send) if record is not None else None
        if exposure is not None and exposure.state is ExposureState.ABANDONED:
            assert record is not None
            record.exposures[send] = msgspec.structs.replace(
                exposure, state=ExposureState.BROKEN
            )

    def keys(self, now: float) -> list[RequestKey]:
        """Return the keys of all requests that are remembered."""
        return [key for key, record in self._records.items() if record.until > now]

    def is_common(self, key: RequestKey) -> bool:
        """Return whether several callers may send a request."""
        record = self._records.get(key)
        return record is not None and record.life <= COMMON_LIFE

    def life_of(self, key: RequestKey) -> float:
        """Return for how many seconds a request is remembered after a change."""
        return self._records[key].life

    def _remove(self, key: RequestKey, send: SendId) -> bool:
        record = self._records.get(key)
        exposure = record.exposures.pop(send, None) if record is not None else None
        if record is None or exposure is None:
            return False
        self._unlink(key, exposure)
        if not record.exposures:
            self.clear(key)
        return True

    def _settle(self, send: SendId) -> None:
        self._settled[send] = None
        if len(self._settled) > MAX_SETTLED:
            self._settled.popitem(last=False)

    def _unlink(self, key: RequestKey, exposure: Exposure) -> None:
        sends = self._by_target[exposure.target]
        sends.discard((key, exposure.send))
        if not sends:
            del self._by_target[exposure.target]

    def _drop_expired(self, now: float) -> None:
        for keys in list(self._by_workspace.values()):
            while keys:
                oldest = next(iter(keys))
                if self._records[oldest].until > now:
                    break
                self.clear(oldest)

    def _drop_one(self) -> None:
        largest = max(self._by_workspace.values(), key=len)
        self.clear(next(iter(largest)))
        self.dropped += 1
