"""Applying committed entries, in order, and answering their proposers."""

from time import monotonic
from typing import Final

from gevent import sleep
from gevent.event import AsyncResult

from trestle_control.control_errors import (
    CommitUnknownError,
    NotLeaderError,
)
from trestle_control.log_records import EntryKind, LogEntry
from trestle_control.replica_leader import note_fresh, propose_entry
from trestle_control.replica_snapshots import needs_snapshot, take_snapshot
from trestle_control.replica_state import ReplicaState, Waiter
from trestle_core.errors import TrestleError
from trestle_links.codec import Message, decode_message, encode_message

_POLL_SECONDS: Final = 1
_BATCH_ENTRIES: Final = 64


def run_applier(state: ReplicaState) -> None:
    """Apply entries as they are committed."""

    def has_work() -> bool:
        return state.commit_index > state.applied_index

    while state.running:
        state.commits.wait_until(has_work, _POLL_SECONDS)
        try:
            _apply_committed(state)
        except TrestleError as error:
            state.fail(error)


def propose(
    state: ReplicaState, command: Message, timeout_seconds: float
) -> Message:
    """Propose a command and return its reply after it was applied.

    Raises `NotLeaderError` when it did not and will not run, else
    `CommitUnknownError`.
    """
    if not state.is_leader or state.handing_over or not state.running:
        raise NotLeaderError(state.leader_address)
    packed = encode_message(command)
    started_at = monotonic()
    index = propose_entry(state, EntryKind.COMMAND, packed)
    waiter = Waiter(state.term, AsyncResult())
    state.waiters[index] = waiter
    try:
        reply = _wait_for_reply(waiter, timeout_seconds)
    finally:
        if state.waiters.get(index) is waiter:
            del state.waiters[index]
    seconds = monotonic() - started_at
    state.me.metrics.observe_seconds('replica_commit', seconds)
    return reply


def _wait_for_reply(waiter: Waiter, timeout_seconds: float) -> Message:
    waiter.reply.wait(timeout_seconds)
    if not waiter.reply.ready():
        raise CommitUnknownError('The command was not committed in time.')
    reply = waiter.reply.get()
    assert reply is not None
    return reply


def _apply_committed(state: ReplicaState) -> None:
    with state.apply_lock:
        last = min(state.commit_index, state.applied_index + _BATCH_ENTRIES)
        for index in range(state.applied_index + 1, last + 1):
            entry = state.log.entry_at(index)
            if entry is None:
                raise AssertionError(f'committed entry {index} is missing')
            _apply(state, entry)
        note_fresh(state)
        if needs_snapshot(state):
            take_snapshot(state)
    state.applies.notify()
    # Let heartbeats through between the batches of a long catch-up.
    sleep(0)


def _apply(state: ReplicaState, entry: LogEntry) -> None:
    waiter = state.waiters.pop(entry.log_index, None)
    if entry.kind is not EntryKind.COMMAND:
        state.applied_index = entry.log_index
        _answer_other(state, waiter)
        return
    command = decode_message(entry.payload)
    reply = state.machine.apply(entry.log_index, command)
    state.applied_index = entry.log_index
    if waiter and waiter.term == entry.term:
        waiter.reply.set(reply)
    else:
        _answer_other(state, waiter)
    for hook in state.on_applied:
        hook(entry.log_index, command, reply)


def _answer_other(state: ReplicaState, waiter: Waiter | None) -> None:
    # Another entry was committed at this index, so the proposed one never
    # will be.
    if waiter:
        waiter.reply.set_exception(NotLeaderError(state.leader_address))
