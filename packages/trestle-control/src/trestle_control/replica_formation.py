"""Forming the group, and telling a new identity to its leader.

The first group is formed only when every listed host answers that its data
folder is empty, by one host: the first by name of those that may. One host
with a full folder is enough to prove that a group exists, and then an empty
folder means a lost disk. So two lost disks out of three leave a group that
waits for an operator, never a second group that has forgotten the first.
"""

from time import monotonic
from typing import Final
from uuid import uuid4

from gevent import joinall, sleep, spawn

from trestle_control.log_records import EntryKind, LogEntry
from trestle_control.membership import (
    ListedHost,
    Member,
    MemberIdentity,
    MemberSet,
    find_member,
)
from trestle_control.peer_calls import link_to
from trestle_control.replica_log import append_entries
from trestle_control.replica_messages import Announce, AnnounceReply
from trestle_control.replica_state import Newcomer, ReplicaState
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_links.codec import encode_message
from trestle_links.connection import Channel
from trestle_links.link import Link

_LOST_TIMEOUTS: Final = 4

_log = part_logger('replica')


def run_announcements(state: ReplicaState) -> None:
    """Announce this identity until it belongs to a group."""
    links = {
        listed.host: link_to(state, MemberIdentity(listed.host, ''))
        for listed in state.settings.members
        if listed.host != state.settings.host
    }
    while state.running:
        if _is_outside(state):
            replies = _announce_to(state, links)
            _form_group(state, replies)
        sleep(state.heartbeat_seconds * 2)


def announce_handler(
    state: ReplicaState, announce: Announce, _: Channel
) -> AnnounceReply:
    """Note a new identity and tell this one."""
    newcomer = announce.identity
    if find_member(state.members, newcomer.incarnation) is None:
        state.newcomers[newcomer.host] = Newcomer(
            newcomer.incarnation, monotonic()
        )
    return _own_reply(state)


def _is_outside(state: ReplicaState) -> bool:
    # A removed member never gets the entry that removes it: it hears of no
    # leader any more.
    silent_seconds = monotonic() - state.heard_at
    is_lost = silent_seconds > state.election_seconds * _LOST_TIMEOUTS
    is_member = find_member(state.members, state.incarnation) is not None
    return not state.is_leader and (is_lost or not is_member)


def _own_reply(state: ReplicaState) -> AnnounceReply:
    return AnnounceReply(
        state.identity, state.members.group, state.settings.bootstrap
    )


def _announce_to(
    state: ReplicaState, links: dict[str, Link]
) -> list[AnnounceReply]:
    replies = [_own_reply(state)]

    def announce(host: str, link: Link) -> None:
        try:
            reply = link.call(
                Announce(state.identity), AnnounceReply, state.election_seconds
            )
        except TrestleError as error:
            _log.debug('{} does not answer: {}.', host, error.message)
            return
        if reply.identity.host == host:
            replies.append(reply)

    joinall([spawn(announce, host, link) for host, link in links.items()])
    return replies


def _form_group(state: ReplicaState, replies: list[AnnounceReply]) -> None:
    hosts = {listed.host for listed in state.settings.members}
    unanimous = hosts == {reply.identity.host for reply in replies}
    if not unanimous or any(reply.group for reply in replies):
        return
    formers = [reply.identity.host for reply in replies if reply.forms]
    if not formers or min(formers) != state.settings.host:
        return
    addresses = {entry.host: entry.address for entry in state.settings.members}
    members = [
        Member(*reply.identity, addresses[reply.identity.host], voter=True)
        for reply in replies
    ]
    listed = sorted(ListedHost(*item) for item in addresses.items())
    member_set = MemberSet(uuid4().hex, members, listed)
    payload = encode_message(member_set)
    with state.log_lock:
        if state.log.last_index:
            return
        append_entries(state, [LogEntry(1, 0, EntryKind.MEMBERS, payload)])
    _log.info('Forms the group of {}.', ', '.join(sorted(hosts)))
