"""Steps on settings files that cannot be used."""

from pathlib import Path
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from gevent import spawn_later
from gevent.event import Event
from msgspec.json import encode

from trestle_platform import main
from trestle_platform.file_watch import FileWatch
from trestle_platform.node_file import direct_settings, read_node_file

SOUND: dict[str, Any] = {
    'node': 'front-1',
    'ip': '127.0.0.1',
    'zone': 'z1',
    'listen': {'front': '127.0.0.1:7000', 'ready': '127.0.0.1:7001'},
    'portRange': [7002, 7010],
    'seeds': ['127.0.0.2:7009'],
    'bounds': {'graceS': 8},
}
CHANGED = encode({**SOUND, 'seeds': ['127.0.0.3:7009']})
ODD = {
    'nothing': b'',
    'half of it': CHANGED[:100],
    'nested arrays': b'{"x":' + b'[' * 100_000 + b']' * 100_000 + b'}',
    'no ports': encode({**SOUND, 'portRange': []}),
    'a port of 70000': encode({**SOUND, 'portRange': [70_000]}),
    'a seed without port': encode({**SOUND, 'seeds': ['127.0.0.3']}),
    'a grace of 300 digits': CHANGED.replace(b'":8}', b'":%b}' % (b'9' * 300)),
    'a name with a slash': encode({**SOUND, 'node': '../x'}),
    'bytes that are no UTF-8': CHANGED.replace(b'front-1', b'\xff'),
}


@given('a process that watches its settings file')
def step_watch(context: Context) -> None:
    """Watch a file without a process around it."""
    context.path = context.folder / 'node.json'
    context.path.write_bytes(encode(SOUND))
    context.taken = []

    def take() -> None:
        node = read_node_file(str(context.path))
        context.taken.append(direct_settings(node))

    context.watch = FileWatch(
        str(context.path), context.path.read_bytes(), take
    )


@when('the file changes to {odd}')
def step_change(context: Context, odd: str) -> None:
    """Write the file and look at it, twice."""
    context.path.write_bytes(CHANGED if odd == 'a sound one' else ODD[odd])
    context.watch.check()
    context.watch.check()


@then('the settings stay as they were')
def step_kept(context: Context) -> None:
    """Check that nothing was taken over."""
    assert not context.taken, context.taken


@then('the sound one is taken over')
def step_taken(context: Context) -> None:
    """Check what was taken over, once."""
    (taken,) = context.taken
    assert taken.control == ['127.0.0.3:7002'], taken


@given('an odd settings file')
def step_odd_file(context: Context) -> None:
    """Write half of a file."""
    context.path = context.folder / 'node.json'
    context.path.write_bytes(ODD['half of it'])


@when('a process starts and the file is mended later')
def step_start(context: Context) -> None:
    """Let the program read its settings, and mend the file meanwhile."""
    path: Path = context.path
    spawn_later(0.1, path.write_bytes, CHANGED)
    with patch.object(main, '_RETRY_SECONDS', 0.05):
        context.node = main._wait_for_node_file(  # noqa: SLF001
            str(path), Event()
        )


@then('the process goes on with the mended file')
def step_mended(context: Context) -> None:
    """Check what was read."""
    assert context.node.seeds == ['127.0.0.3:7009'], context.node
