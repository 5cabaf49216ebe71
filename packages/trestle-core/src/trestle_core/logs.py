"""Log set-up by loguru: one line for each event, prefixed by its part."""

from sys import stderr
from typing import TYPE_CHECKING, Literal

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

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


def part_logger(part: str) -> 'Logger':
    """Return a logger whose lines carry the prefix of one part."""
    return logger.bind(part=part)
