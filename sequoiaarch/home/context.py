"""Join what the parts of a home need."""

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
    """Hold what is needed to run calls at this sidecar."""

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
        """Return the most tokens that an answer of the program may have."""
        document = self.catalogue.program(request.spec.name)
        return document.spec.max_answer_tokens if document else DEFAULT_ANSWER_TOKENS


@dataclass(frozen=True, kw_only=True)
class Work:
    """Hold one call on its way; `trace` names the span of the home."""

    running: RunningProgram
    call: ActiveCall
    request: CallRequest
    trace: str
