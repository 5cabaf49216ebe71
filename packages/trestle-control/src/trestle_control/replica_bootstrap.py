"""Bootstraps the group and announces processes that are not members.

The group is bootstrapped only when every listed host replies that its data
folder is empty, and by one host only: the first by name of the voters with the
setting `bootstrap`. One host with a non-empty folder proves that a group
exists, and an empty folder then means a lost disk. So a group that loses two
disks out of three waits for an operator; a second group without the data of
the first is never formed.

Settings that list seeds instead of members contain the addresses of the
seeds, but not the number of members. The seeds bootstrap the group when all of
them reply that they hold no entry of a group, and a majority of them that their
folders are from the first start and were never lost. The group that an
earlier process may have begun has the same seeds as its voters, so without an
entry on a majority of them it has committed nothing. Its folder that was lost
holds its only entry and can't come back, so it never will. One lost folder is
borne.

After the loss of a majority of the seeds, these can't tell whether there was a
group. All wanted voters together can: nothing is acknowledged before the group
has so many, and then a majority of them holds entries. So if they are all the
hosts there are, all reply, and a majority has folders that were never lost and
hold no entry, nothing was acknowledged. What an earlier leader may have done
without an acknowledgement, such as orders, bears terms far below those of the
new group.

Any other process with the shared key joins the group later.
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
from trestle_control.replica_state import JoiningMember, ReplicaState
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_links.codec import encode_message
from trestle_links.connection import Channel
from trestle_links.link import Link, LinkPool

_DETACHED_ELECTION_TIMEOUTS: Final = 4
# Far more terms than a group can have had before it had its wanted voters.
_TERMS_OF_LOST_GROUP: Final = 1000

_log = part_logger('replica')


def run_announcements(state: ReplicaState) -> None:
    """Announce this identity whenever it is not part of a group."""
    if state.settings.seeds:
        run_seed_announcements(state)
        return
    links = {
        listed.host: link_to(state, MemberIdentity(listed.host, ''))
        for listed in state.settings.members
        if listed.host != state.settings.host
    }
    while state.running:
        if _is_detached(state):
            replies = _announce_to_members(state, links)
            _bootstrap_from_members(state, replies)
        sleep(state.heartbeat_seconds * 2)


def run_seed_announcements(state: ReplicaState) -> None:
    """Announce this identity to the seeds and the members they report."""
    pool = LinkPool(state.local_identity)
    before: list[MemberIdentity] = []
    while state.running:
        if _is_detached(state):
            addresses = state.seeds | _joined_addresses(state)
            links = {
                address: pool.link_to(address)
                for address in addresses
                if address != local_address(state)
            }
            replies = _announce_to_seeds(state, links)
            for reply in replies.values():
                state.seeds.update(reply.members)
            before = bootstrap_from_seeds(state, replies, before)
        sleep(state.heartbeat_seconds * 2)
    pool.close()


def _joined_addresses(state: ReplicaState) -> set[str]:
    """Return the addresses of the members, and of hosts that want to join."""
    members = {member.address for member in state.members.members}
    joining = {host.address for host in state.joining_members.values()}
    return members | (joining - {''})


def local_address(state: ReplicaState) -> str:
    """Return the peer address that this process announces."""
    return state.settings.advertise or state.settings.listen


def announce_handler(
    state: ReplicaState, announce: Announce, _: Channel
) -> AnnounceReply:
    """Record a joining member and reply with the local identity."""
    joining = announce.identity
    if find_member(state.members, joining.incarnation) is None:
        state.joining_members[joining.host] = JoiningMember(
            joining.incarnation, monotonic(), announce.address
        )
    return _announce_reply(state)


def _is_detached(state: ReplicaState) -> bool:
    # A removed member never receives the entry that removes it. It notices
    # only that no leader sends to it any more.
    silent_seconds = monotonic() - state.leader_contact_at
    is_silent = (
        silent_seconds > state.election_seconds * _DETACHED_ELECTION_TIMEOUTS
    )
    is_member = find_member(state.members, state.incarnation) is not None
    return not state.is_leader and (is_silent or not is_member)


def _announce_reply(state: ReplicaState) -> AnnounceReply:
    return AnnounceReply(
        state.member_identity,
        state.members.group,
        state.settings.bootstrap or state.vote_file.record.is_original,
        [member.address for member in state.members.members],
    )


def _announce_to_seeds(
    state: ReplicaState, links: dict[str, Link]
) -> dict[str, AnnounceReply]:
    """Return the replies by address, including the local one."""
    replies = {local_address(state): _announce_reply(state)}
    announce_body = Announce(state.member_identity, local_address(state))

    def announce(address: str, link: Link) -> None:
        try:
            replies[address] = link.call(
                announce_body, AnnounceReply, state.election_seconds
            )
        except TrestleError as error:
            _log.debug('Announcement to {} failed: {}.', address, error.message)
            link.close()

    joinall([spawn(announce, *item) for item in links.items()])
    return replies


def bootstrap_from_seeds(
    state: ReplicaState,
    replies_by_address: dict[str, AnnounceReply],
    before: list[MemberIdentity],
) -> list[MemberIdentity]:
    """Form the group if this host is to; return the seeds without a group.

    `before` are those of the last round.
    """
    seeds = sorted(state.settings.seeds)
    if any(reply.group for reply in replies_by_address.values()):
        return []
    if not all(seed in replies_by_address for seed in seeds):
        return []
    replies = [replies_by_address[seed] for seed in seeds]
    identities = [
        replies_by_address[address].identity
        for address in sorted(replies_by_address)
    ]
    originals = [
        seed for seed, reply in zip(seeds, replies, strict=True) if reply.forms
    ]
    if not originals or originals[0] != local_address(state):
        return identities
    # What a lost process has sent may still be on its way to the others.
    is_settled = len(originals) == len(seeds) or identities == before
    if not is_settled:
        return identities
    seed_identities = [reply.identity for reply in replies]
    if len(originals) > len(seeds) // 2:
        _form_group(state, seeds, seed_identities)
    elif _has_none_acknowledged(state, replies_by_address):
        state.adopt_term(state.term + _TERMS_OF_LOST_GROUP)
        _form_group(state, seeds, seed_identities)
    return identities


def _has_none_acknowledged(
    state: ReplicaState, replies_by_address: dict[str, AnnounceReply]
) -> bool:
    """Return whether the replies prove that no group acknowledged anything."""
    wanted = state.settings.wanted_voters
    known = state.seeds | _joined_addresses(state) | {local_address(state)}
    replies = replies_by_address.values()
    hosts = {reply.identity.host for reply in replies}
    if not wanted or len(known) != wanted or len(hosts) != wanted:
        return False
    originals = [reply for reply in replies if reply.forms]
    return len(originals) > wanted // 2


def _form_group(
    state: ReplicaState, seeds: list[str], identities: list[MemberIdentity]
) -> None:
    members = [
        Member(*identity, seed, voter=True)
        for seed, identity in zip(seeds, identities, strict=True)
    ]
    hosts = [ListedHost(member.host, member.address) for member in members]
    _append_initial_set(state, MemberSet(uuid4().hex, members, sorted(hosts)))


def _announce_to_members(
    state: ReplicaState, links: dict[str, Link]
) -> list[AnnounceReply]:
    replies = [_announce_reply(state)]

    def announce(host: str, link: Link) -> None:
        try:
            reply = link.call(
                Announce(state.member_identity),
                AnnounceReply,
                state.election_seconds,
            )
        except TrestleError as error:
            _log.debug('Announcement to {} failed: {}.', host, error.message)
            return
        if reply.identity.host == host:
            replies.append(reply)

    joinall([spawn(announce, host, link) for host, link in links.items()])
    return replies


def _bootstrap_from_members(
    state: ReplicaState, replies: list[AnnounceReply]
) -> None:
    hosts = {listed.host for listed in state.settings.members}
    all_replied = hosts == {reply.identity.host for reply in replies}
    if not all_replied or any(reply.group for reply in replies):
        return
    listed = {
        entry.host: ListedHost(entry.host, entry.address, entry.votes)
        for entry in state.settings.members
    }
    eligible_hosts = [
        reply.identity.host
        for reply in replies
        if reply.forms and listed[reply.identity.host].votes
    ]
    if not eligible_hosts or min(eligible_hosts) != state.settings.host:
        return
    members = [_initial_member(reply.identity, listed) for reply in replies]
    _append_initial_set(
        state, MemberSet(uuid4().hex, members, sorted(listed.values()))
    )


def _append_initial_set(state: ReplicaState, member_set: MemberSet) -> None:
    payload = encode_message(member_set)
    with state.log_lock:
        if state.log.last_index:
            return
        append_entries(state, [LogEntry(1, 0, EntryKind.MEMBERS, payload)])
    hosts = [listed.host for listed in member_set.hosts]
    _log.info('Bootstrapping the group of {}.', ', '.join(hosts))


def _initial_member(
    identity: MemberIdentity, listed: dict[str, ListedHost]
) -> Member:
    listed_host = listed[identity.host]
    return Member(*identity, listed_host.address, voter=listed_host.votes)
