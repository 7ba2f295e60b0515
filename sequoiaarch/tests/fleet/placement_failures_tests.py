"""Test the failure modes of placements between gateways over real sockets."""

from __future__ import annotations

import asyncio
import time
import unittest
from unittest import mock

import msgspec

from ...errors import ErrorKind, FailureError
from ...fleet.placement_book import GRANT_LIFE
from ...fleet.placement_service import (
    PLACE_TIMEOUT,
    REPORT_INTERVAL,
    Placement,
    RefusedBy,
)
from ...ids import DataCentre, InstanceId, OpeningId, ProgramId
from ...ledger.ledger import Ledger
from ...ledger.partition_map import PartitionMap
from ...ledger.terms import BudgetVerdict, LookupFailure
from ...ledger.turns import OpenTurn
from ...policies.pace import PaceSample
from ...wire.links import Send
from ...wire.messages import (
    CloseTurnRequest,
    CommitTurnRequest,
    LoadReportRequest,
    Message,
    OpenTurnRequest,
    Ping,
    PlaceProgramRequest,
    ProgramPlaced,
    Reply,
    Request,
    TurnOpened,
    TurnRefused,
    decode_reply,
    decode_request,
    encode,
)
from .placement_host import (
    HERE,
    TEST_TIMEOUT,
    THERE,
    PlacementHost,
    PlacementTestCase,
    demand,
    engine,
    start,
)

# The limit for a turn to open, whatever fails. Seconds.
OPEN_LIMIT = 0.3
ENGINE = InstanceId("i-1")


class TurnsTestCase(PlacementTestCase):
    """Open and end turns of programs."""

    async def opened(
        self, gateway: PlacementHost, program: str, turn: str = "t1", **extra: str
    ) -> OpenTurn:
        """Open a turn and assert that it is granted."""
        turn_start = start(program, turn, previous=extra.get("previous"))
        result = await gateway.turns.open(turn_start, demand())
        assert not isinstance(result, BudgetVerdict | LookupFailure), result
        self.assertIs(await result.verdict(), BudgetVerdict.FITS)
        return result

    async def run_turn(
        self, gateway: PlacementHost, program: str, turn: str = "t1", **extra: str
    ) -> InstanceId | None:
        """Run a turn on its engine and return that."""
        opened = await self.opened(gateway, program, turn, **extra)
        opened.engine.ran_at = opened.engine.home
        opened.write_index()
        opened.record_usage(10)
        await opened.commit(b"in", b"out")
        opened.close()
        return opened.engine.home

    async def until_reported(self, owner: PlacementHost, program: str) -> None:
        """Wait until an owner counts a program by a report."""
        book = owner.placements.owner.book
        name = ProgramId(f"{program}#s")
        async with asyncio.timeout(TEST_TIMEOUT):
            while name not in book._entries or not book._entries[name].reporters:
                await asyncio.sleep(0.01)


