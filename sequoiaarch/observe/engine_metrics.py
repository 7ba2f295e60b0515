"""Read the load of engines and the decisions of their owners from metrics."""

from __future__ import annotations

import math
import re
from collections import defaultdict
from collections.abc import Iterator

import msgspec

NAME_PREFIX = "sequoiaarch_"
ENGINE_OWNER = "sequoiaarch_engine_owner"
ENGINE_PROGRAMS = "sequoiaarch_engine_programs"
ENGINE_FREE = "sequoiaarch_engine_free_placements"
ENGINE_PACE = "sequoiaarch_engine_event_seconds"
PLACEMENTS = "sequoiaarch_placements_total"
STATE = "sequoiaarch_state"
TO_RETRY = "programs_to_retry"

# A sample of the Prometheus text format: name, labels, value and an optional time.
_SAMPLE = re.compile(r"([a-zA-Z_:][\w:]*)(?:\{(.*)\})?\s+(\S+)(?:\s+-?\d+)?\s*")
_LABEL = re.compile(r'([a-zA-Z_]\w*)="((?:[^"\\]|\\.)*)"\s*,?\s*')
_ESCAPED = re.compile(r"\\(.)")


class MetricsInvalid(ValueError):
    """Raised for a text that holds no metrics of a gateway."""


class EngineRow(msgspec.Struct, frozen=True, kw_only=True, tag="engine"):
    """Load of an engine as its owner shows it; None is unknown."""

    url: str
    data_centre: str | None
    engine: str
    owner: str | None
    programs: int | None
    free: int | None
    milliseconds: float | None


class OwnerRow(msgspec.Struct, frozen=True, kw_only=True, tag="owner"):
    """Decisions of an owner of engines since its start; None is unknown."""

    url: str
    data_centre: str | None
    owner: str | None
    engines: int
    granted: int | None
    refused: int | None
    redirected: int | None
    to_retry: int | None


class GatewayEngines(msgspec.Struct, frozen=True, kw_only=True):
    """The engines that a gateway owns, if any, and whom it sees as the owner."""

    engines: list[EngineRow]
    totals: OwnerRow | None
    data_centre: str | None
    owner: str | None


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """One value of a metric."""

    name: str
    labels: dict[str, str]
    value: float


def read_samples(text: str) -> Iterator[Sample]:
    """Yield the samples of a text in the Prometheus format; skips other lines."""
    for line in text.splitlines():
        match = _SAMPLE.fullmatch(line)
        if match is None:
            continue
        name, labels, value = match.groups()
        try:
            number = float(value)
        except ValueError:
            continue
        yield Sample(name=name, labels=_read_labels(labels or ""), value=number)


def read_engines(text: str, url: str) -> GatewayEngines:
    """Return the engines and totals that a gateway shows; raises MetricsInvalid."""
    values: defaultdict[str, dict[str, float]] = defaultdict(dict)
    centre = owner = None
    ours = False
    for sample in read_samples(text):
        ours = ours or sample.name.startswith(NAME_PREFIX)
        labels = sample.labels
        if sample.name == ENGINE_OWNER:
            centre, owner = labels.get("data_centre"), labels.get("owner")
        elif label := _LABELS_READ.get(sample.name):
            values[sample.name][labels.get(label, "")] = sample.value
    if not ours:
        raise MetricsInvalid("its answer holds no metrics of a gateway")
    programs, free = values[ENGINE_PROGRAMS], values[ENGINE_FREE]
    pace, placements = values[ENGINE_PACE], values[PLACEMENTS]
    engines = [
        EngineRow(
            url=url,
            data_centre=centre,
            engine=engine,
            owner=owner,
            programs=_whole(programs.get(engine)),
            free=_whole(free.get(engine)),
            milliseconds=_milliseconds(pace.get(engine)),
        )
        for engine in sorted(programs.keys() | free.keys() | pace.keys())
    ]
    totals = OwnerRow(
        url=url,
        data_centre=centre,
        owner=owner,
        engines=len(engines),
        granted=_whole(placements.get("granted")),
        refused=_whole(placements.get("refused")),
        redirected=_whole(placements.get("redirected")),
        to_retry=_whole(values[STATE].get(TO_RETRY)),
    )
    return GatewayEngines(
        engines=engines,
        totals=totals if engines else None,
        data_centre=centre,
        owner=owner,
    )


# The label that tells the samples of a metric apart.
_LABELS_READ = {
    ENGINE_PROGRAMS: "engine",
    ENGINE_FREE: "engine",
    ENGINE_PACE: "engine",
    PLACEMENTS: "result",
    STATE: "name",
}


def _read_labels(text: str) -> dict[str, str]:
    return {
        name: _ESCAPED.sub(_unescape, value) for name, value in _LABEL.findall(text)
    }


def _unescape(match: re.Match[str]) -> str:
    return "\n" if match[1] == "n" else match[1]


def _whole(value: float | None) -> int | None:
    return None if value is None or not math.isfinite(value) else round(value)


def _milliseconds(seconds: float | None) -> float | None:
    if seconds is None or not math.isfinite(seconds):
        return None
    return round(seconds * 1000, 2)
