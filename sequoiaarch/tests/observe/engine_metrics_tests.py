"""Test how engines are read from the metrics of gateways."""

from __future__ import annotations

import unittest

from ...fleet.engine_owner import EngineLoad
from ...ids import DataCentre, HostName, InstanceId
from ...observe.engine_metrics import MetricsInvalid, read_engines, read_samples
from ...observe.request_metrics import RequestMetrics

URL = "http://one"


def load(name: str, pace: float | None) -> EngineLoad:
    """Return the load of an engine."""
    return EngineLoad(instance=InstanceId(name), programs=7, free=2, pace=pace)


class EngineMetricsTests(unittest.TestCase):
    """Read metrics that a gateway wrote, and texts that none writes."""

    def setUp(self) -> None:
        """Create the metrics of a gateway."""
        self.metrics = RequestMetrics()

    def text(self) -> str:
        """Return the metrics as a gateway sends them."""
        return self.metrics.text().decode()

    def test_owner(self) -> None:
        """Fails if a metric of an owner has another name than the one read."""
        self.metrics.set_engines([load("i-2", 0.01234), load("i-1", None)])
        self.metrics.set_engine_owner(DataCentre("here"), HostName("h1"))
        self.metrics.set_placements({"granted": 5, "refused": 3, "redirected": 1})
        self.metrics.set_state("programs_to_retry", 2.0)
        found = read_engines(self.text(), URL)
        first, second = found.engines
        self.assertEqual((first.engine, first.milliseconds), ("i-1", None))
        self.assertEqual((second.engine, second.milliseconds), ("i-2", 12.34))
        self.assertEqual((second.programs, second.free), (7, 2))
        self.assertEqual((second.data_centre, second.owner), ("here", "h1"))
        totals = found.totals
        assert totals is not None
        self.assertEqual(totals.engines, 2)
        self.assertEqual((totals.granted, totals.refused), (5, 3))
        self.assertEqual((totals.redirected, totals.to_retry), (1, 2))

    def test_gateway_without_engines(self) -> None:
        """Fails if totals are shown for a gateway that owns no engines."""
        self.metrics.set_engine_owner(DataCentre("here"), HostName("h2"))
        self.metrics.set_placements({"granted": 0, "refused": 0, "redirected": 0})
        found = read_engines(self.text(), URL)
        self.assertEqual((found.engines, found.totals), ([], None))
        self.assertEqual(found.owner, "h2")

    def test_older_build(self) -> None:
        """Fails if metrics without placements, or some of them, are an error."""
        self.metrics.set_state("ready", 1.0)
        self.assertEqual(read_engines(self.text(), URL).engines, [])
        text = 'sequoiaarch_engine_programs{engine="i-1"} 3\n'
        found = read_engines(text, URL)
        [row] = found.engines
        self.assertEqual((row.programs, row.free, row.owner), (3, None, None))
        assert found.totals is not None
        self.assertIsNone(found.totals.refused)

    def test_values_that_are_no_numbers(self) -> None:
        """Fails if a value that no engine has breaks the lines of the others."""
        text = (
            'sequoiaarch_engine_programs{engine="i-1"} NaN\n'
            'sequoiaarch_engine_free_placements{engine="i-1"} +Inf\n'
            'sequoiaarch_engine_event_seconds{engine="i-1"} many\n'
            'sequoiaarch_engine_programs{engine="i-2"} 4 1700000000000\n'
        )
        first, second = read_engines(text, URL).engines
        self.assertEqual(
            (first.programs, first.free, first.milliseconds), (None, None, None)
        )
        self.assertEqual(second.programs, 4)

    def test_escaped_labels(self) -> None:
        """Fails if a quote, comma or brace in a label cuts it."""
        text = 'm{a="x\\"},\\\\n",b="two words"} 1'
        [sample] = read_samples(text)
        self.assertEqual(sample.labels, {"a": 'x"},\\n', "b": "two words"})

    def test_other_text(self) -> None:
        """Fails if a page or the metrics of another program pass as a gateway's."""
        for text in ("", "<html>no</html>", "go_threads 7\n"):
            with self.subTest(text), self.assertRaises(MetricsInvalid):
                read_engines(text, URL)
