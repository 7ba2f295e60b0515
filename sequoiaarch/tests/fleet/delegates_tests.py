"""Test turns whose budget account is kept by a delegate."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Callable
from unittest import mock

import logbook
import msgspec
import zmq.asyncio

from ...errors import ErrorKind, Failure
from ...fleet.delegated_turn import DelegatedTurn
from ...fleet.delegates import DelegatedTurns, DelegateSelector
from ...fleet.peer_health import PeerHealth
from ...fleet.peers import PeerRecord, Peers, PeerServer
from ...fleet.turn_server import TurnServer, failure_reply
from ...ids import (
    DataCentre,
    HostName,
    OpeningId,
    ProgramId,
    SessionId,
    TurnId,
    WriterId,
)
from ...ledger import budgets as budgets_module
from ...ledger.ledger import Ledger
from ...ledger.partition_map import PartitionMap
from ...ledger.terms import BudgetVerdict, LookupFailure, TurnStart, TurnTerms
from ...ledger.turns import LocalTurn, LocalTurns, OpenTurn
from ...standins.keyed_store import KeyedStore, KeyedStoreClient
from ...storage.calls import StoreCall, StoreReply
from ...storage.keyed import KeyedRecord
from ...wire.links import Send
from ...wire.messages import (
    CloseTurnRequest,
    CommitTurnRequest,
    ConfirmTurnRequest,
    CoverTurnRequest,
    Failed,
    OpenTurnRequest,
    Reply,
    Request,
    decode_request,
    encode,
)
from ..hold_up import hold_up, sleep_running

LOCAL_CENTRE = DataCentre("here")
PROGRAM = ProgramId("program")
BUDGET = 800
MAX_TOKENS = 100
LIFETIME = 0.3
TEST_TIMEOUT = 10.0
# Exceeds the gateway's timeout for a delegate's first reply. Seconds.
LATE_REPLY_DELAY = 0.25
# Budget for about one and a half turns, in tokens.
SMALL_BUDGET = 160
# Initial grant of a turn under the small budget, and what the budget has left beside
# that grant and a whole turn, in tokens.
INITIAL_GRANT = 34
BUDGET_LEFT = SMALL_BUDGET - INITIAL_GRANT - MAX_TOKENS
# Delay between a caller's attempts while its budget is held, and their number.
RETRY_DELAY = 0.5
MAX_ATTEMPTS = 4
# Limit for the retry of a lost end report. Seconds.
RETRY_LIMIT = 3.0


def start(
    turn: str,
    *,
    previous: str | None = None,
    kept: bool = True,
    budget: int = BUDGET,
    lifetime: float = LIFETIME,
    session: str = "",
) -> TurnStart:
    """Return the start of a turn."""
    return TurnStart(
        terms=TurnTerms(
            turn=TurnId(turn),
            program=PROGRAM,
            budget=budget,
            most=MAX_TOKENS,
            retention=60.0,
            session=SessionId(session),
        ),
        previous=TurnId(previous) if previous else None,
        kept=kept,
        lifetime=lifetime,
    )


class FailingStoreClient:
    """Store client that fails every call."""

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Return a failure."""
        return Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason="not used here")


class Process:
    """The parts of a gateway that handle turns."""

    def __init__(
        self, *, name: str, context: zmq.asyncio.Context, client: KeyedStoreClient
    ) -> None:
        self.name = HostName(name)
        self.client = client
        self.server = PeerServer(
            context=context, address="127.0.0.1:*", client=FailingStoreClient()
        )
        self.address = self.server.address.removeprefix("tcp://")
        self.peers = Peers(
            context=context,
            own=self.name,
            own_address=self.address,
            data_centre=LOCAL_CENTRE,
            seeds=[],
            rng=random.Random(1),
        )
        self.ledger = Ledger(
            log=client, writer=name, partition_map=PartitionMap(per_topic=2)
        )
        local = LocalTurns(ledger=self.ledger)
        self.turn_server = TurnServer(local=local, ledger=self.ledger)
        self.server.fallback = self.turn_server.answer
        self.delegates = DelegateSelector(
            own=self.name, peers=self.peers, peer_health=PeerHealth()
        )
        self.turns = DelegatedTurns(
            delegates=self.delegates,
            local=local,
            ledger=self.ledger,
        )


