"""The application object: start, drain and stop hooks of one process.

Hooks run in the order in which they were added at start, and in the reverse
order at stop. Drain hooks run at the same time: readiness goes off first and
started work finishes before the stop hooks run.
"""

from collections.abc import Callable
from signal import SIGHUP, SIGINT, SIGTERM
from typing import Final

from gevent import (
    Greenlet,
    Timeout,
    joinall,
    killall,
    signal_handler,
    sleep,
    spawn,
)
from gevent.event import Event

from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger

Hook = Callable[[], None]

# Pause before a task that failed begins again.
RESTART_SECONDS: Final = 0.5

_log = part_logger('process')


def keep_running(work: Hook, on_failure: Callable[[str], None]) -> None:
    """Run a task until it returns; it begins again after an exception.

    A task reads what others wrote, and one reading that fails in a way nobody
    thought of must not end it. `on_failure` gets its name.
    """
    name = getattr(work, '__qualname__', repr(work))
    while True:
        try:
            work()
        except (Exception, Timeout):
            _log.exception('Task {} failed and begins again.', name)
            on_failure(name)
        else:
            return
        sleep(RESTART_SECONDS)


def _ignore_name(_name: str) -> None:
    """Count no failures."""


class Application:
    """Owns the parts of one process and cleans them up."""

    def __init__(self, name: str, drain_seconds: float) -> None:
        """Prepare an application; `drain_seconds` bounds the drain."""
        self.name = name
        self.drain_seconds = drain_seconds
        self.start_hooks: list[Hook] = []
        self.drain_hooks: list[Hook] = []
        self.stop_hooks: list[Hook] = []
        self.reload_hooks: list[Hook] = []
        self.stop_asked = Event()
        # Why the application stops by itself, if it does.
        self.failure: TrestleError | None = None
        # Called with the name of a task that failed.
        self.on_task_failure: Callable[[str], None] = _ignore_name

    def add(
        self,
        *,
        start: Hook | None = None,
        drain: Hook | None = None,
        stop: Hook | None = None,
    ) -> None:
        """Add the hooks of one part."""
        if start:
            self.start_hooks.append(start)
        if drain:
            self.drain_hooks.append(drain)
        if stop:
            self.stop_hooks.append(stop)

    def add_task(self, work: Hook) -> None:
        """Run a function in a greenlet from the start until the stop.

        It begins again after an exception (`keep_running`).
        """
        tasks: list[Greenlet[..., None]] = []

        def start() -> None:
            tasks.append(spawn(keep_running, work, self.on_task_failure))

        def stop() -> None:
            killall(tasks)

        self.add(start=start, stop=stop)

    def run(self) -> None:
        """Start every part, wait for SIGTERM or SIGINT, drain and stop."""
        watched = [
            signal_handler(SIGTERM, self.stop_asked.set),
            signal_handler(SIGINT, self.stop_asked.set),
            signal_handler(SIGHUP, self.reload_on_signal),
        ]
        for hook in self.start_hooks:
            hook()
        _log.info('{} started.', self.name)
        self.stop_asked.wait()
        self._drain()
        self._stop()
        # A process that builds its application anew keeps nothing of this one.
        for watcher in watched:
            watcher.cancel()
        _log.info('{} stopped.', self.name)

    def fail(self, error: TrestleError) -> None:
        """Stop because a part can no longer do its work."""
        self.failure = error
        self.stop_asked.set()

    def reload(self) -> None:
        """Take over changed settings."""
        _log.info('{} reloads its settings.', self.name)
        for hook in self.reload_hooks:
            hook()

    def reload_on_signal(self) -> None:
        """Take over changed settings, or keep the old ones if that fails."""
        try:
            self.reload()
        except (Exception, Timeout):
            _log.exception('{} keeps its settings.', self.name)

    def _stop(self) -> None:
        """Stop every part; one that fails to keeps no other from it."""
        for hook in reversed(self.stop_hooks):
            try:
                hook()
            except (Exception, Timeout):
                _log.exception('A part of {} fails to stop.', self.name)

    def _drain(self) -> None:
        _log.info('{} drains.', self.name)
        tasks = [spawn(hook) for hook in self.drain_hooks]
        joinall(tasks, timeout=self.drain_seconds)
