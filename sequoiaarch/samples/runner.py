"""Run a sample script as a client of the gateway."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from typing import Any

from ..client import Client
from .script import Script, Step, StepKind

TRACEPARENT_VERSION = "00"

WriteLine = Callable[[str], None]


class ScriptRunner:
    """Run one program and write a line for each step."""

    def __init__(
        self, *, client: Client, script: Script, write_line: WriteLine
    ) -> None:
        self._client = client
        self._script = script
        self._write_line = write_line
        self.trace_id = secrets.token_hex(16)

    def run(self) -> str:
        """Run all steps, end the program and return its identifier."""
        body: dict[str, Any] = {"model": self._script.model}
        if self._script.budget is not None:
            body["budget"] = self._script.budget
        created = self._client.request("POST", "/v1/programs", body, retry=True)
        program = created["id"]
        self._write_line(f"{self._script.title}: program {program}")
        self._run_steps(program, self._script.steps, "")
        final = self._client.request("DELETE", f"/v1/programs/{program}", retry=True)
        self._write_line(
            f"  ended, {final['committed_seq']} calls kept, "
            f"{final['spent']} of {final['budget']} tokens spent"
        )
        return program

    def _headers(self, **extra: str) -> dict[str, str]:
        parent = secrets.token_hex(8)
        return {
            "traceparent": f"{TRACEPARENT_VERSION}-{self.trace_id}-{parent}-01",
            **{name.replace("_", "-"): value for name, value in extra.items()},
        }

    def _run_steps(self, program: str, steps: list[Step], indent: str) -> None:
        messages: list[dict[str, Any]] = [
            {"role": "system", "content": self._script.system}
        ]
        for step_number, step in enumerate(steps, start=1):
            match step.kind:
                case StepKind.CHAT:
                    self._run_chat(program, step, messages, indent)
                case StepKind.TOOL:
                    self._call_tool(program, step, step_number, indent)
                case StepKind.PAUSE:
                    self._write_line(f"{indent}  pause of {step.seconds} s")
                    time.sleep(step.seconds)
                case StepKind.CHILD:
                    self._run_child(program, step, indent)

    def _run_chat(
        self, program: str, step: Step, messages: list[dict[str, Any]], indent: str
    ) -> None:
        messages.append({"role": "user", "content": step.text})
        body = {
            "model": self._script.model,
            "messages": messages,
            "stream": True,
            "stand_in": {"answer_tokens": step.answer_tokens},
        }
        headers = self._headers(X_Program_Id=program)
        parts: list[str] = []
        for event in self._client.stream("/v1/chat/completions", body, headers):
            for choice in event["choices"]:
                parts.append(choice["delta"].get("content") or "")
        text = "".join(parts)
        messages.append({"role": "assistant", "content": text})
        self._write_line(f"{indent}  user: {step.text}")
        self._write_line(f"{indent}  answer: {text.strip()}")

    def _call_tool(
        self, program: str, step: Step, step_number: int, indent: str
    ) -> None:
        key = f"{program}-{step_number}"
        headers = self._headers(Idempotency_Key=key)
        if step.once:
            headers["X-Non-Idempotent"] = "true"
        path = f"/v1/programs/{program}/tools/{step.service}/{step.path}"
        answer = self._client.request("POST", path, step.body, headers, retry=True)
        kind = "non-idempotent tool" if step.once else "tool"
        self._write_line(f"{indent}  {kind} {step.service}/{step.path}: {answer}")

    def _run_child(self, program: str, step: Step, indent: str) -> None:
        child = self._client.request(
            "POST",
            f"/v1/programs/{program}/programs",
            {"budget": step.budget},
            retry=True,
        )
        self._write_line(f"{indent}  sub-agent {child['id']} with {step.budget} tokens")
        self._run_steps(child["id"], step.steps, indent + "  ")
        path = f"/v1/programs/{child['id']}"
        self._client.request("DELETE", path, retry=True)
