"""Run the programs of a workload and measure them from the client's side."""

from __future__ import annotations

import threading
import time
import zlib
from dataclasses import dataclass, field
from typing import Any

import urllib3

from ..client import Client, ClientError
from .cluster import CALLER_KEY, MODEL, SERVICE, Cluster
from .workload import STEP_INTERVAL, PlannedProgram, PlannedStep, StepKind, make_text

RETRY_TIMEOUT = 90.0  # seconds
RETRY_PAUSE = 0.2  # seconds
THREAD_STACK_BYTES = 512 * 1024


@dataclass(kw_only=True)
class ProgramResult:
    """Measurements of one program; times in seconds.

    `uncached_tokens` counts tokens of earlier calls that were not found in a cache.
    `refused` is set if the first call was refused without being run.
    """

    name: str
    latency: float = 0.0
    seconds_outside_model: float = 0.0
    uncached_tokens: int = 0
    prompt_tokens: int = 0
    first_tokens: list[float] = field(default_factory=list)
    refused: bool = False
    problem: str | None = None

    @property
    def slowdown(self) -> float:
        """Return the latency relative to the time spent in pauses and tool calls."""
        return self.latency / max(self.seconds_outside_model, 0.1)


class ProgramCaller:
    """Run one planned program as its client."""

    def __init__(
        self, *, planned: PlannedProgram, clients: list[Client], prefix: str
    ) -> None:
        self._planned = planned
        self._clients = clients
        self._client = clients[planned.gateway]
        self._program = f"{prefix}-{planned.name}"
        self._messages: list[dict[str, Any]] = []
        self._context_tokens = 0
        self._seq = 0
        self.result = ProgramResult(
            name=planned.name, seconds_outside_model=planned.seconds_outside_model
        )

    def run(self) -> ProgramResult:
        """Run all steps and return the result; an error ends the program."""
        started = time.monotonic()
        try:
            for step_number, step in enumerate(self._planned.steps):
                self._run_step(step_number, step)
            self.result.latency = time.monotonic() - started
            self._end_program()
        except ClientError as error:
            refused_at_start = self._seq == 0 and error.body.get("not_run") is True
            self.result.refused = refused_at_start
            self.result.problem = None if refused_at_start else str(error)
        except Exception as error:
            self.result.problem = repr(error)
        return self.result

    def _run_step(self, step_number: int, step: PlannedStep) -> None:
        if step.kind is StepKind.PAUSE:
            time.sleep(step.seconds)
        elif step.kind is StepKind.CHAT:
            seed = zlib.crc32(f"{self._planned.name}-{step_number}".encode())
            self._chat(make_text(step.prompt_tokens, seed), step.answer_tokens)
        else:
            self._call_tool(step_number, step)
        time.sleep(STEP_INTERVAL)

    def _headers(self) -> dict[str, str]:
        return {"X-Program-Id": self._program, "X-Call-Seq": str(self._seq + 1)}

    def _chat(self, text: str, answer_tokens: int) -> None:
        self._messages.append({"role": "user", "content": text})
        body = {
            "model": MODEL,
            "messages": self._messages,
            "stream": True,
            "stream_options": {"include_usage": True},
            "max_tokens": answer_tokens,
            "stand_in": {"answer_tokens": answer_tokens},
        }
        content, usage = self._stream_with_retries(body)
        self._messages.append({"role": "assistant", "content": content})
        cached = usage["prompt_tokens_details"]["cached_tokens"]
        self.result.uncached_tokens += max(0, self._context_tokens - cached)
        self.result.prompt_tokens += usage["prompt_tokens"]
        self._context_tokens = usage["total_tokens"]
        self._seq += 1
        if len(content) < answer_tokens * 4:
            raise RuntimeError(
                f"answer of {len(content)} characters, not {answer_tokens * 4}"
            )

    def _stream_with_retries(self, body: dict[str, Any]) -> tuple[str, dict[str, Any]]:
        deadline = time.monotonic() + RETRY_TIMEOUT
        while True:
            try:
                return self._stream_answer(body)
            except ClientError as error:
                retryable = error.body.get("not_run") is True or error.status == 200
                wait = error.body.get("retry_after")
                if not retryable or wait is None or time.monotonic() > deadline:
                    raise
                if self._seq == 0 and error.body.get("kind") == "overloaded":
                    raise
                time.sleep(min(wait, 2.0))

    def _stream_answer(self, body: dict[str, Any]) -> tuple[str, dict[str, Any]]:
        started = time.monotonic()
        parts: list[str] = []
        usage: dict[str, Any] = {}
        path = "/v1/chat/completions"
        for event in self._client.stream(path, body, self._headers()):
            for choice in event["choices"]:
                content = choice["delta"].get("content")
                if content:
                    if not parts:
                        self.result.first_tokens.append(time.monotonic() - started)
                    parts.append(content)
            usage = event.get("usage") or usage
        return "".join(parts), usage

    def _call_tool(self, step_number: int, step: PlannedStep) -> None:
        headers = self._headers()
        headers["Idempotency-Key"] = f"{self._program}-{step_number}"
        if step.non_idempotent:
            headers["X-Non-Idempotent"] = "true"
        path = f"/v1/programs/{self._program}/tools/{SERVICE}/run"
        self._client.request("POST", path, {"delay": step.seconds}, headers, retry=True)
        self._seq += 1

    def _end_program(self) -> None:
        path = f"/v1/programs/{self._program}"
        try:
            self._client.request("DELETE", path, retry=True)
        except (ClientError, urllib3.exceptions.HTTPError):
            # All calls succeeded, and the idle limit will end the program.
            self.result.problem = "could not be ended"


def run_workload(
    cluster: Cluster, programs: list[PlannedProgram], prefix: str
) -> list[ProgramResult]:
    """Run each program from its start time on and return the results."""
    threading.stack_size(THREAD_STACK_BYTES)
    clients = [
        Client(url=url, key=CALLER_KEY, connections=256)
        for url in cluster.gateway_urls()
    ]
    callers = [
        ProgramCaller(planned=program, clients=clients, prefix=prefix)
        for program in programs
    ]
    threads = [threading.Thread(target=caller.run, daemon=True) for caller in callers]
    started = time.monotonic()
    for planned, thread in zip(programs, threads, strict=True):
        time.sleep(max(0.0, started + planned.start - time.monotonic()))
        thread.start()
    for thread in threads:
        thread.join(RETRY_TIMEOUT * 4)
    return [caller.result for caller in callers]
