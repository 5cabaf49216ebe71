"""Figures of one run, from the records of callers, entries and fakes."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final, TypedDict

from hdrh.histogram import HdrHistogram

from testbed.firm_workloads import FIRMS
from testbed.serving import JsonObject

HIGHEST_US: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 2
US_PER_SECOND: Final = 1_000_000
US_PER_MS: Final = 1000
PREFIX: Final = 'kingcuptrestle_'
ORDER_SECONDS: Final = 2.0
MODEL_ROUTES: Final = frozenset(
    model.route for firm in FIRMS.values() for model in firm.models
)
GREEDY_CALLERS: Final = frozenset(
    model.callers[0] for firm in FIRMS.values() for model in firm.models
)


class ClassFigures(TypedDict):
    """One class of requests; shares from 0 to 1, times in milliseconds."""

    sent: int
    goodput: float
    first_token_ms: list[float]
    gap_ms: list[float]
    refusals: dict[str, int]


class Figures(TypedDict):
    """One run; `goodput` counts model requests, `others` those of callers
    that never send more than their share.

    `broken` counts false answers, keys that ran twice, refusals as not run
    of what ran, and unknown errors: each must be 0.
    """

    goodput: float
    others: float
    classes: dict[str, ClassFigures]
    retries: dict[str, int]
    calls_per_request: float
    asks_per_request: float
    role_changes: int
    engine_seconds_lost: float
    broken: dict[str, int]
    late_ms: float


def figures_of(
    records: list[JsonObject],
    metrics: list[dict[str, float]],
    engines: list[JsonObject],
    services: list[JsonObject],
) -> Figures:
    """Return all figures of a run."""
    counters = sum_counters(metrics)
    models = [one for one in records if one['label'] in MODEL_ROUTES]
    others = [one for one in models if one['caller'] not in GREEDY_CALLERS]
    changes = sum(
        line.get('kind') == 'set-role' and line.get('outcome') == 'begun'
        for line in engines
    )
    sent = max(1, len(records))
    return {
        'goodput': useful_share(models),
        'others': useful_share(others),
        'classes': {
            label: class_figures(
                [one for one in records if one['label'] == label]
            )
            for label in sorted({one['label'] for one in records})
        },
        'retries': labelled(counters, 'retries'),
        'calls_per_request': counters.get('endpoint_calls_total', 0) / sent,
        'asks_per_request': counters.get('permit_asks_total', 0) / sent,
        'role_changes': changes,
        'engine_seconds_lost': changes * ORDER_SECONDS,
        'broken': broken_promises(records, services),
        'late_ms': percentiles(one['late'] for one in records)[-1],
    }


def sum_counters(pages: list[dict[str, float]]) -> Mapping[str, float]:
    """Return the entries' counters added up, without their prefix."""
    total: Counter[str] = Counter()
    for page in pages:
        for name, number in page.items():
            total[name.removeprefix(PREFIX)] += number  # type: ignore[assignment]
    return total


def labelled(counters: Mapping[str, float], name: str) -> dict[str, int]:
    """Return a counter's values by code."""
    head = f'{name}_total{{code="'
    return {
        series.removeprefix(head).removesuffix('"}'): int(number)
        for series, number in counters.items()
        if series.startswith(head)
    }


def useful_share(records: list[JsonObject]) -> float:
    """Return the share of answers whole, correct and in time."""
    useful: int = sum(one['useful'] for one in records)
    return useful / max(1, len(records))


def class_figures(records: list[JsonObject]) -> ClassFigures:
    """Return the figures of one class."""
    first = [one['first_token'] for one in records if one['first_token']]
    gaps = [gap for one in records for gap in one['gaps']]
    codes = [one['code'] for one in records if one['code']]
    return {
        'sent': len(records),
        'goodput': useful_share(records),
        'first_token_ms': percentiles(first),
        'gap_ms': percentiles(gaps),
        'refusals': dict(Counter(codes)),
    }


def percentiles(seconds: Iterable[float]) -> list[float]:
    """Return the 50th, 95th and 99th percentile in milliseconds."""
    histogram = HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)
    for one in seconds:
        histogram.record_value(max(1, int(one * US_PER_SECOND)))
    return [
        round(histogram.get_value_at_percentile(share) / US_PER_MS, 1)
        for share in (50, 95, 99)
    ]


def broken_promises(
    records: list[JsonObject], services: list[JsonObject]
) -> dict[str, int]:
    """Count what must never be."""
    executions = Counter(line['key'] for line in services if line['key'])
    keyed = [one for one in records if one['key']]
    return {
        'false-answers': sum(one['false'] for one in records),
        'ran-twice': sum(executions[one['key']] > 1 for one in keyed),
        'false-not-run': sum(
            one['verdict'] == 'not-run' and executions[one['key']] > 0
            for one in keyed
        ),
        'internal': sum(one['code'] == 'internal' for one in records),
    }