class OwnerFailureTests(TurnsTestCase):
    """Test owners that fail, change or disagree."""

    async def test_frozen_owner(self) -> None:
        """Open a turn in time if the owner is silent; ask the next one after that."""
        await self.connect()
        owner = self.owner()
        gateway, other = self.others(owner)
        owner.handler = owner.freeze
        program = self.program(gateway, gateway)
        started_at = time.monotonic()
        turn = await self.opened(gateway, program)
        self.assertLess(time.monotonic() - started_at, OPEN_LIMIT)
        self.assertIsNone(turn.engine.home)
        second = await self.opened(gateway, program + "x")
        self.assertIsNotNone(second.engine.home)
        self.assertIn(second.engine.placed_by, (gateway.name, other.name))

    async def test_frozen_owner_and_delegate(self) -> None:
        """Open a turn in time if its delegate and the owner are both silent."""
        await self.connect()
        owner = self.owner()
        gateway, delegate = self.others(owner)
        program = self.program(gateway, delegate)
        owner.handler = owner.freeze
        delegate.handler = delegate.freeze
        started_at = time.monotonic()
        await self.opened(gateway, program)
        self.assertLess(time.monotonic() - started_at, OPEN_LIMIT)

    async def test_owner_of_an_older_build(self) -> None:
        """Start a program without a placement if the owner can't decode requests.

        The next owner is asked for the next program.
        """
        await self.connect()
        owner = self.owner()
        gateway = self.others(owner)[0]
        owner.handler = owner.answer_as_older
        program = self.program(gateway, gateway)
        turn = await self.opened(gateway, program)
        self.assertIsNone(turn.engine.home)
        self.assertIsNotNone((await self.opened(gateway, program + "x")).engine.home)
        self.assertNotEqual(gateway.placements.owner_of(HERE), owner.name)

    async def test_next_owner_learns_programs(self) -> None:
        """Know all programs after one round of reports if the owner is replaced.

        Until then nothing is refused.
        """
        await self.connect()
        owner = self.owner()
        homes = {}
        for gateway in self.others(owner):
            program = self.program(gateway, gateway)
            homes[f"{program}#s"] = await self.run_turn(gateway, program)
            await self.opened(gateway, program, "t2", previous="t1")
        self.register(without=owner.name)
        name = self.others(owner)[0].placements.owner_of(HERE)
        assert name is not None
        successor = self.hosts[name]
        book = successor.placements.owner.book
        self.assertFalse(book.warm(asyncio.get_running_loop().time()))
        placed = await successor.placements.place(ProgramId("new"), demand())
        self.assertIsInstance(placed, Placement)
        await asyncio.sleep(2 * REPORT_INTERVAL)
        known = {name: book._entries[ProgramId(name)].instance for name in homes}
        self.assertEqual(known, homes)

    async def test_owner_that_takes_over_refuses_nothing(self) -> None:
        """Refuse nothing in the first 0.4 s, although the first report fills it."""
        owner = self.owner()
        for report in self.full_reports():
            owner.placements.answer_report(report)
        placed = await owner.placements.place(ProgramId("new"), demand())
        self.assertIsInstance(placed, Placement)
        await self.fill(owner)
        placed = await owner.placements.place(ProgramId("newer"), demand())
        self.assertIsInstance(placed, RefusedBy)

    async def test_two_owners(self) -> None:
        """Grant at most twice the places while two gateways think they are owners."""
        await self.connect()
        first, second = list(self.hosts.values())[:2]
        for host in (first, second):
            await self.fill_partly(host)
        granted = 0
        for number in range(60):
            for host in (first, second):
                request = PlaceProgramRequest(
                    program=ProgramId(f"{host.name}-{number}"), demand=demand()
                )
                granted += host.placements.answer_place(request).instance is not None
        alone = self.others(first, second)[0]
        await self.fill_partly(alone)
        single = sum(
            alone.placements.answer_place(
                PlaceProgramRequest(program=ProgramId(f"x-{number}"), demand=demand())
            ).instance
            is not None
            for number in range(60)
        )
        self.assertGreater(single, 0)
        self.assertEqual(granted, 2 * single)

    async def fill_partly(self, owner: PlacementHost) -> None:
        """Make an owner warm by reports of one program."""
        report = self.full_reports()[0]
        one = msgspec.structs.replace(report, programs=report.programs[:1])
        for _ in range(4):
            owner.placements.answer_report(one)
            await asyncio.sleep(REPORT_INTERVAL)
        owner.placements.answer_report(one)

    async def test_owner_changes_when_hosts_do(self) -> None:
        """Agree on another owner at once when a host joins or leaves."""
        before = self.owner().name
        self.register(without=before)
        seen = {host.placements.owner_of(HERE) for host in self.hosts.values()}
        self.assertEqual(len(seen), 1)
        self.assertNotIn(before, seen)
        self.register()
        seen = {host.placements.owner_of(HERE) for host in self.hosts.values()}
        self.assertEqual(seen, {before})

    async def test_former_owner_forgets(self) -> None:
        """Drop all programs at a host that is no owner any more and gets no reports."""
        host = self.others(self.owner())[0]
        for report in self.full_reports():
            host.placements.answer_report(report)
        book = host.placements.owner.book
        self.assertTrue(book._entries)
        async with asyncio.timeout(TEST_TIMEOUT):
            while book._entries or book._homes or book._begun:
                await asyncio.sleep(0.05)

    async def test_host_is_replaced(self) -> None:
        """Believe the new process of a host although a report of the old is late."""
        owner = self.owner()
        late = self.full_reports()[0]
        old = msgspec.structs.replace(late, process="old")
        new = msgspec.structs.replace(late, process="new", programs=late.programs[:1])
        owner.placements.answer_report(new)
        owner.placements.answer_report(old)
        owner.placements.answer_report(new)
        book = owner.placements.owner.book
        await asyncio.sleep(0.9)
        owner.placements.answer_report(new)
        await asyncio.sleep(0.4)
        owner.placements.answer_report(new)
        self.assertEqual(book.programs(late.programs[0].instance), 1)


