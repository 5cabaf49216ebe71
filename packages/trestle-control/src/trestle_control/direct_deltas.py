"""Deltas of the route document and the list of back ends."""

from typing import Any, NamedTuple

from trestle_control.state import ControlState
from trestle_links.codec import Message
from trestle_links.direct_messages import BackendsDelta, DocumentDelta


class Change(NamedTuple):
    """An applied command and where it stands in the log."""

    log_index: int
    command: Any


def direct_deltas(state: ControlState, log_index: int) -> list[Message]:
    """Return what a stream starts with."""
    deltas: list[Message] = []
    if state.document_version:
        deltas.append(_document_delta(state, log_index))
    if state.backends:
        deltas.append(BackendsDelta(state.backends, log_index))
    return deltas


def _document_delta(state: ControlState, log_index: int) -> DocumentDelta:
    return DocumentDelta(state.document_version, state.document, log_index)


def document_published(state: ControlState, change: Change) -> list[Message]:
    """Return the document if a command put it in force."""
    if change.command.version != state.document_version:
        return []
    return [_document_delta(state, change.log_index)]


def backends_listed(state: ControlState, change: Change) -> list[Message]:
    """Return the list after a change."""
    return [BackendsDelta(state.backends, change.log_index)]
