"""Access to the log and its snapshot as one array, with its member sets.

A member set is in force on this member as soon as its entry is appended,
committed or not; a truncation restores the previous one.
"""

from trestle_control.log_records import EntryKind, LogEntry
from trestle_control.membership import MemberSet
from trestle_control.replica_state import ReplicaState
from trestle_links.codec import decode_message


def term_at(state: ReplicaState, index: int) -> int | None:
    """Return the term of the entry at an index, or None if unknown."""
    if index == 0:
        return 0
    if state.snapshot and index == state.snapshot.log_index:
        return state.snapshot.term
    entry = state.log.entry_at(index)
    return entry.term if entry else None


def last_term(state: ReplicaState) -> int:
    """Return the term of the last entry, or 0 for an empty log."""
    return term_at(state, state.log.last_index) or 0


def append_entries(state: ReplicaState, entries: list[LogEntry]) -> None:
    """Append entries to the log and record the member sets in them."""
    state.log.append(entries)
    for entry in entries:
        record_member_set(state, entry)


def record_member_set(state: ReplicaState, entry: LogEntry) -> None:
    """Record the member set that an entry carries, if any."""
    if entry.kind is EntryKind.MEMBERS:
        member_set = decode_message(entry.payload)
        assert isinstance(member_set, MemberSet)
        state.member_sets.append((entry.log_index, member_set))


def truncate_log(state: ReplicaState, index: int) -> None:
    """Remove uncommitted entries and the member sets in them."""
    if index <= state.commit_index:
        raise AssertionError('a committed entry must not be removed')
    state.member_sets = [
        indexed_set
        for indexed_set in state.member_sets
        if indexed_set[0] < index
    ]
    state.log.truncate_from(index)


def reset_log(state: ReplicaState, first_index: int) -> None:
    """Remove all entries, because a snapshot replaces them."""
    state.log.reset(first_index)
