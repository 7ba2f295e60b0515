"""Find the other daemons and make calls through them."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import defaultdict
from collections.abc import Callable, Sequence

import logbook
import msgspec
import zmq.asyncio

from ..errors import ErrorKind, Failure
from ..ids import DataCentre, HostName, WriterId
from ..storage.calls import StoreCall, StoreCaller, StoreReply, unavailable
from ..storage.keyed import KeyedLog, KeyedRecord, Partition, Writer
from ..wire.links import Handler, Link, Links, Responder, Send
from ..wire.messages import Failed, Reply, Request, StoreAnswer, StoreRequest

log = logbook.Logger("peers")

TOPIC = "keyed.peers"
PARTITION = Partition(topic=TOPIC, number=0)
# A peer that has failed is asked last for this time. Seconds.
DEPRIORITISE_SECONDS = 3.0
MAX_PEERS_ASKED = 3
# A peer that is frozen answers nothing; the call goes on to the next. Seconds.
PEER_TIMEOUT = 0.5
PEER_SILENCE_LIMIT = 1.0
REGISTER_RETRY = 0.5
# Others should soon know this process, whatever stood there before. Seconds.
FIRST_LIST_TIMEOUT = 1.0


class PeerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Say where a daemon is."""

    address: str
    data_centre: DataCentre
    writer: WriterId = WriterId("")


class Peers:
    """Know the addresses of the other daemons and ask them to call the store."""

    def __init__(
        self,
        *,
        context: zmq.asyncio.Context,
        own: HostName,
        own_address: str,
        data_centre: DataCentre,
        seeds: list[str],
        rng: random.Random,
    ) -> None:
        self._own = own
        self._data_centre = data_centre
        self._own_address = own_address
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._rng = rng
        self._links = Links(context=context, silence_limit=PEER_SILENCE_LIMIT)
        self._known: dict[HostName, PeerRecord] = {}
        self._neighbours: list[HostName] = []
        self._hosts_by_writer: dict[WriterId, HostName] = {}
        # Grows when a registration changes.
        self.version = 0
        # Grows when a host is registered that was not, or is no more.
        self.hosts_version = 0
        self._hosts_by_centre: dict[DataCentre, list[HostName]] = {}
        self._listed = asyncio.Event()
        # Called with the process that this host's registration names, if there is
        # one, and whether that was read right after what stood there before.
        self.on_own_registration: Callable[[WriterId | None, bool], None] = _ignore
        self._own_writer = WriterId("")
        self._deprioritised_until: dict[str, float] = {}
        self._preferred: str | None = None

    def __len__(self) -> int:
        return len(self._known)

    def replace(self, records: Sequence[KeyedRecord]) -> None:
        """Take over the complete list."""
        self._known.clear()
        self._own_writer = WriterId("")
        for record in records:
            self._apply(record)
        self._notify_own_registration(ordered=False)
        self._listed.set()
        self._rebuild_indexes()

    def change(self, record: KeyedRecord) -> None:
        """Take over one registration."""
        self._apply(record)
        if record.key == self._own:
            self._notify_own_registration(ordered=True)
        self._rebuild_indexes()

    def own_registration_is(self, writer: WriterId) -> bool:
        """Return whether this host's registration is that of a process."""
        return self._own_writer == writer

    def host_of(self, writer: WriterId) -> HostName | None:
        """Return the other host on which a process runs; None if it is gone."""
        return self._hosts_by_writer.get(writer)

    def hosts_by_centre(self) -> dict[DataCentre, list[HostName]]:
        """Return all registered hosts, this one too, by their data centre."""
        return self._hosts_by_centre

    def has_registration(self, host: HostName, writer: WriterId) -> bool:
        """Return whether another host's registration is that of a process."""
        record = self._known.get(host)
        return record is not None and record.writer == writer

    def hosts(self) -> list[HostName]:
        """Return all other hosts that are known."""
        return list(self._known)

    async def register(self, keyed_log: KeyedLog, writer: WriterId) -> None:
        """Tell the others where this process is."""
        own = PeerRecord(
            address=self._own_address, data_centre=self._data_centre, writer=writer
        )
        record = KeyedRecord(key=self._own, value=msgspec.json.encode(own))
        first = Writer(name=f"peer-{writer}", epoch=1, sequence=0)
        # What stood there before tells whether this process follows a lost one.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST_TIMEOUT):
                await self._listed.wait()
        while True:
            done = await keyed_log.append(PARTITION, [record], writer=first)
            if not isinstance(done, Failure):
                return
            await asyncio.sleep(REGISTER_RETRY)

    async def unregister(self, keyed_log: KeyedLog, writer: str) -> None:
        """Take the own address back; what a lost process leaves does no harm."""
        record = KeyedRecord(key=self._own, value=b"")
        last = Writer(name=f"peer-{writer}", epoch=1, sequence=1)
        done = await keyed_log.append(PARTITION, [record], writer=last)
        if isinstance(done, Failure):
            log.warning("the own registration stays: {}", done.reason)

    async def relay(self, call: StoreCall) -> StoreReply | Failure:
        """Make a call to the store through a peer that reaches it."""
        failure = Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason="no peer is known")
        for address in self._relay_candidates():
            timeout = call.timeout if call.waits else PEER_TIMEOUT
            link = self._links.to(f"tcp://{address}")
            reply = await link.call(StoreRequest(call=call), timeout=timeout)
            if isinstance(reply, StoreAnswer) and not reply.reply.turned_away:
                self._preferred = address
                return reply.reply
            # A peer may be turned away like this process; the next one may not.
            self._deprioritise(address)
            if isinstance(reply, Failed):
                failure = reply.failure
        return failure

    def neighbours(self) -> list[HostName]:
        """Return the other daemons of the data centre that are known."""
        return self._neighbours

    def link(self, host: HostName) -> Link | None:
        """Return the link to a daemon; None if it is not known."""
        record = self._known.get(host)
        return self._links.to(f"tcp://{record.address}") if record else None

    def close(self) -> None:
        """End all links."""
        self._links.close()

    def _apply(self, record: KeyedRecord) -> None:
        host = HostName(record.key)
        found = _decode(record)
        if host == self._own:
            self._own_writer = found.writer if found else WriterId("")
        elif found is not None:
            self._known[host] = found
        elif not record.value:
            self._known.pop(host, None)

    def _rebuild_indexes(self) -> None:
        """Keep what is asked for at each turn: hosts change seldom."""
        self.version += 1
        self._neighbours = [
            host
            for host, one in self._known.items()
            if one.data_centre == self._data_centre
        ]
        self._hosts_by_writer = {one.writer: host for host, one in self._known.items()}
        by_centre = defaultdict(list)
        for host, one in sorted(self._known.items()):
            by_centre[one.data_centre].append(host)
        if self._own_writer:
            by_centre[self._data_centre].append(self._own)
        if self._hosts_by_centre != by_centre:
            self._hosts_by_centre = dict(by_centre)
            self.hosts_version += 1

    def _notify_own_registration(self, *, ordered: bool) -> None:
        self.on_own_registration(self._own_writer or None, ordered)

    def _relay_candidates(self) -> list[str]:
        """Return whom to ask, the best first.

        Peers of the same data centre go first: what they pass on are turns of
        all programs, and bytes between data centres are paid for.
        """
        now = asyncio.get_running_loop().time()
        near = {self._known[host].address for host in self._neighbours}
        found = list({*(one.address for one in self._known.values()), *self._seeds})
        self._rng.shuffle(found)

        def rank(address: str) -> tuple[bool, bool, bool]:
            deprioritised = self._deprioritised_until.get(address, 0) > now
            return deprioritised, address not in near, address != self._preferred

        found.sort(key=rank)
        return found[:MAX_PEERS_ASKED]

    def _deprioritise(self, address: str) -> None:
        now = asyncio.get_running_loop().time()
        self._deprioritised_until[address] = now + DEPRIORITISE_SECONDS
        if self._preferred == address:
            self._preferred = None


