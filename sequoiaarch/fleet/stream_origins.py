"""Share the origins of streams between gateways."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator, Sequence
from typing import NamedTuple, Protocol

from ..ids import HostName, StreamKey
from ..policies.stream_origins import Origin, OriginRecord, OriginTable, StreamKeys
from ..wire.messages import (
    Accepted,
    FindOriginRequest,
    OriginFound,
    RecordOriginRequest,
    Reply,
)
from .peer_health import PeerHealth
from .peers import Peers
from .ranking import RankingCache, score

# Copies of each record: two in the data centre of the gateway that began the stream,
# where callers come back, and one in another one.
LOCAL_COPIES = 2
COPIES = 3
# Hosts that are sent a record before it is given up. A frozen or lost host costs one
# timeout until its failure is known.
MAX_HOSTS_SENT = 8
# Usable hosts asked in each data centre: one more than have a copy, as one may be new.
HOSTS_ASKED = 3
# Hosts asked in each data centre, including those that failed lately.
MAX_HOSTS_ASKED = 6
# Hosts answer from memory: one that does not answer by then is lost, frozen or
# overloaded. Seconds.
SEND_TIMEOUT = 0.3
ASK_TIMEOUT = 0.25
# Seconds after which other data centres are asked as well.
FAR_DELAY = 0.05
HERE = "here"


class KnownOrigin(NamedTuple):
    """What is known of a stream, by which host and for how many seconds."""

    origin: Origin | None
    source: str
    age: float


class StreamOrigins(Protocol):
    """Keep the origins of streams."""

    def record(self, keys: StreamKeys, origin: Origin | None, life: float) -> None:
        """Remember an origin for `life` seconds; None if it is uncertain."""

    async def find(self, keys: StreamKeys) -> KnownOrigin | None:
        """Return what is known of a stream; None if nothing is."""


class LocalOrigins:
    """Keep the origins of the streams of this process."""

    def __init__(self) -> None:
        self.table = OriginTable()

    def record(self, keys: StreamKeys, origin: Origin | None, life: float) -> None:
        """Remember an origin for `life` seconds; None if it is uncertain."""
        self.put(keys.all, origin, life)

    async def find(self, keys: StreamKeys) -> KnownOrigin | None:
        """Return what is known of a stream; None if nothing is."""
        return self.known(keys.best)

    def put(self, keys: list[StreamKey], origin: Origin | None, life: float) -> None:
        """Remember an origin by several keys."""
        now = asyncio.get_running_loop().time()
        for key in keys:
            self.table.record(key, origin, life=life, now=now)

    def known(self, key: StreamKey) -> KnownOrigin | None:
        """Return what this process knows of a stream."""
        now = asyncio.get_running_loop().time()
        record = self.table.find(key, now)
        return None if record is None else _known(record, HERE, now)


class SharedOrigins:
    """Keep origins in this process and at hosts chosen by rendezvous hashing.

    Callers come back to any gateway, also when the one before has ended. Records are
    sent when the first event leaves, without waiting for the copies: one that is lost
    makes a stream unknown, and never known by another version.
    """

    def __init__(self, *, own: HostName, peers: Peers) -> None:
        self._own = own
        self._peers = peers
        self._local = LocalOrigins()
        # Separate from the health of peers for other requests, as processes of an older
        # build are healthy but keep no origins.
        self._peer_health = PeerHealth()
        self._rankings = RankingCache(rank=self._rank, version=lambda: peers.version)
        self._tasks: set[asyncio.Task[None]] = set()
        # Records for which no other host accepted a copy.
        self.uncopied = 0

    def __len__(self) -> int:
        return len(self._local.table)

    def record(self, keys: StreamKeys, origin: Origin | None, life: float) -> None:
        """Remember an origin here and at other hosts."""
        self._local.record(keys, origin, life)
        request = RecordOriginRequest(keys=keys.all, origin=origin, life=life)
        task = asyncio.create_task(self._copy(request, _slot_of(keys)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def find(self, keys: StreamKeys) -> KnownOrigin | None:
        """Return what this process or other hosts know of a stream.

        Attempts have unique ids, so the first answer is enough. A request may have been
        sent anew, through another gateway, so all answers for it have to agree.
        """
        local, *others = self._rankings.get(_slot_of(keys))
        near = self._to_ask(local)
        far = [host for centre in others for host in self._to_ask(centre)]
        here = self._local.known(keys.best)
        if keys.first is not None:
            return here or await self._ask_first(keys.first, near, far)
        answers = await self._ask_all(keys.content, near)
        if here is not None:
            answers.append(here)
        return _agreed(answers) or _agreed(await self._ask_all(keys.content, far))

    def answer(self, request: RecordOriginRequest | FindOriginRequest) -> Reply:
        """Handle a request of another gateway."""
        if isinstance(request, RecordOriginRequest):
            self._local.put(request.keys, request.origin, request.life)
            return Accepted()
        known = self._local.known(request.key)
        if known is None:
            return OriginFound(known=False)
        return OriginFound(known=True, origin=known.origin, age=known.age)

    async def _copy(self, request: RecordOriginRequest, slot: int) -> None:
        local, *others = self._rankings.get(slot)
        # This process has a copy; it counts if others would ask for it here.
        copies = 1 if self._own in local[:LOCAL_COPIES] else 0
        here = [host for host in local if host != self._own]
        # Gateways ask the first hosts of each data centre, so these come first.
        away = [
            host
            for hosts in itertools.zip_longest(*others)
            for host in hosts
            if host is not None
        ]
        near = min(LOCAL_COPIES - copies, len(here))
        sent = await asyncio.gather(
            self._send_copies(request, self._usable(here), near),
            self._send_copies(request, self._usable(away), COPIES - copies - near),
        )
        if sum(sent) or not (here or away):
            return
        # Hosts that failed lately may be back, and no other one has a copy.
        if not await self._send_copies(request, [*here, *away], 1):
            self.uncopied += 1

    def _usable(self, hosts: Sequence[HostName]) -> list[HostName]:
        return [host for host in hosts if self._peer_health.usable(host)]

    async def _send_copies(
        self, request: RecordOriginRequest, hosts: Sequence[HostName], count: int
    ) -> int:
        """Send a record to the first `count` hosts that accept it; return how many."""
        candidates = iter(hosts[:MAX_HOSTS_SENT])
        accepted = await asyncio.gather(
            *(self._send_to_next(request, candidates) for _ in range(count))
        )
        return sum(accepted)

    async def _send_to_next(
        self, request: RecordOriginRequest, hosts: Iterator[HostName]
    ) -> bool:
        for host in hosts:
            link = self._peers.link(host)
            if link is None:
                continue
            reply = await link.call(request, timeout=SEND_TIMEOUT)
            if isinstance(reply, Accepted):
                self._peer_health.request_succeeded(host)
                return True
            self._peer_health.request_failed(host, str(reply))
        return False

    def _to_ask(self, hosts: Sequence[HostName]) -> list[HostName]:
        """Return the first hosts, until enough are usable.

        The gateway that began a stream may have found others usable.
        """
        asked: list[HostName] = []
        usable = 0
        for host in hosts[:MAX_HOSTS_ASKED]:
            if usable == HOSTS_ASKED:
                break
            if host != self._own:
                asked.append(host)
            usable += self._peer_health.usable(host)
        return asked

    async def _ask_first(
        self, key: StreamKey, near: Sequence[HostName], far: Sequence[HostName]
    ) -> KnownOrigin | None:
        """Ask hosts and return the first that knows the stream."""
        asked = [asyncio.create_task(self._ask(key, host)) for host in near]
        asked += [
            asyncio.create_task(self._ask(key, host, delay=FAR_DELAY)) for host in far
        ]
        try:
            for answer in asyncio.as_completed(asked):
                known = await answer
                if known is not None:
                    return known
        finally:
            for task in asked:
                task.cancel()
        return None

    async def _ask_all(
        self, key: StreamKey, hosts: Sequence[HostName]
    ) -> list[KnownOrigin]:
        """Ask hosts at the same time and return the answers of those that know."""
        answers = await asyncio.gather(
            *(self._ask(key, host) for host in self._usable(hosts) or hosts)
        )
        return [known for known in answers if known is not None]

    async def _ask(
        self, key: StreamKey, host: HostName, *, delay: float = 0.0
    ) -> KnownOrigin | None:
        await asyncio.sleep(delay)
        link = self._peers.link(host)
        if link is None:
            return None
        reply = await link.call(FindOriginRequest(key=key), timeout=ASK_TIMEOUT)
        if not isinstance(reply, OriginFound):
            self._peer_health.request_failed(host, str(reply))
            return None
        self._peer_health.request_succeeded(host)
        if not reply.known:
            return None
        return KnownOrigin(origin=reply.origin, source=f"at {host}", age=reply.age)

    def _rank(self, slot: int) -> list[list[HostName]]:
        """Return the hosts of each data centre by rank for a slot, this one's first."""
        name = f"origins/{slot}"
        centres = self._peers.hosts_by_centre()
        local = {self._own, *self._peers.neighbours()}
        others = [
            hosts for hosts in centres.values() if hosts and local.isdisjoint(hosts)
        ]
        ranked = [
            sorted(hosts, key=lambda host: score(name, host), reverse=True)
            for hosts in others
        ]
        ranked.sort(key=lambda hosts: score(name, hosts[0]), reverse=True)
        here = sorted(local, key=lambda host: score(name, host), reverse=True)
        return [here, *ranked]


def _agreed(answers: Sequence[KnownOrigin]) -> KnownOrigin | None:
    """Return the oldest answer, without its origin unless all name the same."""
    if not answers:
        return None
    oldest = max(answers, key=lambda known: known.age)
    if len({known.origin for known in answers}) > 1:
        return oldest._replace(origin=None)
    return oldest


def _slot_of(keys: StreamKeys) -> int:
    """Return the slot whose hosts have a stream, which each attempt knows."""
    return keys.content[0]


def _known(record: OriginRecord, source: str, now: float) -> KnownOrigin:
    return KnownOrigin(
        origin=record.origin, source=source, age=now - record.recorded_at
    )
