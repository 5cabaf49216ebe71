"""Greenlets of a replica; an unhandled exception stops the replica."""

from collections.abc import Callable
from typing import Any

from gevent import Greenlet, spawn

from trestle_control.replica_state import ReplicaState
from trestle_core.errorcodes import INTERNAL
from trestle_core.errors import TrestleError


def spawn_task(
    state: ReplicaState, work: Callable[..., None], *arguments: Any
) -> 'Greenlet[..., Any]':
    """Run a task of the replica in a greenlet; its exception is fatal.

    Otherwise a failed task would go unnoticed: a leader would no longer check
    its quorum, or a peer would receive no entries.
    """

    def fail(task: 'Greenlet[..., Any]') -> None:
        state.fail(TrestleError(INTERNAL, repr(task.exception)))

    task = spawn(work, state, *arguments)
    task.link_exception(fail)
    return task
