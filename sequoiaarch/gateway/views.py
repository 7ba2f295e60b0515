"""Show programs and models to their callers."""

from __future__ import annotations

from typing import Any

import msgspec

from ..records.types import ProgramState
from .requests import outer_id


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Show one call of a history."""

    seq: int
    messages: list[Any]
    tokens: int


class ProgramView(msgspec.Struct, frozen=True, kw_only=True):
    """Show one program to its caller; amounts in tokens."""

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
    """Show one model."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "sequoiaarch"


class ModelList(msgspec.Struct, frozen=True, kw_only=True):
    """Show the models of a workspace."""

    object: str = "list"
    data: list[Model]


def program_view(
    state: ProgramState, history: list[HistoryEntry] | None = None
) -> ProgramView:
    """Return a program as its caller sees it."""
    return ProgramView(
        id=outer_id(state.program),
        state="ended" if state.ended is not None else "running",
        program=state.spec.name,
        labels=state.spec.labels,
        parent=outer_id(state.spec.parent) if state.spec.parent else None,
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
