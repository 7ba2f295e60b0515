"""Run a gateway on the users' platform."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Run the gateway until it is stopped; return the exit code."""
    # SIGHUP, the request to reload the settings, would end the process while the
    # program is still being imported. It reads its settings only after that.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .program import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
