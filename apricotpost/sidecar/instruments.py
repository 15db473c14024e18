"""Counters, gauges and histograms in the text format of Prometheus.

The Prometheus client library imports the HTTP server and the URL opener of the
standard library. These take 4.2 MB of the 32 MB that a node may use, and 7 %
of the processor time of its start. The text format (version 0.0.4) is simple.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Sequence

__all__ = ["Counter", "Gauge", "Histogram", "format_text"]


class Counter:
    """Count of events by label values.

    Parameters
    ----------
    name, text : str
        Name without the suffix ``_total``, and help text.
    labels : sequence of str
        Names of the labels.
    """

    def __init__(self, name: str, text: str, labels: Sequence[str]) -> None:
        self.name = f"{name}_total"
        self.text = text
        self.kind = "counter"
        self.labels = tuple(labels)
        self.values: dict[tuple[object, ...], int] = {}

    def add(self, *values: object) -> None:
        """Count one event with these label values."""
        self.values[values] = self.values.get(values, 0) + 1

    def lines(self) -> Iterable[str]:
        """Yield the samples."""
        for values, count in self.values.items():
            yield f"{self.name}{_format_labels(self.labels, values)} {count}"


class Gauge:
    """A value that can go up and down, by the values of a label if it has one.

    Parameters
    ----------
    name, text : str
        Name and help text.
    label : str
        Name of the label; empty if there is none.
    """

    def __init__(self, name: str, text: str, label: str = "") -> None:
        self.name = name
        self.text = text
        self.kind = "gauge"
        self.label = label
        self.values: dict[str, float] = {} if label else {"": 0.0}

    def set(self, value: float, label_value: str = "") -> None:
        """Replace the value."""
        self.values[label_value] = value

    def lines(self) -> Iterable[str]:
        """Yield the samples."""
        for label_value, value in self.values.items():
            labels = ""
            if self.label:
                labels = _format_labels((self.label,), (label_value,))
            yield f"{self.name}{labels} {value}"


class Histogram:
    """Cumulative counts of observed values by upper bound.

    Parameters
    ----------
    name, text : str
        Name and help text.
    bounds : sequence of float
        Upper bounds of the buckets, ascending.
    """

    def __init__(self, name: str, text: str, bounds: Sequence[float]) -> None:
        self.name = name
        self.text = text
        self.kind = "histogram"
        self.bounds = tuple(bounds)
        self.counts = [0] * (len(self.bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Record a value."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value

    def lines(self) -> Iterable[str]:
        """Yield the samples; buckets are cumulative."""
        cumulative = 0
        for bound, count in zip((*self.bounds, "+Inf"), self.counts):
            cumulative += count
            yield f'{self.name}_bucket{{le="{bound}"}} {cumulative}'
        yield f"{self.name}_count {cumulative}"
        yield f"{self.name}_sum {self.total}"


def format_text(families: Iterable[Counter | Gauge | Histogram]) -> bytes:
    """Return all samples in the text format, version 0.0.4."""
    lines = []
    for family in families:
        lines.append(f"# HELP {family.name} {family.text}")
        lines.append(f"# TYPE {family.name} {family.kind}")
        lines.extend(family.lines())
    return "".join(f"{line}\n" for line in lines).encode()


def _format_labels(names: Sequence[str], values: Sequence[object]) -> str:
    pairs = (
        f'{name}="{_escape(str(value))}"' for name, value in zip(names, values)
    )
    return "{" + ",".join(pairs) + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
