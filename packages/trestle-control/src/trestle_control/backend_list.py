"""Tracks the platform's list of back ends, on the leader.

A single process reads the list, because calls are limited for the whole
fleet. A change goes through the log, so every entry receives the changes in
order and keeps the list while the platform or the leader is unavailable. A
failed read changes nothing; the entries then detect on their own which back
ends respond.
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

# A back end that leaves must be noticed well within the platform's drain
# limit of three seconds, of which the lag of the list takes nearly one.
READ_INTERVAL_SECONDS: Final = 0.8
_SUBMIT_TIMEOUT_SECONDS: Final = 2.0

_log = part_logger('list')


class BackendListReader:
    """Reads the list while this host leads."""

    def __init__(
        self,
        read: ReadBackends,
        state_machine: ControlStateMachine,
        replica: ReplicaApi,
        metrics: Metrics,
    ) -> None:
        """Create the reader; `read` raises `OSError` or `ValueError`."""
        self.read = read
        self.state_machine = state_machine
        self.replica = replica
        self.metrics = metrics
        self.failed_reads = 0

    def run(self) -> None:
        """Refresh the list periodically while this host leads."""
        while True:
            if self.replica.is_leader:
                self.refresh()
            sleep(READ_INTERVAL_SECONDS)

    def refresh(self) -> None:
        """Read the list once and commit what changed."""
        try:
            listed = self.read()
        except (OSError, ValueError) as error:
            self._record_failure(error)
            return
        if self.failed_reads:
            _log.info(
                'Reading the list of back ends works again after {} failed reads.',
                self.failed_reads,
            )
            self.failed_reads = 0
        self.metrics.count('backend_list_reads')
        if listed == self.state_machine.state.backends:
            return
        _log_changes(self.state_machine.state.backends, listed)
        try:
            self.replica.submit(ListBackends(listed), _SUBMIT_TIMEOUT_SECONDS)
        except TrestleError as error:
            # The next read submits the difference again.
            _log.warning('Cannot commit the list of back ends: {}.', error)

    def _record_failure(self, error: Exception) -> None:
        self.failed_reads += 1
        self.metrics.count('backend_list_failures')
        if self.failed_reads == 1:
            _log.warning('Cannot read the list of back ends: {}.', error)


def _log_changes(before: list[Backend], after: list[Backend]) -> None:
    known = {backend.instance: backend for backend in before}
    listed = {backend.instance for backend in after}
    for backend in after:
        if known.get(backend.instance) != backend:
            _log.info(
                'Listed {} at {}: software {}, role {}, leaving {}.',
                backend.instance,
                backend.address,
                backend.software or 'unknown',
                backend.role or 'none',
                backend.leaving,
            )
    for instance in known.keys() - listed:
        _log.info('{} is no longer listed.', instance)
