"""Steps on the quorum rule and its model."""

from random import Random

from behave import given, then, when
from behave.runner import Context

from testbed.quorum_model import explore, walk
from testbed.quorum_rules import PROTOCOL, RULES
from trestle_control.quorums import VotersInForce, is_quorum


@given(
    'voters {voters} of which {wanted:d} are wanted, {committed}, '
    'after voters {before}'
)
def step_voters(
    context: Context, voters: str, wanted: int, committed: str, before: str
) -> None:
    """Name each voter by a digit."""
    context.wanted = wanted
    context.in_force = VotersInForce(
        frozenset(voters), frozenset(before), committed == 'committed'
    )


@then('members {members} are {outcome} while {lost} are proven lost')
def step_outcome(
    context: Context, members: str, outcome: str, lost: str
) -> None:
    """Check the rule; a dash stands for nobody."""
    found = is_quorum(
        context.in_force,
        frozenset(members),
        frozenset(lost) - {'-'},
        context.wanted,
    )
    assert found is (outcome == 'a quorum'), (context.in_force, members, lost)


@when('the quorum model takes {walks:d} walks from seed {seed:d}')
def step_walks(context: Context, walks: int, seed: int) -> None:
    """Explore the rule in use."""
    context.violation = explore(PROTOCOL, walks, seed)


@then('it breaks no promise')
def step_no_violation(context: Context) -> None:
    """Check that no walk found anything."""
    assert not context.violation, context.violation


@when('the quorum model takes the walk "{seed}" with the rule "{variant}"')
def step_walk(context: Context, seed: str, variant: str) -> None:
    """Take one walk, whose number of voters is the last of its seed."""
    context.seed = seed
    context.violation = walk_of(seed, variant)


@then('that walk ends with "{violation}"')
def step_finds(context: Context, violation: str) -> None:
    """Check what the variant breaks."""
    assert context.violation == violation, context.violation


@then('the rule in use passes the same walk')
def step_passes(context: Context) -> None:
    """Take the walk again."""
    violation = walk_of(context.seed, PROTOCOL)
    assert not violation, violation


def walk_of(seed: str, variant: str) -> str:
    """Return what a walk breaks, or nothing."""
    wanted = int(seed.split()[-1])
    return walk(Random(seed), wanted, RULES[variant])
