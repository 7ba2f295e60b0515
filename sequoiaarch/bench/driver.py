"""Run a planned workload as its callers, and measure what they see."""

from __future__ import annotations

import threading
import time
import zlib
from dataclasses import dataclass, field
from typing import Any

import urllib3

from ..client import Client, ClientError
from .cluster import CALLER_KEY, MODEL, SERVICE, Cluster
from .workload import CLIENT_DELAY, PlannedProgram, PlannedStep, StepKind, text_of

GIVE_UP = 90.0
ASK_PAUSE = 0.2
STACK_BYTES = 512 * 1024


@dataclass(kw_only=True)
class ProgramResult:
    """Tell how one program went; times in seconds."""

    name: str
    latency: float = 0.0
    own: float = 0.0
    wasted: int = 0
    prompt: int = 0
    first_tokens: list[float] = field(default_factory=list)
    refused: bool = False
    problem: str | None = None

    @property
    def slowdown(self) -> float:
        """Return latency over the time that the program itself spent."""
        return self.latency / max(self.own, 0.1)


class ProgramCaller:
    """Run one planned program."""

    def __init__(
        self, *, planned: PlannedProgram, clients: list[Client], prefix: str
    ) -> None:
        self._planned = planned
        self._clients = clients
        self._client = clients[planned.gateway]
        self._program = f"{prefix}-{planned.name}"
        self._messages: list[dict[str, Any]] = []
        self._context = 0
        self._seq = 0
        self.result = ProgramResult(name=planned.name, own=planned.pauses)

    def run(self) -> ProgramResult:
        """Run all steps; a problem ends the program and is noted."""
        begun = time.monotonic()
        try:
            for number, step in enumerate(self._planned.steps):
                self._step(number, step)
            self.result.latency = time.monotonic() - begun
            self._end()
        except ClientError as error:
            early = self._seq == 0 and error.body.get("not_run") is True
            self.result.refused = early
            self.result.problem = None if early else str(error)
        except Exception as error:
            self.result.problem = repr(error)
        return self.result

    def _step(self, number: int, step: PlannedStep) -> None:
        if step.kind is StepKind.PAUSE:
            time.sleep(step.seconds)
        elif step.kind is StepKind.SAY:
            seed = zlib.crc32(f"{self._planned.name}-{number}".encode())
            self._say(text_of(step.prompt, seed), step.answer)
        else:
            self._tool(number, step)
        time.sleep(CLIENT_DELAY)

    def _headers(self) -> dict[str, str]:
        return {"X-Program-Id": self._program, "X-Call-Seq": str(self._seq + 1)}

    def _say(self, text: str, answer: int) -> None:
        self._messages.append({"role": "user", "content": text})
        body = {
            "model": MODEL,
            "messages": self._messages,
            "stream": True,
            "stream_options": {"include_usage": True},
            "max_tokens": answer,
            "stand_in": {"answer_tokens": answer},
        }
        content, usage = self._insist(body)
        self._messages.append({"role": "assistant", "content": content})
        cached = usage["prompt_tokens_details"]["cached_tokens"]
        self.result.wasted += max(0, self._context - cached)
        self.result.prompt += usage["prompt_tokens"]
        self._context = usage["total_tokens"]
        self._seq += 1
        if len(content) < answer * 4:
            raise RuntimeError(f"answer of {len(content)} characters, not {answer * 4}")

    def _insist(self, body: dict[str, Any]) -> tuple[str, dict[str, Any]]:
        deadline = time.monotonic() + GIVE_UP
        while True:
            try:
                return self._ask(body)
            except ClientError as error:
                again = error.body.get("not_run") is True or error.status == 200
                wait = error.body.get("retry_after")
                if not again or wait is None or time.monotonic() > deadline:
                    raise
                if self._seq == 0 and error.body.get("kind") == "overloaded":
                    raise
                time.sleep(min(wait, 2.0))

    def _ask(self, body: dict[str, Any]) -> tuple[str, dict[str, Any]]:
        begun = time.monotonic()
        parts: list[str] = []
        usage: dict[str, Any] = {}
        path = "/v1/chat/completions"
        for event in self._client.stream(path, body, self._headers()):
            for choice in event["choices"]:
                piece = choice["delta"].get("content")
                if piece:
                    if not parts:
                        self.result.first_tokens.append(time.monotonic() - begun)
                    parts.append(piece)
            usage = event.get("usage") or usage
        return "".join(parts), usage

    def _tool(self, number: int, step: PlannedStep) -> None:
        headers = self._headers()
        headers["Idempotency-Key"] = f"{self._program}-{number}"
        if step.once:
            headers["X-Non-Idempotent"] = "true"
        path = f"/v1/programs/{self._program}/tools/{SERVICE}/run"
        self._client.request(
            "POST", path, {"delay": step.seconds}, headers, patient=True
        )
        self._seq += 1

    def _end(self) -> None:
        path = f"/v1/programs/{self._program}"
        try:
            self._client.request("DELETE", path, patient=True)
        except (ClientError, urllib3.exceptions.HTTPError):
            # The answers were all there; the idle limit ends the program.
            self.result.problem = "could not be ended"


def drive(
    fleet: Cluster, plan: list[PlannedProgram], prefix: str
) -> list[ProgramResult]:
    """Run all programs at their times and return how they went."""
    threading.stack_size(STACK_BYTES)
    clients = [
        Client(url=url, key=CALLER_KEY, connections=256) for url in fleet.gateway_urls()
    ]
    callers = [
        ProgramCaller(planned=one, clients=clients, prefix=prefix) for one in plan
    ]
    threads = [threading.Thread(target=one.run, daemon=True) for one in callers]
    begun = time.monotonic()
    for planned, thread in zip(plan, threads, strict=True):
        time.sleep(max(0.0, begun + planned.start - time.monotonic()))
        thread.start()
    for thread in threads:
        thread.join(GIVE_UP * 4)
    return [one.result for one in callers]
