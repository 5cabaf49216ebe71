"""Steps on back ends that name rate limits, without a network."""

from math import inf

from behave import given, then, when
from behave.runner import Context

from testbed.direct_runs import DEMAND, SECONDS, make_match, make_request
from testbed.limited_entries import LimitedEntries
from trestle_entry.direct.backend_exchange import NotSentError
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.request_run import RequestRun
from trestle_entry.direct.request_sends import send_once
from trestle_platform.replica_http import read_head


def make_run(group: LimitedEntries) -> RequestRun:
    """Return a request at the first entry."""
    request = make_request(DEMAND)
    trace = RequestTrace('r', request.arrived_at)
    return RequestRun(group.entries[0], request, make_match(), trace)


def may_send(context: Context, run: RequestRun, number: int) -> bool:
    """Return whether a request may be sent to a back end."""
    with context.group.clock():
        return f'backend-{number}' not in run.unusable()


@given('{entries:d} entries that share {backends:d} back ends')
def step_entries(context: Context, entries: int, backends: int) -> None:
    context.group = LimitedEntries(entries, backends)


@when('back end {number:d} names a limit of {rate:g} requests/s')
def step_limit(context: Context, number: int, rate: float) -> None:
    context.group.rates[f'backend-{number}'] = rate


@when('back end {number:d} names no limit')
def step_no_limit(context: Context, number: int) -> None:
    context.group.rates.clear()


@when('{requests:d} requests come in {seconds:d} s')
def step_send(context: Context, requests: int, seconds: int) -> None:
    context.group.send(requests, seconds)


@when('nobody leads')
def step_nobody_leads(context: Context) -> None:
    context.group.has_leader = False


@when('an answer to an older request of back end {number:d} names no limit')
def step_older(context: Context, number: int) -> None:
    group = context.group
    limits = group.entries[0].loads.rate_limits
    with group.clock():
        limits.note_named(f'backend-{number}', inf, group.seconds - SECONDS)


@when('{seconds:d} s pass and a request holds a place at back end {number:d}')
def step_hold(context: Context, seconds: int, number: int) -> None:
    context.group.seconds += seconds
    context.run = make_run(context.group)
    assert may_send(context, context.run, number)
    with context.group.clock():
        context.run.hold_place(f'backend-{number}')


@when('the request gives its place back')
def step_give_back(context: Context) -> None:
    with context.group.clock():
        context.run.hold_place('')


@when('{seconds:d} s pass and a request cannot connect to back end {number:d}')
def step_not_sent(context: Context, seconds: int, number: int) -> None:
    context.group.seconds += seconds

    def fail() -> None:
        raise NotSentError('refused')

    with context.group.clock():
        send_once(make_run(context.group), f'backend-{number}', fail)


@then(
    'back end {number:d} got at most {most:d} requests in any {window:d} s of '
    'the last {seconds:d} s'
)
def step_most(
    context: Context, number: int, most: int, window: int, seconds: int
) -> None:
    arrivals = context.group.most_arrivals(number, window, seconds)
    assert arrivals <= most, arrivals


@then(
    'back end {number:d} got at least {least:d} requests in the last '
    '{seconds:d} s'
)
def step_least(context: Context, number: int, least: int, seconds: int) -> None:
    arrivals = context.group.most_arrivals(number, seconds, seconds)
    assert arrivals >= least, arrivals


@then('no request was refused')
def step_none_refused(context: Context) -> None:
    assert not context.group.refusals, context.group.refusals[0]


@then('the others were refused as not run, with different times to come back')
def step_refused(context: Context) -> None:
    refusals = context.group.refusals
    assert {error.code.code for error in refusals} == {'overloaded'}
    times = {error.retry_after for error in refusals}
    assert len(times) > len(refusals) / 2, len(times)
    assert min(times) > 0, times


@then('entry 1 knows a limit of {rate:g} requests/s for back end {number:d}')
def step_knows(context: Context, rate: float, number: int) -> None:
    limits = context.group.entries[0].loads.rate_limits.limits
    assert limits[f'backend-{number}'].rate == rate, limits


@then('another request may not be sent to back end {number:d}')
def step_may_not(context: Context, number: int) -> None:
    assert not may_send(context, make_run(context.group), number)


@then('another request may be sent to back end {number:d}')
def step_may(context: Context, number: int) -> None:
    assert may_send(context, make_run(context.group), number)


@then('the request that holds the place may')
def step_holder_may(context: Context) -> None:
    assert may_send(context, context.run, 1)


@then('the header value "{text}" is a limit of "{rate}" requests/s')
def step_header(_context: Context, text: str, rate: str) -> None:
    head = read_head(200, [('Server-Limit', text)])
    assert head.rate_limit == float(rate), head


@then('the header value "" is a limit of "{rate}" requests/s')
def step_no_header(_context: Context, rate: str) -> None:
    assert read_head(200, []).rate_limit == float(rate)
