"""Counters, gauges and histograms in the text format of Prometheus.

The client library of Prometheus imports the HTTP server and the URL opener of
the standard library: 4.2 MB of the 32 MB that a node may take, and 7 in 100 of
the processor time of its start. The text format (version 0.0.4) is small.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Sequence

__all__ = ["Counter", "Gauge", "Histogram", "format_text"]


class Counter:
    """Number of events by label values.

    Parameters
    ----------
    name, text : str
        Name without the ending ``_total``, and description.
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
    """A value that rises and falls."""

    def __init__(self, name: str, text: str) -> None:
        self.name = name
        self.text = text
        self.kind = "gauge"
        self.value = 0.0

    def set(self, value: float) -> None:
        """Replace the value."""
        self.value = value

    def lines(self) -> Iterable[str]:
        """Yield the sample."""
        yield f"{self.name} {self.value}"


class Histogram:
    """Numbers of values up to each of some bounds.

    Parameters
    ----------
    name, text : str
        Name and description.
    bounds : sequence of float
        Upper bounds, rising.
    """

    def __init__(self, name: str, text: str, bounds: Sequence[float]) -> None:
        self.name = name
        self.text = text
        self.kind = "histogram"
        self.bounds = tuple(bounds)
        self.counts = [0] * (len(self.bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Count a value."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value

    def lines(self) -> Iterable[str]:
        """Yield the samples; each bucket includes the smaller ones."""
        below = 0
        for bound, count in zip((*self.bounds, "+Inf"), self.counts):
            below += count
            yield f'{self.name}_bucket{{le="{bound}"}} {below}'
        yield f"{self.name}_count {below}"
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
