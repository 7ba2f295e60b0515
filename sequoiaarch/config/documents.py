"""Declare the documents that operators publish: Program, Target and Policy."""

from __future__ import annotations

from enum import Enum
from typing import Any

from pydantic import Field, model_validator

from .validation import InvalidDocument, Options, Problem, validate

NAME = r"^[a-z0-9][a-z0-9._-]*$"


class Kind(Enum):
    """Name the kinds of document."""

    PROGRAM = "Program"
    TARGET = "Target"
    POLICY = "Policy"


class TargetType(Enum):
    """Say what stands behind a target."""

    ENGINE = "engine"
    SERVICE = "service"


class PlacementName(Enum):
    """Name a way to choose the target of a call."""

    AFFINITY = "affinity"
    STICKY = "sticky"
    LEAST_LOADED = "least_loaded"
    RANDOM = "random"


class OrderName(Enum):
    """Name an order of the calls that wait at a target."""

    ATTAINED = "attained"
    FIRST_COME = "first_come"


class RetentionName(Enum):
    """Name a way to decide what prefix memory is kept."""

    PREDICTED = "predicted"
    ENGINE = "engine"


class AdmissionName(Enum):
    """Name a way to decide which programs may start at a target."""

    WORKING_SET = "working_set"
    OPEN = "open"


class LogOutagePolicy(Enum):
    """Say what happens to non-idempotent calls while the log is away."""

    REFUSE = "refuse"
    WAIT = "wait"


class ProgramSpecification(Options):
    """Describe the programs of one workspace and model."""

    workspace: str = Field(min_length=1)
    model: str = Field(min_length=1)
    targets: dict[str, str] = {}
    services: list[str] = []
    budget: int = Field(default=1_000_000, ge=1)
    max_answer_tokens: int = Field(default=1024, ge=1)
    max_calls: int = Field(default=500, ge=1)


class TargetSpecification(Options):
    """Describe one target and where it is."""

    type: TargetType
    url: str = Field(pattern=r"^https?://")
    address: str = Field(pattern=r"^(tcp|inproc)://")
    host: str = Field(min_length=1)
    data_centre: str = Field(min_length=1)
    model: str | None = None
    service: str | None = None
    slots: int = Field(default=8, ge=1)
    cache_tokens: int = Field(default=100_000, ge=0)
    export_tokens: int = Field(default=0, ge=0)
    fencing: bool = False
    min_bytes_per_token: float = Field(default=1.0, gt=0, le=8)

    @model_validator(mode="after")
    def _check_type(self) -> TargetSpecification:
        if self.type is TargetType.ENGINE and not self.model:
            raise ValueError("an engine needs 'model'")
        if self.type is TargetType.SERVICE and not self.service:
            raise ValueError("a service needs 'service', the name callers use")
        return self


class PolicySpecification(Options):
    """Set how programs are scheduled; times in seconds."""

    placement: PlacementName = PlacementName.AFFINITY
    order: OrderName = OrderName.ATTAINED
    retention: RetentionName = RetentionName.PREDICTED
    admission: AdmissionName = AdmissionName.WORKING_SET
    latency_weight: float = Field(default=0.5, ge=0, le=1)
    priority: float = Field(default=1.0, gt=0, le=100)
    deadline: float = Field(default=600.0, gt=0)
    service_timeout: float = Field(default=60.0, gt=0)
    idle_limit: float = Field(default=86_400.0, gt=0)
    commit_wait: float = Field(default=0.0, ge=0)
    start_wait: float = Field(default=30.0, gt=0)
    log_away: LogOutagePolicy = LogOutagePolicy.REFUSE


class Document(Options):
    """Hold the part that all documents share."""

    kind: Kind
    name: str = Field(pattern=NAME)
    labels: dict[str, str] = {}

    @property
    def key(self) -> str:
        """Return the name under which versions are counted."""
        return f"{self.kind.value}/{self.name}"


class ProgramDocument(Document):
    """Bind a workspace and a model to targets and services."""

    spec: ProgramSpecification


class TargetDocument(Document):
    """Announce a target."""

    spec: TargetSpecification


class PolicyDocument(Document):
    """Set the scheduling of all programs and targets that the selector names."""

    selector: dict[str, str] = {}
    spec: PolicySpecification = PolicySpecification()


AnyDocument = ProgramDocument | TargetDocument | PolicyDocument

KINDS: dict[Kind, type[AnyDocument]] = {
    Kind.PROGRAM: ProgramDocument,
    Kind.TARGET: TargetDocument,
    Kind.POLICY: PolicyDocument,
}


def matches(selector: dict[str, str], labels: dict[str, str]) -> bool:
    """Return whether the labels hold all that the selector names."""
    return all(labels.get(name) == value for name, value in selector.items())


def parse_document(value: Any, prefix: str = "") -> AnyDocument:
    """Return one document, or raise with every problem found."""
    kind = value.get("kind") if isinstance(value, dict) else None
    names = [kind.value for kind in Kind]
    if kind not in names:
        reason = f"must be one of {', '.join(names)}; given {kind!r}"
        path = f"{prefix}.kind" if prefix else "kind"
        raise InvalidDocument([Problem(path=path, reason=reason)])
    return validate(KINDS[Kind(kind)], value, prefix)


def parse_documents(value: Any) -> list[AnyDocument]:
    """Return all documents of a file, or raise with all problems of all."""
    values = value if isinstance(value, list) else [value]
    documents: list[AnyDocument] = []
    problems: list[Problem] = []
    for index, entry in enumerate(values):
        prefix = f"[{index}]" if len(values) > 1 else ""
        try:
            documents.append(parse_document(entry, prefix))
        except InvalidDocument as error:
            problems.extend(error.problems)
    problems.extend(_doubled(documents))
    if problems:
        raise InvalidDocument(problems)
    return documents


def _doubled(documents: list[AnyDocument]) -> list[Problem]:
    seen: set[str] = set()
    problems = []
    for document in documents:
        if document.key in seen:
            problems.append(Problem(path=document.key, reason="is given twice"))
        seen.add(document.key)
    return problems