class DelegatesTestCase(unittest.IsolatedAsyncioTestCase):
    """Run two processes of one data centre over real sockets."""

    async def asyncSetUp(self) -> None:
        """Start the delegate of the program and another gateway."""
        self.store = KeyedStore()
        self.context = zmq.asyncio.Context()
        self.closing: list[Callable[[], None]] = []
        self.serving: list[asyncio.Task[None]] = []
        names = ["one", "two"]
        processes = {name: self.process(name) for name in names}
        for process in processes.values():
            for other in processes.values():
                record = PeerRecord(address=other.address, data_centre=LOCAL_CENTRE)
                value = msgspec.json.encode(record)
                process.peers.apply(KeyedRecord(key=other.name, value=value))
        delegate = processes["one"].delegates.delegate_of(PROGRAM) or HostName("one")
        self.delegate = processes.pop(delegate)
        self.other = processes.popitem()[1]

    async def asyncTearDown(self) -> None:
        """Close everything."""
        for process in (self.delegate, self.other):
            process.peers.close()
            await process.ledger.close()
        for task in self.serving:
            task.cancel()
        for close in self.closing:
            close()
        self.context.destroy(linger=0)

    def process(self, name: str) -> Process:
        """Start a process."""
        process = Process(name=name, context=self.context, client=self.store.client())
        self.serving.append(asyncio.create_task(process.server.run()))
        self.closing.append(process.server.close)
        return process

    def set_delegate_handler(self, answer: Callable[[Request, Send], object]) -> None:
        """Replace the delegate's request handler."""
        self.delegate.server.fallback = answer  # type: ignore[assignment]

    async def opened(self, process: Process, turn_start: TurnStart) -> OpenTurn:
        """Open a turn and assert that it fits the budget."""
        result = await process.turns.open(turn_start)
        assert isinstance(result, LocalTurn | DelegatedTurn), result
        self.assertIs(await result.verdict(), BudgetVerdict.FITS)
        return result

    async def granted(self, *processes: Process) -> int:
        """Return the tokens granted to processes, as a fresh reader of the log sees."""
        fresh = Ledger(
            log=self.store.client(), writer="x", partition_map=PartitionMap(per_topic=2)
        )
        partition = fresh.partition(PROGRAM)
        self.assertTrue(await partition.sync())
        return sum(
            partition.state.granted(PROGRAM, WriterId(process.name))
            for process in processes
        )

    async def wait_until_closed(self, *, within: float) -> None:
        """Wait up to `within` seconds until the delegate has no open turn."""
        async with asyncio.timeout(within):
            while self.delegate.turn_server.open_turns:
                await asyncio.sleep(0.01)

    def delay_cover_requests(self, release: asyncio.Event) -> None:
        """Delay requests for more tokens at the delegate until an event is set."""
        original_handler = self.delegate.turn_server.answer

        async def delayed(request: Request, send: Send) -> Reply:
            if isinstance(request, CoverTurnRequest):
                await release.wait()
            return await original_handler(request, send)

        self.set_delegate_handler(delayed)

    async def start_fallback(self) -> tuple[OpenTurn, asyncio.Task[bool]]:
        """Return a turn whose delegate was lost, and its pending request for tokens.

        The store is slow, so the gateway still waits for the new reservation.
        """
        turn = await self.opened(self.other, start("t1", budget=4 * MAX_TOKENS - 10))
        self.assertFalse(turn.covers(40))
        turn.record_usage(30)
        ledger = self.delegate.ledger
        restarted = TurnServer(local=LocalTurns(ledger=ledger), ledger=ledger)
        self.set_delegate_handler(restarted.answer)
        self.assertTrue(await self.other.ledger.partition(PROGRAM).sync())
        self.other.client.faults.delay = 0.2
        waiting = asyncio.Event()
        verdict = LocalTurn.verdict

        async def recorded_verdict(local_turn: LocalTurn) -> BudgetVerdict:
            waiting.set()
            return await verdict(local_turn)

        with mock.patch.object(LocalTurn, "verdict", recorded_verdict):
            pending = asyncio.create_task(turn.cover(10))
            async with asyncio.timeout(TEST_TIMEOUT):
                await waiting.wait()
        return turn, pending

    async def assert_grant_released(self) -> None:
        """Assert that the gateway releases its own grant."""
        async with asyncio.timeout(TEST_TIMEOUT):
            while not await self.granted(self.other):
                await asyncio.sleep(0.01)
        self.other.client.faults.delay = 0.0
        async with asyncio.timeout(TEST_TIMEOUT):
            while await self.granted(self.other):
                await self.other.ledger.flush()
                await asyncio.sleep(0.01)

    async def run_turn(
        self, process: Process, turn_start: TurnStart, given: bytes, produced: bytes
    ) -> OpenTurn:
        """Run and commit a turn that uses ten tokens."""
        turn = await self.opened(process, turn_start)
        turn.write_index()
        turn.record_usage(10)
        await turn.commit(given, produced)
        turn.close()
        return turn


