"""Test the path of requests between callers, targets and the store."""

from __future__ import annotations

import asyncio
from unittest import mock

from ...ids import ServiceName
from ...ledger.records import MAX_ID_BYTES
from ...ledger.terms import TurnContent
from ...ledger.turns import LocalTurn
from ...policies.retries import RETRY_BURST, RETRY_RATIO
from ...standins.target import TargetExchange, chunk, stream_head, whole_answer
from .deployment import (
    ENGINES,
    EVENT_TOKENS,
    ROUTES,
    TOOLS,
    DeploymentTestCase,
    attempt_of,
    config,
    events_of,
    longest_answer,
    not_run_answer,
    route,
    stream_answer,
    tool_answer,
)


class ServiceCallTests(DeploymentTestCase):
    """Call services."""

    async def test_safe_and_unsafe_routes(self) -> None:
        """Return the target's status, headers and body."""
        await self.add_target("i-1", TOOLS, tool_answer)
        daemon = await self.add_daemon("a")
        for path in ("/safe/x", "/once/x"):
            answer = await self.call(daemon, path, attempt="abc")
            self.assertEqual((answer.status, answer.body), (200, b"done abc"))
            self.assertEqual(answer.headers["x-server-stamp"], "s")

    async def test_unknown_route(self) -> None:
        """Refuse a request that matches no route."""
        await self.add_target("i-1", TOOLS, tool_answer)
        daemon = await self.add_daemon("a")
        self.assertEqual((await self.call(daemon, "/other/x")).status, 404)

    async def test_memory_headers_are_not_forwarded(self) -> None:
        """Forward no header that reserves engine memory."""
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
        """Use another target after one that states it did not run the request."""
        await self.add_target("i-1", TOOLS, not_run_answer)
        daemon = await self.add_daemon("a")
        answer = await self.call(daemon, "/once/x")
        self.assertEqual(answer.status, 429)
        self.assertIn("retry-after", answer.headers)
        await self.add_target("i-2", TOOLS, tool_answer)
        for _ in range(4):
            while (await self.call(daemon, "/once/x")).status != 200:
                await asyncio.sleep(0.05)

    async def test_only_target_is_slow(self) -> None:
        """Guards against giving up the only target for a retry that has none."""

        async def answer_late(exchange: TargetExchange) -> None:
            await asyncio.sleep(0.5)
            await tool_answer(exchange)

        quick = route("/safe/", "safe", TOOLS, maxAttempts=2, targetLatencyMs=100)
        await self.store.put("keyed.op", "config", config(2, [quick]))
        target = await self.add_target("i-1", TOOLS, answer_late)
        daemon = await self.add_daemon("a")
        answer = await self.call(daemon, "/safe/x")
        self.assertEqual((answer.status, len(target.exchanges)), (200, 1))

    async def test_unsafe_request_is_not_retried(self) -> None:
        """Send an unsafe request only once if its connection is reset.

        The request may have run, so the answer must not state the opposite.
        """

        async def reset_connection(exchange: TargetExchange) -> None:
            exchange.reset()

        first = await self.add_target("i-1", TOOLS, reset_connection)
        second = await self.add_target("i-2", TOOLS, reset_connection)
        daemon = await self.add_daemon("a")
        answer = await self.call(daemon, "/once/x")
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(first.exchanges) + len(second.exchanges), 1)

    async def test_safe_request_is_retried(self) -> None:
        """Retry a safe request after its connection was reset."""
        reset_done = asyncio.Event()

        async def reset_once(exchange: TargetExchange) -> None:
            if reset_done.is_set():
                await tool_answer(exchange)
                return
            reset_done.set()
            exchange.reset()

        await self.add_target("i-1", TOOLS, reset_once)
        await self.add_target("i-2", TOOLS, reset_once)
        daemon = await self.add_daemon("a")
        self.assertEqual((await self.call(daemon, "/safe/x")).status, 200)

    async def test_safe_request_is_retried_after_silence(self) -> None:
        """Retry a safe request at another target if the first never answers."""
        requested = asyncio.Event()

        async def silent_once(exchange: TargetExchange) -> None:
            if requested.is_set():
                await tool_answer(exchange)
                return
            requested.set()
            await exchange.disconnected.wait()

        await self.add_target("i-1", TOOLS, silent_once)
        await self.add_target("i-2", TOOLS, silent_once)
        daemon = await self.add_daemon("a")
        answer = await self.call(daemon, "/safe/x")
        self.assertEqual(answer.status, 200)

    async def test_unsafe_request_is_not_retried_after_silence(self) -> None:
        """Send an unsafe request only once if the target never answers."""

        async def stay_silent(exchange: TargetExchange) -> None:
            await exchange.disconnected.wait()

        first = await self.add_target("i-1", TOOLS, stay_silent)
        second = await self.add_target("i-2", TOOLS, stay_silent)
        daemon = await self.add_daemon("a")
        answer = await self.call(daemon, "/once/x", X_Deadline_Ms="1000")
        self.assertEqual(answer.status, 504)
        self.assertEqual(len(first.exchanges) + len(second.exchanges), 1)

    async def test_retry_budget(self) -> None:
        """Limit the share of retries while all requests to a service fail.

        Retrying each of them would double the load of a failing service.
        """

        async def reset_connection(exchange: TargetExchange) -> None:
            exchange.reset()

        targets = [
            await self.add_target(f"i-{number}", TOOLS, reset_connection)
            for number in (1, 2)
        ]
        daemon = await self.add_daemon("a")
        calls = 60
        for _ in range(calls):
            self.assertEqual((await self.call(daemon, "/safe/x")).status, 502)
        sent = sum(len(target.exchanges) for target in targets)
        self.assertLessEqual(sent, calls + RETRY_BURST + RETRY_RATIO * calls)
        self.assertGreater(sent, calls)

    async def test_route_timeout(self) -> None:
        """Answer 504 and close the connection to the target at the route's timeout."""

        async def hang(exchange: TargetExchange) -> None:
            await exchange.disconnected.wait()

        target = await self.add_target("i-1", TOOLS, hang)
        daemon = await self.add_daemon("a")
        routes = [*ROUTES, route("/slow/", "unsafe", TOOLS, timeoutMs=100)]
        await self.store.put("keyed.op", "config", config(2, routes))
        async with asyncio.timeout(10):
            while (await self.call(daemon, "/slow/x")).status != 504:
                await asyncio.sleep(0.01)
            await target.exchanges[0].disconnected.wait()

    async def test_older_configuration(self) -> None:
        """Ignore a configuration with a lower version than the current one."""
        await self.add_target("i-1", TOOLS, tool_answer)
        daemon = await self.add_daemon("a")
        routes = [*ROUTES, route("/more/", "safe", TOOLS)]
        await self.store.put("keyed.op", "config", config(5, routes))
        await self.store.put("keyed.op", "config", config(3, ROUTES))
        while (await self.call(daemon, "/more/x")).status != 200:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        self.assertEqual((await self.call(daemon, "/more/x")).status, 200)

    async def test_draining_target(self) -> None:
        """Send no more requests to a draining target."""
        target = await self.add_target("i-1", TOOLS, tool_answer)
        daemon = await self.add_daemon("a")
        await self.register("i-1", TOOLS, state="draining")
        async with asyncio.timeout(5):
            while daemon.targets.of(ServiceName(TOOLS)):
                await asyncio.sleep(0.01)
        self.assertEqual((await self.call(daemon, "/safe/x")).status, 503)
        self.assertEqual(target.exchanges, [])


