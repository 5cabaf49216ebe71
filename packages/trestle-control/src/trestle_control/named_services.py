"""The services that the route document in force names.

The list of back ends may have entries of others. Those of a service that
nobody routes to get no orders and no calls.
"""

from collections.abc import Callable

from trestle_control.apply import ControlStateMachine
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.route_table import RouteTable
from trestle_links.packed_document import unpack_document

_log = part_logger('document')


def every_service(_service: str) -> bool:
    """Return that a service is named, where no document is at hand."""
    return True


class NamedServices:
    """The names, read once for each version."""

    def __init__(
        self,
        state_machine: ControlStateMachine,
        read_table: Callable[[bytes], RouteTable],
    ) -> None:
        """Name nothing before the first document."""
        self.state_machine = state_machine
        self.read_table = read_table
        self.version = 0
        self.names: frozenset[str] = frozenset()

    def has(self, service: str) -> bool:
        """Return whether the document in force names a service."""
        version = self.state_machine.state.document_version
        if version != self.version:
            self.version = version
            self._read()
        return service in self.names

    def _read(self) -> None:
        document = self.state_machine.state.document
        try:
            table = self.read_table(unpack_document(document))
        except TrestleError as error:
            # The names before stay; entries keep their table, too.
            _log.error('The route document cannot be used: {}.', error)
            return
        self.names = frozenset(table.services)
