"""Starts the role that a settings file names.

Only the modules of that role are imported, which keeps a process small. Bad
settings never start a process: every finding is printed, exit code 2.
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

Build = Callable[[Settings], Application]

_BUILDERS: Final[dict[type[Settings], tuple[str, str]]] = {
    ControlSettings: ('trestle_control.control_app', 'build_control'),
    EndpointSettings: ('trestle_endpoint.endpoint_app', 'build_endpoint'),
    EntrySettings: ('trestle_entry.entry_app', 'build_entry'),
}

_log = part_logger('process')


@command(name='kingcuptrestled')
@dataclass
class Daemon:
    """Run one process of the system, in the role that its settings give.

    It stops gracefully on SIGTERM. Exit codes: 0 stopped; 1 refused to
    start; 2 errors in the settings.
    """

    settings: Annotated[
        str, Arg(long='--settings', help='settings file of the process, JSON')
    ]


def run_daemon() -> None:
    """Load the settings, build the role and run it until it is stopped."""
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
        _log.error('Refuses to start: {} ({}).', refusal, refusal.code.code)
        sys_exit(REFUSED)
    except (OSError, ValueError) as unusable:
        # A key, an address or a folder that the settings name.
        print_error(f'error: {unusable}')
        sys_exit(INVALID_INPUT)
    application.run()


def _builder_of(settings: Settings) -> Build:
    module, name = _BUILDERS[type(settings)]
    return cast(Build, getattr(import_module(module), name))
