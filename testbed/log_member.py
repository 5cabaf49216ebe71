"""A member of the replicated log with a dictionary as its state machine.

`python -m testbed.log_member SETTINGS` runs one member as a process of its
own; features and measurements use it to look at the log alone, without the
commands of the control state.
"""

from pathlib import Path
from sys import argv
from sys import exit as exit_process
from typing import Any, Final, Literal, NamedTuple

from msgpack import packb, unpackb

from trestle_control.replica import Replica
from trestle_control.replica_handover import hand_over
from trestle_core.addresses import write_address_file
from trestle_core.errors import TrestleError
from trestle_core.lifecycle import Application
from trestle_core.logs import configure_logs, part_logger
from trestle_core.metrics import Metrics
from trestle_core.settings import ControlSettings
from trestle_core.settings_load import load_settings
from trestle_links.codec import Message, message
from trestle_links.connection import Channel
from trestle_links.link import Identity
from trestle_links.link_server import LinkServer

_REFUSED_STATUS: Final = 3
_MS_PER_SECOND: Final = 1000

Rule = Literal['put', 'raise', 'append']
Before = Literal['nothing', 'read-round', 'hand-over']

_log = part_logger('member')


@message(200)
class PutValue(NamedTuple):
    """Change a key; `timeout_ms` bounds the wait for the commit.

    `rule` says what becomes of the earlier value: `put` replaces it, `raise`
    keeps the higher number, `append` adds an item and a space. `before` says
    what the member does first: a read round, or handing leadership over.
    """

    key: str
    value: str
    timeout_ms: int
    rule: Rule = 'put'
    before: Before = 'nothing'


@message(201)
class PutReply(NamedTuple):
    """The index of the command and the value that it replaced."""

    log_index: int
    replaced: str


@message(202)
class ReadValue(NamedTuple):
    """Read a key; linearizable unless `local`."""

    key: str
    local: bool
    timeout_ms: int


@message(203)
class ValueReply(NamedTuple):
    """The value, the applied index and the age of the state."""

    value: str
    applied_index: int
    age_ms: int


class Dictionary:
    """The state machine: keys and values."""

    def __init__(self) -> None:
        """Start empty."""
        self.contents: dict[str, str] = {}

    def apply(self, index: int, command: Message) -> Message:
        """Change a key."""
        assert isinstance(command, PutValue)
        replaced = self.contents.get(command.key, '')
        self.contents[command.key] = _changed(command, replaced)
        return PutReply(index, replaced if command.rule == 'put' else '')

    def snapshot(self) -> bytes:
        """Return all keys and values."""
        packed: bytes = packb(self.contents)
        return packed

    def restore(self, packed: bytes) -> None:
        """Replace all keys and values."""
        self.contents = unpackb(packed)


def _changed(command: PutValue, earlier: str) -> str:
    if command.rule == 'append':
        return f'{earlier}{command.value} '
    if command.rule == 'raise':
        return str(max(int(earlier or 0), int(command.value)))
    return command.value


def main() -> None:
    """Run a member until SIGTERM; a refused start exits with status 3."""
    settings = load_settings(argv[1])
    assert isinstance(settings, ControlSettings)
    configure_logs(settings.log_style, settings.log_level)
    try:
        run_member(settings)
    except TrestleError as error:
        _log.error('{}: {}', error.code.code, error.message)
        exit_process(_REFUSED_STATUS)


def run_member(settings: ControlSettings) -> None:
    """Run a member until it is stopped or its storage fails."""
    key = Path(settings.key_file).read_bytes()
    me = Identity(settings.host, key, Metrics.empty())
    machine = Dictionary()
    replica = Replica.from_config(settings, machine, me)
    handlers = {**replica.handlers(), **_handlers(replica, machine)}
    server = LinkServer(settings.listen, me, handlers)
    application = Application(settings.host, 1)
    failures: list[TrestleError] = []

    def end(error: TrestleError) -> None:
        failures.append(error)
        application.stop_asked.set()

    def listen() -> None:
        server.start()
        write_address_file(settings.address_file, server.address)

    replica.on_failed.append(end)
    application.add(start=listen, stop=server.stop)
    application.add(start=replica.start, stop=replica.stop)
    application.run()
    if failures:
        raise failures[0]


def _handlers(replica: Replica, machine: Dictionary) -> dict[type[Any], Any]:
    def put_value(command: PutValue, _: Channel) -> Message:
        timeout_seconds = command.timeout_ms / _MS_PER_SECOND
        if command.before == 'read-round':
            replica.read_barrier(timeout_seconds)
        elif command.before == 'hand-over' and replica.is_leader:
            hand_over(replica.state)
            replica.state.handing_over = False
        return replica.submit(command, timeout_seconds)

    def read_value(ask: ReadValue, _: Channel) -> Message:
        if not ask.local:
            replica.read_barrier(ask.timeout_ms / _MS_PER_SECOND)
        age_seconds = min(replica.freshness_age_seconds(), _MS_PER_SECOND)
        return ValueReply(
            machine.contents.get(ask.key, ''),
            replica.applied_index,
            int(age_seconds * _MS_PER_SECOND),
        )

    return {PutValue: put_value, ReadValue: read_value}


if __name__ == '__main__':
    main()
