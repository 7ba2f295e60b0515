"""Compare the system under faults with a naive one without any.

Hypothesis chooses what a caller does and what goes wrong between its calls:
homes are killed or drained, replies of the log are lost, gateways change. The
caller must see exactly what the naive system answers.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import urllib3
from hypothesis import HealthCheck, given, settings, strategies as st

from ...client import Client, ClientError
from ...config.settings import LimitOptions
from ..base import FAST_ENGINE, MODEL, SystemTestCase, SystemUnderTest
from .naive import NaiveSystem

EXAMPLES = 25
TOKENS = 5
KEYS = ("a", "b")
REPEATED = {"interrupted", "superseded"}
TRIES = 60


@dataclass(frozen=True)
class Say:
    """Take the next turn, or one whose history was changed or is repeated."""

    change: bool
    back: int


@dataclass(frozen=True)
class Pay:
    """Call the tool that may run once."""

    key: str
    amount: int
    back: int


@dataclass(frozen=True)
class Break:
    """Let something go wrong."""

    what: str


@dataclass(frozen=True)
class End:
    """End the program."""


STEPS = st.lists(
    st.one_of(
        st.builds(Say, st.booleans(), st.sampled_from([0, 0, 0, 1, -1])),
        st.builds(
            Pay,
            st.sampled_from(KEYS),
            st.sampled_from([1, 1, 2]),
            st.sampled_from([0, 0, 1]),
        ),
        st.builds(
            Break, st.sampled_from(["kill", "drain", "lose reply", "gateway", "slow"])
        ),
        st.builds(End),
    ),
    min_size=2,
    max_size=8,
)


class DifferentialTests(SystemTestCase):
    """Run what hypothesis chooses against both systems."""

    numbers = itertools.count()

    @classmethod
    def make_system(cls) -> SystemUnderTest:
        """Return a system in which a missing call is refused soon."""
        return SystemUnderTest(
            engines=2,
            services=1,
            gateways=2,
            options=FAST_ENGINE,
            limits=LimitOptions(
                lame_duck=0.0, submit_timeout=2.0, append_interval=0.0, cache_check=0.2
            ),
        )

    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(steps=STEPS)
    def test_like_the_naive_system(self, steps: list[Any]) -> None:
        """See the same answers and errors as from the naive system."""
        name = f"d-{next(self.numbers)}"
        naive = NaiveSystem()
        gateway = 1
        for step in steps:
            if isinstance(step, Break):
                gateway = self.go_wrong(step.what, name, gateway)
                continue
            client = self.system.client(f"gateway-{gateway}")
            expected, ask = self.plan(step, name, naive, client)
            self.assertEqual(self.ask(ask), expected, f"{name} {step} of {steps}")
        for key, count in naive.runs.items():
            self.assertEqual(self.system.executions().get(key, 0), count, key)

    def plan(
        self, step: Any, name: str, naive: NaiveSystem, client: Client
    ) -> tuple[str, Callable[[], str]]:
        """Return the naive answer to a step and how to ask the system."""
        program = naive.program(name)
        if isinstance(step, End):
            if not program.seq:
                return "", lambda: ""
            expected = naive.end(name)
            return expected, lambda: self.end(client, name)
        seq = max(1, program.seq + 1 - step.back)
        if isinstance(step, Say):
            messages = [dict(one) for one in program.messages]
            if step.change and messages:
                messages[0]["content"] += "!"
            messages.append({"role": "user", "content": f"turn {seq}"})
            expected = naive.say(name, messages, seq, TOKENS)
            return expected, lambda: self.say(client, name, messages, seq)
        if not program.seq:
            return "", lambda: ""
        expected = naive.pay(name, f"{name}-{step.key}", step.amount, seq)
        naive.runs = {
            key.rpartition("/")[2]: count for key, count in naive.runs.items()
        }
        return expected, lambda: self.pay(client, name, step, seq)

    def ask(self, ask: Callable[[], str]) -> str:
        """Ask until there is an answer or an error that stays."""
        for _ in range(TRIES):
            try:
                return ask()
            except ClientError as error:
                kind = error.body["kind"]
                stays = error.body.get("retry_after") is None
                if stays and kind not in REPEATED:
                    return kind
            except urllib3.exceptions.HTTPError:
                continue
        raise AssertionError("never answered")

    def say(
        self, client: Client, name: str, messages: list[dict[str, Any]], seq: int
    ) -> str:
        """Take a turn."""
        body = {
            "model": MODEL,
            "messages": messages,
            "stand_in": {"answer_tokens": TOKENS},
        }
        headers = {"X-Program-Id": name, "X-Call-Seq": str(seq)}
        answer = client.request("POST", "/v1/chat/completions", body, headers)
        return answer["choices"][0]["message"]["content"]

    def pay(self, client: Client, name: str, step: Pay, seq: int) -> str:
        """Call the tool."""
        headers = {
            "X-Call-Seq": str(seq),
            "Idempotency-Key": f"{name}-{step.key}",
            "X-Non-Idempotent": "true",
        }
        path = f"/v1/programs/{name}/tools/tools/pay"
        answer = client.request("POST", path, {"amount": step.amount}, headers)
        return f"run {answer['run']}"

    def end(self, client: Client, name: str) -> str:
        """End the program."""
        return client.request("DELETE", f"/v1/programs/{name}")["state"]

    def go_wrong(self, what: str, name: str, gateway: int) -> int:
        """Do one thing to the system and return the gateway to use."""
        state = self.system.state(name)
        home = state.home if state is not None else ""
        if what == "gateway":
            return 3 - gateway
        if what == "lose reply":
            self.system.platform.faults.lose_replies = 1
        elif what == "slow":
            self.system.platform.faults.delay = 0.02 - self.system.platform.faults.delay
        elif home in self.system.nodes:
            if what == "kill":
                self.system.kill(home)
                self.system.restart(home)
            else:
                node = self.system.nodes[home]
                assert node.sidecar is not None
                node.thread.wait(node.sidecar.local_programs.drain(True))
                node.thread.wait(node.sidecar.local_programs.drain(False))
        return gateway
