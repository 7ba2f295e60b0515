"""Define the documents that operators publish: Program, Target and Policy."""

from __future__ import annotations

from enum import Enum
from typing import Any

from pydantic import Field, model_validator

from .validation import InvalidDocument, Options, Problem, validate

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]*$"


class Kind(Enum):
    """Kind of a document."""

    PROGRAM = "Program"
    TARGET = "Target"
    POLICY = "Policy"


class TargetType(Enum):
    """Type of backend that a target serves."""

    ENGINE = "engine"
    SERVICE = "service"


class PlacementName(Enum):
    """Placement policy: how the target of a call is chosen."""

    AFFINITY = "affinity"
    STICKY = "sticky"
    LEAST_LOADED = "least_loaded"
    RANDOM = "random"


class OrderName(Enum):
    """Scheduling order of the calls that are queued at a target."""

    ATTAINED = "attained"
    FIRST_COME = "first_come"


class RetentionName(Enum):
    """Retention policy: which prefixes stay in an engine's cache."""

    PREDICTED = "predicted"
    ENGINE = "engine"


class AdmissionName(Enum):
    """Admission policy: which programs may start at a target."""

    WORKING_SET = "working_set"
    OPEN = "open"


class LogOutagePolicy(Enum):
    """What happens to non-idempotent calls while the log is unavailable."""

    REFUSE = "refuse"
    WAIT = "wait"


class ProgramSpecification(Options):
    """Specify the targets, services and limits of a workspace's programs."""

    workspace: str = Field(min_length=1)
    model: str = Field(min_length=1)
    targets: dict[str, str] = {}
    services: list[str] = []
    budget: int = Field(default=1_000_000, ge=1)
    max_answer_tokens: int = Field(default=1024, ge=1)
    max_calls: int = Field(default=500, ge=1)


class TargetSpecification(Options):
    """Specify the location and capacity of a target."""

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
    """Specify how programs are scheduled; times in seconds."""

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
    """Base of all documents."""

    kind: Kind
    name: str = Field(pattern=NAME_PATTERN)
    labels: dict[str, str] = {}

    @property
    def key(self) -> str:
        """Return the key that identifies the document across versions."""
        return f"{self.kind.value}/{self.name}"


class ProgramDocument(Document):
    """Bind a workspace and a model to targets and services."""

    spec: ProgramSpecification


class TargetDocument(Document):
    """Register a target."""

    spec: TargetSpecification


class PolicyDocument(Document):
    """Set the scheduling of the programs and targets that the selector matches."""

    selector: dict[str, str] = {}
    spec: PolicySpecification = PolicySpecification()


AnyDocument = ProgramDocument | TargetDocument | PolicyDocument

KINDS: dict[Kind, type[AnyDocument]] = {
    Kind.PROGRAM: ProgramDocument,
    Kind.TARGET: TargetDocument,
    Kind.POLICY: PolicyDocument,
}


def matches(selector: dict[str, str], labels: dict[str, str]) -> bool:
    """Return whether the labels have every name and value of the selector."""
    return all(labels.get(name) == value for name, value in selector.items())


def parse_document(value: Any, prefix: str = "") -> AnyDocument:
    """Parse one document.

    Raises InvalidDocument with all problems.
    """
    kind = value.get("kind") if isinstance(value, dict) else None
    names = [kind.value for kind in Kind]
    if kind not in names:
        reason = f"must be one of {', '.join(names)}; given {kind!r}"
        path = f"{prefix}.kind" if prefix else "kind"
        raise InvalidDocument([Problem(path=path, reason=reason)])
    return validate(KINDS[Kind(kind)], value, prefix)


def parse_documents(value: Any) -> list[AnyDocument]:
    """Parse the documents of a file.

    Raises InvalidDocument with the problems of all documents.
    """
    values = value if isinstance(value, list) else [value]
    documents: list[AnyDocument] = []
    problems: list[Problem] = []
    for index, entry in enumerate(values):
        prefix = f"[{index}]" if len(values) > 1 else ""
        try:
            documents.append(parse_document(entry, prefix))
        except InvalidDocument as error:
            problems.extend(error.problems)
    problems.extend(_find_duplicates(documents))
    if problems:
        raise InvalidDocument(problems)
    return documents


def _find_duplicates(documents: list[AnyDocument]) -> list[Problem]:
    seen: set[str] = set()
    problems = []
    for document in documents:
        if document.key in seen:
            problems.append(Problem(path=document.key, reason="is given twice"))
        seen.add(document.key)
    return problems
