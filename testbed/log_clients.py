"""Clients of a log group that note what each command became."""

from collections.abc import Callable
from itertools import count
from time import monotonic
from typing import Any, Final, NamedTuple

from gevent import Greenlet, sleep, spawn

from testbed.log_group import LIMIT_SECONDS, LogGroup
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict

_PAUSE_SECONDS: Final = 0.01


class Answer(NamedTuple):
    """What a read was answered, and when by this process's clock."""

    value: str
    age_seconds: float
    asked_at: float
    answered_at: float


class Writers:
    """Greenlets that set keys of their own until they are stopped."""

    def __init__(self, group: LogGroup) -> None:
        """Start with nothing sent."""
        self.group = group
        self.numbers = count()
        self.acknowledged: dict[str, str] = {}
        self.refused: list[str] = []
        self.unknown: list[str] = []
        self.running = True
        self.tasks: list['Greenlet[..., Any]'] = []

    def start(self, host: str, clients: int, seconds: float = 1.0) -> None:
        """Add clients that send to one member."""
        for _ in range(clients):
            self.tasks.append(spawn(self._run, host, seconds))

    def stop(self) -> None:
        """Stop all clients and wait for their last answers."""
        self.running = False
        for task in self.tasks:
            task.get(timeout=LIMIT_SECONDS)

    def send(self, host: str, seconds: float = 1.0) -> TrestleError | None:
        """Set a new key; return the error, if there is one."""
        key = f'lot-{next(self.numbers)}'
        try:
            self.group.put(host, key, f'value of {key}', seconds)
        except TrestleError as error:
            is_refused = error.verdict is Verdict.NOT_RUN
            (self.refused if is_refused else self.unknown).append(key)
            return error
        self.acknowledged[key] = f'value of {key}'
        return None

    def check(self, host: str) -> None:
        """Check what a member reads against what was answered."""
        read = self.group.read(host, 'none')
        assert read.value == '', read
        for key, expected in self.acknowledged.items():
            value = self.group.read(host, key, local=True).value
            assert value == expected, f'{host} lost {key}: {value!r}'
        for key in self.refused:
            value = self.group.read(host, key, local=True).value
            assert value == '', f'{host} ran the refused {key}'

    def _run(self, host: str, seconds: float) -> None:
        while self.running:
            if self.send(host, seconds):
                sleep(_PAUSE_SECONDS)


def try_read(
    group: LogGroup, host: str, key: str, *, local: bool, seconds: float
) -> Answer | None:
    """Read a key; None when the member refuses."""
    asked_at = monotonic()
    try:
        reply = group.read(host, key, local=local, seconds=seconds)
    except TrestleError:
        return None
    return Answer(reply.value, reply.age_ms / 1000, asked_at, monotonic())


def error_of(call: Callable[[], Any]) -> TrestleError | None:
    """Return the error that a call raises, if it raises one."""
    try:
        call()
    except TrestleError as error:
        return error
    return None
