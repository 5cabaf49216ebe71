"""Commands on the route document and the list of back ends.

A document is put in force by the highest version: one that is not higher is
acknowledged and changes nothing, so a resend after a lost answer, or an
operator that lost a race, never moves the fleet back.
"""

from trestle_control.audit import Story
from trestle_control.endpoint_commands import ACCEPTED
from trestle_control.state import ControlState
from trestle_links.direct_messages import (
    DocumentReply,
    ListBackends,
    PublishDocument,
)
from trestle_links.fleet_messages import CommandReply


def publish_document(
    state: ControlState, command: PublishDocument, story: Story
) -> DocumentReply:
    """Take a document of a higher version; acknowledge any other."""
    if command.version > state.document_version:
        state.document_version = command.version
        state.document = command.content
        story.record(
            [f'document-{command.version}'],
            'published',
            'highest version',
            f'{len(command.content)} bytes',
        )
    return DocumentReply(state.document_version)


def list_backends(
    state: ControlState, command: ListBackends, _story: Story
) -> CommandReply:
    """Replace the list of back ends."""
    state.backends = command.backends
    return ACCEPTED
