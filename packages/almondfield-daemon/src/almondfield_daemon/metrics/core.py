"""Converts the statistics of the daemon's parts to Prometheus metrics.

The ``stats()`` method of a part returns a frozen data class. Each number in it becomes
one metric, and each mapping one metric with a label per key:

    class PeerStats:
        links: int                       # almondfield_peers_links
        bytes_sent_by_kind: dict         # almondfield_peers_bytes_sent{kind="..."}
        hosts: tuple                     # almondfield_peers_hosts, the number of items

A name that ends in ``_total`` is a counter, any other a gauge. A mapping whose name
ends in ``_total`` keeps this suffix: ``bytes_by_kind_total`` becomes ``bytes_total``.
A tuple key has one label per item, as in ``bytes_by_kind_and_host``. The data
classes in ``stats_by_kind`` become metrics of the part itself, with the label ``kind``.
"""

import dataclasses
import math
import re
from collections.abc import Iterator, Mapping, Sequence
from enum import Enum
from typing import Any

from aioprometheus import Counter, Gauge, Registry, render

__all__ = ["render_metrics"]

PREFIX = "almondfield"
LABELLED_NAME = re.compile(r"(?P<name>\w+)_by_(?P<labels>\w+?)(?P<total>_total)?")
PART_STATS_NAME = "stats"
LABEL_SEPARATOR = "_and_"
ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})
INVALID_NAME_CHARACTERS = re.compile(r"[^a-zA-Z0-9_]")


@dataclasses.dataclass(frozen=True)
class Sample:
    """One sample of a metric.

    :ivar name: name of the metric.
    :ivar labels: labels by name.
    :ivar value: the value.
    """

    name: str
    labels: dict[str, str]
    value: float


def render_metrics(
    stats_by_part: Mapping[str, Any], accept: Sequence[str] = ()
) -> tuple[bytes, dict[str, str]]:
    """Return the metrics of all parts as text, with the HTTP headers to send.

    :param stats_by_part: statistics of each part, by the name of the part.
    :param accept: values of the request's ``accept`` headers.
    """
    registry = Registry()
    metric_by_name: dict[str, Counter | Gauge] = {}
    for part, stats in stats_by_part.items():
        for sample in _samples(f"{PREFIX}_{_sanitize_name(part)}", stats):
            metric = metric_by_name.get(sample.name)
            if metric is None:
                metric = _make_metric(sample.name, part, registry)
                metric_by_name[sample.name] = metric
            metric.set_value(sample.labels, sample.value)
    return render(registry, list(accept))


def _make_metric(name: str, part: str, registry: Registry) -> Counter | Gauge:
    kind = Counter if name.endswith("_total") else Gauge
    description = name.removeprefix(f"{PREFIX}_").replace("_", " ")
    return kind(name, f"{description}, as {part} counts it", registry=registry)


def _samples(prefix: str, stats: Any) -> Iterator[Sample]:
    """Return the samples of a data class and of the data classes nested in it."""
    for item in dataclasses.fields(stats):
        value = getattr(stats, item.name)
        name = f"{prefix}_{item.name}"
        if dataclasses.is_dataclass(value):
            yield from _samples(name, value)
        elif isinstance(value, Mapping):
            yield from _labelled_samples(prefix, item.name, value)
        elif isinstance(value, tuple):
            yield Sample(name, {}, len(value))
        elif _is_number(value):
            yield Sample(name, {}, _to_number(value))


def _labelled_samples(
    prefix: str, name: str, value_by_key: Mapping[Any, Any]
) -> Iterator[Sample]:
    match = LABELLED_NAME.fullmatch(name)
    metric = f"{match['name']}{match['total'] or ''}" if match else name
    label_names = match["labels"].split(LABEL_SEPARATOR) if match else ["key"]
    for key, value in value_by_key.items():
        keys = key if isinstance(key, tuple) else (key,)
        labels = dict(
            zip(_fit_label_names(label_names, len(keys)), map(_to_label_value, keys))
        )
        if dataclasses.is_dataclass(value):
            inner_prefix = prefix if metric == PART_STATS_NAME else f"{prefix}_{metric}"
            for sample in _samples(inner_prefix, value):
                yield dataclasses.replace(sample, labels=labels | sample.labels)
        elif _is_number(value):
            yield Sample(f"{prefix}_{metric}", labels, _to_number(value))


def _fit_label_names(label_names: list[str], count: int) -> list[str]:
    """Return one label name for each part of a key."""
    if len(label_names) == count:
        return label_names
    return [f"key_{index}" for index in range(count)]


def _is_number(value: Any) -> bool:
    return isinstance(value, bool | int | float) and math.isfinite(value)


def _to_number(value: Any) -> float:
    return int(value) if isinstance(value, bool) else value


def _to_label_value(key: Any) -> str:
    """Return a label value, escaped for the Prometheus text format.

    aioprometheus does not escape label values.
    """
    text = str(key.value) if isinstance(key, Enum) else str(key)
    return text.translate(ESCAPES)


def _sanitize_name(name: str) -> str:
    return INVALID_NAME_CHARACTERS.sub("_", name)
