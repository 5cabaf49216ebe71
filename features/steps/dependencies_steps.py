"""Steps on the third-party packages of a source tree."""

import os
from pathlib import Path
from subprocess import run
from sys import executable
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from msgspec.json import decode

from trestle_core import dependencies

PACKAGE = 'package.py'
LEFTOVER = 'of-another-kind.so'


def install(folder: Path, _requirements: Path) -> None:
    """Make one package."""
    (folder / PACKAGE).touch()


@given('a folder of packages with {found}')
def step_folder(context: Context, found: str) -> None:
    """Prepare the folder as an earlier build left it."""
    context.packages = context.folder / 'target' / 'deps'
    context.requirements = context.folder / 'runtime.txt'
    context.requirements.write_text('package==1\n')
    prepare_before = {
        'packages of this Python': prepare,
        'packages of another Python': prepare_elsewhere,
        'packages for other requirements': prepare_other,
        'packages without a stamp': prepare_unstamped,
        'half of an installation': prepare_half,
    }
    if found in prepare_before:
        prepare_before[found](context)


def prepare(context: Context) -> None:
    """Make the packages as a build does."""
    dependencies.prepare(context.packages, context.requirements, install)


def prepare_elsewhere(context: Context) -> None:
    """Make them by another Python."""
    with patch.object(dependencies, 'python_kind', lambda: 'cpython-399-vax'):
        prepare(context)
    (context.packages / LEFTOVER).touch()


def prepare_other(context: Context) -> None:
    """Make them, and want others afterwards."""
    prepare(context)
    context.requirements.write_text('package==2\n')


def prepare_unstamped(context: Context) -> None:
    """Leave what an older build command made."""
    context.packages.mkdir(parents=True)
    (context.packages / LEFTOVER).touch()


def prepare_half(context: Context) -> None:
    """Fail in the middle of an installation."""

    def fail(folder: Path, _requirements: Path) -> None:
        (folder / LEFTOVER).touch()
        raise OSError

    try:
        dependencies.prepare(context.packages, context.requirements, fail)
    except OSError:
        return
    raise AssertionError('a failed installation went unnoticed')


@when('the packages are prepared')
def step_prepare(context: Context) -> None:
    """Build, and count."""
    context.made = []

    def count(folder: Path, requirements: Path) -> None:
        context.made.append(requirements)
        install(folder, requirements)

    dependencies.prepare(context.packages, context.requirements, count)
    # A second build finds what the first one made.
    dependencies.prepare(context.packages, context.requirements, count)


@then('they were made {times:d} times, and nothing else is in the folder')
def step_made(context: Context, times: int) -> None:
    """Check the folder as well."""
    assert len(context.made) == times, context.made
    found = {path.name for path in context.packages.iterdir()}
    assert PACKAGE in found and LEFTOVER not in found, found


@given('packages that this Python cannot import')
def step_unusable(context: Context) -> None:
    """Put a package in the way that fails like one of another Python."""
    package = context.folder / 'gevent'
    package.mkdir()
    (package / '__init__.py').write_text('import gevent._gevent_c_hub_local\n')


@when('a program starts')
def step_start(context: Context) -> None:
    """Run it to its end."""
    environment = {**os.environ, 'PYTHONPATH': str(context.folder)}
    context.ended = run(
        [executable, 'platform/launch.py', 'entry'],
        env=environment,
        capture_output=True,
        check=False,
        timeout=60,
    )


@then('it ends with {status:d} and one line that names the build')
def step_line(context: Context, status: int) -> None:
    """Check the log line, and that there is nothing else."""
    ended = context.ended
    assert ended.returncode == status, ended
    assert not ended.stderr, ended
    (line,) = ended.stdout.splitlines()
    text = decode(line)['text']
    assert '_gevent_c_hub_local' in text and 'build command' in text, text
