"""Steps on randomised runs of planned stops."""

from behave import then, when
from behave.runner import Context

from testbed.soak_stops import run_soak

FEWEST_SERVED = 100


@when(
    'entries are stopped as planned for {seconds:d} seconds, by seed {seed:d}'
)
def step_run(context: Context, seconds: int, seed: int) -> None:
    """Run the soak."""
    context.report = run_soak(context.processes, seed, seconds)


@then('entries were stopped, and callers were served')
def step_counts(context: Context) -> None:
    """Check that something happened."""
    report = context.report
    assert report.events['stop'], report.events
    assert report.outcomes['200 whole'] > FEWEST_SERVED, report.outcomes


@then('nothing was violated')
def step_violations(context: Context) -> None:
    """Check the judgement."""
    assert not context.report.violations, context.report.violations[:5]
