"""Steps on a fleet of engines and its callers."""

from behave import given, then, when
from behave.runner import Context

from testbed.fleet import LIMIT_SECONDS, Answer, Fleet
from testbed.processes import poll_until


def start_fleet(context: Context, engines: int, *options: str) -> Fleet:
    """Start a fleet for the scenario."""
    fleet = Fleet.from_config(context.processes, engines, options)
    keep_fleet(context, fleet)
    return fleet


def keep_fleet(context: Context, fleet: Fleet) -> None:
    """Make a fleet the scenario's own."""
    context.fleet = fleet
    context.asked = []
    context.add_cleanup(fleet.close)


def answers(context: Context) -> list[Answer]:
    """Return all answers once their callers have ended."""
    return [one.get(timeout=LIMIT_SECONDS) for one in context.asked]


@given('a fleet of {engines:d} engine with "{options}"')
@given('a fleet of {engines:d} engines with "{options}"')
def step_fleet_with(context: Context, engines: int, options: str) -> None:
    start_fleet(context, engines, *options.split())


@given('a fleet of {engines:d} engine')
@given('a fleet of {engines:d} engines')
def step_fleet(context: Context, engines: int) -> None:
    start_fleet(context, engines)


@when('{count:d} answer of {tokens:d} tokens is streamed')
@when('{count:d} answers of {tokens:d} tokens are streamed')
def step_ask(context: Context, count: int, tokens: int) -> None:
    """Ask, and wait until the first requests have begun."""
    fleet: Fleet = context.fleet
    before = len(context.asked)
    for number in range(before, before + count):
        entry = fleet.cluster.entry_hosts[number % 2]
        prompt = f'certificate {number} of this lot'
        context.asked.append(fleet.ask(prompt, tokens, entry))
    if not before:
        fleet.wait_begun(count)


@then('every answer is whole')
def step_whole(context: Context) -> None:
    broken = [one for one in answers(context) if not one.is_whole()]
    assert not broken, broken


@then('every endpoint serves again')
def step_all_serve(context: Context) -> None:
    context.fleet.cluster.wait_ready()


@then('"{host}" serves again')
def step_serves(context: Context, host: str) -> None:
    context.fleet.wait_ready(host)


@then('no engine had a conflict or a cut request')
def step_no_conflict(context: Context) -> None:
    orders = context.fleet.recorded('order')
    bad = [one for one in orders if one['conflict'] or one['cut']]
    assert orders and not bad, bad


@then('the process of "{host}" has the metric "{series}" at {count:d}')
def step_metric(context: Context, host: str, series: str, count: int) -> None:
    poll_until(
        lambda: context.fleet.gauge(host, series) == count,
        LIMIT_SECONDS,
        f'{series} of {host}',
    )
