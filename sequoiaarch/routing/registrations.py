"""Take targets over from their registrations, some of which are not their own."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence

import logbook

from ..ids import InstanceId
from ..storage.keyed import KeyedRecord
from .targets import TargetEntry, Targets

log = logbook.Logger("targets")

# Keys that were reported once. A writer that repeats a bad entry several times a
# second must not fill the log, nor one that invents keys the memory.
MAX_REPORTED_KEYS = 1000


class Registrations:
    """Pass the records of targets on, and report each bad key once.

    A record that can't be understood names no target, also where an earlier one
    under its key did: what was registered last is what counts.
    """

    def __init__(
        self, *, decode: Callable[[str, bytes], TargetEntry], targets: Targets
    ) -> None:
        self._decode = decode
        self._targets = targets
        self._reported: OrderedDict[str, None] = OrderedDict()

    def replace(self, records: Sequence[KeyedRecord]) -> None:
        """Take over a complete list."""
        listed = [record for record in records if record.value]
        entries = [self._entry(record) for record in listed]
        self._targets.replace([entry for entry in entries if entry is not None])
        for record, entry in zip(listed, entries, strict=True):
            if entry is None:
                self._targets.reject(InstanceId(record.key))

    def apply(self, record: KeyedRecord) -> None:
        """Take over one change."""
        if not record.value:
            self._targets.remove(InstanceId(record.key))
            return
        entry = self._entry(record)
        if entry is not None:
            self._targets.put(entry)
        else:
            self._targets.reject(InstanceId(record.key))

    def _entry(self, record: KeyedRecord) -> TargetEntry | None:
        """Return the target that a record names, if it names one."""
        try:
            entry = self._decode(record.key, record.value)
        except ValueError as error:
            self._report(record.key, error)
            return None
        self._reported.pop(record.key, None)
        return entry

    def _report(self, key: str, error: ValueError) -> None:
        if key in self._reported:
            return
        log.error("registration {!r} names no target: {}", key, error)
        self._reported[key] = None
        if len(self._reported) > MAX_REPORTED_KEYS:
            self._reported.popitem(last=False)