class PeerServer:
    """Answer peers: calls to the store, and what else `fallback` answers."""

    def __init__(
        self,
        *,
        context: zmq.asyncio.Context,
        address: str,
        caller: StoreCaller,
        reaches_store: Callable[[], bool] = lambda: True,
    ) -> None:
        self._caller = caller
        self._reaches_store = reaches_store
        self.fallback: Handler = _reject_request
        self._responder = Responder(
            context=context, address=f"tcp://{address}", handler=self._answer
        )

    @property
    def address(self) -> str:
        """Return the address that peers reach."""
        return self._responder.address

    async def run(self) -> None:
        """Answer peers for ever."""
        await self._responder.run()

    def close(self) -> None:
        """Stop to answer."""
        self._responder.close()

    async def _answer(self, request: Request, send: Send) -> Reply:
        if not isinstance(request, StoreRequest):
            return await self.fallback(request, send)
        if not self._reaches_store():
            # The peer asks another one at once, not after a call in vain.
            return Failed(failure=unavailable(request.call, "not reached here either"))
        reply = await self._caller.call(request.call)
        if isinstance(reply, Failure):
            return Failed(failure=reply)
        return StoreAnswer(reply=reply)


def _decode(record: KeyedRecord) -> PeerRecord | None:
    if not record.value:
        return None
    try:
        return msgspec.json.decode(record.value, type=PeerRecord)
    except msgspec.DecodeError as error:
        log.warning("registration of {} can't be read: {}", record.key, error)
        return None


def _ignore(writer: WriterId | None, ordered: bool) -> None:
    """Do nothing with a registration."""


async def _reject_request(request: Request, send: Send) -> Reply:
    reason = f"not for this process: {type(request).__name__}"
    return Failed(failure=Failure(kind=ErrorKind.MALFORMED, reason=reason))
