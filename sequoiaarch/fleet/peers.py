"""Track the registered daemons and relay store calls through them."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import random
import secrets
from collections import defaultdict
from collections.abc import Callable, Collection, Mapping, Sequence

import logbook
import msgspec
import zmq.asyncio

from ..errors import ErrorKind, Failure
from ..ids import DataCentre, HostName, WriterId
from ..policies.lost_hosts import Suspicion
from ..storage.calls import StoreCall, StoreClient, StoreReply, unavailable
from ..storage.keyed import KeyedLog, KeyedRecord, Partition, Writer
from ..wire.accepted import MAX_CONNECTIONS, AcceptedConnections
from ..wire.links import Handler, Link, Links, Responder, Send
from ..wire.messages import Failed, Reply, Request, StoreAnswer, StoreRequest
from .ranking import known_weights

log = logbook.Logger("peers")

TOPIC = "keyed.peers"
PARTITION = Partition(topic=TOPIC, number=0)
# How long a failed peer is tried last. Seconds.
DEPRIORITISE_SECONDS = 3.0
MAX_PEERS_ASKED = 3
# A frozen peer does not answer; the call then goes to the next one. Seconds.
PEER_TIMEOUT = 0.5
# Seconds.
PEER_SILENCE_LIMIT = 1.0
REGISTER_RETRY_INTERVAL = 0.5
# Delay before another try when another host was faster. Seconds.
MAX_CONFLICT_DELAY = 0.1
# How long registration waits for the first list of registrations. Seconds.
FIRST_LIST_TIMEOUT = 1.0
SUSPICION_ID_BYTES = 6
MAX_PORT = 65535


class PeerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Registration of a daemon: its address, data centre and process.

    `settled` tells that the process has waited until it owned its shares of limits.
    `capacity` is that of the host in cores; 0 if it is unknown. `refutes` tells that
    the process registers again if it is suspected.

    A `suspicion` names the process in place of `writer`, so that a process of any build
    stops acting by a registration that is no longer its own.
    """

    address: str
    data_centre: DataCentre
    writer: WriterId = WriterId("")
    settled: bool = False
    capacity: float = 0.0
    refutes: bool = False
    suspicion: Suspicion | None = None

    @property
    def process(self) -> WriterId:
        """Return the registered process, suspected or not."""
        return self.writer if self.suspicion is None else self.suspicion.process


