"""Remember for a moment which requests a target answered and did not serve."""

from __future__ import annotations

from collections import Counter, OrderedDict, deque

import msgspec

from ..ids import InstanceId, RequestKey, SendId, Workspace

# Seconds after an answer within which the end of its target is put to the request: a
# registration expires after three heartbeats.
LATE_END_SECONDS = 6.0
# Sends remembered of one target, and in all: the newest ones.
MAX_OF_TARGET = 64
MAX_SENDS = 2048


class AnsweredSend(msgspec.Struct, frozen=True, kw_only=True):
    """A send whose target answered without serving it, or was given up alive."""

    key: RequestKey
    workspace: Workspace
    life: float
    send: SendId
    at: float


class AnsweredSends:
    """Sends by target, limited in number and time."""

    def __init__(self) -> None:
        self._by_target: OrderedDict[InstanceId, deque[AnsweredSend]] = OrderedDict()
        self._by_key: Counter[RequestKey] = Counter()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, target: InstanceId, sent: AnsweredSend) -> None:
        """Remember a send."""
        sends = self._by_target.setdefault(target, deque())
        self._by_target.move_to_end(target)
        sends.append(sent)
        self._by_key[sent.key] += 1
        self._count += 1
        self._drop_old(sends, sent.at)
        while len(sends) > MAX_OF_TARGET:
            self._drop_first(sends)
        while self._count > MAX_SENDS:
            oldest, sends = next(iter(self._by_target.items()))
            self._drop_first(sends)
            if not sends:
                del self._by_target[oldest]

    def has(self, target: InstanceId, now: float) -> bool:
        """Return whether there are sends to a target."""
        sends = self._by_target.get(target)
        return sends is not None and sends[-1].at + LATE_END_SECONDS > now

    def take(self, target: InstanceId, now: float) -> list[AnsweredSend]:
        """Remove and return the sends to a target that has ended."""
        sends = self._by_target.pop(target, deque())
        taken = list(sends)
        while sends:
            self._drop_first(sends)
        return [sent for sent in taken if sent.at + LATE_END_SECONDS > now]

    def forget(self, key: RequestKey) -> None:
        """Remove the sends of a request that a target served."""
        if key not in self._by_key:
            return
        for target, sends in list(self._by_target.items()):
            left = deque(sent for sent in sends if sent.key != key)
            self._count -= len(sends) - len(left)
            if left:
                self._by_target[target] = left
            else:
                del self._by_target[target]
        del self._by_key[key]

    def _drop_old(self, sends: deque[AnsweredSend], now: float) -> None:
        while sends and sends[0].at + LATE_END_SECONDS <= now:
            self._drop_first(sends)

    def _drop_first(self, sends: deque[AnsweredSend]) -> None:
        key = sends.popleft().key
        self._count -= 1
        self._by_key[key] -= 1
        if not self._by_key[key]:
            del self._by_key[key]
