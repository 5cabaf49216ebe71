"""Output of the operator command line: tables for people, JSON for scripts."""

from collections.abc import Sequence
from sys import stderr, stdout
from typing import Any

from msgspec.json import encode
from msgspec.json import format as format_json


def print_line(text: str) -> None:
    """Write a line to standard output and flush it."""
    stdout.write(f'{text}\n')
    stdout.flush()


def print_error(text: str) -> None:
    """Write a line to standard error."""
    stderr.write(f'{text}\n')


def print_json(content: Any) -> None:
    """Write a value to standard output as indented JSON."""
    print_line(format_json(encode(content), indent=2).decode())


def print_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Write a header and rows in columns as wide as their widest cell."""
    lines = [list(columns), *([str(cell) for cell in row] for row in rows)]
    widths = [
        max(len(line[index]) for line in lines) for index in range(len(columns))
    ]
    for line in lines:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        print_line('  '.join(cells).rstrip())
