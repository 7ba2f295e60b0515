"""Test that only the adapter uses names of the platform's protocol."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

PACKAGE = Path(__file__).parents[2]
ADAPTER = PACKAGE / "platform"
ADAPTER_TESTS = PACKAGE / "tests" / "platform"
# The adapter only translates; a larger share indicates that it contains logic or state
# that belongs elsewhere.
MAX_SHARE = 0.06

NAMES = (
    "x-attempt-id|x-deadline-ms|x-prompt-prefix|x-server-stamp|x-expect-instance"
    "|x-not-executed|x-instance-id|x-token-usage|x-request-priority|x-weight-versions"
    "|x-session-id|x-program-deadline-ms|x-token-budget|x-previous-turn"
    "|x-expect-version|x-pin-ms|x-hold|x-length-hint|x-kv-backup|kv-from|kv-fetch"
    "|/-/[a-z]|keyed\\.op|keyed\\.servers|op/config|pathprefix|targetlatencyms"
    "|timeoutms|maxattempts|gaptargetms|retentions\\b|healthpath|maxconns"
    "|kvcapacitytokens|kvtokenbytes|chunktokens|coldremainingms|heartbeatms"
    "|maxheaderbytes|maxbodybytes|headertimeoutms|idletimeoutms|nodename"
    "|machineclass|internalportrange|firstoffset|endoffset|hasmore|sequoiaarch_settings"
    "|api-key|apikeys|x-tenant|tenants?\\b|ratepers|revokems|revokestrict"
    "|quotawindows|quotaoverage|quotaslack"
)


def sources() -> list[Path]:
    """Return all modules of the product without its tests."""
    tests = PACKAGE / "tests"
    return [path for path in PACKAGE.rglob("*.py") if tests not in path.parents]


class NamesTests(unittest.TestCase):
    """Check the sources."""

    def test_names_stay_in_the_adapter(self) -> None:
        """Use names of the platform's protocol only in the adapter and its tests."""
        pattern = re.compile(NAMES, re.IGNORECASE)
        tests = [
            test_path
            for test_path in (PACKAGE / "tests").rglob("*.py")
            if ADAPTER_TESTS not in test_path.parents
        ]
        misplaced_names = [
            f"{path.relative_to(PACKAGE)}:{number}: {match.group()}"
            for path in [*sources(), *tests]
            if ADAPTER not in path.parents
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if (match := pattern.search(line))
        ]
        self.assertEqual(misplaced_names, [])

    def test_adapter_stays_small(self) -> None:
        """Limit the adapter's share of the code, and print it."""
        lines = {path: len(path.read_text().splitlines()) for path in sources()}
        own = sum(count for path, count in lines.items() if ADAPTER in path.parents)
        share = own / sum(lines.values())
        print(f"sequoiaarch/platform: {own} lines, {share:.1%} of the code")
        self.assertLess(share, MAX_SHARE)