class TurnTests(DeploymentTestCase):
    """Run turns of programs."""

    async def test_ids_that_are_too_long(self) -> None:
        """An id that no key can hold stops the writing of other programs' turns."""
        await self.add_target("i-1", ENGINES, stream_answer)
        daemon = await self.add_daemon("one")
        for size, status in ((MAX_ID_BYTES, 200), (MAX_ID_BYTES + 1, 400), (4000, 400)):
            answer = await self.turn(daemon, b"in", program="p" * size)
            self.assertEqual(answer.status, status)
            answer = await self.turn(daemon, b"in", attempt="a" * size)
            self.assertEqual(answer.status, status)
        self.assertIn(b"the id of the attempt has 4000 bytes", answer.body)
        answer = await self.turn(daemon, b"in", program="p" * 100)
        self.assertEqual((answer.status, answer.complete), (200, True))

    async def test_turns_alternate_between_daemons(self) -> None:
        """Send the complete prompt to the target for turns at alternating daemons.

        Callers send only the new input of each turn.
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
        """Retain a turn whose caller sets no budget."""
        await self.add_target("i-1", ENGINES, stream_answer)
        daemon = await self.add_daemon("a")
        answer = await self.call(
            daemon, "/kept/a", body=b"one;", attempt="t1", X_Program_Id="p"
        )
        self.assertEqual(answer.status, 200)
        answer = await self.turn(daemon, b"two;", program="p", previous="t1")
        self.assertEqual(answer.status, 200)

    async def test_unknown_turn(self) -> None:
        """Refuse to continue a turn that doesn't exist."""
        target = await self.add_target("i-1", ENGINES, stream_answer)
        daemon = await self.add_daemon("a")
        answer = await self.turn(daemon, b"one", previous="nothing")
        self.assertEqual(answer.status, 404)
        self.assertEqual(target.exchanges, [])

    async def test_truncated_turn(self) -> None:
        """Retain no turn whose stream broke off, and cut off its answer too."""

        async def break_off(exchange: TargetExchange) -> None:
            attempt = attempt_of(exchange)
            exchange.send(
                stream_head((("X-Attempt-Id", attempt), ("X-Server-Stamp", "s")))
            )
            exchange.send(chunk(events_of(attempt)[0]))
            await asyncio.sleep(0.05)
            exchange.reset()

        target = await self.add_target("i-1", ENGINES, break_off)
        daemon = await self.add_daemon("a")
        answer = await self.turn(daemon, b"one", attempt="t1")
        self.assertFalse(answer.complete)
        target.behaviour = stream_answer
        answer = await self.turn(daemon, b"two", previous="t1")
        self.assertEqual(answer.status, 404)

    async def test_turn_exceeds_its_first_grant(self) -> None:
        """Extend the grant of a turn during its stream, up to the budget.

        Each turn starts with a grant for a third of its maximum. The budget covers two
        turns; the third is refused and doesn't run.
        """

        target = await self.add_target("i-1", ENGINES, longest_answer)
        daemon = await self.add_daemon("a")
        answers = [await self.turn(daemon, b"x", budget=200) for _ in range(3)]
        self.assertEqual([answer.status for answer in answers], [200, 200, 402])
        self.assertTrue(all(answer.complete for answer in answers))
        self.assertEqual(len(target.exchanges), 2)

    async def test_stream_ends_during_grant_request(self) -> None:
        """Cancel a request for a larger grant before the turn is committed.

        A request that goes on would find no open turn, and the gateway would treat the
        delegate as lost.
        """
        steps: list[str] = []
        requested = asyncio.Event()
        commit_content = LocalTurn.commit_content

        async def never_cover(turn: LocalTurn, tokens: int) -> bool:
            if turn.covers(tokens):
                return True
            steps.append("asked")
            requested.set()
            try:
                await asyncio.Event().wait()
            finally:
                steps.append("asks no more")
            return False

        async def record_commit(turn: LocalTurn, content: TurnContent) -> None:
            steps.append("written")
            await commit_content(turn, content)

        async def end_after_request(exchange: TargetExchange) -> None:
            attempt = attempt_of(exchange)
            exchange.send(
                stream_head((("X-Attempt-Id", attempt), ("X-Server-Stamp", "s")))
            )
            for event in events_of(attempt):
                exchange.send(chunk(event))
            await requested.wait()
            exchange.send(chunk(b""))

        await self.add_target("i-1", ENGINES, end_after_request)
        daemon = await self.add_daemon("a")
        with (
            mock.patch.object(LocalTurn, "cover", never_cover),
            mock.patch.object(LocalTurn, "commit_content", record_commit),
        ):
            answer = await self.turn(daemon, b"one", attempt="t1", budget=200)
        self.assertEqual(answer.body, b"".join(events_of("t1")))
        self.assertEqual(steps, ["asked", "asks no more", "written"])

    async def test_budget(self) -> None:
        """Send no more tokens than the budget, and run nothing after a refusal."""
        target = await self.add_target("i-1", ENGINES, stream_answer)
        daemons = [await self.add_daemon("a"), await self.add_daemon("b")]
        budget = 300
        used_tokens = 0
        for number in range(40):
            answer = await self.turn(
                daemons[number % 2], b"x", budget=budget, path="/free/a"
            )
            if answer.status == 402:
                break
            used_tokens += answer.body.count(b"data:") * EVENT_TOKENS
            # Unused tokens of a turn are released within a second.
            await asyncio.sleep(0.5 if budget - used_tokens < 200 else 0)
        self.assertEqual(answer.status, 402)
        self.assertLessEqual(used_tokens, budget)
        self.assertGreater(used_tokens, budget - 100 - 3 * EVENT_TOKENS)
        request_count = len(target.exchanges)
        answer = await self.turn(daemons[0], b"x", budget=budget, path="/free/a")
        self.assertEqual(answer.status, 402)
        self.assertEqual(len(target.exchanges), request_count)

    async def test_failure_of_the_target(self) -> None:
        """Forward a failure of the target unchanged."""

        async def fail(exchange: TargetExchange) -> None:
            headers = (("X-Attempt-Id", attempt_of(exchange)),)
            exchange.send(whole_answer(b"sorry", status=500, headers=headers))

        await self.add_target("i-1", ENGINES, fail)
        daemon = await self.add_daemon("a")
        answer = await self.turn(daemon, b"one")
        self.assertEqual((answer.status, answer.body), (500, b"sorry"))

    async def test_store_rejects_one_daemon(self) -> None:
        """Refuse retained turns while the store rejects this daemon.

        Such a turn could not be committed, and its answer would never end.
        """
        target = await self.add_target("i-1", ENGINES, stream_answer)
        daemon = await self.add_daemon("a")
        self.clients["a"].faults.down = True
        self.assertNotEqual((await self.turn(daemon, b"first")).status, 200)
        request_count = len(target.exchanges)
        answer = await self.turn(daemon, b"second")
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(len(target.exchanges), request_count)
