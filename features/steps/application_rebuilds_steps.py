"""Steps on applications that follow each other in one process."""

import gc
from os import environ, getpid, kill
from signal import SIGHUP, Signals
from subprocess import Popen
from sys import executable
from types import SimpleNamespace
from unittest.mock import patch
from weakref import ref

from behave import given, then, when
from behave.runner import Context
from gevent import Timeout, sleep, spawn
from gevent.event import Event
from msgspec.json import encode

from testbed.processes import poll_until
from trestle_control.control_errors import StorageFailedError
from trestle_core.lifecycle import Application
from trestle_platform import main
from trestle_platform.file_watch import CHECK_INTERVAL_SECONDS

LIMIT_SECONDS = 20.0
DRAIN_SECONDS = 1.0
RETRY_TEXT = 'The role cannot start yet'
PROGRAMS = {
    'a program of the platform': ['platform/launch.py', 'entry'],
    'a program of the product': [
        '-c',
        'from kingcuptrestle.daemon_cli import main; main()',
    ],
}
# In the place of a package: tells that it is imported, takes its time and ends
# the process in a way of its own.
SLOW_PACKAGE = """
from pathlib import Path
from time import sleep
Path(__file__).with_name('imported').touch()
sleep(0.5)
raise SystemExit(7)
"""
SLOW_END = 7


@given('a control process whose data folder cannot be made')
def step_process(context: Context) -> None:
    """Start a process with a file in the place of its folder."""
    (context.folder / 'file').touch()
    node_file = context.folder / 'core-1.json'
    node_file.write_bytes(
        encode(
            {
                'node': 'core-1',
                'ip': '127.0.0.1',
                'zone': 'z1',
                'listen': {'control': '127.0.0.1:0'},
                'portRange': [7380, 7395],
                'seeds': ['127.0.0.1:7380'],
                'bootstrap': True,
                'dataDir': str(context.folder / 'file' / 'data'),
            }
        )
    )
    context.process = context.processes.start(
        'core-1',
        [executable, 'platform/launch.py', 'control'],
        environment={'KINGCUPTRESTLE_NODE_FILE': str(node_file)},
    )


def tries(context: Context) -> int:
    """Return how often the process has tried to start its role."""
    text: str = context.process.log_file.read_text(encoding='utf-8')
    return text.count(RETRY_TEXT)


@when('it has tried twice and gets {name}')
def step_signal(context: Context, name: str) -> None:
    """Send a signal between two tries."""
    poll_until(lambda: tries(context) >= 2, LIMIT_SECONDS, 'two tries')
    context.tries = tries(context)
    context.process.popen.send_signal(Signals[name])


@then('it has ended with {status:d} within {seconds:g} s')
def step_ended(context: Context, status: int, seconds: float) -> None:
    """Wait for its end."""
    assert context.process.wait(seconds) == status


@then('it still tries')
def step_still_tries(context: Context) -> None:
    """Wait for two more tries."""
    wanted = context.tries + 2
    poll_until(lambda: tries(context) >= wanted, LIMIT_SECONDS, 'more tries')
    assert context.process.running()


def failing_application(name: str) -> Application:
    """Return an application that fails as soon as it runs."""
    app = Application(name, DRAIN_SECONDS)
    app.add(start=lambda: app.fail(StorageFailedError('no space')))
    return app


@given('a program whose application fails at its start')
def step_program(context: Context) -> None:
    """Let the program build such an application each time."""
    context.built = 0
    context.asked = Event()

    def build(_node: object, _path: str) -> Application:
        context.built += 1
        app = failing_application(f'number {context.built}')
        if context.built == 1:
            app.add(stop=context.asked.set)
        return app

    role = SimpleNamespace(build=build)
    for changed in (
        patch.object(main, 'import_module', lambda _name: role),
        patch.object(main, 'read_node_file', lambda _path: None),
        patch.object(main, 'FileWatch', lambda *_: SimpleNamespace(run=list)),
    ):
        changed.start()
        context.add_cleanup(changed.stop)


@when('it is asked to stop after the first application has ended')
def step_asked(context: Context) -> None:
    """Run it, and let the event of the signal be set in between."""
    context.program = spawn(main.run_role, 'path', 'control', context.asked)
    with Timeout(LIMIT_SECONDS):
        context.program.join()


