"""Run the product on the users' platform."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Run until stopped; return the exit code."""
    # The settings may change while the program is still being imported, which
    # takes 0.3 s. By default that signal ends the process, and the gateway is
    # missing until it is started again. It reads its settings after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .program import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
