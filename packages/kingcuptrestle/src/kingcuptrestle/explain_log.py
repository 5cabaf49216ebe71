"""Explains the outcome of a request from the log files of the processes.

Prints the timeline of the request, the cause of its outcome, and events that
the same entry logged about the same back ends at around that time.
"""

from pathlib import Path
from sys import stdin
from typing import Final

from kingcuptrestle.exit_codes import DONE, REFUSED
from kingcuptrestle.log_lines import (
    EventLine,
    ParsedLogs,
    RequestLine,
    parse_logs,
)
from kingcuptrestle.output import print_error, print_line
from kingcuptrestle.request_cause import cause_of

# Only events this close to the end of the request, on its host, are shown.
_EVENT_WINDOW_SECONDS: Final = 5.0
_MAX_EVENTS: Final = 20
_MS_PER_SECOND: Final = 1000
_STDIN: Final = '-'


def explain_from_logs(request_id: str, files: list[str]) -> int:
    """Print the trace of a request; return the exit code."""
    logs = _read_files(files)
    if logs.skipped_lines:
        print_error(
            f'note: {logs.skipped_lines} lines are not of these processes'
        )
    matching = [line for line in logs.requests if line.request == request_id]
    if not matching:
        print_error(f'error: no line tells of {request_id} (not-found)')
        return REFUSED
    for line in matching:
        _print_request(line, logs)
    return DONE


def _read_files(files: list[str]) -> ParsedLogs:
    lines: list[str] = []
    for name in files:
        if name == _STDIN:
            lines.extend(stdin)
        else:
            text = Path(name).read_text(encoding='utf-8', errors='replace')
            lines.extend(text.splitlines())
    return parse_logs(lines)


def _print_request(line: RequestLine, logs: ParsedLogs) -> None:
    print_line(
        f'{line.request} on {line.host or "an entry"}: {line.outcome}, '
        f'{line.verdict}, {line.ms:.0f} ms, route {line.route or "none"}, '
        f'version {line.version}'
    )
    for at_ms, step, detail in line.steps:
        print_line(f'  {at_ms:8.1f} ms  {step}  {detail}'.rstrip())
    print_line(f'  {line.ms:8.1f} ms  {line.outcome}')
    print_line(f'cause: {cause_of(line)}')
    for event in _related_events(line, logs.events):
        offset = (event.time - _arrival_seconds(line)) * _MS_PER_SECOND
        print_line(f'  {offset:8.0f} ms  {event.part}: {event.text}')


def _arrival_seconds(line: RequestLine) -> float:
    return line.time - line.ms / _MS_PER_SECOND


def _related_events(
    line: RequestLine, events: list[EventLine]
) -> list[EventLine]:
    """Return the last events that the same host logged about the back ends."""
    names = {detail.partition(':')[0] for _, _, detail in line.steps}
    names.discard('')
    related = [
        event
        for event in events
        if event.host == line.host
        and abs(event.time - line.time) < _EVENT_WINDOW_SECONDS
        and any(name in event.text for name in names)
    ]
    return related[-_MAX_EVENTS:]
