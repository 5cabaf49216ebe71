"""The control state machine, which applies one function per command type.

Applying is deterministic and never raises. A command that fails halfway
leaves the same partial changes on every member and is answered with
`internal`.
"""

from collections.abc import Callable
from typing import Any, Final

from trestle_control.audit import AuditTrail
from trestle_control.claim_commands import (
    commit_claim,
    drop_expired,
    open_attempt,
    record_outcome,
    refuse_attempt,
    release_claim,
)
from trestle_control.crash_commands import (
    clear_suspect,
    drop_suspect,
    hold_suspect,
    release_content,
    report_crash,
)
from trestle_control.direct_commands import list_backends, publish_document
from trestle_control.endpoint_commands import (
    ACCEPTED,
    admit_endpoint,
    restore_endpoint,
    withdraw_endpoint,
)
from trestle_control.engine_commands import report_engine
from trestle_control.order_commands import issue_order, report_order
from trestle_control.set_commands import publish_set
from trestle_control.state import ControlState
from trestle_control.usage_commands import confirm_usage, record_usage
from trestle_core.errorcodes import BAD_REQUEST, INTERNAL
from trestle_core.logs import part_logger
from trestle_links.claim_messages import (
    AdvanceClock,
    CommitClaim,
    OpenAttempt,
    RecordOutcome,
    RefuseAttempt,
    ReleaseClaim,
)
from trestle_links.codec import Message
from trestle_links.direct_messages import ListBackends, PublishDocument
from trestle_links.engine_messages import ReportEngine
from trestle_links.fleet_messages import (
    AdmitEndpoint,
    ClearSuspect,
    CommandReply,
    IssueOrder,
    PublishSet,
    ReleaseContent,
    ReportCrash,
    ReportOrder,
    RestoreEndpoint,
    WithdrawEndpoint,
)
from trestle_links.suspect_messages import DropSuspect, HoldSuspect
from trestle_links.usage_messages import ConfirmUsage, RecordUsage

ApplyFunction = Callable[[ControlState, Any, AuditTrail], Message]

_log = part_logger('state')


def advance_clock(
    state: ControlState, command: AdvanceClock, _trail: AuditTrail
) -> CommandReply:
    """Advance the clock, unless it has moved since the leader read it."""
    if command.from_ms == state.clock_ms:
        state.clock_ms += command.elapsed_ms
        state.unix_ms = command.unix_ms
        drop_expired(state, command.outcome_retention_ms)
    return ACCEPTED


COMMANDS: Final[dict[type[Any], ApplyFunction]] = {
    OpenAttempt: open_attempt,
    CommitClaim: commit_claim,
    RefuseAttempt: refuse_attempt,
    ReleaseClaim: release_claim,
    RecordOutcome: record_outcome,
    PublishSet: publish_set,
    AdmitEndpoint: admit_endpoint,
    WithdrawEndpoint: withdraw_endpoint,
    RestoreEndpoint: restore_endpoint,
    IssueOrder: issue_order,
    ReportOrder: report_order,
    ReportEngine: report_engine,
    ReportCrash: report_crash,
    ClearSuspect: clear_suspect,
    HoldSuspect: hold_suspect,
    DropSuspect: drop_suspect,
    ReleaseContent: release_content,
    AdvanceClock: advance_clock,
    PublishDocument: publish_document,
    ListBackends: list_backends,
    RecordUsage: record_usage,
    ConfirmUsage: confirm_usage,
}


class ControlStateMachine:
    """The state machine that holds the control state."""

    def __init__(self) -> None:
        """Start with empty tables."""
        self.state = ControlState()

    def apply(self, index: int, command: Message) -> Message:
        """Apply the command at a log index and return its reply."""
        function = COMMANDS.get(type(command))
        if function is None:
            return _failure_reply(BAD_REQUEST.code, 'unknown command')
        try:
            return function(self.state, command, AuditTrail(self.state, index))
        except Exception:
            _log.exception('Command {} at {} failed.', command, index)
            return _failure_reply(INTERNAL.code, INTERNAL.summary)

    def snapshot(self) -> bytes:
        """Encode every table."""
        return self.state.pack()

    def restore(self, packed: bytes) -> None:
        """Replace every table; raises `ValueError` if this is no snapshot."""
        self.state.unpack(packed)


def _failure_reply(code: str, text: str) -> CommandReply:
    return CommandReply(accepted=False, code=code, text=text)
