"""Commands on settings files: check one, and show the fields of a role."""

from dataclasses import dataclass
from typing import Annotated, Any, Literal, NamedTuple, get_args

from cappa import Arg, Subcommands, command
from msgspec import NODEFAULT
from msgspec.structs import FieldInfo, fields

from kingcuptrestle.exit_codes import DONE, INVALID_INPUT
from kingcuptrestle.output import (
    print_error,
    print_json,
    print_line,
    print_table,
)
from trestle_core.settings import SETTINGS_TYPES
from trestle_core.settings_load import SettingsError, load_settings


class SettingField(NamedTuple):
    """A field of a settings file; `default` is None when it is required."""

    name: str
    default: Any
    required: bool
    description: str


def check_file(options: 'CheckFile') -> int:
    """Check a settings file and print every finding."""
    findings: list[str] = []
    try:
        load_settings(options.path)
    except SettingsError as error:
        findings = [str(finding) for finding in error.findings]
    if options.json:
        print_json({'errors': findings})
    for finding in findings:
        print_error(f'error: {finding}')
    if not findings and not options.json:
        print_line('ok')
    return INVALID_INPUT if findings else DONE


def described_fields(role: str) -> list[SettingField]:
    """Return the fields that a role's settings may hold."""
    return [_describe(entry) for entry in fields(SETTINGS_TYPES[role])]


def show_fields(options: 'ShowFields') -> int:
    """Print the fields of a role with defaults and units."""
    described = described_fields(options.role)
    if options.json:
        print_json([entry._asdict() for entry in described])
        return DONE
    rows = [
        (
            entry.name,
            'required' if entry.required else entry.default,
            entry.description,
        )
        for entry in described
    ]
    print_table(('field', 'default', 'meaning'), rows)
    return DONE


@command(name='check', invoke=check_file)
@dataclass
class CheckFile:
    """Check a settings file."""

    path: Annotated[str, Arg(help='settings file')]
    json: Annotated[bool, Arg(long='--json', help='print as JSON')] = False


@command(name='show', invoke=show_fields)
@dataclass
class ShowFields:
    """Show the fields of a role's settings with defaults and units."""

    role: Annotated[
        Literal['entry', 'control', 'endpoint'],
        Arg(long='--role', help='role of the process'),
    ]
    json: Annotated[bool, Arg(long='--json', help='print as JSON')] = False


@command(name='settings')
@dataclass
class SettingsGroup:
    """Check settings files and show what they may hold."""

    command: Subcommands[CheckFile | ShowFields]


def _describe(entry: FieldInfo) -> SettingField:
    required = entry.default is NODEFAULT and entry.default_factory is NODEFAULT
    # The description stands in the last annotation of the field.
    description = get_args(entry.type)[-1].description or ''
    default = None if required else entry.default
    if entry.default_factory is not NODEFAULT:
        default = entry.default_factory()
    return SettingField(entry.name, default, required, description)
