"""Test that every reader of the configuration decides alike."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given, settings, strategies as st

from ...config.store import (
    Catalogue,
    Change,
    ConfigRecord,
    ConfigSnapshot,
    ConfigView,
    Publication,
    decode_config,
    encode_config,
)
from ...ids import Offset, RecordId

NAMES = ("one", "two")


def policy(name: str, weight: float) -> dict[str, Any]:
    """Return a policy document."""
    return {
        "kind": "Policy",
        "name": name,
        "selector": {"team": name},
        "spec": {"latency_weight": weight},
    }


def publication(number: int, name: str, base: int, weight: float) -> Publication:
    """Return a publication of one policy."""
    change = Change(key=f"Policy/{name}", base=base, document=policy(name, weight))
    return Publication(id=RecordId(f"p{number}"), author="test", changes=[change])


def read(log: list[ConfigRecord], first: int = 0) -> ConfigView:
    """Return the view of a reader that begins at an offset."""
    view = ConfigView()
    view.start_at(Offset(first))
    for offset in range(first, len(log)):
        view.apply(Offset(offset), log[offset])
    return view


class RaceTests(unittest.TestCase):
    """Let operators race."""

    def test_first_in_log_order_wins(self) -> None:
        """Accept one of two publications that saw the same version.

        Two operators read version 0 and publish. The second in log order is
        refused as a whole and told why; every reader agrees.
        """
        log: list[ConfigRecord] = [
            publication(1, "one", 0, 0.1),
            publication(2, "one", 0, 0.9),
        ]
        view = read(log)
        first, second = view.history
        self.assertTrue(first.accepted)
        self.assertFalse(second.accepted)
        self.assertIn("based on version 0", second.conflicts[0])
        self.assertEqual(
            Catalogue(view=view).policy_for({"team": "one"}).latency_weight, 0.1
        )

    def test_all_or_nothing(self) -> None:
        """Put no part of a refused publication in force."""
        stale = Change(key="Policy/one", base=0, document=policy("one", 0.9))
        fresh = Change(key="Policy/two", base=0, document=policy("two", 0.9))
        both = Publication(id=RecordId("b"), author="x", changes=[fresh, stale])
        view = read([publication(1, "one", 0, 0.1), both])
        self.assertNotIn("Policy/two", view.documents)

    def test_copy_after_a_lost_reply(self) -> None:
        """Count a publication once that was appended twice."""
        one = publication(1, "one", 0, 0.1)
        view = read([one, one])
        self.assertEqual(len(view.history), 1)
        self.assertEqual(view.version("Policy/one"), 1)

    def test_invalid_document_changes_nothing(self) -> None:
        """Refuse what no reader could use, with all reasons."""
        bad = {"kind": "Policy", "name": "one", "spec": {"latency_weight": 7}}
        change = Change(key="Policy/one", base=0, document=bad)
        view = read([Publication(id=RecordId("b"), author="x", changes=[change])])
        self.assertFalse(view.history[0].accepted)
        self.assertIn("latency_weight", view.history[0].conflicts[0])

    def test_removal(self) -> None:
        """Remove a document and keep its version counting."""
        gone = Change(key="Policy/one", base=1, document=None)
        view = read(
            [
                publication(1, "one", 0, 0.1),
                Publication(id=RecordId("r"), author="x", changes=[gone]),
                publication(2, "one", 0, 0.5),
            ]
        )
        self.assertNotIn("Policy/one", view.documents)
        self.assertFalse(view.history[-1].accepted)

    def test_peer_never_takes_back(self) -> None:
        """Ignore a peer that knows less."""
        log: list[ConfigRecord] = [publication(1, "one", 0, 0.1)]
        old = read(log).snapshot(RecordId("s"))
        log.append(publication(2, "one", 1, 0.9))
        view = read(log)
        view.adopt(old)
        self.assertEqual(view.newest, 1)
        behind = read(log[:1])
        behind.adopt(read(log).snapshot(RecordId("t")))
        self.assertEqual(behind.newest, 1)

    def test_codec(self) -> None:
        """Decode what was encoded, and nothing else."""
        one = publication(1, "one", 0, 0.1)
        self.assertEqual(decode_config(encode_config(one)), one)
        self.assertIsNone(decode_config(b"\xc1"))


STEPS = st.lists(
    st.one_of(
        st.tuples(st.sampled_from(NAMES), st.booleans()),
        st.sampled_from(["snapshot", "late snapshot", "junk"]),
    ),
    min_size=3,
    max_size=16,
)


class LateReaderTests(unittest.TestCase):
    """Begin to read after the log has forgotten the beginning."""

    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(steps=STEPS, cut=st.integers(1, 15))
    def test_nothing_false_is_ever_in_force(self, steps: list[Any], cut: int) -> None:
        """Agree with an old reader, or know that something is missing."""
        log: list[ConfigRecord] = []
        held: ConfigSnapshot | None = None
        for number, step in enumerate(steps):
            view = read(log)
            if step == "junk":
                log.append(publication(number, "one", 999, 0.5))
            elif step == "snapshot":
                log.append(view.snapshot(RecordId(f"s{number}")))
            elif step == "late snapshot":
                if held is not None:
                    log.append(held)
                held = view.snapshot(RecordId(f"s{number}"))
            else:
                name, stale = step
                base = 0 if stale else view.version(f"Policy/{name}")
                log.append(publication(number, name, base, number / 100))
        cut = min(cut, len(log) - 1)
        late = read(log, cut)
        if not late.complete:
            return
        old = read(log)
        self.assertEqual(late.documents, old.documents)
        self.assertEqual(late.newest, old.newest)
