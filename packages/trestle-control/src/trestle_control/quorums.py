"""Which members form a quorum, also after disks were lost during a replacement.

A quorum is a majority of the voters. While a host is replaced there is one
voter more than wanted, an even number, and the host that is gone may be one of
them. With as many lost disks as the wanted voters bear, no majority is left.
So once that many voters are proven lost, half of all voters are a quorum, if
none of these is lost. Of six voters, two of them lost:

- any three of the other four share a member with any other three of them;
- any four of the six leave two, so they share a member with any three. This
  holds for four that voted or acknowledged before two of them were lost, too.

Both need that two members never know different losses, so no more voters may
have been lost than the group is to bear; with more, only majorities count.

The argument is about one set of voters. A majority of the set before or after
it may miss a half of this one. So halves count only once their set is
committed, and a change away from such a set needs a quorum of both until it
is committed, too. testbed/quorum_model.py checks all of it.
"""

from collections.abc import Set
from typing import NamedTuple


class VotersInForce(NamedTuple):
    """The voters, by incarnation, that decide on this member's log.

    `previous` are those before the last change, empty without one.
    `is_committed` is true if the change to `voters` is known to be committed.
    """

    voters: frozenset[str]
    previous: frozenset[str]
    is_committed: bool


def has_spare_voter(voters: Set[str], wanted: int) -> bool:
    """Return whether halves of these voters may count, `wanted` of them kept.

    The fewest that bear a loss are three.
    """
    return wanted > 2 and wanted % 2 == 1 and len(voters) == wanted + 1


def is_quorum(
    in_force: VotersInForce, members: Set[str], lost: Set[str], wanted: int
) -> bool:
    """Return whether members, by incarnation, form a quorum.

    `lost` are members that are proven to have lost their disks. `wanted` is
    the number of voters to keep, 0 if it is not known.
    """
    voters = in_force.voters
    if _is_majority(voters, members):
        # Half of the voters before the change could decide otherwise.
        return (
            in_force.is_committed
            or not has_spare_voter(in_force.previous, wanted)
            or _is_majority(in_force.previous, members)
            or _is_safe_half(in_force.previous, members, lost, wanted)
        )
    return in_force.is_committed and _is_safe_half(
        voters, members, lost, wanted
    )


def _is_majority(voters: Set[str], members: Set[str]) -> bool:
    return len(voters & members) > len(voters) // 2


def _is_safe_half(
    voters: Set[str], members: Set[str], lost: Set[str], wanted: int
) -> bool:
    if not has_spare_voter(voters, wanted):
        return False
    # As many as the wanted voters bear.
    if len(voters & lost) != wanted // 2:
        return False
    return len((voters & members) - lost) * 2 >= len(voters)
