"""What the operators' program prints: tables for people, JSON for scripts."""

from collections.abc import Sequence
from sys import stderr, stdout
from typing import Any

from msgspec.json import encode
from msgspec.json import format as format_json


def print_line(text: str) -> None:
    """Write a line to standard output at once."""
    stdout.write(f'{text}\n')
    stdout.flush()


def print_error(text: str) -> None:
    """Write a line to standard error."""
    stderr.write(f'{text}\n')


def print_json(answer: Any) -> None:
    """Write a value as JSON."""
    print_line(format_json(encode(answer), indent=2).decode())


def print_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Write rows under a heading, in columns as wide as they need."""
    lines = [list(columns), *([str(cell) for cell in row] for row in rows)]
    widths = [
        max(len(line[number]) for line in lines)
        for number in range(len(columns))
    ]
    for line in lines:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        print_line('  '.join(cells).rstrip())
