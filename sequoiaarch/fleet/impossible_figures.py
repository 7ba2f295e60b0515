"""Log the impossible figures of peers, each once."""

from __future__ import annotations

import logbook

log = logbook.Logger("placement")

# Kinds of figures and their sources that are remembered as logged. Further ones are not
# logged, so that a peer can't fill the memory with names.
MAX_LOGGED = 1024


class ImpossibleFigures:
    """Log each kind of impossible figure once for each source."""

    def __init__(self) -> None:
        self._logged: set[tuple[str, str]] = set()

    def ignore(self, source: str, figure: str, value: object) -> None:
        """Log that a figure is ignored, unless it was logged before."""
        key = (source, figure)
        if key in self._logged or len(self._logged) >= MAX_LOGGED:
            return
        self._logged.add(key)
        log.warning(
            "{} sent an impossible {}: {:.200}; such figures of it are ignored and not"
            " logged again",
            source,
            figure,
            str(value),
        )
