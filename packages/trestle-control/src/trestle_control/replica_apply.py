"""Applies committed entries in log order and replies to their proposers."""

from time import monotonic
from typing import Final

from gevent import sleep
from gevent.event import AsyncResult

from trestle_control.control_errors import (
    CommitUnknownError,
    NotLeaderError,
)
from trestle_control.log_records import EntryKind, LogEntry
from trestle_control.replica_leader import propose_entry, record_freshness
from trestle_control.replica_snapshots import needs_snapshot, take_snapshot
from trestle_control.replica_state import PendingProposal, ReplicaState
from trestle_core.errors import TrestleError
from trestle_links.codec import Message, decode_message, encode_message

_POLL_SECONDS: Final = 1
_BATCH_ENTRIES: Final = 64


def run_applier(state: ReplicaState) -> None:
    """Apply entries as they are committed, until the replica stops."""

    def has_work() -> bool:
        return state.commit_index > state.applied_index

    while state.running:
        state.commit_signal.wait_until(has_work, _POLL_SECONDS)
        try:
            _apply_committed(state)
        except TrestleError as error:
            state.fail(error)


def propose(
    state: ReplicaState, command: Message, timeout_seconds: float
) -> Message:
    """Propose a command as leader and return its reply once it is applied.

    Raises `NotLeaderError` when the command did not and will not run, and
    `CommitUnknownError` when its outcome is unknown.
    """
    if not state.is_leader or state.handing_over or not state.running:
        raise NotLeaderError(state.leader_address)
    packed = encode_message(command)
    started_at = monotonic()
    index = propose_entry(state, EntryKind.COMMAND, packed)
    pending = PendingProposal(state.term, AsyncResult())
    state.pending_proposals[index] = pending
    try:
        reply = _wait_for_reply(pending, timeout_seconds)
    finally:
        if state.pending_proposals.get(index) is pending:
            del state.pending_proposals[index]
    seconds = monotonic() - started_at
    state.local_identity.metrics.observe_seconds('replica_commit', seconds)
    return reply


def _wait_for_reply(
    pending: PendingProposal, timeout_seconds: float
) -> Message:
    pending.reply.wait(timeout_seconds)
    if not pending.reply.ready():
        raise CommitUnknownError(
            'The command was not committed within the timeout.'
        )
    reply = pending.reply.get()
    assert reply is not None
    return reply


def _apply_committed(state: ReplicaState) -> None:
    with state.apply_lock:
        last = min(state.commit_index, state.applied_index + _BATCH_ENTRIES)
        for index in range(state.applied_index + 1, last + 1):
            entry = state.log.entry_at(index)
            if entry is None:
                raise AssertionError(
                    f'committed entry {index} is not in the log'
                )
            _apply(state, entry)
        record_freshness(state)
        if needs_snapshot(state):
            take_snapshot(state)
    state.apply_signal.notify()
    # Yield between the batches of a long catch-up, so that heartbeats are
    # still handled in time.
    sleep(0)


def _apply(state: ReplicaState, entry: LogEntry) -> None:
    pending = state.pending_proposals.pop(entry.log_index, None)
    if entry.kind is not EntryKind.COMMAND:
        state.applied_index = entry.log_index
        _reject_proposal(state, pending)
        return
    command = decode_message(entry.payload)
    reply = state.machine.apply(entry.log_index, command)
    state.applied_index = entry.log_index
    if pending and pending.term == entry.term:
        pending.reply.set(reply)
    else:
        _reject_proposal(state, pending)
    for hook in state.on_applied:
        hook(entry.log_index, command, reply)


def _reject_proposal(
    state: ReplicaState, pending: PendingProposal | None
) -> None:
    # Another entry was committed at this index, so the proposed one will
    # never be committed.
    if pending:
        pending.reply.set_exception(NotLeaderError(state.leader_address))
