"""Steps on the claim model."""

from behave import then, when
from behave.runner import Context

from testbed.claim_model import explore
from testbed.claim_world import PROTOCOL, VARIANTS


@when('the claim model explores the protocol')
def step_protocol(context: Context) -> None:
    context.result = explore(PROTOCOL)


@when('the claim model explores the variant "{variant}" with {losses:d} losses')
def step_variant(context: Context, variant: str, losses: int) -> None:
    assert variant in VARIANTS
    context.result = explore(variant, losses=losses)


@then('no state breaks a rule')
def step_holds(context: Context) -> None:
    assert not context.result.violation, context.result
    # A model that explores next to nothing proves nothing.
    assert context.result.states > 40_000, context.result.states


@then('it finds a state that is "{violation}"')
def step_found(context: Context, violation: str) -> None:
    assert context.result.violation == violation, context.result
