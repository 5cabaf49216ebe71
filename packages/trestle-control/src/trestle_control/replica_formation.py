"""Forming the group, and telling a new identity to its leader.

The first group is formed only when every listed host answers that its data
folder is empty, by one host: the first by name of those that may. One host
with a full folder is enough to prove that a group exists, and then an empty
folder means a lost disk. So two lost disks out of three leave a group that
waits for an operator, never a second group that has forgotten the first.

Settings that name seeds instead of members know three addresses and no
count. The seeds form the first group under the same rule, each with an empty
folder and the mark of a first start, and every other holder of the key joins
it as a newcomer. A process without that mark never forms a group.
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
from trestle_links.link import Link, LinkPool

_LOST_TIMEOUTS: Final = 4

_log = part_logger('replica')


def run_announcements(state: ReplicaState) -> None:
    """Announce this identity until it belongs to a group."""
    if state.settings.seeds:
        run_seed_announcements(state)
        return
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


def run_seed_announcements(state: ReplicaState) -> None:
    """Announce this identity to the seeds and to whom they name."""
    pool = LinkPool(state.me)
    while state.running:
        if _is_outside(state):
            addresses = state.seeds | {
                member.address for member in state.members.members
            }
            links = {
                address: pool.link_to(address)
                for address in addresses
                if address != own_address(state)
            }
            answered = _announce_to_addresses(state, links)
            for reply in answered.values():
                state.seeds.update(reply.members)
            _form_from_seeds(state, answered)
        sleep(state.heartbeat_seconds * 2)
    pool.close()


def own_address(state: ReplicaState) -> str:
    """Return the peer address that this process tells others."""
    return state.settings.advertise or state.settings.listen


def announce_handler(
    state: ReplicaState, announce: Announce, _: Channel
) -> AnnounceReply:
    """Note a new identity and tell this one."""
    newcomer = announce.identity
    if find_member(state.members, newcomer.incarnation) is None:
        state.newcomers[newcomer.host] = Newcomer(
            newcomer.incarnation, monotonic(), announce.address
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
        state.identity,
        state.members.group,
        state.settings.bootstrap,
        [member.address for member in state.members.members],
    )


def _announce_to_addresses(
    state: ReplicaState, links: dict[str, Link]
) -> dict[str, AnnounceReply]:
    """Return the replies by address, this process's own among them."""
    answered = {own_address(state): _own_reply(state)}
    announce_body = Announce(state.identity, own_address(state))

    def announce(address: str, link: Link) -> None:
        try:
            answered[address] = link.call(
                announce_body, AnnounceReply, state.election_seconds
            )
        except TrestleError as error:
            _log.debug('{} does not answer: {}.', address, error.message)
            link.close()

    joinall([spawn(announce, *item) for item in links.items()])
    return answered


def _form_from_seeds(
    state: ReplicaState, answered: dict[str, AnnounceReply]
) -> None:
    seeds = sorted(state.settings.seeds)
    if own_address(state) != seeds[0]:
        return
    if any(reply.group for reply in answered.values()):
        return
    replies = [answered.get(seed) for seed in seeds]
    if not all(reply and reply.forms for reply in replies):
        return
    members = [
        Member(*reply.identity, seed, voter=True)
        for seed, reply in zip(seeds, replies, strict=True)
        if reply
    ]
    hosts = [ListedHost(member.host, member.address) for member in members]
    _append_first_set(state, MemberSet(uuid4().hex, members, sorted(hosts)))


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
    listed = {
        entry.host: ListedHost(entry.host, entry.address, entry.votes)
        for entry in state.settings.members
    }
    formers = [
        reply.identity.host
        for reply in replies
        if reply.forms and listed[reply.identity.host].votes
    ]
    if not formers or min(formers) != state.settings.host:
        return
    members = [_first_member(reply.identity, listed) for reply in replies]
    _append_first_set(
        state, MemberSet(uuid4().hex, members, sorted(listed.values()))
    )


def _append_first_set(state: ReplicaState, member_set: MemberSet) -> None:
    payload = encode_message(member_set)
    with state.log_lock:
        if state.log.last_index:
            return
        append_entries(state, [LogEntry(1, 0, EntryKind.MEMBERS, payload)])
    hosts = [listed.host for listed in member_set.hosts]
    _log.info('Forms the group of {}.', ', '.join(hosts))


def _first_member(
    identity: MemberIdentity, listed: dict[str, ListedHost]
) -> Member:
    own = listed[identity.host]
    return Member(*identity, own.address, voter=own.votes)