@then('it has ended after {count:d} application')
def step_count(context: Context, count: int) -> None:
    """Check how many were built."""
    assert context.program.successful(), context.program.exception
    assert context.built == count, context.built


@given('an application that has run and failed')
def step_first(context: Context) -> None:
    """Run it to its end; it would note a reload."""
    context.reloads = []
    app = failing_application('first')
    app.reload_hooks.append(lambda: context.reloads.append('first'))
    app.run()
    context.first = ref(app)


@when('another one runs in the same process and a hang-up comes')
def step_second(context: Context) -> None:
    """Run the second one and send the signal to this process."""
    app = Application('second', DRAIN_SECONDS)
    app.reload_hooks.append(lambda: context.reloads.append('second'))
    task = spawn(app.run)
    sleep(0.05)
    kill(getpid(), SIGHUP)
    sleep(0.05)
    app.stop_asked.set()
    task.join(LIMIT_SECONDS)


@then('only the second one has reloaded')
def step_reloaded(context: Context) -> None:
    """Check who heard the signal."""
    assert context.reloads == ['second'], context.reloads


@then('nothing keeps the first one')
def step_not_kept(context: Context) -> None:
    """Check that it can be collected."""
    gc.collect()
    assert context.first() is None


@given('an application with three parts of which the second fails to stop')
def step_parts(context: Context) -> None:
    """Note which parts are stopped."""
    context.stopped = []
    context.app = failing_application('parts')

    def stop_second() -> None:
        context.stopped.append(2)
        raise OSError('cannot be closed')

    context.app.add(stop=lambda: context.stopped.append(1))
    context.app.add(stop=stop_second)
    context.app.add(stop=lambda: context.stopped.append(3))


@when('it runs and fails')
def step_run(context: Context) -> None:
    """Run it to its end."""
    context.app.run()


@then('all three parts were asked to stop')
def step_all_stopped(context: Context) -> None:
    """Check the order."""
    assert context.stopped == [3, 2, 1], context.stopped


@given('{program} whose packages take long to import')
def step_slow_imports(context: Context, program: str) -> None:
    """Start it with a package that stands in for the first one."""
    context.package = context.folder / 'gevent'
    context.package.mkdir()
    (context.package / '__init__.py').write_text(SLOW_PACKAGE)
    context.program = Popen(
        [executable, *PROGRAMS[program]],
        env={**environ, 'PYTHONPATH': str(context.folder)},
    )


@when('a hang-up comes while it imports them')
def step_early_hang_up(context: Context) -> None:
    """Wait for the import, and signal."""
    marker = context.package / 'imported'
    poll_until(marker.exists, LIMIT_SECONDS, 'the import')
    context.program.send_signal(SIGHUP)


@then('it goes on to its end')
def step_own_end(context: Context) -> None:
    """Check that the signal was not its end."""
    status = context.program.wait(timeout=LIMIT_SECONDS)
    assert status == SLOW_END, status


@given('a settings file that changes while its role is built')
def step_changing(context: Context) -> None:
    """Let the build of the role be followed by a change."""
    context.node_file = context.folder / 'node.json'
    context.node_file.write_text('before')
    context.reloads = []

    def build(_node: object, path: str) -> Application:
        app = Application('changing', DRAIN_SECONDS)
        app.reload_hooks.append(lambda: context.reloads.append(path))
        context.node_file.write_text('after')
        return app

    role = SimpleNamespace(build=build)
    for changed in (
        patch.object(main, 'import_module', lambda _name: role),
        patch.object(main, 'read_node_file', lambda _path: None),
    ):
        changed.start()
        context.add_cleanup(changed.stop)


@when('the role runs')
def step_role_runs(context: Context) -> None:
    """Run it until its watch has seen the change, and once more."""
    asked = Event()
    program = spawn(main.run_role, str(context.node_file), 'entry', asked)
    poll_until(lambda: context.reloads, LIMIT_SECONDS, 'a reload')
    sleep(CHECK_INTERVAL_SECONDS)
    asked.set()
    program.join(LIMIT_SECONDS)
    assert program.successful(), program.exception


@then('it has reloaded its settings')
def step_settings_reloaded(context: Context) -> None:
    """Check that it did so once."""
    assert len(context.reloads) == 1, context.reloads
