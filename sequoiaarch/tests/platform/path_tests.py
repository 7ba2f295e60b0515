"""Test the whole path of a request, from callers to targets and the store."""

from __future__ import annotations

import asyncio
from unittest import mock

from ...ids import ServiceName
from ...ledger.terms import TurnContent
from ...ledger.turns import LocalTurn
from ...policies.retries import RETRY_BURST, RETRY_RATIO
from ...standins.target import TargetExchange, chunk, stream_head, whole_answer
from .site import (
    ENGINES,
    EVENT_TOKENS,
    ROUTES,
    TOOLS,
    SiteTestCase,
    attempt_of,
    config,
    events_of,
    longest_answer,
    not_run,
    route,
    stream_answer,
    tool_answer,
)


class PlainTests(SiteTestCase):
    """Test calls of plain services."""

    async def test_both_kinds(self) -> None:
        """Answer with the target's status, headers and body."""
        await self.add_target("i-1", TOOLS, tool_answer)
        daemon = await self.add_daemon("a")
        for path in ("/safe/x", "/once/x"):
            answer = await self.call(daemon, path, attempt="abc")
            self.assertEqual((answer.status, answer.body), (200, b"done abc"))
            self.assertEqual(answer.headers["x-server-stamp"], "s")

    async def test_unknown_route(self) -> None:
        """Refuse what no route matches."""
        await self.add_target("i-1", TOOLS, tool_answer)
        daemon = await self.add_daemon("a")
        self.assertEqual((await self.call(daemon, "/other/x")).status, 404)

    async def test_held_memory_is_not_the_callers(self) -> None:
        """Pass on no header by which a caller could hold engine memory."""
        target = await self.add_target("i-1", TOOLS, tool_answer)
        daemon = await self.add_daemon("a")
        await self.call(daemon, "/once/x", X_Pin_Ms="4000", Kv_From="a/b", X_Hold="h")
        names = [name.lower() for name, _ in target.exchanges[0].request.headers]
        for name in (b"x-pin-ms", b"kv-from", b"x-hold"):
            self.assertNotIn(name, names)
        self.assertEqual(
            target.exchanges[0].request.header(b"x-expect-instance"), b"i-1"
        )

    async def test_another_target_after_refusal(self) -> None:
        """Try another target after one that says it did not run the request."""
        await self.add_target("i-1", TOOLS, not_run)
        daemon = await self.add_daemon("a")
        answer = await self.call(daemon, "/once/x")
        self.assertEqual(answer.status, 429)
        self.assertIn("retry-after", answer.headers)
        await self.add_target("i-2", TOOLS, tool_answer)
        for _ in range(4):
            while (await self.call(daemon, "/once/x")).status != 200:
                await asyncio.sleep(0.05)

    async def test_answer_lost(self) -> None:
        """Run a request that can't be repeated once, and say nothing false.

        The target takes the request and its connection is reset without an
        answer. The request may have run, so it goes nowhere else, and the
        answer is no promise that it has not.
        """

        async def lose(exchange: TargetExchange) -> None:
            exchange.reset()

        first = await self.add_target("i-1", TOOLS, lose)
        second = await self.add_target("i-2", TOOLS, lose)
        daemon = await self.add_daemon("a")
        answer = await self.call(daemon, "/once/x")
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(first.exchanges) + len(second.exchanges), 1)

    async def test_safe_answer_lost(self) -> None:
        """Send a safe request once more after its answer was lost."""
        lost = asyncio.Event()

        async def lose_first(exchange: TargetExchange) -> None:
            if lost.is_set():
                await tool_answer(exchange)
                return
            lost.set()
            exchange.reset()

        await self.add_target("i-1", TOOLS, lose_first)
        await self.add_target("i-2", TOOLS, lose_first)
        daemon = await self.add_daemon("a")
        self.assertEqual((await self.call(daemon, "/safe/x")).status, 200)

    async def test_safe_answer_never_comes(self) -> None:
        """Ask another target when one keeps the connection and says nothing.

        The target runs the request and its answer is lost without a reset.
        The caller would wait until its deadline, and its program fails.
        """
        asked = asyncio.Event()

        async def first_is_mute(exchange: TargetExchange) -> None:
            if asked.is_set():
                await tool_answer(exchange)
                return
            asked.set()
            await exchange.disconnected.wait()

        await self.add_target("i-1", TOOLS, first_is_mute)
        await self.add_target("i-2", TOOLS, first_is_mute)
        daemon = await self.add_daemon("a")
        answer = await self.call(daemon, "/safe/x")
        self.assertEqual(answer.status, 200)

    async def test_mute_target_and_unsafe_request(self) -> None:
        """Ask nobody else where the request may have run and must not again."""

        async def mute(exchange: TargetExchange) -> None:
            await exchange.disconnected.wait()

        first = await self.add_target("i-1", TOOLS, mute)
        second = await self.add_target("i-2", TOOLS, mute)
        daemon = await self.add_daemon("a")
        answer = await self.call(daemon, "/once/x", X_Deadline_Ms="1000")
        self.assertEqual(answer.status, 504)
        self.assertEqual(len(first.exchanges) + len(second.exchanges), 1)

    async def test_retry_budget(self) -> None:
        """Repeat a few requests of a service that loses every answer, not all.

        Every target resets every request. Sending each one twice would double
        the load of a service that is in trouble already.
        """

        async def lose(exchange: TargetExchange) -> None:
            exchange.reset()

        targets = [await self.add_target(f"i-{one}", TOOLS, lose) for one in (1, 2)]
        daemon = await self.add_daemon("a")
        calls = 60
        for _ in range(calls):
            self.assertEqual((await self.call(daemon, "/safe/x")).status, 502)
        sent = sum(len(one.exchanges) for one in targets)
        self.assertLessEqual(sent, calls + RETRY_BURST + RETRY_RATIO * calls)
        self.assertGreater(sent, calls)

    async def test_route_timeout(self) -> None:
        """Give the final answer at the route's time limit."""

        async def hang(exchange: TargetExchange) -> None:
            await exchange.disconnected.wait()

        target = await self.add_target("i-1", TOOLS, hang)
        daemon = await self.add_daemon("a")
        slow = [*ROUTES, route("/slow/", "unsafe", TOOLS, timeoutMs=100)]
        await self.store.put("keyed.op", "config", config(2, slow))
        async with asyncio.timeout(10):
            while (await self.call(daemon, "/slow/x")).status != 504:
                await asyncio.sleep(0.01)
            await target.exchanges[0].disconnected.wait()

    async def test_older_configuration(self) -> None:
        """Keep the newest configuration when an older one is read again."""
        await self.add_target("i-1", TOOLS, tool_answer)
        daemon = await self.add_daemon("a")
        more = [*ROUTES, route("/more/", "safe", TOOLS)]
        await self.store.put("keyed.op", "config", config(5, more))
        await self.store.put("keyed.op", "config", config(3, ROUTES))
        while (await self.call(daemon, "/more/x")).status != 200:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        self.assertEqual((await self.call(daemon, "/more/x")).status, 200)

    async def test_draining_target(self) -> None:
        """Send nothing more to a target that drains."""
        target = await self.add_target("i-1", TOOLS, tool_answer)
        daemon = await self.add_daemon("a")
        await self.register("i-1", TOOLS, state="draining")
        async with asyncio.timeout(5):
            while daemon.targets.of(ServiceName(TOOLS)):
                await asyncio.sleep(0.01)
        self.assertEqual((await self.call(daemon, "/safe/x")).status, 503)
        self.assertEqual(target.exchanges, [])


