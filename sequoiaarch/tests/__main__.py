"""Run all tests."""

from __future__ import annotations

import gc
import os
import sys
import threading
import time
import unittest
from pathlib import Path

from ..config.settings import LoggingOptions, LogLevel
from ..observe.logs import set_up_logs

PATTERN = "*_tests.py"


# Threads that were told to end need a moment on a busy machine. Seconds.
PATIENCE = 30.0


def left_behind() -> list[str]:
    """Return the threads that tests did not end, after waiting for them.

    A test that leaves a thread behind slows all later ones: hundreds of them
    once made the suite take more than twice its time.
    """
    deadline = time.monotonic() + PATIENCE
    while time.monotonic() < deadline:
        gc.collect()
        names = [one.name for one in threading.enumerate() if _is_ours(one)]
        if not names:
            return []
        time.sleep(0.1)
    return sorted(names)


def _is_ours(thread: threading.Thread) -> bool:
    return thread is not threading.main_thread()


def main() -> int:
    """Run the tests that the arguments name, or all; return the exit code."""
    set_up_logs(LoggingOptions(level=LogLevel.ERROR))
    top = Path(__file__).parent
    loader = unittest.defaultTestLoader
    names = [f"sequoiaarch.tests.{name}" for name in sys.argv[1:]]
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(top), PATTERN, top_level_dir=str(top.parents[1]))
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors)
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped
    left = left_behind()
    for name in left:
        print(f"left behind: {name}")
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 0 if result.wasSuccessful() and result.testsRun and not left else 1


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    # Threads of processes that a test killed may still wait for something;
    # the verdict stands and must not wait for them.
    os._exit(code)