class DelegateFailureTests(TurnsTestCase):
    """Test delegates and gateways that fail."""

    async def test_lost_delegate(self) -> None:
        """Learn the home engine of a program from the owner if its delegate is lost."""
        await self.connect()
        owner = self.owner()
        gateway, delegate = self.others(owner)
        program = self.program(gateway, delegate)
        home = await self.run_turn(gateway, program)
        self.assertIsNotNone(home)
        await self.until_reported(owner, program)
        delegate.handler = delegate.freeze
        started_at = time.monotonic()
        turn = await self.opened(gateway, program, "t2", previous="t1")
        self.assertLess(time.monotonic() - started_at, OPEN_LIMIT)
        self.assertEqual(turn.engine.home, home)
        self.assertIn(ProgramId(f"{program}#s"), gateway.programs._programs)

    async def test_lost_gateway(self) -> None:
        """Drop the programs of a lost gateway a second after its last report."""
        await self.connect()
        owner = self.owner()
        gateway = self.others(owner)[0]
        program = self.program(gateway, gateway)
        await self.opened(gateway, program)
        await self.until_reported(owner, program)
        reporting = self.tasks[2 * list(self.hosts.values()).index(gateway) + 1]
        reporting.cancel()
        book = owner.placements.owner.book
        await asyncio.sleep(0.7)
        self.assertTrue(book.counts(ProgramId(f"{program}#s")))
        await asyncio.sleep(0.7)
        self.assertFalse(book.counts(ProgramId(f"{program}#s")))

    async def test_delegate_of_an_older_build(self) -> None:
        """Open turns at a delegate that ignores the new fields.

        It judges no program, so the gateway's estimate decides from the second program
        on, before a turn is opened.
        """
        await self.connect()
        owner = self.owner()
        gateway, delegate = self.others(owner)
        delegate.handler = delegate.answer_as_older
        program = self.program(gateway, delegate)
        turn = await gateway.turns.open(start(program), demand())
        assert not isinstance(turn, BudgetVerdict | LookupFailure)
        self.assertIsNone(turn.engine.home)
        turn.close()
        opened = delegate.asked(OpenTurnRequest)
        for number in range(1000):
            second = f"{program}-{number}"
            if gateway.delegates.delegate_of(ProgramId(second)) == delegate.name:
                break
        with self.assertRaises(FailureError) as raised:
            await gateway.turns.open(start(second, retry_if_full=0.7), demand())
        self.assertEqual(raised.exception.failure.retry_delay, 0.7)
        self.assertEqual(delegate.asked(OpenTurnRequest), opened)
        delegate.handler = delegate.answer
        await self.opened(gateway, second)
        third = await gateway.turns.open(start(program, "t9"), demand())
        assert not isinstance(third, BudgetVerdict | LookupFailure)
        self.assertFalse(gateway.turns._older)

    async def test_home_engine_drains(self) -> None:
        """Give a program another engine once its own takes no more work."""
        await self.connect()
        owner = self.owner()
        gateway, delegate = self.others(owner)
        program = self.program(gateway, delegate)
        home = await self.run_turn(gateway, program)
        await self.until_reported(owner, program)
        self.engines = [left for left in self.engines if left.instance != home]
        moved = await self.run_turn(gateway, program, "t2", previous="t1")
        self.assertIsNotNone(moved)
        self.assertNotEqual(moved, home)
        again = await self.run_turn(gateway, program, "t3", previous="t2")
        self.assertEqual(again, moved)