class DelegatesTests(DelegatesTestCase):
    """Test turns opened through a gateway and its program's delegate."""

    async def test_turns_through_gateway_and_delegate(self) -> None:
        """Continue a program at either process without reading the store.

        The delegate has the history in memory.
        """
        await self.run_turn(self.other, start("t1"), b"in", b"out")
        calls = self.store.listings
        turn = await self.run_turn(
            self.delegate, start("t2", previous="t1"), b"in2", b"out2"
        )
        assert turn.history is not None
        self.assertEqual(turn.history.prompt, b"inout")
        third = await self.opened(self.other, start("t3", previous="t2"))
        assert third.history is not None
        self.assertEqual(third.history.prompt, b"inoutin2out2")
        self.assertIsInstance(third, DelegatedTurn)
        self.assertEqual(self.store.listings, calls)

    async def test_unknown_previous_turn(self) -> None:
        """Report an unknown previous turn as absent."""
        result = await self.other.turns.open(start("t2", previous="nothing"))
        self.assertIs(result, LookupFailure.ABSENT)

    async def test_unresponsive_delegate(self) -> None:
        """Open a turn locally if the delegate does not answer.

        The gateway continues from the same history and backs off from the delegate.
        """
        await self.run_turn(self.other, start("t1"), b"in", b"out")

        async def frozen(request: Request, send: Send) -> Reply:
            await asyncio.Event().wait()
            raise AssertionError

        self.set_delegate_handler(frozen)
        turn = await self.opened(self.other, start("t2", previous="t1"))
        self.assertIsInstance(turn, LocalTurn)
        assert turn.history is not None
        self.assertEqual(turn.history.prompt, b"inout")
        self.assertIsNone(self.other.delegates.delegate_of(PROGRAM))

    async def test_unresponsive_delegate_at_commit(self) -> None:
        """Commit a turn locally if the delegate does not answer the commit."""
        turn = await self.opened(self.other, start("t1"))
        turn.write_index()
        original_handler = self.delegate.turn_server.answer

        async def drop_commit(request: Request, send: Send) -> Reply:
            if isinstance(request, CommitTurnRequest):
                await asyncio.Event().wait()
            return await original_handler(request, send)

        self.set_delegate_handler(drop_commit)
        await turn.commit(b"in", b"out")
        fresh = Ledger(
            log=self.store.client(), writer="x", partition_map=PartitionMap(per_topic=2)
        )
        result = await fresh.history(PROGRAM, TurnId("t1"))
        assert not isinstance(result, LookupFailure)
        self.assertEqual(result.prompt, b"inout")

    async def test_delegate_restarts_during_turn(self) -> None:
        """Commit through a delegate that restarted and lost its open turns."""
        turn = await self.opened(self.other, start("t1"))
        turn.write_index()
        ledger = self.delegate.ledger
        restarted = TurnServer(local=LocalTurns(ledger=ledger), ledger=ledger)
        self.set_delegate_handler(restarted.answer)
        await turn.commit(b"in", b"out")
        result = await self.delegate.ledger.history(PROGRAM, TurnId("t1"))
        assert not isinstance(result, LookupFailure)
        self.assertEqual(result.prompt, b"inout")

    async def test_delegate_extends_grant(self) -> None:
        """Extend a partial grant at the delegate in the middle of a stream."""
        turn = await self.opened(self.other, start("t1", budget=3 * MAX_TOKENS))
        self.assertIsInstance(turn, DelegatedTurn)
        self.assertTrue(turn.covers(30))
        self.assertFalse(turn.covers(40))
        for _ in range(10):
            self.assertTrue(await turn.cover(10))
            turn.record_usage(10)
        turn.close()
        async with asyncio.timeout(TEST_TIMEOUT):
            while self.delegate.ledger.spent(start("t1").terms) < MAX_TOKENS:
                await asyncio.sleep(0.01)

    async def test_delegate_lost_between_grants(self) -> None:
        """Continue a stream locally if the delegate loses a partly granted turn.

        The tokens that the delegate had granted count as spent.
        """
        turn = await self.opened(self.other, start("t1", budget=3 * MAX_TOKENS))
        turn.record_usage(30)
        ledger = self.delegate.ledger
        restarted = TurnServer(local=LocalTurns(ledger=ledger), ledger=ledger)
        self.set_delegate_handler(restarted.answer)
        self.assertTrue(await turn.cover(30))
        turn.record_usage(30)
        self.assertIn("after all", turn.where)
        turn.write_index()
        await turn.commit(b"in", b"out")
        result = await self.delegate.ledger.history(PROGRAM, TurnId("t1"))
        assert not isinstance(result, LookupFailure)
        self.assertEqual(result.prompt, b"inout")

    async def test_commit_overtakes_cover_request(self) -> None:
        """Keep using a delegate that gets a request for tokens after the commit.

        The failure of such a request must neither count against the delegate nor
        reserve tokens locally for a turn that has ended.
        """
        turn = await self.opened(self.other, start("t1", budget=3 * MAX_TOKENS))
        turn.record_usage(30)
        turn.write_index()
        ended = asyncio.Event()
        self.delay_cover_requests(ended)
        pending = asyncio.create_task(turn.cover(10))
        await asyncio.sleep(0)
        await turn.commit(b"in", b"out")
        ended.set()
        covered = await pending
        self.assertEqual(self.other.delegates.delegate_of(PROGRAM), self.delegate.name)
        self.assertFalse(covered)
        self.assertEqual(await self.granted(self.other), 0)

    async def test_close_overtakes_cover_request(self) -> None:
        """Keep using a delegate that gets a request for tokens after the close."""
        turn = await self.opened(
            self.other, start("t1", budget=3 * MAX_TOKENS, kept=False)
        )
        turn.record_usage(30)
        ended = asyncio.Event()
        self.delay_cover_requests(ended)
        pending = asyncio.create_task(turn.cover(10))
        await asyncio.sleep(0)
        turn.close()
        await self.wait_until_closed(within=TEST_TIMEOUT)
        ended.set()
        covered = await pending
        self.assertEqual(self.other.delegates.delegate_of(PROGRAM), self.delegate.name)
        self.assertFalse(covered)
        self.assertEqual(await self.granted(self.other), 0)

    async def test_caller_leaves_during_fallback(self) -> None:
        """Release a local reservation whose caller leaves before it is granted.

        A reservation left open would block that part of the budget for good.
        """
        turn, pending = await self.start_fallback()
        pending.cancel()
        await asyncio.wait([pending])
        turn.close()
        await self.assert_grant_released()

    async def test_caller_leaves_during_fallback_while_held_up(self) -> None:
        """Ask the delegate also if the event loop is blocked while it answers.

        The gateway used to open the turn itself, so that there was nothing to fall
        back from.
        """
        hold_up(0.15)
        turn, pending = await self.start_fallback()
        pending.cancel()
        await asyncio.wait([pending])
        turn.close()
        await self.assert_grant_released()

    async def test_turn_ends_during_fallback(self) -> None:
        """Release a local reservation whose turn ends before it is granted."""
        turn, pending = await self.start_fallback()
        turn.close()
        self.assertFalse(await pending)
        await self.assert_grant_released()

    async def test_slow_delegate_during_stream(self) -> None:
        """Wait longer for a busy delegate in a running stream than at its start."""
        turn = await self.opened(self.other, start("t1", budget=3 * MAX_TOKENS))
        turn.record_usage(30)
        original_handler = self.delegate.turn_server.answer

        async def delayed(request: Request, send: Send) -> Reply:
            if isinstance(request, CoverTurnRequest):
                await asyncio.sleep(0.2)
            return await original_handler(request, send)

        self.set_delegate_handler(delayed)
        self.assertTrue(await turn.cover(30))
        self.assertNotIn("after all", turn.where)
        turn.close()

    async def test_delegate_lost_with_small_budget(self) -> None:
        """Wait for a lost delegate's grant to expire instead of cutting off the stream.

        The budget has no room for that grant and the same reservation here.
        """
        turn = await self.opened(self.other, start("t1", budget=MAX_TOKENS + 40))
        turn.record_usage(30)

        async def reject(request: Request, send: Send) -> Reply:
            return failure_reply("not open here")

        self.set_delegate_handler(reject)
        with mock.patch.object(budgets_module, "RELEASE_TIMEOUT", 0.5):
            self.assertTrue(await turn.cover(70))
        turn.close()

    async def test_budget_across_gateway_and_delegate(self) -> None:
        """Stay within the budget if the delegate is lost between turns.

        The tokens granted to the delegate count for the gateway's own account.
        """
        used = 0
        for number in range(4):
            turn = await self.opened(self.other, start(f"t{number}", kept=False))
            turn.record_usage(MAX_TOKENS)
            used += MAX_TOKENS
            turn.close()

        async def frozen(request: Request, send: Send) -> Reply:
            await asyncio.Event().wait()
            raise AssertionError

        self.set_delegate_handler(frozen)
        for number in range(20):
            result = await self.other.turns.open(start(f"u{number}", kept=False))
            if isinstance(result, LookupFailure | BudgetVerdict):
                break
            if await result.verdict() is BudgetVerdict.FITS:
                result.record_usage(MAX_TOKENS)
                used += MAX_TOKENS
            result.close()
        self.assertLessEqual(used, BUDGET)

    async def test_concurrent_turns_share_no_grant(self) -> None:
        """Never cover a turn with tokens that were granted to a concurrent one.

        Without the store, both turns could otherwise use the same tokens, and more
        than the log grants would go out.
        """
        budget = int(3.9 * MAX_TOKENS)
        turns = [
            await self.opened(
                self.other, start(name, budget=budget, lifetime=TEST_TIMEOUT)
            )
            for name in ("t1", "t2")
        ]
        self.delegate.client.faults.down = True
        used = 0
        for turn, tokens in zip(turns, (64, 34), strict=True):
            self.assertIsInstance(turn, DelegatedTurn)
            if await turn.cover(tokens):
                turn.record_usage(tokens)
                used += tokens
        self.assertLessEqual(used, await self.granted(self.delegate))

    async def test_gateway_lost_during_turn(self) -> None:
        """Count a whole turn as used if its gateway never reports the end."""
        await self.opened(self.other, start("t1", kept=False))
        handler = logbook.TestHandler()
        with handler.applicationbound():
            await self.wait_until_closed(within=TEST_TIMEOUT)
        turn = await self.opened(self.delegate, start("t2", kept=False))
        self.assertEqual(turn.spent, MAX_TOKENS)
        lines = "\n".join(handler.formatted_records)
        self.assertIn("turn t1 of program was never ended by its gateway", lines)
        self.assertIn("100 tokens count as used", lines)

    async def test_caller_leaves_during_open(self) -> None:
        """Count nothing for a caller that leaves before its turn is open."""
        self.delegate.client.faults.delay = 0.05
        opening = asyncio.create_task(self.other.turns.open(start("t1", kept=False)))
        await asyncio.sleep(0.03)
        opening.cancel()
        await asyncio.wait([opening])
        self.delegate.client.faults.delay = 0.0
        await asyncio.sleep(2 * LIFETIME)
        turn = await self.opened(self.delegate, start("t2", kept=False))
        self.assertEqual(turn.spent, 0)

    async def test_stopping_delegate(self) -> None:
        """Open no turns at a stopping delegate, but commit those that are open."""
        first = await self.opened(self.other, start("t1"))
        self.delegate.turn_server.stopping = True
        second = await self.opened(self.other, start("t2"))
        self.assertIsInstance(second, LocalTurn)
        first.write_index()
        await first.commit(b"in", b"out")
        self.assertEqual(self.delegate.turn_server.open_turns, 0)

    async def test_store_unavailable(self) -> None:
        """Serve turns from the delegate's grant while the store is unavailable."""
        first = await self.opened(self.other, start("t0", kept=False))
        first.record_usage(10)
        first.close()
        for process in (self.delegate, self.other):
            process.client.faults.down = True
        opened_turns = 0
        for number in range(8):
            process = (self.delegate, self.other)[number % 2]
            result = await process.turns.open(start(f"t{number + 1}", kept=False))
            if isinstance(result, LookupFailure | BudgetVerdict):
                break
            opened_turns += 1
            result.record_usage(10)
            result.close()
        self.assertGreaterEqual(opened_turns, 2)


