"""Commands on the fleet: status, explain, withdraw, restore and release."""

from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Annotated, Any, Final

from cappa import Arg, command

from kingcuptrestle.control_session import ControlOptions, control_session
from kingcuptrestle.exit_codes import DONE, REFUSED
from kingcuptrestle.explain_log import explain_from_logs
from kingcuptrestle.output import (
    print_error,
    print_json,
    print_line,
    print_table,
)
from trestle_links.fleet_messages import (
    ReleaseContent,
    RestoreEndpoint,
    WithdrawEndpoint,
)

_MS_PER_SECOND: Final = 1000


def show_status(options: 'Status') -> int:
    """Print the state of the group, the nodes and the endpoints."""
    with control_session(options) as session:
        answer = {
            **session.query('status'),
            'node_reports': session.query('nodes'),
            'endpoint_list': session.query('endpoints'),
        }
    if options.json:
        print_json(answer)
        return DONE
    _print_status(answer)
    return DONE


def explain_name(options: 'Explain') -> int:
    """Print the records of a name, oldest first, or a request's log."""
    if options.log:
        return explain_from_logs(options.name, options.log)
    with control_session(options) as session:
        answer = session.query('explain', options.name)
    found = answer['records'] or answer['claims']
    if options.json:
        print_json(answer)
    elif found:
        _print_story(answer)
    else:
        print_error(f'error: nothing is known of {options.name} (not-found)')
    return DONE if found else REFUSED


def withdraw(options: 'Withdraw') -> int:
    """Take a host out of service."""
    with control_session(options) as session:
        session.change(
            WithdrawEndpoint(options.host, options.cause, session.operator)
        )
    print_line(f'withdrawn: {options.host}')
    return DONE


def restore(options: 'Restore') -> int:
    """End a withdrawal."""
    with control_session(options) as session:
        session.change(
            RestoreEndpoint(options.host, options.cause, session.operator)
        )
    print_line(f'restored: {options.host}')
    return DONE


def release(options: 'Release') -> int:
    """End a quarantine."""
    with control_session(options) as session:
        session.change(
            ReleaseContent(options.digest, options.cause, session.operator)
        )
    print_line(f'released: {options.digest}')
    return DONE


@command(name='status', invoke=show_status)
@dataclass
class Status(ControlOptions):
    """Show the control group, the set in force, nodes and endpoints."""

    json: Annotated[bool, Arg(long='--json', help='print as JSON')] = False


@command(name='explain', invoke=explain_name)
@dataclass
class Explain(ControlOptions):
    """Tell why something happened to an endpoint, order or version.

    NAME is a host, `order-N`, `version-N`, a content digest, a request id or
    an idempotency key. With --log it is a request id, and the control hosts
    are not asked.
    """

    name: Annotated[str, Arg(help='what to explain')]
    log: Annotated[
        list[str],
        Arg(long='--log', help='log file of processes, - for standard input'),
    ] = field(default_factory=list)
    json: Annotated[bool, Arg(long='--json', help='print as JSON')] = False


@command(name='withdraw', invoke=withdraw)
@dataclass
class Withdraw(ControlOptions):
    """Take an endpoint out of service; started work finishes."""

    host: Annotated[str, Arg(help='host of the endpoint')]
    cause: Annotated[
        str, Arg(long='--cause', help='reason, for the records')
    ] = 'operator'


@command(name='restore', invoke=restore)
@dataclass
class Restore(ControlOptions):
    """End the withdrawal of an endpoint."""

    host: Annotated[str, Arg(help='host of the endpoint')]
    cause: Annotated[
        str, Arg(long='--cause', help='reason, for the records')
    ] = 'operator'


@command(name='release', invoke=release)
@dataclass
class Release(ControlOptions):
    """Let a quarantined request run again."""

    digest: Annotated[str, Arg(help='content digest, from status')]
    cause: Annotated[
        str, Arg(long='--cause', help='reason, for the records')
    ] = 'operator'


def _print_status(answer: dict[str, Any]) -> None:
    replica = answer['replica']
    print_line(
        f'{replica["host"]}: {replica["role"]}, term {replica["term"]}, '
        f'leader {replica["leader"] or "unknown"}'
    )
    print_line(
        f'set version {answer["set_version"]}, in force on '
        f'{answer["nodes_in_force"]} of {answer["nodes"]} nodes'
    )
    _print_endpoints(answer['endpoint_list'])
    for order in answer['orders_outstanding']:
        print_line(
            f'order {order["fencing"]} outstanding on {order["endpoint"]}: '
            f'{order["kind"]} {order["argument"]}'
        )
    for rollout in answer['rollouts']:
        print_line(_rollout_line(rollout))
    for content in answer['quarantined']:
        print_line(f'quarantined: {content}')


def _rollout_line(rollout: dict[str, Any]) -> str:
    line = (
        f'rollout of {rollout["pool"]}: version {rollout["version"]} on '
        f'{rollout["done"]} of {rollout["engines"]} engines'
    )
    halted = rollout['halted']
    if halted:
        line += f', halted by order {halted["fencing"]} on {halted["endpoint"]}'
    return line


def _print_endpoints(endpoints: list[dict[str, Any]]) -> None:
    rows = [
        (
            endpoint['host'],
            endpoint['zone'],
            endpoint['target'],
            endpoint['engine_role'],
            'serving' if endpoint['serving'] else 'withdrawn',
            endpoint['cause'],
        )
        for endpoint in endpoints
    ]
    columns = ('endpoint', 'zone', 'target', 'role', 'state', 'cause')
    print_table(columns, rows)


def _print_story(answer: dict[str, Any]) -> None:
    for record in answer['records']:
        moment = datetime.fromtimestamp(
            record['unix_ms'] / _MS_PER_SECOND, UTC
        ).isoformat(timespec='seconds')
        print_line(
            f'{moment} log {record["log_index"]}: {record["kind"]}; '
            f'{record["cause"]}; {record["detail"]}'
        )
    for register in answer['claims']:
        print_line(
            f'claim of {register["service"]} key {register["key"]}: '
            f'{register["opened"]} attempts opened, '
            f'{register["refused"]} refused'
        )
        print_json(register['claim'])