class SlowEngineTests(TurnsTestCase):
    """Test programs whose home engine has become slow."""

    async def run_first_turn(self) -> tuple[PlacementHost, PlacementHost, str]:
        """Run a turn and slow its engine down; return gateway, owner and program."""
        await self.connect()
        owner = self.owner()
        gateway, delegate = self.others(owner)
        program = self.program(gateway, delegate)
        self.home = await self.run_turn(gateway, program)
        await self.until_reported(owner, program)
        mock.patch.object(
            delegate.placements, "is_slow", lambda instance: instance == self.home
        ).start()
        self.addCleanup(mock.patch.stopall)
        return gateway, owner, program

    async def test_program_leaves_slow_engine(self) -> None:
        """Guards against programs that end late as their engine has become slow."""
        gateway, owner, program = await self.run_first_turn()
        assert self.home is not None
        owner.placements.owner.paces.add(
            PaceSample(instance=self.home, seconds=5.0, events=10),
            asyncio.get_running_loop().time(),
        )
        for other in self.engines:
            if other.instance != self.home:
                owner.placements.owner.paces.add(
                    PaceSample(instance=other.instance, seconds=0.1, events=10),
                    asyncio.get_running_loop().time(),
                )
        moved = await self.run_turn(gateway, program, "t2", previous="t1")
        self.assertIsNotNone(moved)
        self.assertNotEqual(moved, self.home)
        again = await self.run_turn(gateway, program, "t3", previous="t2")
        self.assertEqual(again, moved)

    async def test_program_stays_without_better_engine(self) -> None:
        """Guards against prompts that are processed again without a gain."""
        gateway, _, program = await self.run_first_turn()
        stays = await self.run_turn(gateway, program, "t2", previous="t1")
        self.assertEqual(stays, self.home)

    async def test_owner_is_lost(self) -> None:
        """Guards against turns of programs in progress that fail with the owner."""
        gateway, owner, program = await self.run_first_turn()
        owner.handler = owner.freeze
        stays = await self.run_turn(gateway, program, "t2", previous="t1")
        self.assertEqual(stays, self.home)


class CallerLeavesTests(TurnsTestCase):
    """Test callers that leave around a placement."""

    async def test_caller_leaves_while_placement_is_asked(self) -> None:
        """Free the place and open no turn if the caller leaves meanwhile.

        The close reaches the delegate while it still waits for the owner.
        """
        await self.connect()
        owner = self.owner()
        gateway, delegate = self.others(owner)
        program = self.program(gateway, delegate)
        asked = asyncio.Event()

        async def late(request: Request, send: Send) -> Reply:
            if isinstance(request, PlaceProgramRequest):
                asked.set()
                await asyncio.sleep(0.05)
            return await owner.answer(request, send)

        owner.handler = late
        opening = asyncio.create_task(gateway.turns.open(start(program), demand()))
        await asked.wait()
        opening.cancel()
        await asyncio.wait([opening])
        await asyncio.sleep(0.2)
        self.assertEqual(delegate.turn_server.open_turns, 0)
        self.assertFalse(delegate.programs._programs)
        await asyncio.sleep(GRANT_LIFE + REPORT_INTERVAL)
        self.assertFalse(owner.placements.owner.book._entries)

    async def test_close_overtakes_open(self) -> None:
        """Keep no program of a turn whose end was read before its opening."""
        host = self.owner()
        opening = OpeningId("w/1")

        async def send(reply: Reply) -> None:
            """Drop progress replies."""

        await host.turn_server.answer(CloseTurnRequest(opening=opening, handed=0), send)
        request = OpenTurnRequest(opening=opening, start=start("p"), demand=demand())
        await host.turn_server.answer(request, send)
        self.assertFalse(host.programs._programs)
        self.assertEqual(host.turn_server.open_turns, 0)

    async def test_turn_ends_unused(self) -> None:
        """Free the place of a program if a quota refuses it after the grant."""
        await self.connect()
        owner = self.owner()
        gateway, delegate = self.others(owner)
        program = self.program(gateway, delegate)
        turn = await self.opened(gateway, program)
        await self.until_reported(owner, program)
        turn.close()
        turn.close()
        await asyncio.sleep(3 * REPORT_INTERVAL)
        book = owner.placements.owner.book
        self.assertFalse(book._entries or book._homes)
        self.assertFalse(delegate.programs._programs)


