"""The steps of the claim model: what can happen next in a world."""

from collections.abc import Iterator
from typing import Final

from testbed.claim_world import (
    Endpoint,
    Frame,
    Permit,
    Send,
    Step,
    World,
    answer_not_run,
    apply,
    hear,
    submit,
    with_send,
)

MAX_PERMITS: Final = 3
INCARNATIONS: Final = 2


def steps(world: World, variant: str) -> Iterator[Step]:
    """Yield every step that can come next."""
    for index, send in enumerate(world.sends):
        for name, then in SEND_STEPS[send.phase](world, index, variant):
            yield f'{name}-{index + 1}', then
    for frame in world.frames:
        if frame.kind == 'dispatch':
            yield 'dispatch arrives', begin(world, frame.permit, variant)
        elif world.losses:
            register = apply(world.register, frame, variant)
            again = world._replace(register=register, losses=world.losses - 1)
            yield f'{frame.kind} arrives again', again
    yield from endpoint_steps(world, variant)


def lose(name: str, then: World) -> Iterator[Step]:
    """Yield a command of which the sender hears no reply."""
    if then.losses:
        yield f'{name}, reply lost', then._replace(losses=then.losses - 1)


def new_steps(world: World, index: int, variant: str) -> Iterator[Step]:
    """Open an attempt."""
    if variant == 'early-refusal':
        yield 'refuse-early', answer_not_run(world, index, 0)
    opened = world.register.opened + 1
    register = world.register._replace(opened=opened)
    yield 'open', hear(world._replace(register=register), index, opened)


def open_steps(world: World, index: int, variant: str) -> Iterator[Step]:
    """Obtain a permit, or go on to refuse."""
    send = world.sends[index]
    yield from refuse_steps(world, index, variant)
    if world.serial < MAX_PERMITS:
        endpoint = world.endpoint
        permit = Permit(endpoint.incarnation, world.serial, send.first)
        then = world._replace(
            serial=world.serial + 1,
            endpoint=endpoint._replace(unused=endpoint.unused | {permit}),
        )
        yield (
            'permit',
            with_send(then, index, send._replace(phase='hold', permit=permit)),
        )


def refuse_steps(world: World, index: int, variant: str) -> Iterator[Step]:
    """Commit a refusal; a send that began to refuse goes on with it."""
    attempt = world.sends[index].attempt
    then = submit(world, Frame('refuse', attempt), variant)
    refusing = with_send(then, index, Send('refuse', attempt))
    yield from lose('refuse', refusing)
    if then.register.claim:
        yield 'refuse', hear(then, index, attempt)
    else:
        yield 'refuse', answer_not_run(then, index, attempt)


def hold_steps(world: World, index: int, variant: str) -> Iterator[Step]:
    """Commit the claim; without one the attempt is barred."""
    send = world.sends[index]
    then = submit(world, Frame('commit', send.attempt, send.permit), variant)
    yield from lose('commit', then)
    claim = then.register.claim
    if claim and claim.permit == send.permit and not claim.outcome:
        yield 'commit', with_send(then, index, send._replace(phase='claimed'))
    elif claim is None and variant == 'barred-by-release':
        yield 'barred', answer_not_run(then, index, send.attempt)
    else:
        yield 'commit', hear(then, index, send.attempt)


def claimed_steps(world: World, index: int, variant: str) -> Iterator[Step]:
    """Dispatch with the permit, then follow the own claim.

    A dispatch that was too late, or whose permit expired, is one that never
    arrives.
    """
    send = world.sends[index]
    then = world._replace(
        frames=world.frames | {Frame('dispatch', permit=send.permit)}
    )
    yield 'dispatch', with_send(then, index, send._replace(phase='follow'))


