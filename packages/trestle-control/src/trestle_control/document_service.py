"""Publishing and reading the route document on a control host.

A read completes a read barrier that starts after the request arrived. Its
result is therefore never older than what was acknowledged before, even if
this process or its host was paused in between.
"""

from typing import Final, NamedTuple

from trestle_control.apply import ControlStateMachine
from trestle_control.replica_api import ReplicaApi
from trestle_core.errorcodes import CONTROL_UNREACHABLE, NO_QUORUM
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_links.direct_messages import DocumentReply, PublishDocument
from trestle_links.packed_document import pack_document, unpack_document

# Both are shorter than the second after which an operator's client gives up
# on this host.
_PUBLISH_TIMEOUT_SECONDS: Final = 0.9
_READ_TIMEOUT_SECONDS: Final = 0.9

_log = part_logger('document')


class RouteDocument(NamedTuple):
    """A version and its content, as published."""

    version: int
    content: bytes


class DocumentService:
    """Publishes and reads the route document for operators."""

    def __init__(
        self, state_machine: ControlStateMachine, replica: ReplicaApi
    ) -> None:
        """Publish through `replica` and read from `state_machine`."""
        self.state_machine = state_machine
        self.replica = replica

    def publish(self, document: RouteDocument) -> int:
        """Commit a validated document; return the version in force.

        Raises `TrestleError`; its verdict says whether it may be in force.
        """
        if not self.replica.has_wanted_voters:
            # The tolerated losses could take every copy of the document, or
            # leave too few voters for a quorum.
            raise TrestleError(NO_QUORUM, 'too few voters have joined')
        reply = self.replica.submit(
            PublishDocument(document.version, pack_document(document.content)),
            _PUBLISH_TIMEOUT_SECONDS,
        )
        if not isinstance(reply, DocumentReply):
            raise TrestleError(CONTROL_UNREACHABLE, 'unexpected reply')
        _log.info(
            'Version {} acknowledged; version {} is in force.',
            document.version,
            reply.version,
        )
        return reply.version

    def read(self) -> RouteDocument | None:
        """Return the newest document; None before the first.

        Raises `TrestleError` if the read barrier cannot be completed.
        """
        self.replica.read_barrier(_READ_TIMEOUT_SECONDS)
        state = self.state_machine.state
        if not state.document_version:
            return None
        return RouteDocument(
            state.document_version, unpack_document(state.document)
        )
