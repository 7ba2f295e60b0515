"""Build the documents in force from the configuration stream.

The result depends on the stream alone, so all readers agree.
"""

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

MAX_HISTORY = 1024  # publications


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Replacement of one document, or its removal if `document` is None.

    `base` is the version that the publisher read, 0 if there was none.
    """

    key: str
    base: int
    document: dict[str, Any] | None


class Publication(msgspec.Struct, frozen=True, kw_only=True, tag="publication"):
    """Changes of documents that are applied atomically."""

    id: RecordId
    author: str
    changes: list[Change]


class VersionedDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A document and its version: the offset of its publication plus one."""

    version: int
    document: dict[str, Any] | None


class ConfigSnapshot(msgspec.Struct, frozen=True, kw_only=True, tag="snapshot"):
    """State of the configuration after the record at offset `as_of`."""

    id: RecordId
    as_of: Offset
    documents: dict[str, VersionedDocument]


ConfigRecord = Publication | ConfigSnapshot


class PublishVerdict(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a publication was accepted; `conflicts` are the reasons if not."""

    id: RecordId
    offset: Offset
    author: str
    accepted: bool
    conflicts: list[str] = []
    keys: list[str] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[ConfigRecord] = msgspec.msgpack.Decoder(ConfigRecord)


def encode_config(record: ConfigRecord) -> bytes:
    """Encode a configuration record."""
    return _ENCODER.encode(record)


def decode_config(data: bytes) -> ConfigRecord | None:
    """Decode a configuration record; return None if the data is not valid."""
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None


class ConfigView:
    """Apply the configuration stream to get the documents in force.

    Uses optimistic concurrency control: a publication is rejected as a whole if one
    of its changes is based on an outdated version. Of competing publications, the
    first in log order wins.
    """

    def __init__(self) -> None:
        self._versions: dict[str, VersionedDocument] = {}
        self._documents: dict[str, AnyDocument] = {}
        self._history: list[PublishVerdict] = []
        self._verdicts: dict[RecordId, PublishVerdict] = {}
        self._next_offset = Offset(0)
        self._newest = Offset(-1)
        self._oldest = Offset(0)
        self._complete = True
        self._buffered: list[tuple[Offset, ConfigRecord]] = []

    @property
    def next_offset(self) -> Offset:
        """Return the offset of the record that is read next."""
        return self._next_offset

    @property
    def newest(self) -> Offset:
        """Return the offset of the newest publication in force."""
        return self._newest

    @property
    def oldest(self) -> Offset:
        """Return the first offset that a new reader has to read."""
        return self._oldest

    @property
    def complete(self) -> bool:
        """Return whether the view reflects all records before `next_offset`."""
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
        """Return the version of a document, 0 if it was never published."""
        entry = self._versions.get(key)
        return entry.version if entry else 0

    def verdict(self, record: RecordId) -> PublishVerdict | None:
        """Return the verdict on a publication, or None if it was not read yet."""
        return self._verdicts.get(record)

    def start_at(self, first: Offset) -> None:
        """Continue at the first offset that the log still retains.

        The view is incomplete until a snapshot covers the skipped records.
        """
        if first <= self._next_offset:
            return
        self._next_offset = first
        self._complete = False

    def apply(self, offset: Offset, record: ConfigRecord | None) -> None:
        """Apply the record at an offset; None if it could not be decoded."""
        if offset < self._next_offset:
            return
        self._next_offset = Offset(offset + 1)
        if record is None:
            return
        if not self._complete:
            self._buffered.append((offset, record))
        if isinstance(record, ConfigSnapshot):
            self._adopt_from_log(record)
            if self._complete:
                self._oldest = Offset(max(self._oldest, record.as_of + 1))
        elif self._complete:
            self._apply_publication(offset, record)

    def adopt(self, snapshot: ConfigSnapshot) -> None:
        """Replace the documents by a peer's snapshot if it is newer."""
        if snapshot.as_of >= self._next_offset:
            self._replace_documents(snapshot)
            self._buffered = []
            self._next_offset = Offset(snapshot.as_of + 1)

    def snapshot(self, record: RecordId) -> ConfigSnapshot:
        """Return a snapshot of the documents in force."""
        as_of = Offset(self._next_offset - 1)
        return ConfigSnapshot(id=record, as_of=as_of, documents=self._versions)

    def _adopt_from_log(self, snapshot: ConfigSnapshot) -> None:
        if self._complete or not self._buffered:
            return
        if snapshot.as_of + 1 < self._buffered[0][0]:
            # Records between the snapshot and the first buffered record may have
            # been trimmed; only a later snapshot covers them.
            return
        buffered = self._buffered
        self._buffered = []
        self._replace_documents(snapshot)
        for offset, record in buffered:
            if offset > snapshot.as_of and isinstance(record, Publication):
                self._apply_publication(offset, record)

    def _replace_documents(self, snapshot: ConfigSnapshot) -> None:
        self._complete = True
        self._versions = dict(snapshot.documents)
        versions = [entry.version for entry in self._versions.values()]
        self._newest = Offset(max(versions, default=0) - 1)
        self._documents = {}
        for key, entry in self._versions.items():
            self._set_document(key, entry.document)

    def _set_document(self, key: str, value: dict[str, Any] | None) -> None:
        self._documents.pop(key, None)
        if value is not None:
            self._documents[key] = parse_document(value)

    def _apply_publication(self, offset: Offset, record: Publication) -> None:
        if record.id in self._verdicts:
            return
        conflicts = self._find_conflicts(record)
        verdict = PublishVerdict(
            id=record.id,
            offset=offset,
            author=record.author,
            accepted=not conflicts,
            conflicts=conflicts,
            keys=[change.key for change in record.changes],
        )
        self._verdicts[record.id] = verdict
        self._history.append(verdict)
        del self._history[:-MAX_HISTORY]
        if conflicts:
            return
        self._newest = offset
        for change in record.changes:
            entry = VersionedDocument(version=offset + 1, document=change.document)
            self._versions[change.key] = entry
            self._set_document(change.key, change.document)

    def _find_conflicts(self, record: Publication) -> list[str]:
        found = []
        for change in record.changes:
            current = self.version(change.key)
            if change.base != current:
                found.append(
                    f"{change.key}: based on version {change.base}, "
                    f"but version {current} is in force"
                )
            if change.document is not None:
                found.extend(_document_conflicts(change))
        return found


def _document_conflicts(change: Change) -> list[str]:
    try:
        document = parse_document(change.document)
    except InvalidDocument as error:
        return [f"{change.key}: {problem}" for problem in error.problems]
    if document.key != change.key:
        return [f"{change.key}: the key of the document is {document.key}"]
    return []


class Catalogue:
    """Look up the documents in force."""

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
        """Return the target with the name."""
        document = self._view.documents.get(f"Target/{name}")
        return document if isinstance(document, TargetDocument) else None

    def program(self, name: str) -> ProgramDocument | None:
        """Return the program with the name."""
        document = self._view.documents.get(f"Program/{name}")
        return document if isinstance(document, ProgramDocument) else None

    def program_for(self, workspace: str, model: str) -> ProgramDocument | None:
        """Return the workspace's first program with the model; "" means any model."""
        for document in self.programs:
            spec = document.spec
            if spec.workspace == workspace and model in ("", spec.model):
                return document
        return None

    def policy_for(self, labels: dict[str, str]) -> PolicySpecification:
        """Return the matching policy with the most specific selector.

        Ties go to the last name in sorting order. Returns the defaults if no policy
        matches.
        """
        best: PolicyDocument | None = None
        for document in self._view.documents.values():
            if not isinstance(document, PolicyDocument):
                continue
            if not matches(document.selector, labels):
                continue
            if best is None or _specificity(document) > _specificity(best):
                best = document
        return best.spec if best else PolicySpecification()


def _specificity(document: PolicyDocument) -> tuple[int, str]:
    return len(document.selector), document.name
