"""Parses the log files of several processes into typed lines.

A log collector may prefix each line, interleave processes, and truncate or
drop lines; lines that cannot be parsed are counted and skipped. The clocks of
hosts may differ, so only times of the same host may be compared.
"""

from collections.abc import Iterable
from typing import NamedTuple

from msgspec import Struct, ValidationError, convert
from msgspec.json import decode


class RequestLine(Struct, frozen=True):
    """The line that an entry logs at the end of a request.

    `time` is the entry's clock at the end of the request, in seconds; other
    times are in ms. `steps` holds `(ms after arrival, step, detail)`.
    """

    request: str
    outcome: str
    verdict: str
    ms: float
    host: str = ''
    time: float = 0.0
    route: str = ''
    version: int = 0
    predicted_ms: float | None = None
    load_age_ms: float | None = None
    target_ms: float | None = None
    gap_ms: float | None = None
    reason: str = ''
    events: int = 0
    longest_pause_ms: float = 0.0
    last_event_ago_ms: float = 0.0
    steps: list[tuple[float, str, str]] = []

    def first_step_ms(self, step: str) -> float | None:
        """Return when a step first occurred, ms after arrival, or None."""
        return next(
            (at_ms for at_ms, name, _ in self.steps if name == step), None
        )

    def last_detail(self, step: str) -> str:
        """Return the detail of the last such step, or an empty text."""
        details = [detail for _, name, detail in self.steps if name == step]
        return details[-1] if details else ''


class EventLine(Struct, frozen=True):
    """A change in a process's view of the system; `time` is in seconds."""

    part: str
    host: str
    level: str
    text: str
    time: float = 0.0


class ParsedLogs(NamedTuple):
    """The typed lines of all files and the number of skipped lines."""

    requests: list[RequestLine]
    events: list[EventLine]
    skipped_lines: int


def parse_logs(lines: Iterable[str]) -> ParsedLogs:
    """Parse log lines, keeping their order."""
    logs = ParsedLogs([], [], 0)
    skipped_lines = 0
    for line in lines:
        parsed = _parse_line(line)
        if isinstance(parsed, RequestLine):
            logs.requests.append(parsed)
        elif isinstance(parsed, EventLine):
            logs.events.append(parsed)
        else:
            skipped_lines += 1
    return logs._replace(skipped_lines=skipped_lines)


def _parse_line(line: str) -> RequestLine | EventLine | None:
    start = line.find('{')
    if start < 0:
        return None
    try:
        fields = decode(line[start:])
        if 'request' in fields and 'outcome' in fields:
            return convert(fields, RequestLine)
        return convert(fields, EventLine)
    except (ValidationError, ValueError, TypeError):
        return None
