"""Sessions of the operator command line with the control hosts."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from getpass import getuser
from typing import Annotated, Any, Final, TypeVar

from cappa import Arg, Env
from msgspec.json import decode

from trestle_core.errorcodes import BAD_REQUEST, ERROR_CODES, INTERNAL
from trestle_core.errors import TrestleError
from trestle_core.metrics import Metrics
from trestle_core.texts import NO_CONTROL_HOSTS, UNUSABLE_KEY
from trestle_links.codec import Message
from trestle_links.control_calls import ControlCaller
from trestle_links.fleet_messages import CommandReply
from trestle_links.handshake import read_key
from trestle_links.link import Identity
from trestle_links.watch_messages import ReadState, StateReply

_MS_PER_SECOND: Final = 1000

Reply = TypeVar('Reply')


@dataclass(kw_only=True)
class ControlOptions:
    """Options of the commands that contact the control hosts."""

    control: Annotated[
        str,
        Arg(
            long='--control',
            default=Env('KINGCUPTRESTLE_CONTROL'),
            help='control hosts in order, comma-separated: ip:port or @file',
        ),
    ] = ''
    key_file: Annotated[
        str,
        Arg(
            long='--key-file',
            default=Env('KINGCUPTRESTLE_KEY_FILE'),
            help='file with the shared key',
        ),
    ] = ''
    timeout_ms: Annotated[
        int, Arg(long='--timeout-ms', help='longest wait for a reply, ms')
    ] = 10_000
    operator: Annotated[
        str, Arg(long='--operator', help='operator name for the audit records')
    ] = ''


class ControlSession:
    """Sends commands and queries to the control hosts."""

    def __init__(self, options: ControlOptions, caller: ControlCaller) -> None:
        """Take the timeout and the operator name from the options."""
        self.caller = caller
        self.timeout_seconds = options.timeout_ms / _MS_PER_SECOND
        self.operator = options.operator or getuser()

    def query(self, query: str, name: str = '') -> Any:
        """Return the decoded result of a linearizable query.

        Raises `TrestleError`.
        """
        reply = self.caller.call(
            ReadState(query, name), StateReply, self.timeout_seconds
        )
        return decode(reply.content)

    def submit(self, command: Message, reply_type: type[Reply]) -> Reply:
        """Commit a command; it is resent if the reply is lost.

        Raises `TrestleError`.
        """
        return self.caller.call(command, reply_type, self.timeout_seconds)

    def change(self, command: Message) -> CommandReply:
        """Commit a command; raise `TrestleError` if it is refused."""
        reply = self.submit(command, CommandReply)
        if not reply.accepted:
            code = ERROR_CODES.get(reply.code, INTERNAL)
            raise TrestleError(code, reply.text)
        return reply


@contextmanager
def control_session(options: ControlOptions) -> Iterator[ControlSession]:
    """Open a session; raise `bad-request` if the options are unusable."""
    addresses = [address for address in options.control.split(',') if address]
    if not addresses:
        raise TrestleError(BAD_REQUEST, NO_CONTROL_HOSTS)
    try:
        key = read_key(options.key_file)
    except (OSError, ValueError) as error:
        raise TrestleError(
            BAD_REQUEST, UNUSABLE_KEY.format(reason=error)
        ) from error
    local_identity = Identity('operator', key, Metrics.empty())
    caller = ControlCaller(addresses, local_identity)
    try:
        yield ControlSession(options, caller)
    finally:
        caller.close()
