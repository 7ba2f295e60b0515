"""Run all tests."""

from __future__ import annotations

import os
import sys
import unittest
from pathlib import Path

from ..config.settings import LoggingOptions, LogLevel
from ..observe.logs import set_up_logs

PATTERN = "*_tests.py"


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
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 0 if result.wasSuccessful() and result.testsRun else 1


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    # Threads of processes that a test killed may still wait for something;
    # the verdict stands and must not wait for them.
    os._exit(code)
