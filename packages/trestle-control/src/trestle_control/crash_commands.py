"""Commands on the contents of requests that ran on engines that crashed.

Every content that was running during a crash becomes a suspect. An endpoint
process runs at most one suspect at a time, so a second crash identifies a
single content, which is then quarantined. A suspect whose answer finishes is
cleared.

Invariants: a quarantine ends only when an operator releases the content. A
suspect runs on one endpoint at a time, whose process holds it, so a crash
that it causes is counted before another endpoint may run it.
"""

from typing import Final

from trestle_control.audit import AuditTrail
from trestle_control.state import ContentRecord, ControlState
from trestle_core.errorcodes import NOT_FOUND, QUARANTINED, SUSPECT_HELD
from trestle_links.fleet_messages import (
    ClearSuspect,
    CommandReply,
    CrashReply,
    ReleaseContent,
    ReportCrash,
)
from trestle_links.suspect_messages import DropSuspect, HoldSuspect

QUARANTINE_CRASHES: Final = 2
_MAX_SUSPECTS: Final = 5000
_MAX_REQUEST_IDS: Final = 10
# Longer than any deadline that a route is expected to have.
_MAX_HOLD_MS: Final = 600_000


def report_crash(
    state: ControlState, command: ReportCrash, trail: AuditTrail
) -> CrashReply:
    """Count a crash for each content; a crash id is counted once."""
    suspects: list[str] = []
    quarantined: list[str] = []
    for content in command.contents:
        record = _with_crash(state, content, command)
        if record.quarantined:
            quarantined.append(content)
        else:
            suspects.append(content)
    _drop_old_suspects(state)
    trail.record(
        [command.endpoint, *command.contents, *command.request_ids],
        'engine crash',
        f'crash {command.crash_id} on {command.endpoint}',
        f'suspects {suspects}, quarantined {quarantined}',
    )
    return CrashReply(suspects, quarantined)


def hold_suspect(
    state: ControlState, command: HoldSuspect, _trail: AuditTrail
) -> CommandReply:
    """Assign a suspect to a process, unless another one holds it."""
    record = state.contents.get(command.content)
    if record is None:
        return CommandReply(accepted=True, code='', text='no suspect')
    if record.quarantined:
        return CommandReply(accepted=False, code=QUARANTINED.code, text='')
    requester = f'{command.endpoint}/{command.incarnation}'
    if record.holder != requester and _is_held(state, record):
        return CommandReply(
            accepted=False, code=SUSPECT_HELD.code, text=record.holder
        )
    state.contents[command.content] = record._replace(
        holder=requester, held_ms=state.clock_ms
    )
    return CommandReply(accepted=True, code='', text='')


def drop_suspect(
    state: ControlState, command: DropSuspect, _trail: AuditTrail
) -> CommandReply:
    """End a hold; accepted also when the process holds nothing."""
    record = state.contents.get(command.content)
    holder = f'{command.endpoint}/{command.incarnation}'
    if record and record.holder == holder:
        state.contents[command.content] = record._replace(holder='')
    return CommandReply(accepted=True, code='', text='')


def clear_suspect(
    state: ControlState, command: ClearSuspect, trail: AuditTrail
) -> CommandReply:
    """Clear a suspect whose answer finished; keep a quarantine."""
    record = state.contents.get(command.content)
    if record and not record.quarantined:
        state.contents.pop(command.content)
        trail.record(
            [command.content, command.request_id],
            'suspect cleared',
            'its answer finished',
        )
    return CommandReply(accepted=True, code='', text='')


def release_content(
    state: ControlState, command: ReleaseContent, trail: AuditTrail
) -> CommandReply:
    """End a quarantine; a resend is accepted."""
    record = state.contents.pop(command.content, None)
    if record:
        trail.record(
            [command.content],
            'released',
            command.cause,
            f'operator {command.operator}',
        )
        return CommandReply(accepted=True, code='', text='')
    known = command.content in state.audit
    code = '' if known else NOT_FOUND.code
    return CommandReply(known, code, 'the content is not quarantined')


def _with_crash(
    state: ControlState, content: str, command: ReportCrash
) -> ContentRecord:
    record = state.contents.get(content)
    if record is None:
        record = ContentRecord(content, [], [], [], quarantined=False)
    if command.crash_id not in record.crash_ids:
        crash_ids = [*record.crash_ids, command.crash_id]
        request_ids = [*record.request_ids, *command.request_ids]
        record = record._replace(
            crash_ids=crash_ids,
            endpoints=[*record.endpoints, command.endpoint],
            request_ids=request_ids[-_MAX_REQUEST_IDS:],
            quarantined=len(crash_ids) >= QUARANTINE_CRASHES,
            holder='',
        )
        state.contents[content] = record
    return record


def _is_held(state: ControlState, record: ContentRecord) -> bool:
    """Return whether the holder is still admitted and within the limit."""
    host, _, incarnation = record.holder.partition('/')
    endpoint = state.endpoints.get(host)
    if endpoint is None or endpoint.incarnation != incarnation:
        return False
    return state.clock_ms - record.held_ms < _MAX_HOLD_MS


def _drop_old_suspects(state: ControlState) -> None:
    surplus = len(state.contents) - _MAX_SUSPECTS
    suspects = [
        content
        for content, record in state.contents.items()
        if not record.quarantined
    ]
    for content in suspects[: max(surplus, 0)]:
        state.contents.pop(content)