class LateDelegateTests(DelegatesTestCase):
    """Test that a late delegate releases turns that continued elsewhere."""

    def reply_late(self, kind: type[Request]) -> None:
        """Make the delegate handle a kind of request but reply too late."""
        original_handler = self.delegate.turn_server.answer

        async def answer(request: Request, send: Send) -> Reply:
            if not isinstance(request, kind):
                return await original_handler(request, send)
            work = asyncio.create_task(original_handler(request, discard_reply))
            await sleep_running(LATE_REPLY_DELAY)
            return await work

        self.set_delegate_handler(answer)

    def ignore_first(self, kind: type[Request]) -> None:
        """Make the delegate ignore the first request of a kind."""
        original_handler = self.delegate.turn_server.answer
        ignored: list[Request] = []

        async def answer(request: Request, send: Send) -> Reply:
            if isinstance(request, kind) and not ignored:
                ignored.append(request)
                await asyncio.Event().wait()
            return await original_handler(request, send)

        self.set_delegate_handler(answer)

    async def spent(self) -> int:
        """Return the spent tokens, as a fresh reader of the log sees them."""
        return await self.granted(self.delegate, self.other)

    async def wait_until_spent(self, tokens: int) -> None:
        """Wait until the log counts `tokens` as spent, or fail."""
        deadline = asyncio.get_running_loop().time() + RETRY_LIMIT
        while await self.spent() != tokens:
            if asyncio.get_running_loop().time() > deadline:
                self.assertEqual(await self.spent(), tokens)
            await asyncio.sleep(0.05)

    async def test_late_open_is_released(self) -> None:
        """Serve a retry after the delegate opened a turn too late.

        The late turn must not hold the budget for its whole lifetime.
        """
        self.reply_late(OpenTurnRequest)
        budget = int(1.6 * MAX_TOKENS)
        result: OpenTurn | LookupFailure | BudgetVerdict = BudgetVerdict.HELD
        for number in range(MAX_ATTEMPTS):
            turn_start = start(f"t{number}", budget=budget, lifetime=TEST_TIMEOUT)
            result = await self.other.turns.open(turn_start)
            if isinstance(result, LocalTurn | DelegatedTurn):
                break
            await asyncio.sleep(RETRY_DELAY)
        self.assertIsInstance(result, LocalTurn | DelegatedTurn)

    async def test_late_opens_count_as_unused(self) -> None:
        """Count turns that were opened too late as unused.

        Counted as used, they would exhaust the budget and refuse every retry.
        """
        self.reply_late(OpenTurnRequest)
        budget = int(1.6 * MAX_TOKENS)
        for number in range(2):
            result = await self.other.turns.open(start(f"t{number}", budget=budget))
            if isinstance(result, LocalTurn | DelegatedTurn):
                result.close()
            await asyncio.sleep(3 * LIFETIME)
            self.other.delegates.peer_health = PeerHealth()
        await self.wait_until_spent(0)
        result = await self.other.turns.open(start("t2", budget=budget))
        self.assertIsInstance(result, LocalTurn | DelegatedTurn)

    async def test_late_confirmation_is_released(self) -> None:
        """Count a turn once if its delegate confirms the grant too late.

        The gateway reserves the turn locally; the delegate must release its grant.
        """
        self.reply_late(ConfirmTurnRequest)
        turn = await self.opened(self.other, start("t1", kept=False))
        self.assertIn("after all", turn.where)
        turn.record_usage(10)
        turn.close()
        await asyncio.sleep(2 * LIFETIME)
        self.other.ledger._budgets.release_all()
        self.delegate.ledger._budgets.release_all()
        await self.wait_until_spent(10)

    async def test_end_reported_after_missed_commit(self) -> None:
        """Count only used tokens if the delegate missed the commit.

        The gateway writes the turn itself and reports the end to the delegate.
        """
        turn = await self.opened(self.other, start("t1", lifetime=TEST_TIMEOUT))
        self.ignore_first(CommitTurnRequest)
        turn.write_index()
        turn.record_usage(10)
        await turn.commit(b"in", b"out")
        turn.close()
        await self.wait_until_closed(within=RETRY_LIMIT)
        self.delegate.ledger._budgets.release_all()
        await self.wait_until_spent(10)

    async def test_lost_end_report_is_retried(self) -> None:
        """Retry a lost end report, so that the turn is not counted in full."""
        turn = await self.opened(
            self.other, start("t1", kept=False, lifetime=TEST_TIMEOUT)
        )
        self.ignore_first(CloseTurnRequest)
        turn.record_usage(10)
        turn.close()
        await self.wait_until_closed(within=RETRY_LIMIT)
        self.delegate.ledger._budgets.release_all()
        await self.wait_until_spent(10)

    async def test_end_overtakes_open(self) -> None:
        """Refuse to open a turn whose end arrived first, after a reconnect."""
        server = self.delegate.turn_server
        opening = OpeningId("1")
        await server.answer(CloseTurnRequest(opening=opening, handed=0), discard_reply)
        begin = OpenTurnRequest(opening=opening, start=start("t1"))
        reply = await server.answer(begin, discard_reply)
        self.assertIsInstance(reply, Failed)
        self.assertEqual(server.open_turns, 0)


