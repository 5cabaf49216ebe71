"""Steps on back ends that name rate limits, without a network."""

from behave import given, then, when
from behave.runner import Context

from testbed.limited_entries import LimitedEntries


@given('{entries:d} entries that share {backends:d} back ends')
def step_entries(context: Context, entries: int, backends: int) -> None:
    context.group = LimitedEntries(entries, backends)


@when('back end {number:d} names a limit of {rate:g} requests/s')
def step_limit(context: Context, number: int, rate: float) -> None:
    context.group.rates[f'backend-{number}'] = rate


@when('{requests:d} requests come in {seconds:d} s')
def step_send(context: Context, requests: int, seconds: int) -> None:
    context.group.send(requests, seconds)


@then(
    'back end {number:d} got at most {most:d} requests in any {window:d} s of '
    'the last {seconds:d} s'
)
def step_most(
    context: Context, number: int, most: int, window: int, seconds: int
) -> None:
    group = context.group
    name = f'backend-{number}'
    group.drop_arrivals_before(group.seconds - seconds)
    arrivals = group.most_arrivals(name, window)
    assert arrivals <= most, arrivals