class RefusalTests(TurnsTestCase):
    """Test programs that are refused, and those that must not be."""

    async def refused(
        self, gateway: PlacementHost, program: str, **extra: float
    ) -> FailureError:
        """Open a turn and return its refusal."""
        turn_start = start(program, retry_if_full=extra.get("retry_if_full"))
        with self.assertRaises(FailureError) as raised:
            await gateway.turns.open(turn_start, demand())
        return raised.exception

    async def records(self, program: str) -> bool:
        """Return whether the store has records of a program."""
        fresh = Ledger(
            log=self.store.client(), writer="x", partition_map=PartitionMap(per_topic=2)
        )
        return await fresh.may_know_program(ProgramId(program))

    async def test_refusal(self) -> None:
        """Refuse a program before anything is reserved or written."""
        await self.connect()
        owner = self.owner()
        gateway, delegate = self.others(owner)
        await self.fill(owner)
        for opener in (delegate, gateway):
            program = self.program(gateway, opener)
            failure = (await self.refused(gateway, program)).failure
            self.assertIs(failure.kind, ErrorKind.OVERLOADED)
            self.assertGreater(failure.retry_delay or 0.0, 0.0)
            self.assertIn(f"{owner.name} has no room", failure.reason)
            self.assertEqual(opener.turn_server.open_turns, 0)
            self.assertFalse(opener.programs._programs)
            self.assertFalse(await self.records(program))

    async def test_program_in_progress(self) -> None:
        """Refuse no turn of a program in progress, through any gateway."""
        await self.connect()
        owner = self.owner()
        gateway, delegate = self.others(owner)
        program = self.program(gateway, delegate)
        home = await self.run_turn(gateway, program)
        await self.fill(owner)
        for number, opener in enumerate((gateway, delegate, owner), start=2):
            ran_at = await self.run_turn(
                opener, program, f"t{number}", previous=f"t{number - 1}"
            )
            self.assertEqual(ran_at, home)

    async def test_program_without_history_in_progress(self) -> None:
        """Refuse no turn of a program whose turns name no previous one.

        Neither the owner nor the delegate has heard of it, but it has used tokens.
        """
        await self.connect()
        owner = self.owner()
        gateway = self.others(owner)[0]
        program = self.program(gateway, gateway)
        await self.run_turn(gateway, program)
        gateway.programs._programs.clear()
        gateway.programs._homes.clear()
        await self.fill(owner)
        book = owner.placements.owner.book
        book._remove(ProgramId(f"{program}#s"))
        book._homes.clear()
        await self.refused(gateway, program + "x")
        turn = await self.opened(gateway, program, "t2")
        self.assertIsNotNone(turn.engine.home)

    async def test_program_in_progress_in_another_data_centre(self) -> None:
        """Refuse no turn of a program whose turns came through another data centre.

        Neither the owner nor the delegate here has heard of it, and this delegate
        has not yet read what it used.
        """
        far = self.add_host("far", THERE)
        self.register()
        await self.connect()
        owner = self.owner()
        gateway = self.others(owner, far)[0]
        program = self.program(gateway, gateway)
        await self.run_turn(far, program)
        await self.fill(owner)
        await self.refused(gateway, program + "x")
        turn = await self.opened(gateway, program, "t2")
        self.assertIsNotNone(turn.engine.home)

    async def test_estimate_without_an_owner(self) -> None:
        """Refuse by the gateway's own estimate if no owner answers.

        Nothing is reserved. A program in progress is not refused.
        """
        await self.connect()
        for host in self.hosts.values():
            patch = mock.patch.object(host.placements, "_ask", _no_answer)
            patch.start()
            self.addCleanup(patch.stop)
        owner = self.owner()
        gateway, delegate = self.others(owner)
        for opener in (delegate, gateway):
            program = self.program(gateway, opener)
            failure = (await self.refused(gateway, program, retry_if_full=0.7)).failure
            self.assertIs(failure.kind, ErrorKind.OVERLOADED)
            self.assertEqual(failure.retry_delay, 0.7)
            self.assertEqual(opener.turn_server.open_turns, 0)
            self.assertFalse(await self.records(program))
            self.assertIsNone(await self.run_turn(gateway, program))
            turn = await gateway.turns.open(
                start(program, "t2", previous="t1", retry_if_full=0.7), demand()
            )
            self.assertNotIsInstance(turn, BudgetVerdict | LookupFailure)

    async def test_estimate_is_not_asked_beside_an_owner(self) -> None:
        """Let the owner decide where it answers."""
        await self.connect()
        gateway = self.others(self.owner())[0]
        program = self.program(gateway, gateway)
        turn = await gateway.turns.open(start(program, retry_if_full=0.7), demand())
        self.assertNotIsInstance(turn, BudgetVerdict | LookupFailure)

    async def test_store_unavailable(self) -> None:
        """Place and refuse programs while the store is unavailable."""
        await self.connect()
        owner = self.owner()
        for host in self.hosts.values():
            host.client.faults.down = True
        placed = await owner.placements.place(ProgramId("p"), demand())
        self.assertIsInstance(placed, Placement)
        await self.fill(owner)
        gateway, delegate = self.others(owner)
        program = self.program(gateway, delegate)
        failure = (await self.refused(gateway, program)).failure
        self.assertIs(failure.kind, ErrorKind.OVERLOADED)


