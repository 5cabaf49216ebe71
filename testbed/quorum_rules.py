"""The quorum rule in use, and variants that lack one of its conditions."""

from collections.abc import Set
from typing import Final

from testbed.quorum_world import Rule
from trestle_control.quorums import VotersInForce, is_quorum

PROTOCOL: Final = 'protocol'


def majority_of_the_rest(
    in_force: VotersInForce, members: Set[str], lost: Set[str], wanted: int
) -> bool:
    """Take those that are left for the whole group."""
    rest = in_force.voters - lost
    return is_quorum(in_force, members, lost, wanted) or (
        len(rest & members) > len(rest) // 2
    )


def with_votes_of_lost(
    in_force: VotersInForce, members: Set[str], lost: Set[str], wanted: int
) -> bool:
    """Count members that lost their disks since."""
    has_lost = len(in_force.voters & lost) == wanted // 2
    return is_quorum(in_force, members, lost, wanted) or (
        in_force.is_committed and has_lost and is_half(in_force, members)
    )


def with_fewer_lost(
    in_force: VotersInForce, members: Set[str], lost: Set[str], wanted: int
) -> bool:
    """Let half of the voters count although more may be lost."""
    return is_quorum(in_force, members, lost, wanted) or (
        in_force.is_committed and is_half(in_force, members - lost)
    )


def in_uncommitted_sets(
    in_force: VotersInForce, members: Set[str], lost: Set[str], wanted: int
) -> bool:
    """Let half of the voters count before their set is committed."""
    has_lost = len(in_force.voters & lost) == wanted // 2
    return is_quorum(in_force, members, lost, wanted) or (
        has_lost and is_half(in_force, members - lost)
    )


def is_half(in_force: VotersInForce, members: Set[str]) -> bool:
    """Return whether members are half of an even number of voters."""
    voters = in_force.voters
    return not len(voters) % 2 and len(voters & members) * 2 >= len(voters)


def without_the_set_before(
    in_force: VotersInForce, members: Set[str], lost: Set[str], wanted: int
) -> bool:
    """Change away from an even set with a majority of the next one alone."""
    alone = in_force._replace(previous=frozenset())
    return is_quorum(alone, members, lost, wanted)


RULES: Final[dict[str, Rule]] = {
    PROTOCOL: is_quorum,
    'majority-of-the-rest': majority_of_the_rest,
    'votes-of-lost-members': with_votes_of_lost,
    'fewer-lost-members': with_fewer_lost,
    'uncommitted-sets': in_uncommitted_sets,
    'without-the-set-before': without_the_set_before,
}
