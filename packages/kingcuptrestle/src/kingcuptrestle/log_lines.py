"""Log files of several processes, read into typed lines.

A collector may put a prefix in front of each line, mix processes, and cut or
drop lines; what cannot be read is counted and left out. Clocks of hosts may
differ, so times are compared within one host only.
"""

from collections.abc import Iterable
from typing import NamedTuple

from msgspec import Struct, ValidationError, convert
from msgspec.json import decode


class RequestLine(Struct, frozen=True):
    """What an entry wrote when a request ended; times in ms but `time`.

    `time` is the entry's time of day in seconds at the end of the request;
    `steps` are `(ms after the arrival, what, detail)`.
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

    def first(self, what: str) -> float | None:
        """Return when a decision was made first, or None."""
        return next((at for at, kind, _ in self.steps if kind == what), None)

    def last_detail(self, what: str) -> str:
        """Return the detail of the last decision of a kind."""
        details = [detail for _, kind, detail in self.steps if kind == what]
        return details[-1] if details else ''


class EventLine(Struct, frozen=True):
    """A change in what a process believes; `time` in seconds."""

    part: str
    host: str
    level: str
    text: str
    time: float = 0.0


class Logs(NamedTuple):
    """The lines of all files; `foreign` counts what was left out."""

    requests: list[RequestLine]
    events: list[EventLine]
    foreign: int


def read_logs(lines: Iterable[str]) -> Logs:
    """Return the typed lines, in the order in which they stand."""
    logs = Logs([], [], 0)
    foreign = 0
    for line in lines:
        read = _read_line(line)
        if isinstance(read, RequestLine):
            logs.requests.append(read)
        elif isinstance(read, EventLine):
            logs.events.append(read)
        else:
            foreign += 1
    return logs._replace(foreign=foreign)


def _read_line(line: str) -> RequestLine | EventLine | None:
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