class Peers:
    """Registered daemons, with links to them and a relay for store calls."""

    def __init__(
        self,
        *,
        context: zmq.asyncio.Context,
        own: HostName,
        own_address: str,
        data_centre: DataCentre,
        seeds: list[str],
        rng: random.Random,
        capacity: float = 0.0,
    ) -> None:
        """Register with the `capacity` of this host in cores; 0 if it is unknown."""
        self._own = own
        self._capacity = capacity
        self._data_centre = data_centre
        self._own_address = own_address
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._rng = rng
        self._links = Links(context=context, silence_limit=PEER_SILENCE_LIMIT)
        self._known: dict[HostName, PeerRecord] = {}
        self._neighbours: list[HostName] = []
        self._hosts_by_writer: dict[WriterId, HostName] = {}
        # Incremented when a registration changes.
        self.version = 0
        # Incremented when the set of registered hosts changes.
        self.hosts_version = 0
        self._hosts_by_centre: dict[DataCentre, list[HostName]] = {}
        self._weights: dict[DataCentre, Mapping[HostName, float]] = {}
        self._local_weights: Mapping[HostName, float] = {}
        self._listed = asyncio.Event()
        # Called with this host's registration, None without one, and whether it was
        # read directly after the previous registration.
        self.on_own_registration: Callable[[PeerRecord | None, bool], None] = _ignore
        self._own_record: PeerRecord | None = None
        self._deprioritised_until: dict[str, float] = {}
        self._preferred: str | None = None
        self._registrations_written = 0

    def __len__(self) -> int:
        return len(self._known)

    def replace(self, records: Sequence[KeyedRecord]) -> None:
        """Replace all registrations by a complete list."""
        self._known.clear()
        self._own_record = None
        for record in records:
            self._update_registration(record)
        self._notify_own_registration(ordered=False)
        self._listed.set()
        self._rebuild_indexes()

    def apply(self, record: KeyedRecord) -> None:
        """Apply one registration or its removal."""
        self._update_registration(record)
        if record.key == self._own:
            self._notify_own_registration(ordered=True)
        self._rebuild_indexes()

    async def wait_listed(self) -> None:
        """Wait for the first list of registrations."""
        await self._listed.wait()

    async def wait_previous(self) -> None:
        """Wait for the previous registration of this host, but not for long.

        It tells whether this process replaces a lost one.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST_TIMEOUT):
                await self._listed.wait()

    def own_registration_is(self, writer: WriterId) -> bool:
        """Return whether this host's registration names a process."""
        return self._own_record is not None and self._own_record.writer == writer

    def listens_at(self, record: PeerRecord) -> bool:
        """Return whether this process has the address of a registration."""
        return record.address == self._own_address

    def host_of(self, writer: WriterId) -> HostName | None:
        """Return the other host that a process runs on; None if unregistered."""
        return self._hosts_by_writer.get(writer)

    def hosts_by_centre(self) -> dict[DataCentre, list[HostName]]:
        """Return all registered hosts by data centre, this one included."""
        return self._hosts_by_centre

    def weights(self, centre: DataCentre) -> Mapping[HostName, float]:
        """Return the weights of a data centre's registered hosts, in cores.

        Empty if they have the same capacity or one of them has none.
        """
        return self._weights.get(centre, {})

    def local_weights(self) -> Mapping[HostName, float]:
        """Return the weights of this host, registered or not, and its neighbours."""
        return self._local_weights

    def has_registration(self, host: HostName, writer: WriterId) -> bool:
        """Return whether another host's registration names a process."""
        record = self._known.get(host)
        return record is not None and record.process == writer

    def registrations(self) -> Mapping[HostName, PeerRecord]:
        """Return the registrations of all other hosts."""
        return self._known

    def registered(self, host: HostName) -> bool:
        """Return whether another host is registered."""
        return host in self._known

    def hosts(self) -> list[HostName]:
        """Return all other registered hosts."""
        return list(self._known)

    async def register(self, keyed_log: KeyedLog, writer: WriterId) -> None:
        """Write this process's registration, retrying until the store accepts it."""
        record = self._registration(writer, settled=False)
        log_writer = Writer(
            name=f"peer-{writer}", epoch=1, sequence=self._registrations_written
        )
        while True:
            result = await keyed_log.append(PARTITION, [record], writer=log_writer)
            if not isinstance(result, Failure):
                self._registrations_written += 1
                return
            await asyncio.sleep(REGISTER_RETRY_INTERVAL)

    async def mark_settled(self, keyed_log: KeyedLog, writer: WriterId) -> None:
        """Write that this process owns its shares, retrying until it is stored."""
        record = self._registration(writer, settled=True)
        while isinstance(await self._replace_own(keyed_log, writer, record), Failure):
            await asyncio.sleep(REGISTER_RETRY_INTERVAL)

    async def unregister(self, keyed_log: KeyedLog, writer: WriterId) -> None:
        """Remove this process's registration; a failure is only logged."""
        removal = KeyedRecord(key=self._own, value=b"")
        failure = await self._replace_own(keyed_log, writer, removal)
        if failure is not None:
            log.warning("own registration was not removed: {}", failure.reason)

    async def judge(
        self,
        keyed_log: KeyedLog,
        *,
        suspect: Collection[HostName],
        remove: Collection[HostName],
    ) -> Failure | None:
        """Register that some hosts are suspected, and remove suspected ones.

        Hosts whose registrations differ from those known here are left as they are.
        """
        seen = {host: self._known.get(host) for host in (*suspect, *remove)}
        changes = [KeyedRecord(key=host, value=b"") for host in remove]
        for host in suspect:
            record = seen[host]
            if record is not None and record.suspicion is None:
                value = msgspec.json.encode(self._suspected(record))
                changes.append(KeyedRecord(key=host, value=value))
        return await self._replace(
            keyed_log, changes, unless=lambda host, now: now != seen[host]
        )

    async def relay(self, call: StoreCall) -> StoreReply | Failure:
        """Relay a store call through a peer that reaches the store."""
        failure = Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason="no peer is known")
        for address in self._relay_candidates():
            timeout = call.timeout if call.waits else PEER_TIMEOUT
            link = self._links.to(f"tcp://{address}")
            reply = await link.call(StoreRequest(call=call), timeout=timeout)
            if isinstance(reply, StoreAnswer) and not reply.reply.rejected:
                self._preferred = address
                return reply.reply
            # The store may throttle this peer as well, but not the next one.
            self._deprioritise(address)
            if isinstance(reply, Failed):
                failure = reply.failure
        return failure

    def neighbours(self) -> list[HostName]:
        """Return the other registered hosts of this data centre."""
        return self._neighbours

    def knows_address(self, ip: str) -> bool:
        """Return whether another registered host has an IP address."""
        return any(
            record.address.rpartition(":")[0] == ip for record in self._known.values()
        )

    def link(self, host: HostName) -> Link | None:
        """Return the link to a host; None if it is not registered."""
        record = self._known.get(host)
        return self._links.to(f"tcp://{record.address}") if record else None

    def close(self) -> None:
        """Close all links."""
        self._links.close()

    def _registration(self, writer: WriterId, *, settled: bool) -> KeyedRecord:
        registration = PeerRecord(
            address=self._own_address,
            data_centre=self._data_centre,
            writer=writer,
            settled=settled,
            capacity=self._capacity,
            refutes=True,
        )
        return KeyedRecord(key=self._own, value=msgspec.json.encode(registration))

    def _suspected(self, record: PeerRecord) -> PeerRecord:
        """Return a registration with a suspicion of its process."""
        suspicion = Suspicion(
            id=secrets.token_hex(SUSPICION_ID_BYTES),
            process=record.process,
            author=self._own,
        )
        return msgspec.structs.replace(record, writer=WriterId(""), suspicion=suspicion)

    async def _replace_own(
        self, keyed_log: KeyedLog, writer: WriterId, record: KeyedRecord
    ) -> Failure | None:
        """Replace this process's registration while it is this host's latest."""
        return await self._replace(
            keyed_log,
            [record],
            unless=lambda host, now: now is None or now.writer != writer,
        )

    async def _replace(
        self,
        keyed_log: KeyedLog,
        changes: Sequence[KeyedRecord],
        *,
        unless: Callable[[HostName, PeerRecord | None], bool],
    ) -> Failure | None:
        """Write changes of registrations, `unless` the latest one rules a change out.

        The store may carry out an append late, when the registrations have changed. It
        is therefore bound to the end of the topic.
        """
        while True:
            newest = await keyed_log.newest(PARTITION)
            if isinstance(newest, Failure):
                return newest
            values = {found.key: found.value for found in newest.records}
            latest = {found.key: _decode(found) for found in newest.records}
            due = [
                change
                for change in changes
                if values.get(change.key) != change.value
                and not unless(HostName(change.key), latest.get(change.key))
            ]
            if not due:
                return None
            replaced = await keyed_log.append_at(PARTITION, due, end=newest.resume)
            if isinstance(replaced, Failure):
                return replaced
            if replaced:
                return None
            # Other hosts write at the same time.
            await asyncio.sleep(self._rng.uniform(0.0, MAX_CONFLICT_DELAY))

    def _update_registration(self, record: KeyedRecord) -> None:
        host = HostName(record.key)
        decoded = _decode(record)
        if decoded is not None and decoded.capacity < 0:
            log.warning("capacity {} of {} is ignored", decoded.capacity, host)
        if host == self._own:
            self._own_record = decoded
        elif decoded is not None:
            self._known[host] = decoded
        elif not record.value:
            self._known.pop(host, None)

    def _rebuild_indexes(self) -> None:
        """Recompute the lookups that each turn needs after a rare change of hosts."""
        self.version += 1
        self._neighbours = [
            host
            for host, record in self._known.items()
            if record.data_centre == self._data_centre
        ]
        self._hosts_by_writer = {
            record.process: host for host, record in self._known.items()
        }
        by_centre = defaultdict(list)
        for host, record in sorted(self._known.items()):
            by_centre[record.data_centre].append(host)
        if self._own_record is not None:
            by_centre[self._data_centre].append(self._own)
        if self._hosts_by_centre != by_centre:
            self._hosts_by_centre = dict(by_centre)
            self.hosts_version += 1
            self._close_unused_links()
        self._rebuild_weights()

    def _close_unused_links(self) -> None:
        """Close the links to hosts that have left, which would reconnect for ever."""
        addresses = {record.address for record in self._known.values()}
        self._links.close_unused(
            {f"tcp://{address}" for address in addresses.union(self._seeds)}
        )

    def _rebuild_weights(self) -> None:
        # The other hosts see the registration of this one and not its settings.
        record = self._own_record
        own_capacity = self._capacity if record is None else record.capacity
        capacities = {host: record.capacity for host, record in self._known.items()}
        capacities[self._own] = own_capacity
        self._weights = {
            centre: known_weights({host: capacities[host] for host in hosts})
            for centre, hosts in self._hosts_by_centre.items()
        }
        self._local_weights = known_weights(
            {host: capacities[host] for host in (self._own, *self._neighbours)}
        )

    def _notify_own_registration(self, *, ordered: bool) -> None:
        self.on_own_registration(self._own_record, ordered)

    def _relay_candidates(self) -> list[str]:
        """Return the addresses to try, in order.

        Peers of this data centre come first, since traffic between data centres is
        charged. Peers that failed lately come last.
        """
        now = asyncio.get_running_loop().time()
        neighbours = {self._known[host].address for host in self._neighbours}
        addresses = list(
            {*(record.address for record in self._known.values()), *self._seeds}
        )
        self._rng.shuffle(addresses)

        def rank(address: str) -> tuple[bool, bool, bool]:
            deprioritised = self._deprioritised_until.get(address, 0) > now
            return deprioritised, address not in neighbours, address != self._preferred

        addresses.sort(key=rank)
        return addresses[:MAX_PEERS_ASKED]

    def _deprioritise(self, address: str) -> None:
        now = asyncio.get_running_loop().time()
        self._deprioritised_until[address] = now + DEPRIORITISE_SECONDS
        if self._preferred == address:
            self._preferred = None


