"""Define the file format of sample programs."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Any

from pydantic import Field

from ..config.validation import Options, load_jsonc, validate


class StepKind(Enum):
    """Kind of a step: model call, tool call, pause or sub-agent."""

    CHAT = "say"
    TOOL = "tool"
    PAUSE = "pause"
    CHILD = "child"


class Step(Options):
    """One step of a program; its kind determines which fields are used."""

    kind: StepKind
    text: str = ""
    answer_tokens: int = Field(default=24, ge=1)
    service: str = "tools"
    path: str = "run"
    body: dict[str, Any] = {}
    once: bool = False
    seconds: float = Field(default=0.0, ge=0)
    budget: int = Field(default=10_000, ge=1)
    steps: list[Step] = []


class Script(Options):
    """Sample program: its model, system prompt, budget in tokens and steps."""

    title: str
    model: str
    system: str = "You are an agent."
    budget: int | None = None
    steps: list[Step]


def load_script(path: Path) -> Script:
    """Load and validate the script in a JSONC file."""
    return validate(Script, load_jsonc(path))
