"""The command `members`: shows, adds and removes control hosts."""

from dataclasses import dataclass
from typing import Annotated, Final

from cappa import Arg, command

from kingcuptrestle.control_session import (
    ControlOptions,
    ControlSession,
    control_session,
)
from kingcuptrestle.exit_codes import DONE
from kingcuptrestle.output import print_json, print_line, print_table
from trestle_core.errorcodes import BAD_REQUEST
from trestle_core.errors import TrestleError
from trestle_links.member_messages import (
    AddControlHost,
    ControlHosts,
    RemoveControlHost,
)

_MEMBER_COLUMNS: Final = (
    'host',
    'voter',
    'reachable',
    'match_index',
    'incarnation',
    'address',
)


def run_members(options: 'Members') -> int:
    """Add or remove a host if requested, then print the members."""
    with control_session(options) as session:
        _change_hosts(session, options)
        replica = session.query('status')['replica']
    if options.json:
        print_json(replica)
        return DONE
    rows = [
        [member[column] for column in _MEMBER_COLUMNS]
        for member in replica['members']
    ]
    print_table(_MEMBER_COLUMNS, rows)
    safe = 'yes' if replica['second_loss_safe'] else 'no'
    print_line(f'losing one more host is safe: {safe}')
    return DONE


def _change_hosts(session: ControlSession, options: 'Members') -> None:
    if options.add:
        host, _, address = options.add.partition('=')
        if not host or not address:
            raise TrestleError(BAD_REQUEST, '--add takes HOST=ADDRESS.')
        session.submit(
            AddControlHost(host, address, not options.relay), ControlHosts
        )
    if options.remove:
        session.submit(RemoveControlHost(options.remove), ControlHosts)


@command(name='members', invoke=run_members)
@dataclass
class Members(ControlOptions):
    """Show the control hosts and whether losing another one is safe.

    With --add or --remove it changes the hosts first. An added host becomes
    a learner once its process runs, and then a voter; with --relay it stays
    a learner, which serves nodes but does not count towards a quorum.
    """

    add: Annotated[str, Arg(long='--add', help='add a host: HOST=ADDRESS')] = ''
    relay: Annotated[
        bool,
        Arg(long='--relay', help='add the host as a learner that never votes'),
    ] = False
    remove: Annotated[str, Arg(long='--remove', help='remove a host')] = ''
    json: Annotated[bool, Arg(long='--json', help='print as JSON')] = False
