"""Logging set-up in text or JSON format."""

from __future__ import annotations

import sys

import logbook
import msgspec

from ..config.settings import LogFormat, LoggingOptions

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7} "
    "[{record.channel}] {record.message}"
)


def _format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "part": record.channel,
        "message": record.message,
    }
    if record.exc_info:
        line["exception"] = record.formatted_exception
    return msgspec.json.encode(line).decode()


def set_up_logs(options: LoggingOptions) -> None:
    """Write the log of the process to standard error."""
    level = logbook.lookup_level(options.level.value.upper())
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.format_string = TEXT_FORMAT
    if options.format is LogFormat.JSON:
        handler.formatter = _format_json
    handler.push_application()
