"""Explains a request from the log files of the processes.

Prints its timeline, its cause, and what the entry that served it noted about
the same back ends around that time.
"""

from pathlib import Path
from sys import stdin
from typing import Final

from kingcuptrestle.exit_codes import DONE, REFUSED
from kingcuptrestle.log_lines import EventLine, Logs, RequestLine, read_logs
from kingcuptrestle.output import print_error, print_line
from kingcuptrestle.request_cause import cause_of

# Lines of the same host this long before and after a request are shown.
_AROUND_SECONDS: Final = 5.0
_MOST_LINES: Final = 20
_MS_PER_SECOND: Final = 1000
_STDIN: Final = '-'


def explain_from_logs(request_id: str, files: list[str]) -> int:
    """Print the story of a request; return the exit code."""
    logs = _read(files)
    if logs.foreign:
        print_error(f'note: {logs.foreign} lines are not of these processes')
    found = [line for line in logs.requests if line.request == request_id]
    if not found:
        print_error(f'error: no line tells of {request_id} (not-found)')
        return REFUSED
    for line in found:
        _print_request(line, logs)
    return DONE


def _read(files: list[str]) -> Logs:
    lines: list[str] = []
    for name in files:
        if name == _STDIN:
            lines.extend(stdin)
        else:
            text = Path(name).read_text(encoding='utf-8', errors='replace')
            lines.extend(text.splitlines())
    return read_logs(lines)


def _print_request(line: RequestLine, logs: Logs) -> None:
    print_line(
        f'{line.request} on {line.host or "an entry"}: {line.outcome}, '
        f'{line.verdict}, {line.ms:.0f} ms, route {line.route or "none"}, '
        f'version {line.version}'
    )
    for at_ms, what, detail in line.steps:
        print_line(f'  {at_ms:8.1f} ms  {what}  {detail}'.rstrip())
    print_line(f'  {line.ms:8.1f} ms  {line.outcome}')
    print_line(f'cause: {cause_of(line)}')
    for event in _around(line, logs.events):
        offset = (event.time - _arrival(line)) * _MS_PER_SECOND
        print_line(f'  {offset:8.0f} ms  {event.part}: {event.text}')


def _arrival(line: RequestLine) -> float:
    return line.time - line.ms / _MS_PER_SECOND


def _around(line: RequestLine, events: list[EventLine]) -> list[EventLine]:
    """Return what the same host noted of the same back ends."""
    names = {detail.partition(':')[0] for _, _, detail in line.steps}
    names.discard('')
    near = [
        event
        for event in events
        if event.host == line.host
        and abs(event.time - line.time) < _AROUND_SECONDS
        and any(name in event.text for name in names)
    ]
    return near[-_MOST_LINES:]
