"""Runs one process in the role that its settings file specifies.

Only the modules of that role are imported, to save memory. If the settings
are invalid, the process prints every finding and exits with code 2.
"""

from collections.abc import Callable
from dataclasses import dataclass
from importlib import import_module
from sys import exit as sys_exit
from typing import Annotated, Final, cast

from cappa import Arg, command, parse

from kingcuptrestle.exit_codes import INVALID_INPUT, REFUSED
from kingcuptrestle.output import print_error
from trestle_core.errors import TrestleError
from trestle_core.lifecycle import Application
from trestle_core.logs import configure_logs, part_logger
from trestle_core.settings import (
    ControlSettings,
    EndpointSettings,
    EntrySettings,
    Settings,
)
from trestle_core.settings_load import SettingsError, load_settings

Builder = Callable[[Settings], Application]

_BUILDERS: Final[dict[type[Settings], tuple[str, str]]] = {
    ControlSettings: ('trestle_control.control_app', 'build_control'),
    EndpointSettings: ('trestle_endpoint.endpoint_app', 'build_endpoint'),
    EntrySettings: ('trestle_entry.entry_app', 'build_entry'),
}

_log = part_logger('process')


@command(name='kingcuptrestled')
@dataclass
class Daemon:
    """Run one process of the system in the role given by its settings.

    It stops gracefully on SIGTERM. Exit codes: 0 stopped; 1 refused to
    start; 2 invalid settings.
    """

    settings: Annotated[
        str, Arg(long='--settings', help='settings file of the process, JSON')
    ]


def run_daemon() -> None:
    """Load the settings, then build and run the application of the role."""
    arguments = parse(Daemon)
    try:
        settings = load_settings(arguments.settings)
    except SettingsError as error:
        for finding in error.findings:
            print_error(f'error: {finding}')
        sys_exit(INVALID_INPUT)
    configure_logs(settings.log_style, settings.log_level)
    try:
        application = _builder_of(settings)(settings)
    except TrestleError as refusal:
        _log.error('Refused to start: {} ({}).', refusal, refusal.code.code)
        sys_exit(REFUSED)
    except (OSError, ValueError) as unusable:
        # The settings name an unusable key file, address or folder.
        print_error(f'error: {unusable}')
        sys_exit(INVALID_INPUT)
    application.run()


def _builder_of(settings: Settings) -> Builder:
    module, name = _BUILDERS[type(settings)]
    return cast(Builder, getattr(import_module(module), name))
