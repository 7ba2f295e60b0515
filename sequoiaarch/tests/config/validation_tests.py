"""Test that all errors of settings and documents are reported with their paths."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import Any

from ...config.documents import parse_documents
from ...config.settings import Settings, load_settings
from ...config.validation import InvalidDocument, parse_jsonc, validate

VALID: dict[str, Any] = {
    "role": "gateway",
    "host": "h",
    "data_centre": "d",
    "platform": {"log": "http://127.0.0.1:1"},
    "callers": [{"key": "12345678", "workspace": "w"}],
}


class SettingsTests(unittest.TestCase):
    """Check the settings of a daemon."""

    def problems(self, value: Any) -> list[str]:
        """Return all problems of some settings."""
        with self.assertRaises(InvalidDocument) as caught:
            validate(Settings, value)
        return [str(problem) for problem in caught.exception.problems]

    def test_valid_settings(self) -> None:
        """Accept valid settings and fill in defaults."""
        self.assertEqual(validate(Settings, VALID).shards, 4)

    def test_all_errors_at_once(self) -> None:
        """Report each error with its path."""
        invalid = {
            **VALID,
            "http": {"port": 70_000},
            "shards": 0,
            "limits": {"queue_length": "many"},
        }
        found = self.problems(invalid)
        self.assertEqual(len(found), 3)
        for path in ("http.port", "shards", "limits.queue_length"):
            self.assertTrue(any(line.startswith(path) for line in found), path)

    def test_unknown_name(self) -> None:
        """Suggest the most similar option for an unknown name."""
        found = self.problems({**VALID, "limits": {"que_length": 3}, "hots": "x"})
        self.assertIn("did you mean 'queue_length'?", found[0])
        self.assertIn("did you mean 'host'?", found[1])

    def test_options_required_by_a_role(self) -> None:
        """Report the options that a role requires."""
        for role, option in (("sidecar", "target"), ("gateway", "callers")):
            value = {**VALID, "role": role, "callers": []}
            self.assertIn(option, self.problems(value)[0])

    def test_comments(self) -> None:
        """Parse JSON with comments, and name the source of a syntax error."""
        self.assertEqual(parse_jsonc('{"a": 1} // one', "x"), {"a": 1})
        with self.assertRaises(InvalidDocument) as caught:
            parse_jsonc('{"a": ', "x.jsonc")
        self.assertIn("x.jsonc", str(caught.exception))

    def test_missing_file(self) -> None:
        """Report a file that does not exist."""
        with (
            tempfile.TemporaryDirectory() as folder,
            self.assertRaises(InvalidDocument) as caught,
        ):
            load_settings(Path(folder) / "none.jsonc")
        self.assertIn("none.jsonc", str(caught.exception))


class DocumentTests(unittest.TestCase):
    """Check the documents of a file."""

    def test_all_errors_of_all_documents(self) -> None:
        """Report the errors of each document with its index."""
        documents = [
            {"kind": "Policy", "name": "p", "spec": {"latency_weight": 3}},
            {"kind": "Target", "name": "T!", "spec": {"type": "engine"}},
            {"kind": "Nothing"},
        ]
        with self.assertRaises(InvalidDocument) as caught:
            parse_documents(documents)
        paths = [problem.path for problem in caught.exception.problems]
        self.assertIn("[0].spec.latency_weight", paths)
        self.assertIn("[1].name", paths)
        self.assertIn("[1].spec.url", paths)
        self.assertIn("[2].kind", paths)

    def test_duplicate_document(self) -> None:
        """Reject two documents with the same name."""
        one = {"kind": "Policy", "name": "p"}
        with self.assertRaises(InvalidDocument) as caught:
            parse_documents([one, one])
        self.assertIn("given twice", str(caught.exception))
