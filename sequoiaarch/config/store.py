"""Decide which publications are in force, alike at every reader."""

from __future__ import annotations

from typing import Any

import msgspec

from ..ids import Offset, RecordId
from .documents import (
    AnyDocument,
    PolicyDocument,
    PolicySpecification,
    ProgramDocument,
    TargetDocument,
    matches,
    parse_document,
)
from .validation import InvalidDocument

HISTORY_KEPT = 1024


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Replace one document, or remove it where `document` is None.

    `base` is the version that the publisher saw; 0 where there was none.
    """

    key: str
    base: int
    document: dict[str, Any] | None


class Publication(msgspec.Struct, frozen=True, kw_only=True, tag="publication"):
    """Change documents together or not at all."""

    id: RecordId
    author: str
    changes: list[Change]


class VersionedDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a document with its version, the place of its publication."""

    version: int
    document: dict[str, Any] | None


class ConfigSnapshot(msgspec.Struct, frozen=True, kw_only=True, tag="snapshot"):
    """Stand for all records up to and with offset `as_of`."""

    id: RecordId
    as_of: Offset
    documents: dict[str, VersionedDocument]


ConfigRecord = Publication | ConfigSnapshot


class PublishVerdict(msgspec.Struct, frozen=True, kw_only=True):
    """Tell what became of a publication; `conflicts` explain a refusal."""

    id: RecordId
    offset: Offset
    author: str
    accepted: bool
    conflicts: list[str] = []
    keys: list[str] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[ConfigRecord] = msgspec.msgpack.Decoder(ConfigRecord)


def encode_config(record: ConfigRecord) -> bytes:
    """Return the bytes of a configuration record."""
    return _ENCODER.encode(record)


def decode_config(data: bytes) -> ConfigRecord | None:
    """Return the record, or None where the bytes are none of ours."""
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None


class ConfigView:
    """Fold the configuration stream into the documents that are in force.

    The first publication in log order wins; one that was based on an older
    version of any of its documents is refused as a whole.
    """

    def __init__(self) -> None:
        self._versions: dict[str, VersionedDocument] = {}
        self._documents: dict[str, AnyDocument] = {}
        self._history: list[PublishVerdict] = []
        self._seen: dict[RecordId, PublishVerdict] = {}
        self._next = Offset(0)
        self._newest = Offset(-1)
        self._oldest = Offset(0)
        self._complete = True
        self._early: list[tuple[Offset, ConfigRecord]] = []

    @property
    def next_offset(self) -> Offset:
        """Return the offset of the record that is read next."""
        return self._next

    @property
    def newest(self) -> Offset:
        """Return the offset of the newest publication in force."""
        return self._newest

    @property
    def oldest(self) -> Offset:
        """Return the oldest offset that a new reader needs."""
        return self._oldest

    @property
    def complete(self) -> bool:
        """Return whether nothing is missing from the beginning."""
        return self._complete

    @property
    def documents(self) -> dict[str, AnyDocument]:
        """Return the documents in force by key."""
        return self._documents

    @property
    def history(self) -> list[PublishVerdict]:
        """Return the verdicts on the latest publications."""
        return self._history

    def version(self, key: str) -> int:
        """Return the version of a document, 0 where there is none."""
        entry = self._versions.get(key)
        return entry.version if entry else 0

    def verdict(self, record: RecordId) -> PublishVerdict | None:
        """Return the verdict on a publication that was read."""
        return self._seen.get(record)

    def start_at(self, first: Offset) -> None:
        """Begin at the oldest offset that the log still keeps."""
        if first <= self._next:
            return
        self._next = first
        self._complete = False

    def apply(self, offset: Offset, record: ConfigRecord | None) -> None:
        """Fold one record in."""
        if offset < self._next:
            return
        self._next = Offset(offset + 1)
        if record is None:
            return
        if not self._complete:
            self._early.append((offset, record))
        if isinstance(record, ConfigSnapshot):
            self._adopt(record)
            if self._complete:
                self._oldest = Offset(max(self._oldest, record.as_of + 1))
        elif self._complete:
            self._publish(offset, record)

    def adopt(self, snapshot: ConfigSnapshot) -> None:
        """Take a peer's snapshot where it is ahead of this view."""
        if snapshot.as_of >= self._next:
            self._replace(snapshot)
            self._early = []
            self._next = Offset(snapshot.as_of + 1)

    def snapshot(self, record: RecordId) -> ConfigSnapshot:
        """Return a snapshot of what is in force."""
        as_of = Offset(self._next - 1)
        return ConfigSnapshot(id=record, as_of=as_of, documents=self._versions)

    def _adopt(self, snapshot: ConfigSnapshot) -> None:
        if self._complete or not self._early:
            return
        if snapshot.as_of + 1 < self._early[0][0]:
            # Publications between the snapshot and the first record that was
            # read may be gone; a later snapshot will stand for them.
            return
        early = self._early
        self._early = []
        self._replace(snapshot)
        for offset, record in early:
            if offset > snapshot.as_of and isinstance(record, Publication):
                self._publish(offset, record)

    def _replace(self, snapshot: ConfigSnapshot) -> None:
        self._complete = True
        self._versions = dict(snapshot.documents)
        versions = [entry.version for entry in self._versions.values()]
        self._newest = Offset(max(versions, default=0) - 1)
        self._documents = {}
        for key, entry in self._versions.items():
            self._parse(key, entry.document)

    def _parse(self, key: str, value: dict[str, Any] | None) -> None:
        self._documents.pop(key, None)
        if value is not None:
            self._documents[key] = parse_document(value)

    def _publish(self, offset: Offset, record: Publication) -> None:
        if record.id in self._seen:
            return
        conflicts = self._conflicts(record)
        verdict = PublishVerdict(
            id=record.id,
            offset=offset,
            author=record.author,
            accepted=not conflicts,
            conflicts=conflicts,
            keys=[change.key for change in record.changes],
        )
        self._seen[record.id] = verdict
        self._history.append(verdict)
        del self._history[:-HISTORY_KEPT]
        if conflicts:
            return
        self._newest = offset
        for change in record.changes:
            entry = VersionedDocument(version=offset + 1, document=change.document)
            self._versions[change.key] = entry
            self._parse(change.key, change.document)

    def _conflicts(self, record: Publication) -> list[str]:
        found = []
        for change in record.changes:
            current = self.version(change.key)
            if change.base != current:
                found.append(
                    f"{change.key}: based on version {change.base}, "
                    f"but version {current} is in force"
                )
            if change.document is not None:
                found.extend(_invalid(change))
        return found


