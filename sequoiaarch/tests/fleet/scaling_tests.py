"""Count the work of one host as the fleet grows to the size that it is meant for."""

from __future__ import annotations

import json
import random
import unittest
from functools import partial
from unittest import mock

import zmq.asyncio

from ...fleet import ranking
from ...fleet.claims import SLOTS, Claims, slot_name
from ...fleet.delegates import DelegateSelector
from ...fleet.peer_health import PeerHealth
from ...fleet.peers import PeerRecord, Peers
from ...fleet.slot_claimer import SlotClaimer
from ...ids import DataCentre, HostName, Offset, ProgramId, WriterId
from ...ledger.loans import LoanBook
from ...ledger.split import PartLent
from ...storage.keyed import KeyedRecord, ListedRecord

SIZES = (30, 100, 540)
DATA_CENTRES = 5
OWN = HostName("h0")


def writer_of(number: int) -> WriterId:
    """Return the process of a host."""
    return WriterId(f"w{number}")


class _Host:
    """Hold what one host of a fleet knows of the others."""

    def __init__(self, *, size: int) -> None:
        context = mock.Mock(spec=zmq.asyncio.Context)
        self.peers = Peers(
            context=context,
            own=OWN,
            own_address="127.0.0.1:1",
            data_centre=DataCentre("0"),
            seeds=[],
            rng=random.Random(1),
        )
        records = [self._record(number) for number in range(size)]
        self.peers.replace(records)
        self.claims = Claims()
        self.peer_health = PeerHealth()
        self.claimer = SlotClaimer(
            writer=writer_of(0),
            own=OWN,
            peers=self.peers,
            book=LoanBook(split=PartLent()),
            claims=self.claims,
            peer_health=self.peer_health,
        )

    def _record(self, number: int) -> KeyedRecord:
        found = {
            "address": f"127.0.0.1:{1000 + number}",
            "data_centre": str(number % DATA_CENTRES),
            "writer": writer_of(number),
        }
        return KeyedRecord(key=f"h{number}", value=json.dumps(found).encode())


class GrowthTests(unittest.IsolatedAsyncioTestCase):
    """Count ranks that are computed: the cost of what every host does for itself."""

    def counted(self) -> mock.Mock:
        """Count the ranks from now on."""
        counting = mock.Mock(wraps=ranking.score)
        patched = mock.patch.object(ranking, "score", counting)
        patched.start()
        self.addCleanup(patched.stop)
        return counting

    async def test_first_claims_look_at_few_hosts(self) -> None:
        """Claim slots with a work that hardly grows with the fleet.

        All hosts start together and each decides which of 512 slots fall to it.
        Ranking all hosts for all slots takes 276,480 ranks at 540 hosts, while
        which a host answers nobody.
        """
        for size in SIZES:
            host = _Host(size=size)
            counting = self.counted()
            claimed = host.claimer._slots_to_claim()
            with self.subTest(size=size):
                looked = counting.call_count
                own = len(claimed) * size
                self.assertLessEqual(looked, own + 8 * SLOTS)
            mock.patch.stopall()

    async def test_every_slot_falls_to_one_host(self) -> None:
        """Agree with what a ranking of all hosts for a slot says."""
        host = _Host(size=30)
        hosts = [HostName(f"h{number}") for number in range(30)]
        claimed = set(host.claimer._slots_to_claim())
        for slot in range(SLOTS):
            name = slot_name(slot)
            first = max(hosts, key=partial(ranking.score, name))
            self.assertEqual(slot in claimed, first == OWN, slot)

    async def test_turn_ranks_nobody_twice(self) -> None:
        """Find a program's delegate without ranking until hosts change."""
        for size in SIZES:
            host = _Host(size=size)
            delegates = DelegateSelector(
                own=OWN, peers=host.peers, peer_health=host.peer_health
            )
            programs = [ProgramId(f"p{number}") for number in range(2000)]
            for program in programs:
                delegates.delegate_of(program)
            counting = self.counted()
            found = {delegates.delegate_of(program) for program in programs}
            with self.subTest(size=size):
                self.assertEqual(counting.call_count, 0)
                # A data centre of 108 hosts has less than five slots for each.
                self.assertGreaterEqual(len(found), 0.9 * size // DATA_CENTRES)
            host.peers.change(KeyedRecord(key="h5", value=b""))
            self.assertNotIn(
                "h5", {delegates.delegate_of(program) for program in programs}
            )
            mock.patch.stopall()

    async def test_loan_sorts_no_claims(self) -> None:
        """Find a slot's lenders without looking at the claims of others."""
        claims = Claims()
        for number in range(540):
            slots = list(range(number % SLOTS, SLOTS, 540)) + [7]
            value = {"type": "claim", "writer": writer_of(number), "slots": slots}
            record = ListedRecord(
                key=f"{writer_of(number)}/0",
                value=json.dumps(value).encode(),
                offset=Offset(number),
            )
            claims.change(record)
        self.assertEqual(len(claims.lenders_of(7)), 540)
        with mock.patch.object(claims, "all") as sorting:
            self.assertEqual(
                [one.rank for one in claims.lenders_of(7)], list(range(540))
            )
        sorting.assert_not_called()


class PeerRecordTests(unittest.TestCase):
    """Keep what is known of a host in one place."""

    def test_host_of_a_process(self) -> None:
        """Find the host of a process, and none for one that was replaced."""
        host = _Host(size=3)
        self.assertEqual(host.peers.host_of(writer_of(2)), "h2")
        record = PeerRecord(address="x:1", data_centre=DataCentre("0"))
        value = json.dumps({"address": record.address, "data_centre": "0"}).encode()
        host.peers.change(KeyedRecord(key="h2", value=value))
        self.assertIsNone(host.peers.host_of(writer_of(2)))
