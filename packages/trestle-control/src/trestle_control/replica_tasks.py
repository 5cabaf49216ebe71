"""Greenlets of a replica: one that breaks stops the member."""

from collections.abc import Callable
from typing import Any

from gevent import Greenlet, spawn

from trestle_control.replica_state import ReplicaState
from trestle_core.errorcodes import INTERNAL
from trestle_core.errors import TrestleError


def spawn_part(
    state: ReplicaState, work: Callable[..., None], *arguments: Any
) -> 'Greenlet[..., Any]':
    """Run a part of the replica in a greenlet.

    A part that raises would be missed without a sign: a leader that no
    longer checks its quorum, or a peer that gets no entries.
    """

    def fail(task: 'Greenlet[..., Any]') -> None:
        state.fail(TrestleError(INTERNAL, repr(task.exception)))

    task = spawn(work, state, *arguments)
    task.link_exception(fail)
    return task
