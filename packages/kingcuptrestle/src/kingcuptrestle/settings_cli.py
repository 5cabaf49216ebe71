"""Commands on settings files: check a file, show the fields of a role."""

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


def describe_fields(role: str) -> list[SettingField]:
    """Return the settings fields of a role."""
    return [_describe_field(info) for info in fields(SETTINGS_TYPES[role])]


def show_fields(options: 'ShowFields') -> int:
    """Print the fields of a role with defaults and units."""
    described = describe_fields(options.role)
    if options.json:
        print_json([setting._asdict() for setting in described])
        return DONE
    rows = [
        (
            setting.name,
            'required' if setting.required else setting.default,
            setting.description,
        )
        for setting in described
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
    """Check settings files and show their fields."""

    command: Subcommands[CheckFile | ShowFields]


def _describe_field(info: FieldInfo) -> SettingField:
    required = info.default is NODEFAULT and info.default_factory is NODEFAULT
    # The last annotation of the field holds its description.
    description = get_args(info.type)[-1].description or ''
    default = None if required else info.default
    if info.default_factory is not NODEFAULT:
        default = info.default_factory()
    return SettingField(info.name, default, required, description)
