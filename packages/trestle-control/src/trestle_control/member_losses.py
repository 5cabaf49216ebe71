"""Members that are proven to have lost their disks.

An identity is on the disk of its host. If the process at a member's address
tells the same host and another identity, the disk that the member had is gone,
and so is its process: it never votes or acknowledges again. A proof that
arrived earlier could be that of a disk which was in use before, so the process
is asked at the moment in which the member is missed.
"""

from trestle_control.peers import Peer
from trestle_control.replica_state import ReplicaState
from trestle_control.status_messages import ReplicaStatus, StatusAsk
from trestle_core.errorcodes import WRONG_MEMBER
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger

_log = part_logger('replica')


def note_if_lost(state: ReplicaState, peer: Peer, error: TrestleError) -> bool:
    """Record a peer as lost, if its refusal comes from its successor.

    Return whether it was not known to be lost before.
    """
    member = peer.member
    if error.code != WRONG_MEMBER or member.incarnation in state.lost_members:
        return False
    try:
        status = peer.link.call(
            StatusAsk(), ReplicaStatus, state.election_seconds
        )
    except TrestleError as failure:
        _log.info('{} tells no identity: {}.', member.host, failure.message)
        return False
    if status.host != member.host or status.incarnation == member.incarnation:
        return False
    state.lost_members.add(member.incarnation)
    state.local_identity.metrics.count('replica_members_lost')
    _log.warning(
        '{} lost the disk of {}; its process is {} now.',
        member.host,
        member.incarnation[:8],
        status.incarnation[:8],
    )
    return True
