"""Handles entries and snapshots that a follower receives from the leader.

An append is acknowledged only when the entries it covers are synced and the
term is still the one of the request. So a member whose term rises while it
syncs entries, as by a vote, does not acknowledge them to the old leader.
"""

from time import monotonic

from trestle_control.control_errors import OldDataFolderError
from trestle_control.log_records import LogEntry, unpack_entry
from trestle_control.member_silence import note_silent_members
from trestle_control.peer_calls import answer_from, check_header
from trestle_control.replica_log import append_entries, term_at, truncate_log
from trestle_control.replica_messages import (
    AppendAsk,
    AppendReply,
    LeadNow,
    PeerHeader,
    SnapshotPart,
    SnapshotReply,
)
from trestle_control.replica_snapshots import install_snapshot
from trestle_control.replica_state import (
    IncomingSnapshot,
    ReplicaState,
    Role,
)
from trestle_control.snapshots import unpack_snapshot
from trestle_core.errorcodes import NOT_LEADER
from trestle_core.errors import TrestleError
from trestle_links.connection import Channel
from trestle_links.link_messages import Done


def append_handler(
    state: ReplicaState, request: AppendAsk, _: Channel
) -> AppendReply:
    """Append entries of the leader and acknowledge them once synced."""
    if not _accept_leader(state, request.header):
        return _reject(state, 0)
    entries = [unpack_entry(packed) for packed in request.entries]
    last_index = request.previous_index + len(entries)
    with state.log_lock:
        if state.term != request.header.term:
            return _reject(state, 0)
        _check_data_folder(state, request.header)
        if not _matches_previous(state, request):
            return _reject(state, request.previous_index - 1)
        if not _append_missing(state, entries, request.header.term):
            return _reject(state, 0)
    state.log.wait_synced(last_index)
    if state.term != request.header.term:
        return _reject(state, 0)
    state.leader_contact_at = monotonic()
    leader = request.header.sender.incarnation
    note_silent_members(state, leader, request.silent)
    state.advance_commit(min(request.commit_index, last_index))
    return AppendReply(answer_from(state), True, last_index, 0)


def snapshot_handler(
    state: ReplicaState, part: SnapshotPart, _: Channel
) -> SnapshotReply:
    """Collect the parts of a snapshot; install it after the last one."""
    if not _accept_leader(state, part.header):
        return SnapshotReply(answer_from(state), 0)
    incoming = _incoming_for(state, part)
    if part.offset == len(incoming.received):
        incoming.received.extend(part.content)
        if part.end:
            packed = bytes(incoming.received)
            install_snapshot(state, unpack_snapshot(packed))
    state.leader_contact_at = monotonic()
    return SnapshotReply(answer_from(state), len(incoming.received))


def lead_now_handler(state: ReplicaState, request: LeadNow, _: Channel) -> Done:
    """Start an election immediately, because the leader is stopping.

    Raises `TrestleError` with `not-leader` when this member is stopping, too.
    """
    check_header(state, request.header)
    if not state.running:
        raise TrestleError(NOT_LEADER, 'This member is stopping.')
    if request.header.term == state.term:
        state.election_requested.set()
    return Done()


def _accept_leader(state: ReplicaState, header: PeerHeader) -> bool:
    check_header(state, header)
    if header.term < state.term:
        return False
    state.adopt_term(header.term)
    if header.term != state.term or state.is_leader:
        return False
    state.set_role(Role.FOLLOWER, header.sender)
    state.leader_contact_at = monotonic()
    return True


def _incoming_for(state: ReplicaState, part: SnapshotPart) -> IncomingSnapshot:
    # A part that was delayed on an earlier connection may belong to another
    # snapshot. It is compared with an empty snapshot then, whose end is not at
    # the offset of the part, so it is ignored.
    incoming = state.incoming_snapshot
    is_same = incoming.term_and_index == (part.header.term, part.log_index)
    if part.offset == 0:
        term_and_index = (part.header.term, part.log_index)
        state.incoming_snapshot = IncomingSnapshot(term_and_index, bytearray())
    elif not is_same:
        return IncomingSnapshot(incoming.term_and_index, bytearray())
    return state.incoming_snapshot


def _check_data_folder(state: ReplicaState, header: PeerHeader) -> None:
    if header.acked_index <= state.log.last_index:
        return
    error = OldDataFolderError(
        f'This member acknowledged index {header.acked_index}, '
        f'but its log ends at index {state.log.last_index}.'
    )
    state.fail(error)
    raise error


def _matches_previous(state: ReplicaState, request: AppendAsk) -> bool:
    if request.previous_index <= state.snapshot_index:
        # Entries that the snapshot covers are committed, so they are the
        # same on every member.
        return True
    return term_at(state, request.previous_index) == request.previous_term


def _append_missing(
    state: ReplicaState, entries: list[LogEntry], term: int
) -> bool:
    for position, entry in enumerate(entries):
        if entry.log_index <= state.snapshot_index:
            continue
        local_term = term_at(state, entry.log_index)
        if local_term == entry.term:
            continue
        if local_term is not None:
            truncate_log(state, entry.log_index)
        if state.term != term:
            # The next term began during the truncation, and this member may
            # be its leader.
            return False
        append_entries(state, entries[position:])
        return True
    return True


def _reject(state: ReplicaState, index: int) -> AppendReply:
    index = max(0, min(index, state.log.last_index))
    term = term_at(state, index) or 0
    # Skip the whole conflicting term, down to the commit index.
    while index > state.commit_index and term_at(state, index) == term:
        index -= 1
    return AppendReply(answer_from(state), False, index, term)
