"""Reference implementation of the system: one process, in memory, without faults."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ...standins.engine import ChatBody, ChatMessage, Sequence


@dataclass
class ReferenceProgram:
    """State of one program."""

    messages: list[dict[str, Any]] = field(default_factory=list)
    seq: int = 0
    requests: dict[int, Any] = field(default_factory=dict)
    answers: dict[int, str] = field(default_factory=dict)
    keys: dict[str, Any] = field(default_factory=dict)
    ended: bool = False


class ReferenceSystem:
    """Return the expected answer of each call, or the kind of its error."""

    def __init__(self) -> None:
        self._programs: dict[str, ReferenceProgram] = {}
        self.runs: dict[str, int] = {}

    def program(self, name: str) -> ReferenceProgram:
        """Return a program, and create it if it is new."""
        return self._programs.setdefault(name, ReferenceProgram())

    def model_call(
        self, name: str, messages: list[dict[str, Any]], seq: int, tokens: int
    ) -> str:
        """Run a model call and return its answer or the kind of its error."""
        program = self.program(name)
        if program.ended:
            return "program_ended"
        request = ("say", tuple((one["role"], one["content"]) for one in messages))
        repeated_answer = self._repeated_answer(program, seq, request)
        if repeated_answer is not None:
            return repeated_answer
        count = len(program.messages)
        if messages[:count] != program.messages or len(messages) <= count:
            return "history_conflict"
        chat = ChatBody(messages=[ChatMessage(**one) for one in messages], model="")
        text = Sequence(body=chat, key="", stream="", order=0).text(0, tokens)
        program.messages = [*messages, {"role": "assistant", "content": text}]
        self._commit(program, seq, request, text)
        return text

    def tool_call(self, name: str, key: str, amount: int, seq: int) -> str:
        """Run a non-idempotent tool call and return its outcome."""
        program = self.program(name)
        request = ("pay", amount)
        if key in program.keys:
            if program.keys[key] != request:
                return "program_ended" if program.ended else "key_conflict"
            return "run 1"
        if program.ended:
            return "program_ended"
        repeated_answer = self._repeated_answer(program, seq, request)
        if repeated_answer is not None:
            return repeated_answer
        program.keys[key] = request
        self.runs[f"{name}/{key}"] = 1
        self._commit(program, seq, request, "run 1")
        return "run 1"

    def end(self, name: str) -> str:
        """End a program and return its state."""
        self.program(name).ended = True
        return "ended"

    def _repeated_answer(
        self, program: ReferenceProgram, seq: int, request: Any
    ) -> str | None:
        if seq <= program.seq:
            if program.requests[seq] != request:
                return "out_of_sequence"
            return program.answers[seq]
        return "out_of_sequence" if seq > program.seq + 1 else None

    def _commit(
        self, program: ReferenceProgram, seq: int, request: Any, answer: str
    ) -> None:
        program.seq = seq
        program.requests[seq] = request
        program.answers[seq] = answer