def _invalid(change: Change) -> list[str]:
    try:
        document = parse_document(change.document)
    except InvalidDocument as error:
        return [f"{change.key}: {problem}" for problem in error.problems]
    if document.key != change.key:
        return [f"{change.key}: the document calls itself {document.key}"]
    return []


class Catalogue:
    """Answer questions about the documents in force."""

    def __init__(self, *, view: ConfigView) -> None:
        self._view = view

    @property
    def targets(self) -> list[TargetDocument]:
        """Return all targets, sorted by name."""
        found = [
            document
            for document in self._view.documents.values()
            if isinstance(document, TargetDocument)
        ]
        return sorted(found, key=lambda document: document.name)

    @property
    def programs(self) -> list[ProgramDocument]:
        """Return all programs, sorted by name."""
        found = [
            document
            for document in self._view.documents.values()
            if isinstance(document, ProgramDocument)
        ]
        return sorted(found, key=lambda document: document.name)

    def target(self, name: str) -> TargetDocument | None:
        """Return the target of a name."""
        document = self._view.documents.get(f"Target/{name}")
        return document if isinstance(document, TargetDocument) else None

    def program(self, name: str) -> ProgramDocument | None:
        """Return the program of a name."""
        document = self._view.documents.get(f"Program/{name}")
        return document if isinstance(document, ProgramDocument) else None

    def program_for(self, workspace: str, model: str) -> ProgramDocument | None:
        """Return the first program of a workspace that uses a model."""
        for document in self.programs:
            spec = document.spec
            if spec.workspace == workspace and model in ("", spec.model):
                return document
        return None

    def policy_for(self, labels: dict[str, str]) -> PolicySpecification:
        """Return the policy whose selector names most of the labels."""
        best: PolicyDocument | None = None
        for document in self._view.documents.values():
            if not isinstance(document, PolicyDocument):
                continue
            if not matches(document.selector, labels):
                continue
            if best is None or _rank(document) > _rank(best):
                best = document
        return best.spec if best else PolicySpecification()


def _rank(document: PolicyDocument) -> tuple[int, str]:
    return len(document.selector), document.name
