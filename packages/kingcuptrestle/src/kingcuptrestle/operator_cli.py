"""The operator command line `kingcuptrestle`.

Each command is a dataclass with its options; a plain function runs it and
returns the exit code. Errors go to standard error with their code.
"""

from dataclasses import dataclass
from sys import exit as sys_exit

from cappa import Subcommands, command, invoke

from kingcuptrestle.exit_codes import exit_code_of
from kingcuptrestle.fleet_cli import (
    Explain,
    Release,
    Restore,
    Status,
    Withdraw,
)
from kingcuptrestle.members_cli import Members
from kingcuptrestle.output import print_error
from kingcuptrestle.set_cli import Check, Publish, Show
from kingcuptrestle.settings_cli import SettingsGroup
from trestle_core.errors import TrestleError
from trestle_core.logs import configure_logs


@command(name='kingcuptrestle')
@dataclass
class Operator:
    """Check and publish named sets, and inspect and operate the fleet.

    Commands that contact the control hosts take --control and --key-file,
    or KINGCUPTRESTLE_CONTROL and KINGCUPTRESTLE_KEY_FILE. Every command is
    safe to repeat. Exit codes: 0 done; 1 refused; 2 invalid input;
    3 no control host reached, nothing changed; 4 outcome unknown;
    5 published but not in force on every node in time.
    """

    command: Subcommands[
        Check
        | Publish
        | Show
        | Status
        | Explain
        | Withdraw
        | Restore
        | Members
        | Release
        | SettingsGroup
    ]


def main() -> None:
    """Run one command and exit with its exit code."""
    configure_logs('text', 'ERROR')
    try:
        code = invoke(Operator)
    except TrestleError as error:
        print_error(
            f'error: {error.message} ({error.code.code}, {error.verdict.value})'
        )
        code = exit_code_of(error)
    sys_exit(code)
