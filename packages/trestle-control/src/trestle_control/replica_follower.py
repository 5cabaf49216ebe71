"""The follower's side: entries and snapshots from the leader.

An answer is sent only when the entries it covers are synced and the term is
still the one of the request. So an answer that a member gives while it syncs
a vote for the next term counts for nothing.
"""

from time import monotonic

from trestle_control.control_errors import OldDataFolderError
from trestle_control.log_records import LogEntry, unpack_entry
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
from trestle_links.connection import Channel
from trestle_links.link_messages import Done


def append_handler(
    state: ReplicaState, ask: AppendAsk, _: Channel
) -> AppendReply:
    """Take entries of the leader and answer when they are synced."""
    if not _follow(state, ask.header):
        return _reject(state, 0)
    entries = [unpack_entry(packed) for packed in ask.entries]
    last_index = ask.previous_index + len(entries)
    with state.log_lock:
        if state.term != ask.header.term:
            return _reject(state, 0)
        _check_data_folder(state, ask.header)
        if not _matches(state, ask):
            return _reject(state, ask.previous_index - 1)
        if not _append_new(state, entries, ask.header.term):
            return _reject(state, 0)
    state.log.wait_synced(last_index)
    if state.term != ask.header.term:
        return _reject(state, 0)
    state.heard_at = monotonic()
    state.advance_commit(min(ask.commit_index, last_index))
    return AppendReply(answer_from(state), True, last_index, 0)


def snapshot_handler(
    state: ReplicaState, part: SnapshotPart, _: Channel
) -> SnapshotReply:
    """Collect the parts of a snapshot and install it."""
    if not _follow(state, part.header):
        return SnapshotReply(answer_from(state), 0)
    incoming = _incoming_for(state, part)
    if part.offset == len(incoming.received):
        incoming.received.extend(part.content)
        if part.end:
            packed = bytes(incoming.received)
            install_snapshot(state, unpack_snapshot(packed))
    state.heard_at = monotonic()
    return SnapshotReply(answer_from(state), len(incoming.received))


def lead_now_handler(state: ReplicaState, ask: LeadNow, _: Channel) -> Done:
    """Start an election at once, because the leader stops."""
    check_header(state, ask.header)
    if ask.header.term == state.term:
        state.lead_now.set()
    return Done()


def _follow(state: ReplicaState, header: PeerHeader) -> bool:
    check_header(state, header)
    if header.term < state.term:
        return False
    state.adopt_term(header.term)
    if header.term != state.term or state.is_leader:
        return False
    state.set_role(Role.FOLLOWER, header.sender)
    state.heard_at = monotonic()
    return True


def _incoming_for(state: ReplicaState, part: SnapshotPart) -> IncomingSnapshot:
    # A part that was delayed on an earlier connection may be of another
    # snapshot; it starts nothing and fits nowhere.
    incoming = state.incoming
    is_same = incoming.source == (part.header.term, part.log_index)
    if part.offset == 0:
        source = (part.header.term, part.log_index)
        state.incoming = IncomingSnapshot(source, bytearray())
    elif not is_same:
        return IncomingSnapshot(incoming.source, bytearray())
    return state.incoming


def _check_data_folder(state: ReplicaState, header: PeerHeader) -> None:
    if header.acked_index <= state.log.last_index:
        return
    error = OldDataFolderError(
        f'This member acknowledged index {header.acked_index}, '
        f'its log ends at {state.log.last_index}.'
    )
    state.fail(error)
    raise error


def _matches(state: ReplicaState, ask: AppendAsk) -> bool:
    if ask.previous_index <= state.snapshot_index:
        # What the snapshot covers is committed and equal everywhere.
        return True
    return term_at(state, ask.previous_index) == ask.previous_term


def _append_new(
    state: ReplicaState, entries: list[LogEntry], term: int
) -> bool:
    for position, entry in enumerate(entries):
        if entry.log_index <= state.snapshot_index:
            continue
        known = term_at(state, entry.log_index)
        if known == entry.term:
            continue
        if known is not None:
            truncate_log(state, entry.log_index)
        if state.term != term:
            # The next term began during the truncation, and this member may
            # lead it.
            return False
        append_entries(state, entries[position:])
        return True
    return True


def _reject(state: ReplicaState, index: int) -> AppendReply:
    index = max(0, min(index, state.log.last_index))
    term = term_at(state, index) or 0
    # Go back over the whole term, down to what is committed.
    while index > state.commit_index and term_at(state, index) == term:
        index -= 1
    return AppendReply(answer_from(state), False, index, term)