def follow_steps(world: World, index: int, variant: str) -> Iterator[Step]:
    """Revoke the permit of the claim and act on the answer."""
    send = world.sends[index]
    permit = send.permit
    assert permit
    endpoint = world.endpoint
    result = dict(endpoint.used).get(permit, 'not-run')
    if permit.incarnation != endpoint.incarnation:
        result = 'doubt'
        if variant == 'release-on-restart':
            result = 'not-run'
    endpoint = endpoint._replace(unused=endpoint.unused - {permit})
    then = world._replace(endpoint=endpoint)
    if result == 'not-run':
        yield 'revoke', with_send(then, index, send._replace(phase='proved'))
    elif result == 'ran' or permit.incarnation != endpoint.incarnation:
        frame = Frame('record', permit=permit, outcome=result)
        then = submit(then, frame, variant)
        yield from lose('record', then)
        yield 'record', hear(then, index, send.attempt)


def proved_steps(world: World, index: int, variant: str) -> Iterator[Step]:
    """Release the claim whose permit was revoked unused."""
    send = world.sends[index]
    then = submit(world, Frame('release', permit=send.permit), variant)
    yield from lose('release', then)
    if variant == 'reopen' and then.register.claim is None:
        yield 'release', with_send(then, index, Send(first=send.first))
    else:
        yield 'release', hear(then, index, send.attempt)


def done_steps(world: World, index: int, variant: str) -> Iterator[Step]:
    """Return no steps: the send has its answer."""
    return iter(())


SEND_STEPS: Final = {
    'new': new_steps,
    'open': open_steps,
    'refuse': refuse_steps,
    'hold': hold_steps,
    'claimed': claimed_steps,
    'follow': follow_steps,
    'proved': proved_steps,
    'done': done_steps,
}


def begin(world: World, permit: Permit | None, variant: str) -> World:
    """Deliver a dispatch; only an outstanding permit starts the call."""
    assert permit
    endpoint = world.endpoint
    known = permit in endpoint.unused
    if variant == 'no-incarnation':
        known = known or permit not in dict(endpoint.used)
    if not known:
        return world
    endpoint = endpoint._replace(
        unused=endpoint.unused - {permit},
        used=endpoint.used | {(permit, 'running')},
    )
    return world._replace(endpoint=endpoint)


def endpoint_steps(world: World, variant: str) -> Iterator[Step]:
    """Yield what the endpoint process does by itself."""
    endpoint = world.endpoint
    for permit, result in endpoint.used:
        if result == 'running':
            yield 'no place', with_result(world, permit, 'not-run')
            then = execute(world, permit)
            yield 'execute', with_result(then, permit, 'ran')
            yield 'execute, answer lost', with_result(then, permit, 'doubt')
        else:
            yield from settle(world, permit, result, variant)
    if endpoint.incarnation < INCARNATIONS:
        restarted = Endpoint(endpoint.incarnation + 1)
        yield 'restart', world._replace(endpoint=restarted)


def with_result(world: World, permit: Permit, result: str) -> World:
    """Note the result of a running permit."""
    endpoint = world.endpoint
    used = endpoint.used - {(permit, 'running')} | {(permit, result)}
    return world._replace(endpoint=endpoint._replace(used=used))


def execute(world: World, permit: Permit) -> World:
    """Run the call at the service and check both rules."""
    violation = ''
    if world.executions:
        violation = 'executed twice'
    elif permit.attempt <= world.barred:
        violation = 'executed after not-run was answered'
    executions = (*world.executions, permit.attempt)
    return world._replace(executions=executions, violation=violation)


def settle(
    world: World, permit: Permit, result: str, variant: str
) -> Iterator[Step]:
    """Commit an outcome and forget the permit once there is a reply."""
    endpoint = world.endpoint
    used = endpoint.used - {(permit, result)}
    forgotten = endpoint._replace(used=used)
    if variant == 'forget-early':
        yield 'forget', world._replace(endpoint=forgotten)
    frame = Frame('record', permit=permit, outcome=result)
    then = submit(world, frame, variant)
    yield from lose('settle', then)
    yield 'settle', then._replace(endpoint=forgotten)
