"""Steps on the model of the duty."""

from behave import then, when
from behave.runner import Context

from testbed.duty_model import PROTOCOL, VARIANTS, explore


@when('the duty model explores the protocol')
def step_protocol(context: Context) -> None:
    """Visit every state."""
    context.result = explore(PROTOCOL)


@when('the duty model explores the variant "{variant}"')
def step_variant(context: Context, variant: str) -> None:
    """Visit states up to the first violation."""
    assert variant in VARIANTS
    context.result = explore(variant)


@then('it breaks no rule in more than {states:d} states')
def step_holds(context: Context, states: int) -> None:
    """Check that it found nothing, and looked at much."""
    assert not context.result.violation, context.result
    assert context.result.states > states, context.result


@then('it finds "{violation}"')
def step_found(context: Context, violation: str) -> None:
    """Check what broke."""
    assert context.result.violation == violation, context.result