class TwoCentresTests(TurnsTestCase):
    """Test placements between two data centres."""

    centres = (HERE, HERE, THERE)

    async def asyncSetUp(self) -> None:
        """Add an engine of the other data centre."""
        self.engines = []
        await super().asyncSetUp()

    def add_host(self, name: str, centre: DataCentre = HERE) -> PlacementHost:
        """Start a gateway that knows the engines of both data centres."""
        self.engines = [engine(1), engine(2, THERE)]
        return super().add_host(name, centre)

    async def hear_of_room(self, owner: PlacementHost) -> None:
        """Tell an owner of free placements in the other data centre."""
        report = LoadReportRequest(host=owner.name, programs=[], centre=THERE, free=100)
        owner.placements.answer_report(report)

    async def test_redirected_program(self) -> None:
        """Place a program in the other data centre if there is no room here."""
        await self.connect()
        owner, remote = self.owner(), self.owner(THERE)
        await self.fill(owner)
        await self.hear_of_room(owner)
        placed = await owner.placements.place(ProgramId("p"), demand())
        assert isinstance(placed, Placement)
        self.assertEqual((placed.instance, placed.owner), ("i-2", remote.name))

    async def test_both_centres_full(self) -> None:
        """Tell the retry time of this data centre if the other has no room either.

        No place is kept for the program there.
        """
        await self.connect()
        owner, remote = self.owner(), self.owner(THERE)
        await self.fill(owner, remote)
        await self.hear_of_room(owner)
        refused = await owner.placements.place(ProgramId("p"), demand())
        assert isinstance(refused, RefusedBy)
        self.assertEqual(refused.owner, owner.name)
        self.assertEqual(remote.asked(PlaceProgramRequest), 1)
        self.assertEqual(len(remote.placements.owner.book.returns), 0)

    async def test_frozen_owner_elsewhere(self) -> None:
        """Answer in time if the other owner is silent."""
        await self.connect()
        owner, remote = self.owner(), self.owner(THERE)
        await self.fill(owner)
        await self.hear_of_room(owner)
        remote.handler = remote.freeze
        started_at = time.monotonic()
        refused = await owner.placements.place(ProgramId("p"), demand())
        self.assertLess(time.monotonic() - started_at, PLACE_TIMEOUT + 0.1)
        self.assertIsInstance(refused, RefusedBy)


