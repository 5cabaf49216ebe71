"""Follows the platform's list of back ends on the leader.

The list is read by one process, because calls are limited for the whole
fleet, and a change goes through the log, so every entry gets it in order and
keeps it while the list or the leader is away. A read that fails changes
nothing: the entries then find out themselves which back ends answer.
"""

from collections.abc import Callable
from typing import Final

from gevent import sleep

from trestle_control.apply import ControlStateMachine
from trestle_control.replica_api import ReplicaApi
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_links.direct_messages import Backend, ListBackends

ReadBackends = Callable[[], list[Backend]]

# A back end that leaves must be known well within the platform's drain
# bound of three seconds, of which the list's own lag takes nearly one.
READ_SECONDS: Final = 0.8
_SUBMIT_SECONDS: Final = 2.0

_log = part_logger('list')


class BackendList:
    """Reads the list while this host leads."""

    def __init__(
        self,
        read: ReadBackends,
        state_machine: ControlStateMachine,
        replica: ReplicaApi,
        metrics: Metrics,
    ) -> None:
        """Prepare; `read` raises `OSError` or `ValueError`."""
        self.read = read
        self.state_machine = state_machine
        self.replica = replica
        self.metrics = metrics
        self.failed_reads = 0

    def run(self) -> None:
        """Follow the list for ever."""
        while True:
            if self.replica.is_leader:
                self.follow()
            sleep(READ_SECONDS)

    def follow(self) -> None:
        """Read the list once and commit what changed."""
        try:
            listed = self.read()
        except (OSError, ValueError) as error:
            self._note_failure(error)
            return
        if self.failed_reads:
            _log.info('List answers again; {} reads failed.', self.failed_reads)
            self.failed_reads = 0
        self.metrics.count('backend_list_reads')
        if listed == self.state_machine.state.backends:
            return
        _log_changes(self.state_machine.state.backends, listed)
        try:
            self.replica.submit(ListBackends(listed), _SUBMIT_SECONDS)
        except TrestleError as error:
            # The next read finds the same difference.
            _log.warning('List not committed: {}.', error)

    def _note_failure(self, error: Exception) -> None:
        self.failed_reads += 1
        self.metrics.count('backend_list_failures')
        if self.failed_reads == 1:
            _log.warning('List cannot be read: {}.', error)


def _log_changes(before: list[Backend], after: list[Backend]) -> None:
    known = {backend.instance: backend for backend in before}
    listed = {backend.instance for backend in after}
    for backend in after:
        if known.get(backend.instance) != backend:
            _log.info(
                '{} at {}: role {}, leaving {}.',
                backend.instance,
                backend.address,
                backend.role or 'none',
                backend.leaving,
            )
    for instance in known.keys() - listed:
        _log.info('{} is no longer listed.', instance)