class PeerServer:
    """Serve peers: relay store calls and pass other requests to `fallback`."""

    def __init__(
        self,
        *,
        context: zmq.asyncio.Context,
        address: str,
        client: StoreClient,
        reaches_store: Callable[[], bool] = lambda: True,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._client = client
        self._reaches_store = reaches_store
        self.fallback: Handler = _reject_request
        self._responder = Responder(
            context=context,
            address=f"tcp://{address}",
            handler=self._answer,
            max_connections=max_connections,
        )

    @property
    def connections(self) -> AcceptedConnections:
        """Return the connections of peers."""
        return self._responder.connections

    @property
    def address(self) -> str:
        """Return the address that the server is bound to."""
        return self._responder.address

    async def run(self) -> None:
        """Serve peers for ever."""
        await self._responder.run()

    def close(self) -> None:
        """Stop serving."""
        self._responder.close()

    async def _answer(self, request: Request, send: Send) -> Reply:
        if not isinstance(request, StoreRequest):
            return await self.fallback(request, send)
        if not self._reaches_store():
            # Fail fast, so that the peer tries another one without a timeout.
            return Failed(
                failure=unavailable(
                    request.call, "store is not reachable from this peer either"
                )
            )
        reply = await self._client.call(request.call)
        if isinstance(reply, Failure):
            return Failed(failure=reply)
        return StoreAnswer(reply=reply)


def _decode(record: KeyedRecord) -> PeerRecord | None:
    if not record.value:
        return None
    try:
        registration = msgspec.json.decode(record.value, type=PeerRecord)
        _check_address(registration.address)
    except (ValueError, RecursionError) as error:
        log.warning("registration of {:.80} is invalid: {}", record.key, error)
        return None
    return registration


def _check_address(address: str) -> None:
    """Raise ValueError unless a link to an address can be made."""
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"address {address!r:.80} has no port in range")


def _ignore(record: PeerRecord | None, ordered: bool) -> None:
    """Ignore a change of this host's registration."""


async def _reject_request(request: Request, send: Send) -> Reply:
    reason = f"no handler for requests of type {type(request).__name__}"
    return Failed(failure=Failure(kind=ErrorKind.MALFORMED, reason=reason))
