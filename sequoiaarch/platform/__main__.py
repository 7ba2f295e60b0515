"""Run the product on the users' platform."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

import logbook

from ..ingress.daemon import IngressDaemon, Sources
from ..storage.direct import DirectCaller
from .calls import PlatformCalls
from .documents import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    TARGETS_TOPIC,
    decode_routes,
    decode_target,
)
from .settings import SETTINGS_VARIABLE, read_settings
from .store import PlatformLog

EXIT_INVALID = 2

SOURCES = Sources(
    routes_topic=CONFIG_TOPIC,
    routes_key=CONFIG_KEY,
    targets_topic=TARGETS_TOPIC,
    decode_routes=decode_routes,
    decode_target=decode_target,
)


async def _run(path: Path) -> None:
    options = read_settings(path)
    caller = DirectCaller(address=options.store.address)
    daemon = IngressDaemon(
        options=options,
        keyed_log=PlatformLog(caller=caller),
        codec=PlatformCalls(),
        sources=SOURCES,
    )
    await daemon.run()


def main() -> int:
    """Run until stopped; return the exit code."""
    logbook.StreamHandler(sys.stdout, level=logbook.INFO).push_application()
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        asyncio.run(_run(path))
    except (OSError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return EXIT_INVALID
    return 0


if __name__ == "__main__":
    sys.exit(main())
