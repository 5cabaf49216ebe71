"""Forwards commands and reads from any member to the leader."""

from time import monotonic
from typing import Final, TypeVar

from gevent import sleep

from trestle_control.control_errors import (
    CommitUnknownError,
    NotLeaderError,
    StorageFailedError,
)
from trestle_control.replica_apply import propose
from trestle_control.replica_messages import ForwardCommand, ForwardReply
from trestle_control.replica_state import ReplicaState
from trestle_core.errorcodes import NOT_LEADER
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_links.codec import Message, decode_message, encode_message
from trestle_links.connection import CallTimeoutError, Channel

Reply = TypeVar('Reply')

_MS_PER_SECOND: Final = 1000


def submit(
    state: ReplicaState, command: Message, timeout_seconds: float
) -> Message:
    """Propose a command locally as leader, or forward it to the leader.

    The command is retried only when the last attempt proved that it did not
    run. Raises `NotLeaderError`, `CommitUnknownError` or `StorageFailedError`.
    """
    deadline = monotonic() + timeout_seconds
    while state.running:
        left_seconds = deadline - monotonic()
        if left_seconds <= 0:
            break
        try:
            return _submit_once(state, command, left_seconds)
        except TrestleError as error:
            _raise_unless_not_run(error)
        state.local_identity.metrics.count(
            'replica_submit_retries', NOT_LEADER.code
        )
        sleep(min(state.heartbeat_seconds / 2, left_seconds))
    raise NotLeaderError(state.leader_address)


def call_leader(
    state: ReplicaState,
    body: Message,
    reply_type: type[Reply],
    timeout_seconds: float,
) -> Reply:
    """Call the leader that this member follows.

    Raises `NotLeaderError` without such a leader, or what `Link.call` raises.
    """
    address = state.leader_address
    if address is None or state.is_leader:
        raise NotLeaderError(address)
    try:
        return state.forward_links.link_to(address).call(
            body, reply_type, timeout_seconds
        )
    except CallTimeoutError:
        state.forward_links.forget(address)
        raise


def forward_handler(
    state: ReplicaState, request: ForwardCommand, _: Channel
) -> ForwardReply:
    """Propose a command that another member forwarded."""
    command = decode_message(request.packed)
    reply = propose(state, command, request.timeout_ms / _MS_PER_SECOND)
    return ForwardReply(encode_message(reply))


def _raise_unless_not_run(error: TrestleError) -> None:
    if isinstance(error, StorageFailedError):
        raise error
    if error.verdict is not Verdict.NOT_RUN:
        raise CommitUnknownError(error.message) from error


def _submit_once(
    state: ReplicaState, command: Message, timeout_seconds: float
) -> Message:
    if state.is_leader:
        return propose(state, command, timeout_seconds)
    request = ForwardCommand(
        encode_message(command), int(timeout_seconds * _MS_PER_SECOND)
    )
    reply = call_leader(state, request, ForwardReply, timeout_seconds)
    return decode_message(reply.packed)
