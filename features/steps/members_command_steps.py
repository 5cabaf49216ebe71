"""Steps on the operators' command `members`."""

from json import loads
from typing import Any

from behave import given, then, when
from behave.runner import Context

from testbed.cluster import Cluster, Layout
from testbed.processes import poll_until

LIMIT_SECONDS = 20
ZONES = ('plovdiv-a', 'plovdiv-b', 'asenovgrad')


def members_of(context: Context) -> dict[str, Any]:
    """Return what `members` prints, or nothing when it fails."""
    answer = context.cluster.operate('members', '--json')
    if answer.returncode:
        return {'members': []}
    content: dict[str, Any] = loads(answer.stdout)
    return content


def hosts_in(content: dict[str, Any]) -> list[str]:
    """Return the hosts of the members that have a vote."""
    return sorted(
        member['host'] for member in content['members'] if member['voter']
    )


def wait_for_members(context: Context, hosts: list[str]) -> dict[str, Any]:
    """Wait until just these hosts vote; return the status."""
    poll_until(
        lambda: hosts_in(members_of(context)) == hosts,
        LIMIT_SECONDS,
        f'the members are {hosts}',
    )
    return members_of(context)


@given('a system of three control hosts')
def step_system(context: Context) -> None:
    layout = Layout(ZONES, endpoints=(), entries=0)
    context.cluster = Cluster.from_config(context.processes, layout)
    context.cluster.wait_ready()
    content = wait_for_members(context, context.cluster.control_hosts)
    context.leader = content['leader']
    context.others = [
        host for host in context.cluster.control_hosts if host != context.leader
    ]


@when('the operator removes a control host')
def step_remove(context: Context) -> None:
    answer = context.cluster.operate('members', '--remove', context.others[0])
    assert answer.returncode == 0, answer.stderr


@then('the members are the other two')
def step_two(context: Context) -> None:
    wait_for_members(context, sorted([context.leader, context.others[1]]))


@when('the operator adds it again')
def step_add(context: Context) -> None:
    host = context.others[0]
    address = f'@{context.cluster.address_file(host)}'
    answer = context.cluster.operate('members', '--add', f'{host}={address}')
    assert answer.returncode == 0, answer.stderr


@then('the members are all three and losing one more host is safe')
def step_three(context: Context) -> None:
    wait_for_members(context, context.cluster.control_hosts)
    poll_until(
        lambda: members_of(context).get('second_loss_safe'),
        LIMIT_SECONDS,
        'losing one more host is safe',
    )
    printed = context.cluster.operate('members').stdout
    assert printed.endswith('losing one more host is safe: yes\n'), printed


@when('a control host is killed and the operator removes another one')
def step_remove_second(context: Context) -> None:
    killed, other = context.others
    context.cluster.process(killed).kill()

    def is_noticed() -> bool:
        return any(
            member['host'] == killed and not member['reachable']
            for member in members_of(context)['members']
        )

    poll_until(is_noticed, LIMIT_SECONDS, f'{killed} is not reachable')
    context.answer = context.cluster.operate('members', '--remove', other)


@then('the command exits with 1 and the code members-refused')
def step_refused(context: Context) -> None:
    assert context.answer.returncode == 1, context.answer
    assert '(members-refused, not-run)' in context.answer.stderr
    assert len(members_of(context)['members']) == len(ZONES)


@then('an address that is missing exits with 1 and the code bad-request')
def step_bad(context: Context) -> None:
    answer = context.cluster.operate('members', '--add', 'control-4')
    assert answer.returncode == 1, answer
    assert '(bad-request, not-run)' in answer.stderr, answer.stderr
