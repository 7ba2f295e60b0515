"""Say what engines and services offer to the system."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec

from ..errors import Failure
from ..ids import AttemptId, CallKey, Epoch, ProgramId

Emit = Callable[[bytes], None]


class EngineRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Ask an engine for one answer; `timeout` in seconds."""

    program: ProgramId
    attempt: AttemptId
    epoch: Epoch
    path: str
    body: bytes
    timeout: float
    trace: str = ""


class EngineAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Say that a stream ended as it should, with what the engine counted."""

    prompt_tokens: int = 0
    answer_tokens: int = 0
    cached_tokens: int = 0


class ServiceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Ask a service once; `timeout` in seconds."""

    method: str
    path: str
    body: bytes
    key: CallKey | None
    epoch: Epoch
    timeout: float
    trace: str = ""


class ServiceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a service answered."""

    status: int
    body: bytes
    content_type: str


class CacheListing(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the tokens that an engine holds for each program."""

    cached: dict[ProgramId, int]
    exported: dict[ProgramId, int] = {}


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Tell one change of engine memory; a gap in `number` is a lost event."""

    number: int
    what: str
    key: ProgramId


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the load of an engine a while ago."""

    running: int
    waiting: int


class OrderKind(Enum):
    """Name the orders that an engine takes."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Order an engine to load something or to change its role."""

    kind: OrderKind
    name: str
    version: str = ""


class ModelEngine(Protocol):
    """Drive one model engine."""

    async def complete(
        self, request: EngineRequest, emit: Emit
    ) -> EngineAnswer | Failure:
        """Run one request and emit the payload of each event in order.

        A connection that breaks is resumed where the engine allows it.
        """

    async def cancel(self, attempt: AttemptId) -> None:
        """Stop a stream that nobody waits for."""

    async def listing(self) -> CacheListing | Failure:
        """Return what the engine holds now."""

    async def events(self, start: int) -> list[CacheEvent] | Failure:
        """Return the cache events from a number on, as far as published."""

    async def free(self, program: ProgramId) -> bool:
        """Drop the prefix of a program from all memory."""

    async def export(self, program: ProgramId) -> bool:
        """Move a prefix out of engine memory; False where it is not held."""

    async def import_(self, program: ProgramId) -> bool:
        """Move a prefix back; False where it was not exported."""

    async def load(self) -> EngineLoad | Failure:
        """Return the load that the engine last reported."""

    async def order(self, order: EngineOrder, epoch: Epoch) -> Failure | None:
        """Give an order under a fencing number."""


class Service(Protocol):
    """Call one plain service."""

    async def call(self, request: ServiceRequest) -> ServiceAnswer | Failure:
        """Send a request once, never again.

        The failure says whether the bytes may have left.
        """
