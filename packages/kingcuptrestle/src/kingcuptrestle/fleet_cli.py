"""Fleet commands: status, explain, withdraw, restore and release."""

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
    """Print the status of the control group, nodes and endpoints."""
    with control_session(options) as session:
        status = {
            **session.query('status'),
            'node_reports': session.query('nodes'),
            'endpoint_list': session.query('endpoints'),
        }
    if options.json:
        print_json(status)
        return DONE
    _print_status(status)
    return DONE


def explain_name(options: 'Explain') -> int:
    """Print the records of a name, oldest first, or a request's trace."""
    if options.log:
        return explain_from_logs(options.name, options.log)
    with control_session(options) as session:
        explanation = session.query('explain', options.name)
    found = explanation['records'] or explanation['claims']
    if options.json:
        print_json(explanation)
    elif found:
        _print_audit_trail(explanation)
    else:
        print_error(f'error: no records for {options.name} (not-found)')
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
    """Explain what happened to an endpoint, order or version.

    NAME is a host, `order-N`, `version-N`, a content digest, a request id or
    an idempotency key. With --log it is a request id, and no control
    host is contacted.
    """

    name: Annotated[str, Arg(help='what to explain')]
    log: Annotated[
        list[str],
        Arg(long='--log', help='log file to read, - for standard input'),
    ] = field(default_factory=list)
    json: Annotated[bool, Arg(long='--json', help='print as JSON')] = False


@command(name='withdraw', invoke=withdraw)
@dataclass
class Withdraw(ControlOptions):
    """Take an endpoint out of service; running requests finish."""

    host: Annotated[str, Arg(help='host of the endpoint')]
    cause: Annotated[
        str, Arg(long='--cause', help='reason, for the audit records')
    ] = 'operator'


@command(name='restore', invoke=restore)
@dataclass
class Restore(ControlOptions):
    """End the withdrawal of an endpoint."""

    host: Annotated[str, Arg(help='host of the endpoint')]
    cause: Annotated[
        str, Arg(long='--cause', help='reason, for the audit records')
    ] = 'operator'


@command(name='release', invoke=release)
@dataclass
class Release(ControlOptions):
    """Let a quarantined request run again."""

    digest: Annotated[str, Arg(help='content digest, from status')]
    cause: Annotated[
        str, Arg(long='--cause', help='reason, for the audit records')
    ] = 'operator'


def _print_status(status: dict[str, Any]) -> None:
    replica = status['replica']
    print_line(
        f'{replica["host"]}: {replica["role"]}, term {replica["term"]}, '
        f'leader {replica["leader"] or "unknown"}'
    )
    print_line(
        f'set version {status["set_version"]}, in force on '
        f'{status["nodes_in_force"]} of {status["nodes"]} nodes'
    )
    _print_endpoints(status['endpoint_list'])
    for order in status['orders_outstanding']:
        print_line(
            f'order {order["fencing"]} outstanding on {order["endpoint"]}: '
            f'{order["kind"]} {order["argument"]}'
        )
    _print_usage(status['usage'], replica)
    for rollout in status['rollouts']:
        print_line(_rollout_line(rollout))
    for content in status['quarantined']:
        print_line(f'quarantined: {content}')


def _print_usage(usage: dict[str, int], replica: dict[str, Any]) -> None:
    """Print who reports the usage of customers, if anybody does."""
    if not usage['recorded']:
        return
    print_line(
        f'usage: reported by {replica["leader"] or "nobody"} with fence '
        f'{replica["term"]}, windows recorded up to {usage["recorded"]}, '
        f'accepted up to {usage["confirmed"]}, {usage["waiting"]} waiting'
    )


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


def _print_audit_trail(explanation: dict[str, Any]) -> None:
    for record in explanation['records']:
        timestamp = datetime.fromtimestamp(
            record['unix_ms'] / _MS_PER_SECOND, UTC
        ).isoformat(timespec='seconds')
        print_line(
            f'{timestamp} log {record["log_index"]}: {record["kind"]}; '
            f'{record["cause"]}; {record["detail"]}'
        )
    for register in explanation['claims']:
        print_line(
            f'claim of {register["service"]} key {register["key"]}: '
            f'{register["opened"]} attempts opened, '
            f'{register["refused"]} refused'
        )
        print_json(register['claim'])