class LostGatewayTests(DelegatesTestCase):
    """Test callers that return after their gateway was lost during a turn."""

    def small_start(self, turn: str, *, session: str = "line") -> TurnStart:
        """Return the start of a turn under the small budget."""
        return start(
            turn,
            kept=False,
            budget=SMALL_BUDGET,
            lifetime=TEST_TIMEOUT,
            session=session,
        )

    async def test_caller_comes_back_through_another_gateway(self) -> None:
        """Serve a caller that returns through another gateway at once.

        The delegate must hold only the initial grant of the abandoned turn, not all
        that it might have used.
        """
        await self.opened(self.other, self.small_start("t1"))
        turn = await self.opened(self.other, self.small_start("t2"))
        self.assertIsInstance(turn, DelegatedTurn)

    async def test_caller_comes_back_while_held_up(self) -> None:
        """Serve a caller through the delegate although the event loop is blocked.

        The gateway used to take the delegate for lost after 0.1 s in which it could
        not have received the reply.
        """
        hold_up(0.15)
        first = await self.opened(self.other, self.small_start("t1"))
        self.assertIsInstance(first, DelegatedTurn)
        hold_up(0.7)
        second = await self.opened(self.other, self.small_start("t2"))
        self.assertIsInstance(second, DelegatedTurn)

    async def test_caller_comes_back_through_the_delegate(self) -> None:
        """Serve a caller that returns to the delegate itself at once."""
        await self.opened(self.other, self.small_start("t1"))
        await self.opened(self.delegate, self.small_start("t2"))

    async def test_lost_turn_counts_whole_grant(self) -> None:
        """Count the whole grant of a lost turn as used when it expires."""
        turn_start = start("t1", kept=False, budget=SMALL_BUDGET, session="line")
        await self.opened(self.other, turn_start)
        await self.use_all_tokens(await self.opened(self.other, self.small_start("t2")))
        await self.wait_until_closed(within=TEST_TIMEOUT)
        self.assertEqual(
            self.delegate.ledger.spent(turn_start.terms), INITIAL_GRANT + MAX_TOKENS
        )

    async def test_frozen_gateway_resumes(self) -> None:
        """Limit an earlier turn to what the newer one leaves of the budget.

        The gateway of the earlier turn was frozen and continues it after waking.
        """
        earlier = await self.opened(self.other, self.small_start("t1"))
        newer = await self.opened(self.other, self.small_start("t2"))
        self.assertTrue(await earlier.cover(INITIAL_GRANT))
        earlier.record_usage(INITIAL_GRANT)
        for _ in range(2):
            self.assertTrue(await earlier.cover(BUDGET_LEFT // 2))
            earlier.record_usage(BUDGET_LEFT // 2)
        self.assertFalse(await earlier.cover(1))
        self.assertEqual(self.other.delegates.delegate_of(PROGRAM), self.delegate.name)
        await self.use_all_tokens(newer)

    async def test_earlier_turn_continues_after_newer_one(self) -> None:
        """Let an earlier turn use what the newer one of its caller released."""
        earlier = await self.opened(self.other, self.small_start("t1"))
        newer = await self.opened(self.other, self.small_start("t2"))
        newer.record_usage(10)
        newer.close()
        await self.use_all_tokens(earlier)

    async def test_late_end_of_earlier_turn(self) -> None:
        """Count exact usage if a turn's end arrives after the next one began."""
        earlier = await self.opened(self.other, self.small_start("t1"))
        earlier.record_usage(10)
        newer = await self.opened(self.other, self.small_start("t2"))
        earlier.close()
        await self.use_all_tokens(newer)
        await self.wait_until_closed(within=TEST_TIMEOUT)
        spent = self.delegate.ledger.spent(self.small_start("t1").terms)
        self.assertEqual(spent, 10 + MAX_TOKENS)

    async def test_late_open_of_earlier_turn(self) -> None:
        """Continue a turn although the opening of an abandoned one arrives late."""
        newer = await self.opened(self.other, self.small_start("t2"))
        late = await self.opened(self.other, self.small_start("t1"))
        newer.record_usage(INITIAL_GRANT)
        pending = asyncio.create_task(newer.cover(MAX_TOKENS - INITIAL_GRANT))
        await asyncio.sleep(LATE_REPLY_DELAY)
        late.close()
        self.assertTrue(await pending)

    async def test_other_sessions_keep_their_grant(self) -> None:
        """Release turns of the same session only, and none without a session."""
        for first, second in (("line", "other"), ("", "")):
            with self.subTest(first=first, second=second):
                turn_start = self.small_start(f"t-{first}", session=first)
                earlier = await self.opened(self.other, turn_start)
                result = await self.other.turns.open(
                    self.small_start("t2", session=second)
                )
                self.assertIs(result, BudgetVerdict.HELD)
                earlier.close()
                await self.wait_until_closed(within=TEST_TIMEOUT)

    async def test_request_without_session(self) -> None:
        """Accept a turn request without the session field."""
        opening = OpeningId("1")
        request = OpenTurnRequest(opening=opening, start=self.small_start("t1"))
        raw = msgspec.msgpack.decode(encode(request))
        del raw["start"]["terms"]["session"]
        result = decode_request(msgspec.msgpack.encode(raw))
        assert isinstance(result, OpenTurnRequest)
        self.assertEqual(result.start.terms.session, "")

    async def use_all_tokens(self, turn: OpenTurn) -> None:
        """Use all tokens of a turn in ten steps and close it."""
        for _ in range(10):
            self.assertTrue(await turn.cover(MAX_TOKENS // 10))
            turn.record_usage(MAX_TOKENS // 10)
        turn.close()


async def discard_reply(reply: Reply) -> None:
    """Discard a reply."""
