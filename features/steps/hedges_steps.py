"""Steps on second sends of requests that may be repeated."""

from time import monotonic
from typing import Any

from behave import given, then, when
from behave.runner import Context
from gevent import sleep, spawn
from msgspec.json import decode

from testbed.customer_entry import CustomerEntry
from testbed.platform_replica import PlatformReplica
from trestle_core.metrics import Metrics
from trestle_core.route_table import Repeat
from trestle_entry.direct.hedge_policy import HedgePolicy
from trestle_links.direct_messages import Backend

SLOW_SECONDS = 0.8
USUAL_SECONDS = 0.05
LIMIT_SECONDS = 10.0
FAULTS = {
    'declines': 'decline',
    'answers 500': 'fails',
    'resets the connection': 'reset',
}


@given(
    'an entry that may send {share:g} of its requests twice, and a slow '
    'back end'
)
def step_entry(context: Context, share: float) -> None:
    """Make an entry that prefers the slow one of two back ends."""
    context.entry = CustomerEntry()
    context.slow = PlatformReplica('i-slow', '', '127.0.0.1:0')
    context.slow.slow_seconds = SLOW_SECONDS
    for replica in (context.entry.replica, context.slow):
        context.add_cleanup(replica.server.stop)
    direct = context.entry.context
    direct.hedges.share = share
    for _ in range(100):
        direct.hedges.note_answer('desk', USUAL_SECONDS)
    list_back_ends(context, both=True)
    context.path = '/look/plain'


def list_back_ends(context: Context, *, both: bool) -> None:
    """List the slow back end, and the other one in another zone."""
    listed = [('i-slow', context.slow.address, 'z1')]
    if both:
        listed.append(('i-desk', context.entry.replica.address, 'z2'))
    context.entry.context.fleet.replace_list(
        [
            Backend(name, 'desk', address, zone, False, '', 6)
            for name, address, zone in listed
        ]
    )


@given('the other back end {fails}')
def step_fails(context: Context, fails: str) -> None:
    """Let only that one fail."""
    context.entry.replica.fault = FAULTS[fails]


@when('a call that {kind} is made')
def step_call(context: Context, kind: str) -> None:
    """Make one call under the conditions."""
    direct = context.entry.context
    routes = direct.table.by_host['firm.example']
    route = routes['/look/']
    if 'must not' in kind:
        routes['/look/'] = route._replace(repeat=Repeat.UNSAFE)
    if 'one attempt' in kind:
        routes['/look/'] = route._replace(max_attempts=1)
    if 'without retries' in kind:
        limits = direct.limits_for('desk')
        limits.share = limits.extra = 0
    if 'one back end' in kind:
        list_back_ends(context, both=False)
    began_at = monotonic()
    called: Any = spawn(context.entry.call, context.path, [])
    context.reply = called.get(timeout=LIMIT_SECONDS)
    context.took_ms = (monotonic() - began_at) * 1000


@then('it is answered within {limit:d} ms by the other back end')
def step_by_other(context: Context, limit: int) -> None:
    """Check who answered, and when."""
    assert context.reply.status == 200, context.reply
    assert context.took_ms < limit, context.took_ms
    assert len(context.entry.replica.ran) == 1


@then('it is answered by the slow back end')
def step_by_slow(context: Context) -> None:
    """Check that the caller waited for the first send."""
    assert context.reply.status == 200, context.reply
    assert context.took_ms >= SLOW_SECONDS * 1000, context.took_ms
    assert len(context.slow.ran) == 1
    body = b''.join(context.reply.body)
    assert decode(body) == {'ran': context.path}


@then('{count:d} second send was made')
@then('{count:d} second sends were made')
def step_hedges(context: Context, count: int) -> None:
    """Check the counter and what ran."""
    assert context.entry.counted('hedges', 'sent') == count
    others = len(context.entry.replica.ran)
    assert others == count, context.entry.replica.ran


@then('the slow back end sees the connection of its send end')
def step_cancelled(context: Context) -> None:
    """Wait until it has tried to answer."""
    until = monotonic() + LIMIT_SECONDS
    while not context.slow.cut_streams and monotonic() < until:
        sleep(0.05)
    idle = context.entry.context.pool.idle_connections
    assert not idle.get('i-slow'), idle


@when('{count:d} late calls ask for a second send')
def step_late_calls(context: Context, count: int) -> None:
    """Ask as that many calls do."""
    policy = HedgePolicy(context.entry.context.hedges.share, Metrics())
    context.sent = 0
    for _ in range(count):
        policy.note_request('desk')
        context.sent += policy.take('desk')


@then('at most {count:d} of them get one')
def step_bounded(context: Context, count: int) -> None:
    """Check the share of 200, and the first one."""
    assert 0 < context.sent <= count, context.sent


@when(
    '{count:d} answers have come, each a {step:d} ms later than the one before'
)
def step_answers(context: Context, count: int, step: int) -> None:
    """Learn from answers of every time alike."""
    context.policy = HedgePolicy(0.1, Metrics())
    for number in range(count):
        context.policy.note_answer('desk', (number + 1) * step / 1000)


@then('a second send waits for {wait:d} ms')
def step_wait(context: Context, wait: int) -> None:
    """Check the learned wait."""
    seconds = context.policy.wait_seconds('desk')
    assert round(seconds * 1000) == wait, seconds


@given('both back ends decline')
def step_both_decline(context: Context) -> None:
    """Let every send be declined."""
    context.entry.replica.fault = context.slow.fault = 'decline'


@then('the second sends that are left have grown by {share:g}')
def step_grown(context: Context, share: float) -> None:
    """Check what one request has added, after more than one send."""
    declined = len(context.slow.declined) + len(context.entry.replica.declined)
    assert declined > 1, declined
    left = context.entry.context.hedges.services['desk'].left
    assert round(left - 1, 6) == share, left
