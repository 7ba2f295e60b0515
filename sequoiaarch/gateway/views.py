"""JSON representations of programs and models."""

from __future__ import annotations

from typing import Any

import msgspec

from ..records.types import ProgramState
from .requests import public_id


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One committed call of a program."""

    seq: int
    messages: list[Any]
    tokens: int


class ProgramView(msgspec.Struct, frozen=True, kw_only=True):
    """One program as shown to its caller; budget amounts are in tokens."""

    id: str
    state: str
    program: str
    labels: dict[str, str]
    parent: str | None
    home: str
    epoch: int
    committed_seq: int
    budget: int
    spent: int
    reserved: int
    moved: int
    available: int
    history: list[HistoryEntry] = []


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """One model in the OpenAI format."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "sequoiaarch"


class ModelList(msgspec.Struct, frozen=True, kw_only=True):
    """The models of a workspace in the OpenAI format."""

    object: str = "list"
    data: list[Model]


def program_view(
    state: ProgramState, history: list[HistoryEntry] | None = None
) -> ProgramView:
    """Return the public representation of a program."""
    return ProgramView(
        id=public_id(state.program),
        state="ended" if state.ended is not None else "running",
        program=state.spec.name,
        labels=state.spec.labels,
        parent=public_id(state.spec.parent) if state.spec.parent else None,
        home=state.home,
        epoch=state.epoch,
        committed_seq=state.seq,
        budget=state.spec.budget,
        spent=state.spent,
        reserved=state.open_block,
        moved=sum(state.moved.values()),
        available=state.available,
        history=history or [],
    )
