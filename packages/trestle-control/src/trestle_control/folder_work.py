"""Operations on one data folder, each in a thread of its own.

The end of a greenlet ends no thread: an operation that hangs on a stalled disk
goes on, and would write under a replica that has opened the folder since, with
a descriptor that may stand for another file by then. So descriptors are closed
and the folder is given up only when nothing is under way, and nothing begins
after that.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar, cast

from gevent import get_hub, spawn, wait

from trestle_control.control_errors import StorageFailedError

Returned = TypeVar('Returned')


class _Failure(NamedTuple):
    """The error that an operation raised."""

    error: OSError


class FolderWork:
    """What is under way on a folder."""

    def __init__(self) -> None:
        """Start idle and open."""
        self.running: set[Any] = set()
        self.is_closed = False

    def run(self, work: Callable[[], Returned]) -> Returned:
        """Run an operation without blocking other greenlets.

        Raises `StorageFailedError`, also when the folder is closed.
        """
        if self.is_closed:
            raise StorageFailedError('the data folder is closed')
        result = get_hub().threadpool.spawn(_outcome_of, work)
        self.running.add(result)
        result.rawlink(self.running.discard)
        outcome = cast(Returned | _Failure, result.get())
        if isinstance(outcome, _Failure):
            raise StorageFailedError(str(outcome.error)) from outcome.error
        return outcome

    def when_idle(self, then: Callable[[], None]) -> None:
        """Call a function now, or as soon as nothing is under way."""
        if self.running:
            spawn(self._wait_and_call, then)
        else:
            then()

    def close(self, then: Callable[[], None]) -> None:
        """Let nothing begin any more, and call a function when idle."""
        self.is_closed = True
        self.when_idle(then)

    def _wait_and_call(self, then: Callable[[], None]) -> None:
        while self.running:
            wait(list(self.running))
        then()


def _outcome_of(work: Callable[[], Returned]) -> Returned | _Failure:
    # The thread pool would print a traceback of an exception.
    try:
        return work()
    except OSError as error:
        return _Failure(error)
