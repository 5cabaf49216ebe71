"""Publication of named sets: compare-and-set by version and digest.

A version is accepted once, as the successor of the version in force. The
digests of accepted versions are kept for at least an hour of the state's
clock, so that a resend after a lost answer is answered `accepted` and never
publishes again. Another digest for the same version is refused and hears
who won.
"""

from typing import Final

from trestle_control.audit import Story
from trestle_control.state import ControlState, SetRecord
from trestle_core.digests import content_digest
from trestle_links.fleet_messages import PublishReply, PublishSet

HISTORY_MS: Final = 2 * 3600 * 1000
_HISTORY_VERSIONS: Final = 100


def publish_set(
    state: ControlState, command: PublishSet, story: Story
) -> PublishReply:
    """Accept the next version, or answer a resend or a loser."""
    current = state.set_version
    known = state.versions.get(command.version)
    if known:
        return PublishReply(
            known.digest == command.digest,
            known.version,
            known.digest,
            known.operator,
        )
    whole = content_digest(command.content) == command.digest
    if command.version != current + 1 or not whole:
        return PublishReply(
            accepted=False, version=current, winner='', winner_operator=''
        )
    record = SetRecord(
        command.version,
        command.digest,
        command.operator,
        state.clock_ms,
        story.log_index,
    )
    state.versions[command.version] = record
    state.base_content = state.set_content
    state.set_content = command.content
    _drop_old_versions(state)
    story.record(
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
    surplus = len(state.versions) - _HISTORY_VERSIONS
    oldest_ms = state.clock_ms - HISTORY_MS
    for version in list(state.versions)[: max(surplus, 0)]:
        if state.versions[version].published_ms < oldest_ms:
            state.versions.pop(version)
