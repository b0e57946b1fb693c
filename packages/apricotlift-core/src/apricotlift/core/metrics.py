"""Counters, gauges and latency histograms in the Prometheus text format.

Label values come from fixed sets (codes, upstream names, size classes), so the
number of series doesn't grow with the number of client accounts.
"""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (50.0, 95.0, 99.0)

#: Limits the label sets of one metric, so that a programming error such as an unbounded
#: label can't exhaust memory. Further label sets are counted as one overflow series.
MAX_SERIES_PER_NAME = 2_000

Labels = tuple[tuple[str, str], ...]


@dataclass
class Metrics:
    """The counters, gauges and histograms of one process.

    >>> metrics = Metrics()
    >>> metrics.count("refusals_total", code="overloaded")
    >>> print(metrics.render(), end="")
    # TYPE apricotlift_refusals_total counter
    apricotlift_refusals_total{code="overloaded"} 1
    """

    counters: dict[str, dict[Labels, float]] = field(default_factory=dict)
    gauges: dict[str, dict[Labels, float]] = field(default_factory=dict)
    histograms: dict[str, dict[Labels, HdrHistogram]] = field(default_factory=dict)

    def count(self, name: str, n: float = 1, **labels: object) -> None:
        """Add ``n`` to a counter."""
        series = self.counters.setdefault(name, {})
        key = _choose_series(series, _build_labels(labels))
        series[key] = series.get(key, 0) + n

    def gauge(self, name: str, value: float, **labels: object) -> None:
        """Set a gauge."""
        series = self.gauges.setdefault(name, {})
        series[_choose_series(series, _build_labels(labels))] = value

    def observe(self, name: str, seconds: float, **labels: object) -> None:
        """Record a duration in seconds."""
        series = self.histograms.setdefault(name, {})
        key = _choose_series(series, _build_labels(labels))
        histogram = series.get(key)
        if histogram is None:
            histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
            series[key] = histogram
        value_us = int(seconds * 1e6)
        histogram.record_value(min(max(value_us, _LOWEST_US), _HIGHEST_US))

    def get_count(self, name: str, **labels: object) -> float:
        """Return a counter's value, or 0 if it was never incremented."""
        return self.counters.get(name, {}).get(_build_labels(labels), 0)

    def render(self) -> str:
        """Return all series in the Prometheus text format."""
        lines: list[str] = []
        for kind, families in (("counter", self.counters), ("gauge", self.gauges)):
            for name in sorted(families):
                lines.append(f"# TYPE apricotlift_{name} {kind}")
                for labels, value in sorted(families[name].items()):
                    text = _render_labels(labels)
                    lines.append(f"apricotlift_{name}{text} {value:g}")
        for name in sorted(self.histograms):
            lines.append(f"# TYPE apricotlift_{name} summary")
            for labels, histogram in sorted(self.histograms[name].items()):
                lines += _render_summary(name, labels, histogram)
        return "\n".join(lines) + "\n" if lines else ""


def _build_labels(labels: dict[str, object]) -> Labels:
    return tuple(sorted((key, str(value)) for key, value in labels.items()))


def _choose_series(series: dict, key: Labels) -> Labels:
    if key in series or len(series) < MAX_SERIES_PER_NAME:
        return key
    return (("overflow", "true"),)


def _render_labels(labels: Labels) -> str:
    if not labels:
        return ""
    escaped = (
        (key, value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n"))
        for key, value in labels
    )
    return "{" + ",".join(f'{key}="{value}"' for key, value in escaped) + "}"


def _render_summary(name: str, labels: Labels, histogram: HdrHistogram) -> list[str]:
    lines = []
    for quantile in _QUANTILES:
        value_s = histogram.get_value_at_percentile(quantile) / 1e6
        text = _render_labels((*labels, ("quantile", f"{quantile / 100:g}")))
        lines.append(f"apricotlift_{name}{text} {value_s:g}")
    count = histogram.get_total_count()
    total_s = histogram.get_mean_value() * count / 1e6
    text = _render_labels(labels)
    lines.append(f"apricotlift_{name}_sum{text} {total_s:g}")
    lines.append(f"apricotlift_{name}_count{text} {count}")
    return lines
