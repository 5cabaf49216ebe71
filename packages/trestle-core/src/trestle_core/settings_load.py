"""Reading and checking of a settings file.

All errors are reported at once, each with its path in the file and what was
expected, so that an operator mends a file in one round.
"""

from pathlib import Path
from typing import Any, NamedTuple

from msgspec import NODEFAULT, ValidationError, convert
from msgspec.json import decode
from msgspec.structs import FieldInfo, fields

from trestle_core.errorcodes import INVALID_SETTINGS
from trestle_core.errors import TrestleError
from trestle_core.settings import SETTINGS_TYPES, ControlSettings, Settings


class Finding(NamedTuple):
    """One error in a JSON document."""

    path: str
    reason: str

    def __str__(self) -> str:
        """Return `path: reason`."""
        return f'{self.path}: {self.reason}'


class SettingsError(TrestleError):
    """The settings file cannot be used; `findings` lists every error."""

    def __init__(self, findings: list[Finding]) -> None:
        """Join the findings into one message."""
        super().__init__(INVALID_SETTINGS, '\n'.join(map(str, findings)))
        self.findings = findings


def load_settings(path: str) -> Settings:
    """Read, check and return the settings in a file.

    Raises `SettingsError`.
    """
    try:
        raw = decode(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise SettingsError([Finding('$', str(error))]) from error
    findings = check_settings(raw)
    if findings:
        raise SettingsError(findings)
    settings: Settings = convert(raw, SETTINGS_TYPES[raw['role']])
    return settings


def check_settings(raw: Any) -> list[Finding]:
    """Return every error in a decoded settings document."""
    if not isinstance(raw, dict):
        return [Finding('$', 'expected an object')]
    settings_type = SETTINGS_TYPES.get(str(raw.get('role')))
    if settings_type is None:
        known = ', '.join(sorted(SETTINGS_TYPES))
        return [Finding('$.role', f'expected one of {known}')]
    known_fields = {entry.encode_name: entry for entry in fields(settings_type)}
    findings = [
        Finding(f'$.{key}', 'unknown key')
        for key in raw
        if key not in known_fields and key != 'role'
    ]
    for name, entry in known_fields.items():
        findings.extend(_check_field(name, entry, raw))
    if settings_type is ControlSettings:
        findings.extend(_check_members(raw))
    return findings


def _check_members(raw: dict[str, Any]) -> list[Finding]:
    if raw.get('members') or raw.get('seeds'):
        return []
    return [Finding('$.members', 'required, or seeds')]


def _check_field(
    name: str,
    entry: FieldInfo,
    raw: dict[str, Any],
) -> list[Finding]:
    if name not in raw:
        required = (
            entry.default is NODEFAULT and entry.default_factory is NODEFAULT
        )
        return [Finding(f'$.{name}', 'required')] if required else []
    try:
        convert(raw[name], entry.type)
    except ValidationError as error:
        return [_finding_from(name, str(error))]
    return []


def _finding_from(name: str, text: str) -> Finding:
    reason, _, place = text.partition(' - at `$')
    return Finding(f'$.{name}{place.rstrip("`")}', reason)
