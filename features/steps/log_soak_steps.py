"""Steps on randomised runs of a log group and on their checker."""

from behave import given, then, when
from behave.runner import Context

from testbed.log_history import Operation, find_violations
from testbed.soak_log import run_soak
from trestle_core.verdict import Verdict

FEWEST_COMMANDS = 300
RAN = Verdict.RAN


@when('clients and faults of seed {seed:d} run for {seconds:d} seconds')
def step_run(context: Context, seed: int, seconds: int) -> None:
    context.soak = run_soak(
        context.processes, seed, seconds, print, FEWEST_COMMANDS + 1
    )


@then('faults came and commands were acknowledged')
def step_counts(context: Context) -> None:
    operations = context.soak.operations
    print(context.soak.operations, context.soak.faults)
    assert context.soak.faults.total() > 1, context.soak.faults
    acknowledged = operations['raise ran'] + operations['append ran']
    assert acknowledged > FEWEST_COMMANDS, operations


@then('a correct log allows all that the clients saw')
def step_allowed(context: Context) -> None:
    assert not context.soak.violations, context.soak.violations[:5]


@given('a history that a correct log allows')
def step_history(context: Context) -> None:
    context.history = [
        Operation('raise', 'register', '1', RAN, 1, 2, 1),
        Operation('raise', 'register', '2', Verdict.MAY_HAVE_RUN, 3, 9),
        Operation('raise', 'register', '3', Verdict.NOT_RUN, 3, 4),
        Operation('read', 'register', '2', RAN, 4, 5),
        Operation('append', 'list', '4', RAN, 1, 2, 2),
        Operation('append', 'list', '5', RAN, 3, 4, 3),
        Operation('read', 'list', '4 5 ', RAN, 5, 6),
    ]
    assert not find_violations(context.history)


def check_found(context: Context, operation: Operation, text: str) -> None:
    """Check that one more operation is a violation."""
    found = find_violations([*context.history, operation])
    assert any(text in violation for violation in found), found


@then('a lost write, a stale read and an invented value are found')
def step_reads(context: Context) -> None:
    lost = Operation('read', 'register', '', RAN, 2.5, 3)
    check_found(context, lost, 'stale read or lost write')
    stale = Operation('read', 'register', '1', RAN, 6, 7)
    check_found(context, stale, 'stale read or lost write')
    invented = Operation('read', 'register', '9', RAN, 6, 7)
    check_found(context, invented, 'invented or refused value')


@then('a refused value, a lost item and a forked list are found')
def step_lists(context: Context) -> None:
    refused = Operation('read', 'register', '3', RAN, 6, 7)
    check_found(context, refused, 'invented or refused value')
    lost = Operation('append', 'list', '6', RAN, 4, 4.5, 4)
    check_found(context, lost, 'lost item')
    forked = Operation('read', 'list', '5 ', RAN, 3, 9)
    check_found(context, forked, 'not a prefix')


@then('an index that goes back is found')
def step_indexes(context: Context) -> None:
    back = Operation('raise', 'register', '8', RAN, 6, 7, 2)
    check_found(context, back, 'index not above')
