"""Interfaces of model engines and services."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec

from ..errors import Failure
from ..ids import AttemptId, CallKey, Epoch, ProgramId

Emit = Callable[[bytes], None]


class EngineRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for one answer of an engine; `timeout` in seconds."""

    program: ProgramId
    attempt: AttemptId
    epoch: Epoch
    path: str
    body: bytes
    timeout: float
    trace: str = ""


class EngineAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts of a stream that ended normally."""

    prompt_tokens: int = 0
    answer_tokens: int = 0
    cached_tokens: int = 0


class ServiceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to a service; `timeout` in seconds."""

    method: str
    path: str
    body: bytes
    key: CallKey | None
    epoch: Epoch
    timeout: float
    trace: str = ""


class ServiceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Response of a service."""

    status: int
    body: bytes
    content_type: str


class CacheListing(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of each program in engine memory, and exported from it."""

    cached: dict[ProgramId, int]
    exported: dict[ProgramId, int] = {}


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One change of engine memory; a gap in the numbers means lost events."""

    number: int
    what: str
    key: ProgramId


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of an engine, as it reported last."""

    running: int
    waiting: int


class OrderKind(Enum):
    """Kind of order that an engine accepts."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Order to load a model or an adapter, or to change the engine's role."""

    kind: OrderKind
    name: str
    version: str = ""


class ModelEngine(Protocol):
    """Client of one model engine."""

    async def complete(
        self, request: EngineRequest, emit: Emit
    ) -> EngineAnswer | Failure:
        """Run a request and emit the payload of each event in order.

        A stream whose connection breaks is resumed if the engine supports it.
        """

    async def cancel(self, attempt: AttemptId) -> None:
        """Cancel a stream whose answer is no longer needed."""

    async def listing(self) -> CacheListing | Failure:
        """Return the current contents of the prefix cache."""

    async def events(self, start: int) -> list[CacheEvent] | Failure:
        """Return the cache events published so far, from number `start` on."""

    async def free(self, program: ProgramId) -> bool:
        """Delete the cached and exported prefix of a program."""

    async def export(self, program: ProgramId) -> bool:
        """Move a prefix out of engine memory; return False if it is not cached."""

    async def import_(self, program: ProgramId) -> bool:
        """Move a prefix back to engine memory; return False if it is not exported."""

    async def load(self) -> EngineLoad | Failure:
        """Return the load that the engine reported last."""

    async def order(self, order: EngineOrder, epoch: Epoch) -> Failure | None:
        """Send an order with a fencing token; return why it failed, or None."""


class Service(Protocol):
    """Client of one service."""

    async def call(self, request: ServiceRequest) -> ServiceAnswer | Failure:
        """Send a request once, without retries.

        The failure says whether the service may have run the request.
        """
