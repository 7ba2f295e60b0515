"""Do what the system does in one process, with dictionaries and no faults."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ...standins.engine import ChatBody, ChatMessage, Sequence


@dataclass
class NaiveProgram:
    """Hold one program."""

    messages: list[dict[str, Any]] = field(default_factory=list)
    seq: int = 0
    requests: dict[int, Any] = field(default_factory=dict)
    answers: dict[int, str] = field(default_factory=dict)
    keys: dict[str, Any] = field(default_factory=dict)
    ended: bool = False


class NaiveSystem:
    """Answer calls as callers should see them; errors are their kinds."""

    def __init__(self) -> None:
        self._programs: dict[str, NaiveProgram] = {}
        self.runs: dict[str, int] = {}

    def program(self, name: str) -> NaiveProgram:
        """Return a program, which exists from its first call on."""
        return self._programs.setdefault(name, NaiveProgram())

    def say(
        self, name: str, messages: list[dict[str, Any]], seq: int, tokens: int
    ) -> str:
        """Return the answer of a model call, or the kind of its error."""
        program = self.program(name)
        if program.ended:
            return "program_ended"
        request = ("say", tuple((one["role"], one["content"]) for one in messages))
        repeated = self._repeated(program, seq, request)
        if repeated is not None:
            return repeated
        known = len(program.messages)
        if messages[:known] != program.messages or len(messages) <= known:
            return "history_conflict"
        chat = ChatBody(messages=[ChatMessage(**one) for one in messages], model="")
        text = Sequence(body=chat, key="", stream="", order=0).text(0, tokens)
        program.messages = [*messages, {"role": "assistant", "content": text}]
        self._finish(program, seq, request, text)
        return text

    def pay(self, name: str, key: str, amount: int, seq: int) -> str:
        """Return the outcome of a call that may run once."""
        program = self.program(name)
        request = ("pay", amount)
        if key in program.keys:
            if program.keys[key] != request:
                return "program_ended" if program.ended else "key_conflict"
            return "run 1"
        if program.ended:
            return "program_ended"
        repeated = self._repeated(program, seq, request)
        if repeated is not None:
            return repeated
        program.keys[key] = request
        self.runs[f"{name}/{key}"] = 1
        self._finish(program, seq, request, "run 1")
        return "run 1"

    def end(self, name: str) -> str:
        """End a program."""
        self.program(name).ended = True
        return "ended"

    def _repeated(self, program: NaiveProgram, seq: int, request: Any) -> str | None:
        if seq <= program.seq:
            if program.requests[seq] != request:
                return "out_of_sequence"
            return program.answers[seq]
        return "out_of_sequence" if seq > program.seq + 1 else None

    def _finish(
        self, program: NaiveProgram, seq: int, request: Any, answer: str
    ) -> None:
        program.seq = seq
        program.requests[seq] = request
        program.answers[seq] = answer
