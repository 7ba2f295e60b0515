"""Decode the registrations of targets, some of which other programs write."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence

import logbook

from ..ids import InstanceId
from ..storage.keyed import KeyedRecord, ListedRecord
from .targets import TargetEntry, Targets

log = logbook.Logger("targets")

# Limit on remembered keys of invalid registrations, each of which is logged once
# while it is invalid.
MAX_REPORTED_KEYS = 1000


class Registrations:
    """Apply registrations to the targets and log each invalid key once.

    An invalid registration removes the target of an earlier valid one with its key.
    """

    def __init__(
        self, *, decode: Callable[[str, bytes], TargetEntry], targets: Targets
    ) -> None:
        self._decode = decode
        self._targets = targets
        self._reported: OrderedDict[str, None] = OrderedDict()

    def replace(self, records: Sequence[ListedRecord]) -> None:
        """Replace all targets by a complete list of registrations."""
        current = [record for record in records if record.value]
        entries = [self._entry(record) for record in current]
        self._targets.replace(
            (entry, record.offset)
            for record, entry in zip(current, entries, strict=True)
            if entry is not None
        )
        for record, entry in zip(current, entries, strict=True):
            if entry is None:
                self._targets.reject(InstanceId(record.key))

    def apply(self, record: ListedRecord) -> None:
        """Apply a changed or removed registration."""
        if not record.value:
            self._targets.remove(InstanceId(record.key), record.offset)
            return
        entry = self._entry(record)
        if entry is not None:
            self._targets.put(entry, record.offset)
        else:
            self._targets.reject(InstanceId(record.key))

    def _entry(self, record: KeyedRecord) -> TargetEntry | None:
        """Return the target of a registration, or None if it is invalid."""
        try:
            entry = self._decode(record.key, record.value)
        except (ValueError, RecursionError) as error:
            self._report(record.key, error)
            return None
        self._reported.pop(record.key, None)
        return entry

    def _report(self, key: str, error: Exception) -> None:
        if key in self._reported:
            return
        log.error("registration {!r} is invalid: {}", key, error)
        self._reported[key] = None
        if len(self._reported) > MAX_REPORTED_KEYS:
            self._reported.popitem(last=False)
