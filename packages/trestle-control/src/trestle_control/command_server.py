"""Commands and queries from nodes and operators, on any control host.

A command is submitted through the replica, which forwards it to the leader.
A query is answered from the state of this host, after a read barrier.
"""

from typing import Any, Final

from msgspec.json import decode

from trestle_control.apply import COMMANDS
from trestle_control.queries import QUERIES, QueryContext
from trestle_control.replica_api import ReplicaApi
from trestle_core.digests import canonical_json
from trestle_core.errorcodes import BAD_REQUEST, INVALID_SET
from trestle_core.errors import TrestleError
from trestle_core.metrics import Metrics
from trestle_core.namedset_check import check_set
from trestle_core.texts import UNKNOWN_QUERY
from trestle_links.claim_messages import AdvanceClock, RecordOutcome
from trestle_links.codec import Message
from trestle_links.connection import Channel
from trestle_links.fleet_messages import PublishSet
from trestle_links.link_server import Handlers
from trestle_links.watch_messages import ReadState, StateReply

COMMAND_TIMEOUT_SECONDS: Final = 5.0
_READ_TIMEOUT_SECONDS: Final = 3.0


class CommandServer:
    """Link handlers for every command type and for queries."""

    def __init__(
        self,
        replica: ReplicaApi,
        query_context: QueryContext,
        answer_limit_bytes: int,
        metrics: Metrics,
    ) -> None:
        """Create the handlers; the limit applies to bodies of outcomes."""
        self.replica = replica
        self.query_context = query_context
        self.answer_limit_bytes = answer_limit_bytes
        self.metrics = metrics

    def handlers(self) -> Handlers:
        """Return the link handlers."""
        commands: dict[type[Any], Any] = dict.fromkeys(COMMANDS, self.submit)
        # Only the leader itself submits this command.
        commands.pop(AdvanceClock)
        return {
            **commands,
            PublishSet: self.publish,
            RecordOutcome: self.record_outcome,
            ReadState: self.read,
        }

    def submit(self, command: Message, _channel: Channel) -> Message:
        """Commit a command and return its reply."""
        self.metrics.count('commands', type(command).__name__)
        return self.replica.submit(command, COMMAND_TIMEOUT_SECONDS)

    def publish(self, command: PublishSet, channel: Channel) -> Message:
        """Validate and commit a set; raises `invalid-set`."""
        _check_content(command.content)
        return self.submit(command, channel)

    def record_outcome(
        self, command: RecordOutcome, channel: Channel
    ) -> Message:
        """Commit an outcome; drop a body over the size limit."""
        outcome = command.outcome
        if len(outcome.body) > self.answer_limit_bytes:
            self.metrics.count('outcome_bodies_dropped')
            command = command._replace(outcome=outcome._replace(body=b''))
        return self.submit(command, channel)

    def read(self, request: ReadState, _channel: Channel) -> StateReply:
        """Answer a query from a state at least as new as the request."""
        query = QUERIES.get(request.query)
        if query is None:
            raise TrestleError(
                BAD_REQUEST, UNKNOWN_QUERY.format(name=request.query)
            )
        self.replica.read_barrier(_READ_TIMEOUT_SECONDS)
        return StateReply(
            canonical_json(query(self.query_context, request.name))
        )


def _check_content(content: bytes) -> None:
    try:
        decoded = decode(content)
    except ValueError as error:
        raise TrestleError(INVALID_SET, str(error)) from error
    errors = check_set(decoded).errors
    if errors:
        raise TrestleError(INVALID_SET, '\n'.join(map(str, errors)))
