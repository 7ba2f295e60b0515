"""Define the context in which a sidecar runs calls."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..config.settings import LimitOptions
from ..config.store import Catalogue
from ..ids import TargetName
from ..membership.view import Membership
from ..observe.metrics import Metrics
from ..observe.traces import Tracing
from ..shards.client import ShardClient
from ..sidecar.executor import Executor
from ..wire.links import Links
from ..wire.messages import CallRequest, Load
from .calls import ActiveCall
from .local_programs import LocalPrograms
from .program import RunningProgram

DEFAULT_ANSWER_TOKENS = 1024


@dataclass(frozen=True, kw_only=True)
class HomeContext:
    """Services and settings that calls at this sidecar share."""

    own_target: TargetName
    local_programs: LocalPrograms
    executor: Executor
    catalogue: Catalogue
    membership: Membership
    links: Links
    shards: ShardClient
    limits: LimitOptions
    metrics: Metrics
    tracing: Tracing
    load: Callable[[], Load]

    def answer_limit(self, request: CallRequest) -> int:
        """Return the maximum number of tokens in an answer to a request."""
        document = self.catalogue.program(request.spec.name)
        return document.spec.max_answer_tokens if document else DEFAULT_ANSWER_TOKENS


@dataclass(frozen=True, kw_only=True)
class CallJob:
    """One call to run, with its program and request.

    `trace` is the W3C traceparent of the span that covers the call.
    """

    running: RunningProgram
    call: ActiveCall
    request: CallRequest
    trace: str
