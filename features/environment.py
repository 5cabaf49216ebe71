"""A temporary folder and processes of its own for each scenario."""

from gevent import monkey

monkey.patch_all()

from pathlib import Path
from shutil import rmtree
from signal import SIGTERM, signal
from tempfile import mkdtemp

from behave.model import Scenario
from behave.runner import Context

from testbed.processes import Processes


def interrupt(number: int, frame: object) -> None:
    """Turn SIGTERM into the exception that ends behave with clean-up."""
    raise KeyboardInterrupt


def before_all(context: Context) -> None:
    """Clean up on SIGTERM too, as the runner sends on a timeout."""
    signal(SIGTERM, interrupt)


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Make the scenario's folder and harness."""
    context.folder = Path(mkdtemp(prefix='trestle-'))
    context.processes = Processes(context.folder)


def after_scenario(context: Context, scenario: Scenario) -> None:
    """End the scenario's processes; print their logs if it failed."""
    context.processes.end()
    if scenario.status.has_failed():
        for process in context.processes.started.values():
            print(f'--- {process.name}\n{process.log_tail()}')
    rmtree(context.folder, ignore_errors=True)
