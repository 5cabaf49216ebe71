"""Steps on random kills while bookings are sent."""

from behave import then, when
from behave.runner import Context

from testbed.soak_claims import SoakGoal, run_soak


@when(
    '{keys:d} keys are booked under at least {kills:d} kills from seed {seed:d}'
)
def step_soak(context: Context, keys: int, kills: int, seed: int) -> None:
    folder = context.folder / 'soak'
    folder.mkdir()
    goal = SoakGoal(keys=keys, kills=kills)
    context.report = run_soak(folder, seed, goal)
    print(context.report)


@then('no answer is wrong by the execution files')
def step_right(context: Context) -> None:
    assert not context.report.violations, context.report


@then('at least {ran:d} keys ran and at least {refused:d} sends were refused')
def step_enough(context: Context, ran: int, refused: int) -> None:
    report = context.report
    assert report.executions >= ran, report
    assert report.sends['not-run'] >= refused, report
