"""Finds every series that the packages count, gauge or time."""

from collections.abc import Iterator
from re import compile as compile_pattern
from typing import Final

from testbed.processes import ROOT

_SERIES: Final = compile_pattern(
    r"metrics\.(count|set_gauge|observe_seconds)\(\s*'([a-z_]+)'"
)


def series_names() -> set[str]:
    """Return the names of all series in the code."""
    return set(_names())


def documented_names() -> set[str]:
    """Return the names that docs/operators/metrics.md has rows for."""
    page = ROOT / 'docs' / 'operators' / 'metrics.md'
    lines = page.read_text(encoding='utf-8').splitlines()
    return {line.split('`')[1] for line in lines if line.startswith('| `')}


def _names() -> Iterator[str]:
    paths = [
        *ROOT.glob('packages/*/src/**/*.py'),
        *ROOT.glob('platform/src/**/*.py'),
    ]
    for path in paths:
        for match in _SERIES.finditer(path.read_text(encoding='utf-8')):
            yield match.group(2)
