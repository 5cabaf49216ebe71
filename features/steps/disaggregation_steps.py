"""Steps for engines with roles and the transfer of KV cache."""

from behave import given, then
from behave.runner import Context

from testbed.cluster import Cluster
from testbed.firms import (
    medena_layout,
    medena_set_with_plan,
    publish_when_ready,
    with_roles,
)
from testbed.metrics import read_counter


@given('a Medena system whose readers are {first}, {second} and {third}')
def step_roles(context: Context, first: str, second: str, third: str) -> None:
    start_with_roles(context, (first, second, third), ())


@given(
    'a Medena system with late tickets whose readers are '
    '{first}, {second} and {third}'
)
def step_late(context: Context, first: str, second: str, third: str) -> None:
    roles = (first, second, third)
    start_with_roles(context, roles, ('--ticket-seconds=0',))


def start_with_roles(
    context: Context, roles: tuple[str, ...], options: tuple[str, ...]
) -> None:
    """Start a system whose plan reads and answers on different engines."""
    layout = with_roles(medena_layout(len(roles), 1, options), roles)
    context.cluster = Cluster.from_config(context.processes, layout)
    folder = medena_set_with_plan(context.folder, disaggregated=True)
    publish_when_ready(context.cluster, folder)
    context.sent = []


@then('{host} counts {amount:d} "{name}" of "{label}"')
def step_counter(
    context: Context, host: str, amount: int, name: str, label: str
) -> None:
    seen = read_counter(context.cluster.http_address(host), name, label)
    assert seen == amount, seen


@then('{host} has run {amount:d} request')
@then('{host} has run {amount:d} requests')
def step_requests(context: Context, host: str, amount: int) -> None:
    record = context.cluster.record(host)
    requests = [line for line in record if line['event'] == 'request']
    assert len(requests) == amount, requests
