"""Compare the system under faults with a reference implementation without faults.

Hypothesis generates the steps of a caller and the faults between them. The caller
must see the same answers and errors from both systems.
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
from .reference import ReferenceSystem

EXAMPLES = 25
TOKENS = 5
KEYS = ("a", "b")
RETRYABLE_KINDS = {"interrupted", "superseded"}
MAX_ATTEMPTS = 60


@dataclass(frozen=True)
class ModelCall:
    """A model call.

    `change_history` alters it; `seq_back` is subtracted from the next sequence number.
    """

    change_history: bool
    seq_back: int


@dataclass(frozen=True)
class ToolCall:
    """A non-idempotent tool call; `seq_back` as in ModelCall."""

    key: str
    amount: int
    seq_back: int


@dataclass(frozen=True)
class InjectFault:
    """A fault between two calls."""

    fault: str


@dataclass(frozen=True)
class EndProgram:
    """The end of the program."""


STEPS = st.lists(
    st.one_of(
        st.builds(ModelCall, st.booleans(), st.sampled_from([0, 0, 0, 1, -1])),
        st.builds(
            ToolCall,
            st.sampled_from(KEYS),
            st.sampled_from([1, 1, 2]),
            st.sampled_from([0, 0, 1]),
        ),
        st.builds(
            InjectFault,
            st.sampled_from(["kill", "drain", "lose reply", "gateway", "slow"]),
        ),
        st.builds(EndProgram),
    ),
    min_size=2,
    max_size=8,
)


class DifferentialTests(SystemTestCase):
    """Run the generated steps against both systems."""

    program_numbers = itertools.count()

    @classmethod
    def make_system(cls) -> SystemUnderTest:
        """Return a system with two gateways and short timeouts."""
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
    def test_same_results_as_the_reference_system(self, steps: list[Any]) -> None:
        """Return the same answers and errors as the reference system."""
        name = f"d-{next(self.program_numbers)}"
        reference = ReferenceSystem()
        gateway = 1
        for step in steps:
            if isinstance(step, InjectFault):
                gateway = self.inject_fault(step.fault, name, gateway)
                continue
            client = self.system.client(f"gateway-{gateway}")
            expected, call = self.plan(step, name, reference, client)
            self.assertEqual(
                self.call_until_settled(call), expected, f"{name} {step} of {steps}"
            )
        for key, count in reference.runs.items():
            self.assertEqual(self.system.executions().get(key, 0), count, key)

    def plan(
        self, step: Any, name: str, reference: ReferenceSystem, client: Client
    ) -> tuple[str, Callable[[], str]]:
        """Return the expected result of a step and the call that runs it."""
        program = reference.program(name)
        if isinstance(step, EndProgram):
            if not program.seq:
                return "", lambda: ""
            expected = reference.end(name)
            return expected, lambda: self.end(client, name)
        seq = max(1, program.seq + 1 - step.seq_back)
        if isinstance(step, ModelCall):
            messages = [dict(one) for one in program.messages]
            if step.change_history and messages:
                messages[0]["content"] += "!"
            messages.append({"role": "user", "content": f"turn {seq}"})
            expected = reference.model_call(name, messages, seq, TOKENS)
            return expected, lambda: self.model_call(client, name, messages, seq)
        if not program.seq:
            return "", lambda: ""
        expected = reference.tool_call(name, f"{name}-{step.key}", step.amount, seq)
        reference.runs = {
            key.rpartition("/")[2]: count for key, count in reference.runs.items()
        }
        return expected, lambda: self.tool_call(client, name, step, seq)

    def call_until_settled(self, call: Callable[[], str]) -> str:
        """Retry a call until it returns an answer or a permanent error."""
        for _ in range(MAX_ATTEMPTS):
            try:
                return call()
            except ClientError as error:
                kind = error.body["kind"]
                permanent = error.body.get("retry_after") is None
                if permanent and kind not in RETRYABLE_KINDS:
                    return kind
            except urllib3.exceptions.HTTPError:
                continue
        raise AssertionError("no answer or permanent error after all retries")

    def model_call(
        self, client: Client, name: str, messages: list[dict[str, Any]], seq: int
    ) -> str:
        """Run a model call and return its answer."""
        body = {
            "model": MODEL,
            "messages": messages,
            "stand_in": {"answer_tokens": TOKENS},
        }
        headers = {"X-Program-Id": name, "X-Call-Seq": str(seq)}
        answer = client.request("POST", "/v1/chat/completions", body, headers)
        return answer["choices"][0]["message"]["content"]

    def tool_call(self, client: Client, name: str, step: ToolCall, seq: int) -> str:
        """Run a tool call and return its outcome."""
        headers = {
            "X-Call-Seq": str(seq),
            "Idempotency-Key": f"{name}-{step.key}",
            "X-Non-Idempotent": "true",
        }
        path = f"/v1/programs/{name}/tools/tools/pay"
        answer = client.request("POST", path, {"amount": step.amount}, headers)
        return f"run {answer['run']}"

    def end(self, client: Client, name: str) -> str:
        """End the program and return its state."""
        return client.request("DELETE", f"/v1/programs/{name}")["state"]

    def inject_fault(self, fault: str, name: str, gateway: int) -> int:
        """Inject a fault and return the number of the gateway to use next."""
        state = self.system.state(name)
        home = state.home if state is not None else ""
        if fault == "gateway":
            return 3 - gateway
        if fault == "lose reply":
            self.system.platform.faults.lose_replies = 1
        elif fault == "slow":
            self.system.platform.faults.delay = 0.02 - self.system.platform.faults.delay
        elif home in self.system.nodes:
            if fault == "kill":
                self.system.kill(home)
                self.system.restart(home)
            else:
                node = self.system.nodes[home]
                assert node.sidecar is not None
                node.thread.wait(node.sidecar.local_programs.drain(True))
                node.thread.wait(node.sidecar.local_programs.drain(False))
        return gateway
