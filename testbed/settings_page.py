"""Writes docs/operators/settings.md from the types of the settings."""

from collections.abc import Iterator
from json import dumps
from sys import stdout
from typing import Final

from kingcuptrestle.settings_cli import SettingField, describe_fields
from testbed.processes import ROOT
from trestle_core.settings import SETTINGS_TYPES

PAGE: Final = ROOT / 'docs' / 'operators' / 'settings.md'
HEAD: Final = """# Settings

Made by `python -m testbed.settings_page` from the types of the settings.

A settings file is a JSON object; `role` picks one of the tables. Durations
and sizes carry their unit in the name. Unknown fields are refused, and
`kingcuptrestle settings check FILE` prints every finding at once. A process
reads its file once, at its start.
"""


def page_lines() -> Iterator[str]:
    """Yield the page's lines."""
    yield from HEAD.splitlines()
    for role in SETTINGS_TYPES:
        yield f'\n## {role}\n'
        yield '| field | default | meaning |'
        yield '|---|---|---|'
        yield from map(row, describe_fields(role))


def row(field: SettingField) -> str:
    """Return a field's line of its table."""
    default = 'required' if field.required else f'`{dumps(field.default)}`'
    return f'| `{field.name}` | {default} | {field.description} |'


def page_text() -> str:
    """Return the whole page."""
    return '\n'.join(page_lines()) + '\n'


def main() -> None:
    """Write the page."""
    PAGE.write_text(page_text(), encoding='utf-8')
    stdout.write(f'wrote {PAGE.relative_to(ROOT)}\n')


if __name__ == '__main__':
    main()
