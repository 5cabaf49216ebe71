"""Steps on the channels of callers."""

from subprocess import run
from sys import executable

from behave import then
from behave.runner import Context

from testbed.processes import ROOT


@then('a process that closes channels of callers while it is behind goes on')
def step_closed_channels(_context: Context) -> None:
    """Run the program to its end."""
    ended = run(
        [executable, '-m', 'testbed.closed_channels'],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode == 0, (ended.returncode, ended.stderr[-500:])
    assert not ended.stderr, ended.stderr[-500:]
