"""Publication of named sets: compare-and-set by version and digest.

A version is accepted once, as the successor of the version in force. The
digests of accepted versions are kept for at least `HISTORY_MS` of the
state's clock, so a resend after a lost answer is answered `accepted` and is
not published again. A different digest for an accepted version is refused
with the digest and the operator that won.
"""

from typing import Final

from trestle_control.audit import AuditTrail
from trestle_control.state import ControlState, SetRecord
from trestle_core.digests import content_digest
from trestle_links.fleet_messages import PublishReply, PublishSet

HISTORY_MS: Final = 2 * 3600 * 1000
_MIN_HISTORY_VERSIONS: Final = 100


def publish_set(
    state: ControlState, command: PublishSet, trail: AuditTrail
) -> PublishReply:
    """Accept the next version; answer a resend or a lost race."""
    current = state.set_version
    accepted_record = state.versions.get(command.version)
    if accepted_record:
        return PublishReply(
            accepted_record.digest == command.digest,
            accepted_record.version,
            accepted_record.digest,
            accepted_record.operator,
        )
    is_complete = content_digest(command.content) == command.digest
    if command.version != current + 1 or not is_complete:
        return PublishReply(
            accepted=False, version=current, winner='', winner_operator=''
        )
    record = SetRecord(
        command.version,
        command.digest,
        command.operator,
        state.clock_ms,
        trail.log_index,
    )
    state.versions[command.version] = record
    state.base_content = state.set_content
    state.set_content = command.content
    _drop_old_versions(state)
    trail.record(
        [f'version-{command.version}'],
        'published',
        f'operator {command.operator}',
        f'digest {command.digest}, {len(command.content)} bytes',
    )
    return PublishReply(
        accepted=True,
        version=command.version,
        winner=command.digest,
        winner_operator=command.operator,
    )


def _drop_old_versions(state: ControlState) -> None:
    surplus = len(state.versions) - _MIN_HISTORY_VERSIONS
    oldest_ms = state.clock_ms - HISTORY_MS
    for version in list(state.versions)[: max(surplus, 0)]:
        if state.versions[version].published_ms < oldest_ms:
            state.versions.pop(version)
