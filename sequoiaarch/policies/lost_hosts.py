"""Decide which hosts are suspected to be lost, and when they are removed."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from ..ids import HostName, WriterId

# Probes in a row without an answer after which a host is suspected. They outlast the
# restart of a process that ended.
SILENT_PROBES = 3
# The same for hosts whose build does not refute a suspicion, which therefore lose
# their shares of limits until they start again.
SILENT_PROBES_OLD = 30
# Hosts that are probed at the same time.
MAX_WATCHED = 64
# Hosts that are suspected at the same time at first.
INITIAL_LIMIT = 16
# Seconds for which a host that refuted a suspicion is not suspected again, doubled
# each time.
MIN_PATIENCE = 10.0
MAX_PATIENCE = 300.0
# Seconds between suspicions, doubled each time, while a host that has refuted one does
# not answer: whoever can't reach live hosts is probably cut off itself.
MIN_PAUSE = 1.0
MAX_PAUSE = 60.0


class Suspicion(msgspec.Struct, frozen=True, kw_only=True):
    """A registered suspicion that a process is lost, by the host `author`.

    `id` is unique: a later suspicion of the same process differs.
    """

    id: str
    process: WriterId
    author: HostName


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Hosts to suspect, and suspected hosts to remove."""

    suspect: tuple[HostName, ...] = ()
    remove: tuple[HostName, ...] = ()


@dataclass(kw_only=True)
class _Refuted:
    """Time until which a host is not suspected again, and the last such span."""

    until: float
    patience: float


class LostHosts:
    """Judge the hosts after this one, in an order that all hosts share.

    Each host watches the hosts that follow it, up to the first that answers. Every lost
    host is therefore watched by one live host, however many are lost, and nobody else
    suspects or removes it.

    A suspicion is registered before a host is removed. A live host that reaches the
    store refutes it; any other one has stopped acting by its registration `wait`
    seconds later. The number of hosts that are suspected at the same time doubles with
    each removal; it is one while a live host does not answer here.
    """

    def __init__(self, *, own: HostName, wait: float) -> None:
        self._own = own
        self._wait = wait
        self._silent: dict[HostName, int] = {}
        self._suspicions: dict[HostName, Suspicion] = {}
        self._suspected_at: dict[HostName, float] = {}
        self._refuted: dict[HostName, _Refuted] = {}
        self._limit = INITIAL_LIMIT
        self._pause = 0.0
        self._paused_until = float("-inf")

    def silent_probes(self, host: HostName) -> int:
        """Return how many probes in a row a host has not answered."""
        return self._silent.get(host, 0)

    def suspected_at(self, host: HostName) -> float | None:
        """Return when the suspicion of a host was read; None without one."""
        return self._suspected_at.get(host)

    def takeover_in(self, host: HostName, now: float) -> float | None:
        """Return the seconds until a suspected host may be removed."""
        suspected_at = self._suspected_at.get(host)
        return (
            None if suspected_at is None else max(0.0, suspected_at + self._wait - now)
        )

    def watched(
        self, ring: Sequence[HostName], old: Collection[HostName]
    ) -> Sequence[HostName]:
        """Return the hosts to probe now, of all hosts in their common order.

        Up to the first that answers, and as many again beyond a run of silent ones.
        Hosts in `old` watch nobody, so those behind them are watched as well.
        """
        if self._own not in ring:
            return ()
        own = ring.index(self._own)
        others = [*ring[own + 1 :], *ring[:own]]
        silent = passed = 0
        for host in others:
            if host not in self._silent and host not in old:
                break
            passed += 1
            silent += host in self._silent
        watched = others[: min(MAX_WATCHED, passed + 1 + silent)]
        for host in set(self._silent).difference(watched):
            del self._silent[host]
        return watched

    def probed(self, host: HostName, *, answered: bool) -> None:
        """Record the result of a probe."""
        if answered:
            self._silent.pop(host, None)
        else:
            self._silent[host] = self.silent_probes(host) + 1

    def registrations_changed(
        self,
        suspicions: Mapping[HostName, Suspicion],
        processes: Mapping[HostName, WriterId],
        now: float,
    ) -> None:
        """Note the suspicions and the registered process of each host, as read now."""
        for host, suspicion in list(self._suspicions.items()):
            if suspicions.get(host) != suspicion:
                self._resolved(host, suspicion, processes.get(host), now)
        for host, suspicion in suspicions.items():
            if host not in self._suspicions:
                self._suspicions[host] = suspicion
                self._suspected_at[host] = now
        for host in self._refuted.keys() - processes.keys():
            del self._refuted[host]
        for host in self._silent.keys() - processes.keys():
            del self._silent[host]

    def store_regained(self, now: float) -> None:
        """Give suspected hosts the whole time again, as none could refute."""
        self._suspected_at = dict.fromkeys(self._suspected_at, now)

    def judge(
        self, watched: Sequence[HostName], old: Collection[HostName], now: float
    ) -> Verdict:
        """Return the watched hosts to suspect and to remove.

        Those in `old` don't refute suspicions.
        """
        silent = [
            host
            for host in watched
            if self.silent_probes(host)
            >= (SILENT_PROBES_OLD if host in old else SILENT_PROBES)
        ]
        remove = [
            host
            for host in watched
            if self.silent_probes(host) >= SILENT_PROBES
            and self.takeover_in(host, now) == 0.0
        ]
        outstanding = sum(
            suspicion.author == self._own for suspicion in self._suspicions.values()
        )
        suspect = [
            host
            for host in silent
            if host not in self._suspicions and not self._is_patient(host, now)
        ]
        most = max(0, self._limit - outstanding)
        if any(self._is_patient(host, now) for host in silent):
            most = self._most_while_cut_off(bool(suspect), now)
        else:
            self._pause = 0.0
        return Verdict(suspect=tuple(suspect[:most]), remove=tuple(remove))

    def _most_while_cut_off(self, wanted: bool, now: float) -> int:
        """Return how many hosts to suspect while a live one does not answer."""
        if not wanted or now < self._paused_until:
            return 0
        self._pause = min(max(MIN_PAUSE, 2 * self._pause), MAX_PAUSE)
        self._paused_until = now + self._pause
        return 1

    def _is_patient(self, host: HostName, now: float) -> bool:
        refuted = self._refuted.get(host)
        return refuted is not None and now < refuted.until

    def _resolved(
        self,
        host: HostName,
        suspicion: Suspicion,
        process: WriterId | None,
        now: float,
    ) -> None:
        """Forget a suspicion: refuted, or its host is removed or has restarted."""
        del self._suspicions[host], self._suspected_at[host]
        if suspicion.author != self._own:
            return
        if process != suspicion.process:
            self._limit = min(2 * self._limit, MAX_WATCHED)
            return
        refuted = self._refuted.get(host)
        patience = MIN_PATIENCE if refuted is None else 2 * refuted.patience
        patience = min(patience, MAX_PATIENCE)
        self._refuted[host] = _Refuted(until=now + patience, patience=patience)
