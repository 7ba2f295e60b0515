"""Test limits: deadlines, buffers, queues, budgets, call counts and outages."""

from __future__ import annotations

import time
import unittest
from typing import Any

from ...client import ClientError
from ...config.settings import LimitOptions
from ...ids import HostName
from ...standins.engine import EngineOptions
from ...storage.interfaces import HostState
from ..base import (
    FAST_ENGINE,
    MODEL,
    Conversation,
    SystemUnderTest,
    in_thread,
    wait_until,
)


class LimitTests(unittest.TestCase):
    """Start a system for each limit."""

    def start(self, **options: Any) -> SystemUnderTest:
        """Start a system."""
        system = SystemUnderTest(**options).start()
        self.addCleanup(system.stop)
        return system

    def quick_limits(self, **changed: Any) -> LimitOptions:
        """Return limits with short timeouts, some of them overridden."""
        defaults = {
            "lame_duck": 0.0,
            "submit_timeout": 0.5,
            "append_interval": 0.0,
            "cache_check": 0.2,
        }
        return LimitOptions(**{**defaults, **changed})

    def error_of(self, work: Any) -> dict[str, Any]:
        """Return the body of the error response to a request."""
        with self.assertRaises(ClientError) as caught:
            work()
        return caught.exception.body

    def test_hung_tool(self) -> None:
        """Report an unknown outcome for a tool that hangs; never repeat the call."""
        system = self.start(policy={"service_timeout": 0.4})
        conversation = Conversation(client=system.client(), program="hung")
        conversation.say("hello")
        system.services[0].hang.set()
        self.addCleanup(system.services[0].hang.clear)
        body = self.error_of(lambda: conversation.tool("pay"))
        self.assertEqual(body["kind"], "outcome_unknown")
        self.assertEqual(body["not_run"], "unknown")
        repeated = self.error_of(lambda: conversation.tool("pay"))
        self.assertEqual(repeated["kind"], "outcome_unknown")
        self.assertEqual(system.executions()["pay"], 1)
        self.assertTrue(conversation.say("go on"))

    def test_deadline_in_the_queue_is_not_run(self) -> None:
        """Report a call as not run if its deadline passes in the queue."""
        system = self.start(
            engines=1, options=EngineOptions(slots=1, step=0.05, step_share=0.0)
        )
        slow = Conversation(client=system.client(), program="slow")
        running = in_thread(lambda: slow.say("take your time", tokens=60))
        wait_until(lambda: system.engines[0].requests == 1, "the slot is taken")
        client = system.client()
        body = {"model": MODEL, "messages": [{"role": "user", "content": "quick"}]}
        error = self.error_of(
            lambda: client.request(
                "POST", "/v1/chat/completions", body, {"X-Request-Timeout": "0.3"}
            )
        )
        self.assertEqual(error["kind"], "deadline_exceeded")
        self.assertIs(error["not_run"], True)
        self.assertEqual(system.engines[0].requests, 1)
        self.assertTrue(running.result(60))

    def test_full_queue(self) -> None:
        """Reject a call if the queue of its target is full."""
        system = self.start(
            engines=1,
            options=EngineOptions(slots=1, step=0.05, step_share=0.0),
            limits=self.quick_limits(queue_length=1),
        )
        conversations = [
            Conversation(client=system.client(), program=f"q-{n}") for n in range(3)
        ]
        first = in_thread(lambda: conversations[0].say("one", tokens=40))
        wait_until(lambda: system.engines[0].requests == 1, "the slot is taken")
        second = in_thread(lambda: conversations[1].say("two", tokens=2))
        queue = system.nodes["engine-1"].sidecar
        assert queue is not None
        wait_until(lambda: queue.load().queued == 1, "the queue is full")
        body = self.error_of(lambda: conversations[2].say("three", retry=False))
        self.assertEqual((body["kind"], body["not_run"]), ("overloaded", True))
        self.assertTrue(first.result(60) and second.result(60))

    def test_claim_timeout_is_not_run(self) -> None:
        """Report a call as not run if the append of its program's claim times out.

        Whether the log has the claim is unknown, but no call was dispatched. A retry
        is answered, and the target runs the call once.
        """
        system = self.start(engines=1, limits=self.quick_limits())
        conversation = Conversation(client=system.client(), program="doubtful")
        system.platform.faults.delay = 1.0
        body = self.error_of(lambda: conversation.say("hello", retry=False))
        self.assertEqual((body["kind"], body["not_run"]), ("log_unavailable", True))
        system.platform.faults.delay = 0.0
        self.assertTrue(conversation.say("hello"))
        self.assertEqual(system.engines[0].requests, 1)

    def test_reservation_timeout_is_not_run(self) -> None:
        """Report a call as not run if the append of its reservation times out.

        The second call needs more tokens than its program has reserved. A retry is
        answered, and the target runs the call once.
        """
        system = self.start(engines=1, limits=self.quick_limits())
        conversation = Conversation(client=system.client(), program="reserving")
        conversation.say("hello")
        system.platform.faults.delay = 1.0
        long = "a long text " * 400
        body = self.error_of(lambda: conversation.say(long, retry=False))
        self.assertEqual((body["kind"], body["not_run"]), ("log_unavailable", True))
        system.platform.faults.delay = 0.0
        self.assertTrue(conversation.say(long))
        self.assertEqual(system.engines[0].requests, 2)

    def test_maximum_number_of_calls(self) -> None:
        """Reject calls over the maximum number of calls of a program."""
        system = self.start(program={"max_calls": 3})
        conversation = Conversation(client=system.client(), program="loop")
        for _ in range(3):
            conversation.say("again")
        body = self.error_of(lambda: conversation.say("again", retry=False))
        self.assertEqual(body["kind"], "program_limit")

    def test_idle_program_is_ended_and_freed(self) -> None:
        """End a program that is idle for too long and free its engine memory."""
        system = self.start(policy={"idle_limit": 0.5})
        Conversation(client=system.client(), program="left").say("bye")
        wait_until(lambda: system.state("left").ended, "the end of the program")
        wait_until(
            lambda: not any(engine.cache_keys for engine in system.engines),
            "free memory",
        )

    def test_budget_is_never_exceeded(self) -> None:
        """Truncate an answer at the budget and reject further calls."""
        system = self.start(program={"budget": 700})
        conversation = Conversation(client=system.client(), program="poor")
        body: dict[str, Any] = {}
        for _ in range(12):
            try:
                conversation.say("spend", tokens=200, retry=False)
            except ClientError as error:
                body = error.body
                break
        self.assertEqual((body["kind"], body["not_run"]), ("budget_exhausted", True))
        state = system.state("poor")
        self.assertLessEqual(state.spent + state.open_block, 700)

    def test_engine_that_ignores_the_token_limit(self) -> None:
        """Truncate an answer of an engine that ignores the maximum of tokens."""
        system = self.start(program={"max_answer_tokens": 10})
        client = system.client()
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": "x"}],
            "stand_in": {"answer_tokens": 50, "ignore_limit": True},
        }
        headers = {"X-Program-Id": "greedy"}
        answer = client.request("POST", "/v1/chat/completions", body, headers)
        words = answer["choices"][0]["message"]["content"].split()
        self.assertEqual(len(words), 10)
        state = wait_until(lambda: system.state("greedy").seq == 1, "commit")
        state = system.state("greedy")
        self.assertLessEqual(state.spent + state.open_block, state.spec.budget)

    def test_long_outage_fills_the_buffer(self) -> None:
        """Buffer turns during an outage of the log, and commit all of them after it.

        Once the buffer is full, calls are rejected as not run, with a retry delay.
        """
        system = self.start(limits=self.quick_limits(uncommitted_bytes=1024))
        conversation = Conversation(client=system.client(), program="outage")
        conversation.say("before")
        wait_until(lambda: system.state("outage").seq == 1, "first commit")
        system.platform.faults.down = True
        body: dict[str, Any] = {}
        for number in range(50):
            try:
                conversation.say(f"during {number}", tokens=40, retry=False)
            except ClientError as error:
                body = error.body
                break
        self.assertEqual((body["kind"], body["not_run"]), ("log_unavailable", True))
        self.assertGreater(body["retry_after"], 0)
        self.assertGreater(len(conversation.messages), 2)
        tool_error = self.error_of(lambda: conversation.tool("pay"))
        self.assertIs(tool_error["not_run"], True)
        system.platform.faults.down = False
        turns = len(conversation.messages) // 2
        wait_until(lambda: system.state("outage").seq == turns, "all commits")
        self.assertTrue(conversation.say("after"))
        self.assertEqual(system.executions().get("pay", 0), 0)

    def test_overload_rejects_new_programs_first(self) -> None:
        """Reject new programs that would wait too long while running ones continue."""
        system = self.start(
            engines=1,
            options=EngineOptions(slots=1, step=0.01, step_share=0.0),
            policy={"start_wait": 0.3, "admission": "open"},
        )
        running = Conversation(client=system.client(), program="running")
        running.say("hello")
        refusals: list[dict[str, Any]] = []
        answers = []

        def start(number: int) -> None:
            conversation = Conversation(client=system.client(), program=f"new-{number}")
            try:
                answers.append(conversation.say("hello", tokens=12, retry=False))
            except ClientError as error:
                refusals.append(error.body)

        waiting = []
        for number in range(40):
            waiting.append(in_thread(lambda number=number: start(number)))  # type: ignore[misc]
            time.sleep(0.02)
        self.assertTrue(running.say("go on"))
        for future in waiting:
            future.result(60)
        self.assertGreater(len(answers), 0)
        self.assertGreater(len(refusals), 0)
        for body in refusals:
            self.assertEqual((body["kind"], body["not_run"]), ("overloaded", True))

    def test_gateway_starts_without_the_log(self) -> None:
        """Start a gateway during an outage of the log with its peers' configuration."""
        system = self.start()
        system.platform.faults.down = True
        node = system.add_gateway("gateway-2")
        self.assertEqual(len(node.core.catalogue.targets), 3)
        system.platform.faults.down = False

    def test_programs_leave_a_leaving_host(self) -> None:
        """Move programs away from a host that the host list marks as leaving."""
        system = self.start(options=FAST_ENGINE)
        conversation = Conversation(client=system.client(), program="mover")
        conversation.say("here")
        home = system.home_of("mover")
        system.platform.set_host(HostName(f"host-{home}"), HostState.LEAVING)
        wait_until(lambda: system.home_of("mover") != home, "the release")
        engine = system.engines[int(home[-1]) - 1]
        requests = engine.requests
        conversation.say("there")
        self.assertEqual(engine.requests, requests)
        self.assertNotEqual(system.home_of("mover"), home)
