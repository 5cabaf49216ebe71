"""Steps on control hosts without a vote."""

from json import loads
from typing import Any

from behave import given, then, when
from behave.runner import Context

from testbed.cluster import Cluster
from testbed.firms import medena_layout, publish_when_ready
from testbed.processes import poll_until

LIMIT_SECONDS = 20
VOTERS = ('control-1', 'control-2', 'control-3')
RELAY = 'control-4'


def status_of(context: Context) -> dict[str, Any]:
    """Return the group's status as an operator sees it."""
    answer = context.cluster.operate('members', '--json')
    assert answer.returncode == 0, answer.stderr
    content: dict[str, Any] = loads(answer.stdout)
    return content


@given('a Medena system whose nodes know only a control host without a vote')
def step_system(context: Context) -> None:
    addresses = {
        host: f'@{context.folder / host}.address' for host in (*VOTERS, RELAY)
    }
    members = [
        {'host': host, 'address': address, 'votes': host in VOTERS}
        for host, address in addresses.items()
    ]
    only_relay = {'control': [addresses[RELAY]]}
    layout = medena_layout(
        readers=1,
        desks=1,
        controls=len(members),
        settings={
            'control': {'members': members},
            'entry': only_relay,
            'endpoint': only_relay,
        },
    )
    context.cluster = Cluster.from_config(context.processes, layout)
    publish_when_ready(context.cluster)
    context.sent = []


@then('the relay has no vote and losing one more host is safe')
def step_no_vote(context: Context) -> None:
    poll_until(
        lambda: status_of(context)['second_loss_safe'],
        LIMIT_SECONDS,
        'losing one more host is safe',
    )
    voters = [
        member['host']
        for member in status_of(context)['members']
        if member['voter']
    ]
    assert sorted(voters) == list(VOTERS), voters


@when('the relay and a voter are killed')
def step_kill_two(context: Context) -> None:
    for host in (RELAY, VOTERS[0]):
        context.cluster.process(host).kill()


@when('the relay runs again and another voter is killed')
def step_kill_voter(context: Context) -> None:
    context.cluster.start_control(RELAY)
    context.cluster.wait_ready([RELAY])
    context.cluster.process(VOTERS[1]).kill()


@then("an operator's command is accepted")
def step_accepted(context: Context) -> None:
    answer = context.cluster.operate('withdraw', 'desk-1')
    assert answer.returncode == 0, answer.stderr


@then("an operator's command is not accepted")
def step_not_accepted(context: Context) -> None:
    answer = context.cluster.operate('restore', 'desk-1', '--timeout-ms=3000')
    assert answer.returncode in {3, 4}, answer