class TurnTests(SiteTestCase):
    """Test turns of programs."""

    async def test_chain_over_two_daemons(self) -> None:
        """Give the target the whole prompt, wherever the turns arrived.

        Each turn arrives at the other daemon a moment after the last one's
        end, with its new input only.
        """
        target = await self.add_target("i-1", ENGINES, stream_answer)
        first = await self.add_daemon("a")
        second = await self.add_daemon("b")
        answer = await self.turn(first, b"one;", attempt="t1")
        self.assertEqual(answer.body, b"".join(events_of("t1")))
        await self.turn(second, b"two;", attempt="t2", previous="t1")
        answer = await self.turn(first, b"three;", attempt="t3", previous="t2")
        self.assertEqual(answer.status, 200)
        prompt = b"one;t1-1\nt1-2\nt1-3\ntwo;t2-1\nt2-2\nt2-3\nthree;"
        self.assertEqual(target.exchanges[2].request.body, prompt)

    async def test_turn_without_a_budget(self) -> None:
        """Keep a turn whose caller names no budget."""
        await self.add_target("i-1", ENGINES, stream_answer)
        daemon = await self.add_daemon("a")
        answer = await self.call(
            daemon, "/kept/a", body=b"one;", attempt="t1", X_Program_Id="p"
        )
        self.assertEqual(answer.status, 200)
        answer = await self.turn(daemon, b"two;", program="p", previous="t1")
        self.assertEqual(answer.status, 200)

    async def test_unknown_turn(self) -> None:
        """Refuse to continue a turn that never was."""
        target = await self.add_target("i-1", ENGINES, stream_answer)
        daemon = await self.add_daemon("a")
        answer = await self.turn(daemon, b"one", previous="nothing")
        self.assertEqual(answer.status, 404)
        self.assertEqual(target.exchanges, [])

    async def test_broken_turn(self) -> None:
        """Keep no turn whose stream broke off, and end it visibly."""

        async def break_off(exchange: TargetExchange) -> None:
            attempt = attempt_of(exchange)
            exchange.send(stream_head((("X-Attempt-Id", attempt),)))
            exchange.send(chunk(events_of(attempt)[0]))
            await asyncio.sleep(0.05)
            exchange.reset()

        target = await self.add_target("i-1", ENGINES, break_off)
        daemon = await self.add_daemon("a")
        answer = await self.turn(daemon, b"one", attempt="t1")
        self.assertFalse(answer.whole)
        target.behaviour = stream_answer
        answer = await self.turn(daemon, b"two", previous="t1")
        self.assertEqual(answer.status, 404)

    async def test_turn_that_outgrows_its_part(self) -> None:
        """Stream all that a turn may generate on a budget of two such turns.

        A third of the turn's most is granted when it begins, and more beside the
        stream. The caller gets it whole, the program has its two turns, and the
        third is refused for its budget without having run.
        """

        target = await self.add_target("i-1", ENGINES, longest_answer)
        daemon = await self.add_daemon("a")
        answers = [await self.turn(daemon, b"x", budget=200) for _ in range(3)]
        self.assertEqual([one.status for one in answers], [200, 200, 402])
        self.assertTrue(all(one.whole for one in answers))
        self.assertEqual(len(target.exchanges), 2)

    async def test_stream_ends_while_more_is_asked_for(self) -> None:
        """End what asks for more of a turn before the turn is written.

        More is asked for after the third event, one event before it is needed, and
        the stream ends there. A request for more that goes on would meet a turn that
        has ended: whoever keeps it would be taken for lost. The caller gets all.
        """
        steps: list[str] = []
        asked = asyncio.Event()
        commit_content = LocalTurn.commit_content

        async def never_covers(turn: LocalTurn, tokens: int) -> bool:
            if turn.covers(tokens):
                return True
            steps.append("asked")
            asked.set()
            try:
                await asyncio.Event().wait()
            finally:
                steps.append("asks no more")
            return False

        async def noted_commit(turn: LocalTurn, content: TurnContent) -> None:
            steps.append("written")
            await commit_content(turn, content)

        async def ends_then(exchange: TargetExchange) -> None:
            attempt = attempt_of(exchange)
            exchange.send(stream_head((("X-Attempt-Id", attempt),)))
            for event in events_of(attempt):
                exchange.send(chunk(event))
            await asked.wait()
            exchange.send(chunk(b""))

        await self.add_target("i-1", ENGINES, ends_then)
        daemon = await self.add_daemon("a")
        with (
            mock.patch.object(LocalTurn, "cover", never_covers),
            mock.patch.object(LocalTurn, "commit_content", noted_commit),
        ):
            answer = await self.turn(daemon, b"one", attempt="t1", budget=200)
        self.assertEqual(answer.body, b"".join(events_of("t1")))
        self.assertEqual(steps, ["asked", "asks no more", "written"])

    async def test_budget(self) -> None:
        """Hand out no more than the budget, and run nothing after a refusal."""
        target = await self.add_target("i-1", ENGINES, stream_answer)
        daemons = [await self.add_daemon("a"), await self.add_daemon("b")]
        budget = 300
        handed = 0
        for number in range(40):
            answer = await self.turn(
                daemons[number % 2], b"x", budget=budget, path="/free/a"
            )
            if answer.status == 402:
                break
            handed += answer.body.count(b"data:") * EVENT_TOKENS
            # What a turn did not use comes back within a second.
            await asyncio.sleep(0.5 if budget - handed < 200 else 0)
        self.assertEqual(answer.status, 402)
        self.assertLessEqual(handed, budget)
        self.assertGreater(handed, budget - 100 - 3 * EVENT_TOKENS)
        ran = len(target.exchanges)
        answer = await self.turn(daemons[0], b"x", budget=budget, path="/free/a")
        self.assertEqual(answer.status, 402)
        self.assertEqual(len(target.exchanges), ran)

    async def test_failure_of_the_target(self) -> None:
        """Pass on a target's failure as it is."""

        async def fail(exchange: TargetExchange) -> None:
            headers = (("X-Attempt-Id", attempt_of(exchange)),)
            exchange.send(whole_answer(b"sorry", status=500, headers=headers))

        await self.add_target("i-1", ENGINES, fail)
        daemon = await self.add_daemon("a")
        answer = await self.turn(daemon, b"one")
        self.assertEqual((answer.status, answer.body), (500, b"sorry"))

    async def test_store_turns_one_daemon_away(self) -> None:
        """Refuse a kept turn at once while nothing can be written.

        The store turns this daemon away. A turn that runs now could not be
        committed, and its caller would wait for an end that can't come.
        """
        target = await self.add_target("i-1", ENGINES, stream_answer)
        daemon = await self.add_daemon("a")
        self.clients["a"].faults.down = True
        self.assertNotEqual((await self.turn(daemon, b"first")).status, 200)
        ran = len(target.exchanges)
        answer = await self.turn(daemon, b"second")
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(len(target.exchanges), ran)
