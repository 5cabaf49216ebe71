"""Commands on the route document and the list of back ends.

The document with the highest version is in force. A document whose version
is not higher is acknowledged without effect, so neither a resend after a
lost answer nor a concurrent publication can restore an older version.
"""

from trestle_control.audit import AuditTrail
from trestle_control.endpoint_commands import ACCEPTED
from trestle_control.state import ControlState
from trestle_links.direct_messages import (
    DocumentReply,
    ListBackends,
    PublishDocument,
)
from trestle_links.fleet_messages import CommandReply


def publish_document(
    state: ControlState, command: PublishDocument, trail: AuditTrail
) -> DocumentReply:
    """Store a document of a higher version; acknowledge any other."""
    if command.version > state.document_version:
        state.document_version = command.version
        state.document = command.content
        trail.record(
            [f'document-{command.version}'],
            'published',
            'highest version',
            f'{len(command.content)} bytes',
        )
    return DocumentReply(state.document_version)


def list_backends(
    state: ControlState, command: ListBackends, _trail: AuditTrail
) -> CommandReply:
    """Replace the list of back ends."""
    state.backends = command.backends
    return ACCEPTED
