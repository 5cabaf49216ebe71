"""Steps on random kills while bookings are sent."""

from behave import then, when
from behave.runner import Context

from testbed.soak_claims import run_soak

HUNDREDS = 200


@when(
    'bookings are sent for {seconds:d} seconds under kills from seed {seed:d}'
)
def step_soak(context: Context, seconds: int, seed: int) -> None:
    folder = context.folder / 'soak'
    folder.mkdir()
    context.report = run_soak(folder, seed, seconds)
    print(context.report)


@then('no answer is wrong by the execution files')
def step_right(context: Context) -> None:
    assert not context.report.violations, context.report


@then('hundreds of keys ran and hundreds of sends were refused')
def step_enough(context: Context) -> None:
    report = context.report
    assert report.executions > HUNDREDS, report
    assert report.sends['not-run'] > HUNDREDS, report
    assert report.kills.total() > 2, report
