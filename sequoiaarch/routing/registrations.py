"""Decode registrations, some of which may not be targets' own."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import logbook

from ..storage.keyed import KeyedRecord
from .targets import TargetEntry

log = logbook.Logger("targets")

# Keys that were reported once. A writer that repeats a bad entry several times a
# second must not fill the log, nor one that invents keys the memory.
REPORTED_KEPT = 1000


class Registrations:
    """Decode the records of targets, and report each bad key once.

    A record that can't be understood names no target, also where an earlier one
    under its key did: what was registered last is what counts.
    """

    def __init__(self, *, decode: Callable[[str, bytes], TargetEntry]) -> None:
        self._decode = decode
        self._reported: OrderedDict[str, None] = OrderedDict()

    def decode(self, record: KeyedRecord) -> TargetEntry | None:
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
        if len(self._reported) > REPORTED_KEPT:
            self._reported.popitem(last=False)
