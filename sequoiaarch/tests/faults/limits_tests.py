"""Test the bounds: deadlines, buffers, queues, loops, hung tools."""

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
    """Start a system for each bound."""

    def start(self, **options: Any) -> SystemUnderTest:
        """Start a system."""
        system = SystemUnderTest(**options).start()
        self.addCleanup(system.stop)
        return system

    def limits(self, **changed: Any) -> LimitOptions:
        """Return quick limits with some changed."""
        quick = {
            "lame_duck": 0.0,
            "submit_timeout": 0.5,
            "append_interval": 0.0,
            "cache_check": 0.2,
        }
        return LimitOptions(**{**quick, **changed})

    def refused(self, work: Any) -> dict[str, Any]:
        """Return the body of the error that something gets."""
        with self.assertRaises(ClientError) as caught:
            work()
        return caught.exception.body

    def test_hung_tool(self) -> None:
        """Give up on a tool that hangs; it may have run, and is not repeated.

        The tool takes the call and never answers. The caller is told after
        the timeout that the outcome is unknown, and the next call goes on.
        """
        system = self.start(policy={"service_timeout": 0.4})
        talk = Conversation(client=system.client(), program="hung")
        talk.say("hello")
        system.services[0].hang.set()
        self.addCleanup(system.services[0].hang.clear)
        body = self.refused(lambda: talk.tool("pay"))
        self.assertEqual(body["kind"], "outcome_unknown")
        self.assertEqual(body["not_run"], "unknown")
        again = self.refused(lambda: talk.tool("pay"))
        self.assertEqual(again["kind"], "outcome_unknown")
        self.assertEqual(system.executions()["pay"], 1)
        self.assertTrue(talk.say("go on"))

    def test_deadline_in_the_queue_is_not_run(self) -> None:
        """Say "not run" of a call whose deadline passed while it waited."""
        system = self.start(
            engines=1, options=EngineOptions(slots=1, step=0.05, step_share=0.0)
        )
        slow = Conversation(client=system.client(), program="slow")
        running = in_thread(lambda: slow.say("take your time", tokens=60))
        wait_until(lambda: system.engines[0].requests == 1, "the slot is taken")
        client = system.client()
        body = {"model": MODEL, "messages": [{"role": "user", "content": "quick"}]}
        error = self.refused(
            lambda: client.request(
                "POST", "/v1/chat/completions", body, {"X-Request-Timeout": "0.3"}
            )
        )
        self.assertEqual(error["kind"], "deadline_exceeded")
        self.assertIs(error["not_run"], True)
        self.assertEqual(system.engines[0].requests, 1)
        self.assertTrue(running.result(60))

    def test_full_queue(self) -> None:
        """Refuse what the queue of a target can't hold."""
        system = self.start(
            engines=1,
            options=EngineOptions(slots=1, step=0.05, step_share=0.0),
            limits=self.limits(queue_length=1),
        )
        talks = [
            Conversation(client=system.client(), program=f"q-{n}") for n in range(3)
        ]
        first = in_thread(lambda: talks[0].say("one", tokens=40))
        wait_until(lambda: system.engines[0].requests == 1, "the slot is taken")
        second = in_thread(lambda: talks[1].say("two", tokens=2))
        queue = system.nodes["engine-1"].sidecar
        assert queue is not None
        wait_until(lambda: queue.load().queued == 1, "the queue is full")
        body = self.refused(lambda: talks[2].say("three", retry=False))
        self.assertEqual((body["kind"], body["not_run"]), ("overloaded", True))
        self.assertTrue(first.result(60) and second.result(60))

    def test_claim_in_doubt_is_not_run(self) -> None:
        """Say "not run" of a call whose program could not be claimed in time.

        The log takes the claim of a new program and answers after the home has
        given up. Whether the claim counts is not known; that nothing was
        dispatched is. The caller asks again and is answered, and the target
        runs the call once.
        """
        system = self.start(engines=1, limits=self.limits())
        talk = Conversation(client=system.client(), program="doubtful")
        system.platform.faults.delay = 1.0
        body = self.refused(lambda: talk.say("hello", retry=False))
        self.assertEqual((body["kind"], body["not_run"]), ("log_unavailable", True))
        system.platform.faults.delay = 0.0
        self.assertTrue(talk.say("hello"))
        self.assertEqual(system.engines[0].requests, 1)

    def test_reservation_in_doubt_is_not_run(self) -> None:
        """Say "not run" of a call whose tokens could not be reserved in time.

        The second call of a program needs more than its block holds. The log
        takes the reservation and answers after the home has given up; nothing
        was dispatched. Asked again, the call runs once.
        """
        system = self.start(engines=1, limits=self.limits())
        talk = Conversation(client=system.client(), program="reserving")
        talk.say("hello")
        system.platform.faults.delay = 1.0
        long = "a long text " * 400
        body = self.refused(lambda: talk.say(long, retry=False))
        self.assertEqual((body["kind"], body["not_run"]), ("log_unavailable", True))
        system.platform.faults.delay = 0.0
        self.assertTrue(talk.say(long))
        self.assertEqual(system.engines[0].requests, 2)

    def test_looping_program_ends(self) -> None:
        """Stop a program that loops."""
        system = self.start(program={"max_calls": 3})
        talk = Conversation(client=system.client(), program="loop")
        for _ in range(3):
            talk.say("again")
        body = self.refused(lambda: talk.say("again", retry=False))
        self.assertEqual(body["kind"], "program_limit")

    def test_abandoned_program_ends_and_frees(self) -> None:
        """End a program whose caller never comes back, and free its memory."""
        system = self.start(policy={"idle_limit": 0.5})
        Conversation(client=system.client(), program="left").say("bye")
        wait_until(lambda: system.state("left").ended, "the end")
        wait_until(
            lambda: not any(engine.cache_keys for engine in system.engines), "memory"
        )

    def test_budget_is_never_passed(self) -> None:
        """Cut an answer at the budget, then refuse further calls."""
        system = self.start(program={"budget": 700})
        talk = Conversation(client=system.client(), program="poor")
        body: dict[str, Any] = {}
        for _ in range(12):
            try:
                talk.say("spend", tokens=200, retry=False)
            except ClientError as error:
                body = error.body
                break
        self.assertEqual((body["kind"], body["not_run"]), ("budget_exhausted", True))
        state = system.state("poor")
        self.assertLessEqual(state.spent + state.open_block, 700)

    def test_engine_that_gives_too_much(self) -> None:
        """Cut an answer that goes on beyond what was asked for."""
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
        """Go on while the log is away, then refuse truthfully, then recover.

        The log goes away. A running program takes turns, which its home and
        its gateway hold. When the buffer is full, calls are refused as not
        run with a time to come back; when the log is back, nothing is lost.
        """
        system = self.start(limits=self.limits(uncommitted_bytes=1024))
        talk = Conversation(client=system.client(), program="outage")
        talk.say("before")
        wait_until(lambda: system.state("outage").seq == 1, "first commit")
        system.platform.faults.down = True
        body: dict[str, Any] = {}
        for number in range(50):
            try:
                talk.say(f"during {number}", tokens=40, retry=False)
            except ClientError as error:
                body = error.body
                break
        self.assertEqual((body["kind"], body["not_run"]), ("log_unavailable", True))
        self.assertGreater(body["retry_after"], 0)
        self.assertGreater(len(talk.messages), 2)
        once = self.refused(lambda: talk.tool("pay"))
        self.assertIs(once["not_run"], True)
        system.platform.faults.down = False
        turns = len(talk.messages) // 2
        wait_until(lambda: system.state("outage").seq == turns, "all commits")
        self.assertTrue(talk.say("after"))
        self.assertEqual(system.executions().get("pay", 0), 0)

    def test_overload_refuses_new_programs_first(self) -> None:
        """Refuse a new program that would wait too long; running ones go on."""
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
            talk = Conversation(client=system.client(), program=f"new-{number}")
            try:
                answers.append(talk.say("hello", tokens=12, retry=False))
            except ClientError as error:
                refusals.append(error.body)

        waiting = []
        for number in range(40):
            waiting.append(in_thread(lambda number=number: start(number)))  # type: ignore[misc]
            time.sleep(0.02)
        self.assertTrue(running.say("go on"))
        for one in waiting:
            one.result(60)
        self.assertGreater(len(answers), 0)
        self.assertGreater(len(refusals), 0)
        for body in refusals:
            self.assertEqual((body["kind"], body["not_run"]), ("overloaded", True))

    def test_start_while_the_log_is_away(self) -> None:
        """Give a gateway that starts in an outage its peers' configuration."""
        system = self.start()
        system.platform.faults.down = True
        node = system.add_gateway("gateway-2")
        self.assertEqual(len(node.core.catalogue.targets), 3)
        system.platform.faults.down = False

    def test_leaving_host_gets_nothing_after_a_few_seconds(self) -> None:
        """Move programs away from a host that the list shows as leaving."""
        system = self.start(options=FAST_ENGINE)
        talk = Conversation(client=system.client(), program="mover")
        talk.say("here")
        home = system.home_of("mover")
        system.platform.set_host(HostName(f"host-{home}"), HostState.LEAVING)
        wait_until(lambda: system.home_of("mover") != home, "the release")
        engine = system.engines[int(home[-1]) - 1]
        requests = engine.requests
        talk.say("there")
        self.assertEqual(engine.requests, requests)
        self.assertNotEqual(system.home_of("mover"), home)
