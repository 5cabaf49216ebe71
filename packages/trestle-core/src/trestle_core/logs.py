"""Log set-up by loguru: one line for each event, prefixed by its part.

A process that logs to standard output makes that descriptor non-blocking, so
that a reader which stops never stops the process.
"""

from os import set_blocking, write
from sys import stderr
from time import time
from typing import TYPE_CHECKING, Any, Final, Literal

from loguru import logger
from msgspec.json import encode

if TYPE_CHECKING:
    from loguru import Logger

_STDOUT: Final = 1

_TEXT_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSS} {level:<7} {extra[part]}: {message}'
)


def configure_logs(style: Literal['text', 'json'], level: str) -> None:
    """Write log lines to standard error as text or as JSON."""
    logger.remove()
    logger.configure(extra={'part': 'process'})
    if style == 'json':
        logger.add(stderr, level=level, serialize=True, format='{message}')
        return
    logger.add(stderr, level=level, format=_TEXT_FORMAT)


def log_lines_to_stdout(host: str, level: str) -> None:
    """Write every event as one JSON object a line to standard output."""

    def sink(line: Any) -> None:
        record = line.record
        write_line(
            encode(
                {
                    'part': record['extra'].get('part', 'process'),
                    'host': host,
                    'time': time_of_day(),
                    'level': record['level'].name,
                    'text': record['message'],
                    'error': _error_text(record['exception']),
                }
            )
        )

    set_blocking(_STDOUT, False)
    logger.remove()
    logger.configure(extra={'part': 'process'})
    logger.add(sink, level=level, format='{message}')


def time_of_day() -> float:
    """Return the time of day in seconds; for people only, it may jump."""
    return round(time(), 3)


def write_line(line: bytes) -> bool:
    """Write a line to standard output unless that would block.

    Returns whether it was written whole; a reader that stopped gets a gap.
    """
    try:
        return write(_STDOUT, line + b'\n') == len(line) + 1
    except OSError:
        # A full pipe, or one that nobody reads any more.
        return False


def _error_text(exception: Any) -> str | None:
    if exception is None:
        return None
    return f'{exception.type.__name__}: {exception.value}'


def part_logger(part: str) -> 'Logger':
    """Return a logger whose lines carry the prefix of one part."""
    return logger.bind(part=part)
