"""Deltas of the route document and the list of back ends."""

from typing import Any, NamedTuple

from trestle_control.state import ControlState
from trestle_links.codec import Message
from trestle_links.direct_messages import BackendsDelta, DocumentDelta


class AppliedCommand(NamedTuple):
    """An applied command and its log index."""

    log_index: int
    command: Any


def initial_direct_deltas(state: ControlState, log_index: int) -> list[Message]:
    """Return the complete document and list that a stream starts with."""
    deltas: list[Message] = []
    if state.document_version:
        deltas.append(_document_delta(state, log_index))
    if state.backends:
        deltas.append(BackendsDelta(state.backends, log_index))
    return deltas


def _document_delta(state: ControlState, log_index: int) -> DocumentDelta:
    return DocumentDelta(state.document_version, state.document, log_index)


def document_published(
    state: ControlState, applied: AppliedCommand
) -> list[Message]:
    """Return the document if the command put it in force."""
    if applied.command.version != state.document_version:
        return []
    return [_document_delta(state, applied.log_index)]


def backends_listed(
    state: ControlState, applied: AppliedCommand
) -> list[Message]:
    """Return the complete list after a change."""
    return [BackendsDelta(state.backends, applied.log_index)]
