"""Test that all readers of the configuration stream agree on the documents in force."""

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


def read_log(log: list[ConfigRecord], first: int = 0) -> ConfigView:
    """Return the view of a reader that starts at an offset."""
    view = ConfigView()
    view.start_at(Offset(first))
    for offset in range(first, len(log)):
        view.apply(Offset(offset), log[offset])
    return view


class PublicationTests(unittest.TestCase):
    """Apply conflicting, duplicate and invalid publications."""

    def test_first_in_log_order_wins(self) -> None:
        """Accept only the first of two publications based on the same version."""
        log: list[ConfigRecord] = [
            publication(1, "one", 0, 0.1),
            publication(2, "one", 0, 0.9),
        ]
        view = read_log(log)
        first, second = view.history
        self.assertTrue(first.accepted)
        self.assertFalse(second.accepted)
        self.assertIn("based on version 0", second.conflicts[0])
        self.assertEqual(
            Catalogue(view=view).policy_for({"team": "one"}).latency_weight, 0.1
        )

    def test_publication_is_atomic(self) -> None:
        """Reject all changes of a publication if one of them conflicts."""
        stale = Change(key="Policy/one", base=0, document=policy("one", 0.9))
        fresh = Change(key="Policy/two", base=0, document=policy("two", 0.9))
        both = Publication(id=RecordId("b"), author="x", changes=[fresh, stale])
        view = read_log([publication(1, "one", 0, 0.1), both])
        self.assertNotIn("Policy/two", view.documents)

    def test_duplicate_publication(self) -> None:
        """Apply a publication once that was appended twice after a lost reply."""
        one = publication(1, "one", 0, 0.1)
        view = read_log([one, one])
        self.assertEqual(len(view.history), 1)
        self.assertEqual(view.version("Policy/one"), 1)

    def test_invalid_document_changes_nothing(self) -> None:
        """Reject a publication with an invalid document and report the reason."""
        invalid = {"kind": "Policy", "name": "one", "spec": {"latency_weight": 7}}
        change = Change(key="Policy/one", base=0, document=invalid)
        view = read_log([Publication(id=RecordId("b"), author="x", changes=[change])])
        self.assertFalse(view.history[0].accepted)
        self.assertIn("latency_weight", view.history[0].conflicts[0])

    def test_removed_document_keeps_its_version(self) -> None:
        """Remove a document and reject a later change based on its removed version."""
        removal = Change(key="Policy/one", base=1, document=None)
        view = read_log(
            [
                publication(1, "one", 0, 0.1),
                Publication(id=RecordId("r"), author="x", changes=[removal]),
                publication(2, "one", 0, 0.5),
            ]
        )
        self.assertNotIn("Policy/one", view.documents)
        self.assertFalse(view.history[-1].accepted)

    def test_older_peer_snapshot_is_ignored(self) -> None:
        """Ignore a peer's snapshot that is older than the view."""
        log: list[ConfigRecord] = [publication(1, "one", 0, 0.1)]
        old = read_log(log).snapshot(RecordId("s"))
        log.append(publication(2, "one", 1, 0.9))
        view = read_log(log)
        view.adopt(old)
        self.assertEqual(view.newest, 1)
        behind = read_log(log[:1])
        behind.adopt(read_log(log).snapshot(RecordId("t")))
        self.assertEqual(behind.newest, 1)

    def test_codec(self) -> None:
        """Decode an encoded publication, and None from invalid data."""
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
    """Start to read after the first records of the log were trimmed."""

    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(steps=STEPS, cut=st.integers(1, 15))
    def test_late_reader_agrees_or_is_incomplete(
        self, steps: list[Any], cut: int
    ) -> None:
        """Agree with a reader of the whole log, or report an incomplete view."""
        log: list[ConfigRecord] = []
        held_back: ConfigSnapshot | None = None
        for number, step in enumerate(steps):
            view = read_log(log)
            if step == "junk":
                log.append(publication(number, "one", 999, 0.5))
            elif step == "snapshot":
                log.append(view.snapshot(RecordId(f"s{number}")))
            elif step == "late snapshot":
                if held_back is not None:
                    log.append(held_back)
                held_back = view.snapshot(RecordId(f"s{number}"))
            else:
                name, stale = step
                base = 0 if stale else view.version(f"Policy/{name}")
                log.append(publication(number, name, base, number / 100))
        cut = min(cut, len(log) - 1)
        late_reader = read_log(log, cut)
        if not late_reader.complete:
            return
        old = read_log(log)
        self.assertEqual(late_reader.documents, old.documents)
        self.assertEqual(late_reader.newest, old.newest)