class _OlderOpen(Message, frozen=True, kw_only=True, tag="open"):
    """OpenTurnRequest of an older build, as far as it matters here."""

    opening: OpeningId


class _OlderOpened(Message, frozen=True, kw_only=True, tag="opened"):
    """TurnOpened of an older build."""

    history: None
    spent: int
    granted: bool
    covered: int | None = None


class MessageTests(unittest.TestCase):
    """Exchange messages with builds that do not know the new ones."""

    def test_older_build_reads_new_messages(self) -> None:
        """Let an older build ignore new fields and reject new requests."""
        older = msgspec.msgpack.Decoder(_OlderOpen | Ping)
        request = OpenTurnRequest(
            opening=OpeningId("w/1"), start=start("p"), demand=demand()
        )
        self.assertEqual(
            older.decode(encode(request)), _OlderOpen(opening=OpeningId("w/1"))
        )
        place = PlaceProgramRequest(program=ProgramId("p"), demand=demand())
        with self.assertRaises(msgspec.ValidationError):
            older.decode(encode(place))
        opened = TurnOpened(
            history=None, spent=3, granted=True, home=ENGINE, judged=True
        )
        replies = msgspec.msgpack.Decoder(_OlderOpened | Ping)
        expected = _OlderOpened(history=None, spent=3, granted=True)
        self.assertEqual(replies.decode(encode(opened)), expected)

    def without(self, message: Message, *fields: str) -> bytes:
        """Return a message as a build without some fields encodes it."""
        content = msgspec.msgpack.decode(encode(message))
        for name in fields:
            del content[name]
        return msgspec.msgpack.encode(content)

    def test_new_build_reads_older_messages(self) -> None:
        """Read messages without the new fields as if these had their defaults."""
        turn_start = start("p")
        opening = OpeningId("w/1")
        request = OpenTurnRequest(opening=opening, start=turn_start, demand=demand())
        content = msgspec.msgpack.decode(self.without(request, "demand"))
        del content["start"]["retry_if_full"]
        decoded = decode_request(msgspec.msgpack.encode(content))
        self.assertEqual(decoded, OpenTurnRequest(opening=opening, start=turn_start))
        close = CloseTurnRequest(opening=opening, handed=1, ran_at=ENGINE)
        self.assertEqual(
            decode_request(self.without(close, "ran_at")),
            CloseTurnRequest(opening=opening, handed=1),
        )
        opened = TurnOpened(
            history=None, spent=3, granted=True, home=ENGINE, judged=True
        )
        self.assertEqual(
            decode_reply(self.without(opened, "home", "placed_by", "judged")),
            TurnOpened(history=None, spent=3, granted=True),
        )
        refused = TurnRefused(verdict=BudgetVerdict.EXCEEDED)
        self.assertEqual(
            decode_reply(self.without(refused, "retry_after", "reason")), refused
        )
        self.assertIn("ran_at", CommitTurnRequest.__struct_fields__)

    def test_new_messages_are_read_back(self) -> None:
        """Read the new messages as they were written."""
        place = PlaceProgramRequest(program=ProgramId("p"), demand=demand())
        self.assertEqual(decode_request(encode(place)), place)
        placed = ProgramPlaced(retry_after=0.5, reason="full")
        self.assertEqual(decode_reply(encode(placed)), placed)


async def _no_answer(*args: object) -> tuple[None, None]:
    """Return no reply, as if no owner answered."""
    return None, None
