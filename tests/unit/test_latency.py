"""Latency histograms report what was recorded."""

import unittest

from mulberryrill.internal.core.serving.routetable import CallKind
from mulberryrill.internal.entry.metrics import EntryMetrics
from mulberryrill.internal.latency import LatencyHistogram


class LatencyHistogramTest(unittest.TestCase):
    def test_quantiles_count_and_sum(self) -> None:
        histogram = LatencyHistogram(resolution_s=0.001, max_s=60.0, significant_digits=2)
        for milliseconds in range(1, 101):
            histogram.record(milliseconds / 1000)
        count, total, quantiles = histogram.summarize()
        self.assertEqual(count, 100)
        self.assertAlmostEqual(total, 5.05)
        self.assertAlmostEqual(quantiles[0.5], 0.05, delta=0.001)
        self.assertAlmostEqual(quantiles[0.99], 0.099, delta=0.001)

    def test_values_out_of_range_count_as_the_nearest(self) -> None:
        histogram = LatencyHistogram(resolution_s=0.001, max_s=60.0, significant_digits=2)
        histogram.record(0.0)
        histogram.record(3600.0)
        _, _, quantiles = histogram.summarize()
        self.assertAlmostEqual(quantiles[0.5], 0.001)
        self.assertAlmostEqual(quantiles[0.99], 60.0, delta=0.6)

    def test_entry_metrics_render_milliseconds(self) -> None:
        metrics = EntryMetrics()
        metrics.record_call(CallKind.STREAM, "answered", 0.25)
        page = metrics.render({}).decode()
        self.assertIn('mulberryrill_entry_call_ms{kind="stream",quantile="0.5"} 250', page)
        self.assertIn('mulberryrill_entry_call_ms_count{kind="stream"} 1', page)
