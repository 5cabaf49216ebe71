"""The log and the snapshot seen as one array, and the member sets in it."""

from trestle_control.log_records import EntryKind, LogEntry
from trestle_control.membership import MemberSet
from trestle_control.replica_state import ReplicaState
from trestle_links.codec import decode_message


def term_at(state: ReplicaState, index: int) -> int | None:
    """Return the term at an index, or None where it is not known."""
    if index == 0:
        return 0
    if state.snapshot and index == state.snapshot.log_index:
        return state.snapshot.term
    entry = state.log.entry_at(index)
    return entry.term if entry else None


def last_term(state: ReplicaState) -> int:
    """Return the term of the last entry."""
    return term_at(state, state.log.last_index) or 0


def append_entries(state: ReplicaState, entries: list[LogEntry]) -> None:
    """Append to the log and follow the member sets in it."""
    state.log.append(entries)
    for entry in entries:
        note_members(state, entry)


def note_members(state: ReplicaState, entry: LogEntry) -> None:
    """Follow the member set in an entry, if there is one."""
    if entry.kind is EntryKind.MEMBERS:
        member_set = decode_message(entry.payload)
        assert isinstance(member_set, MemberSet)
        state.member_sets.append((entry.log_index, member_set))


def truncate_log(state: ReplicaState, index: int) -> None:
    """Remove uncommitted entries and the member sets in them."""
    if index <= state.commit_index:
        raise AssertionError('a committed entry may not be removed')
    state.member_sets = [
        noted for noted in state.member_sets if noted[0] < index
    ]
    state.log.truncate_from(index)


def reset_log(state: ReplicaState, first_index: int) -> None:
    """Remove all entries, because a snapshot stands for them."""
    state.log.reset(first_index)
