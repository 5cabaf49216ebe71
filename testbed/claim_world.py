"""The claim register, endpoint process and sends as the claim model sees them.

The commands on the register are those of trestle_control.claim_commands.
"""

from typing import Final, NamedTuple

PROTOCOL: Final = 'protocol'
VARIANTS: Final = (
    # An overloaded entry refuses without asking the register.
    'early-refusal',
    # A refusal reads the register and commits nothing.
    'read-refusal',
    # A claim is released because the endpoint process has restarted.
    'release-on-restart',
    # A permit of an earlier incarnation is taken for one of this.
    'no-incarnation',
    # A used permit is forgotten before its outcome is committed.
    'forget-early',
    # A send takes a new attempt number after it released a claim.
    'reopen',
    # A release bars the attempt, and a barred attempt answers `not-run`.
    'barred-by-release',
    # The refusal of an attempt that is barred already commits nothing.
    'kept-mark',
)


class Permit(NamedTuple):
    """A permit; the first attempt of the send it is for is a note."""

    incarnation: int
    serial: int
    attempt: int


class Claim(NamedTuple):
    """What the register holds; no outcome is the empty text."""

    permit: Permit
    outcome: str = ''


class Register(NamedTuple):
    """The replicated register of the key."""

    opened: int = 0
    refused: int = 0
    claim: Claim | None = None


class Endpoint(NamedTuple):
    """The endpoint process: outstanding permits, and used ones' results."""

    incarnation: int = 1
    unused: frozenset[Permit] = frozenset()
    used: frozenset[tuple[Permit, str]] = frozenset()


class Send(NamedTuple):
    """One send of the key and the permit that it holds or follows."""

    phase: str = 'new'
    attempt: int = 0
    permit: Permit | None = None
    first: int = 0


class Frame(NamedTuple):
    """A message that may arrive again at any later time."""

    kind: str
    attempt: int = 0
    permit: Permit | None = None
    outcome: str = ''


class World(NamedTuple):
    """Everything; `barred` is the highest attempt that may not execute."""

    register: Register
    endpoint: Endpoint
    sends: tuple[Send, ...]
    frames: frozenset[Frame] = frozenset()
    serial: int = 0
    executions: tuple[int, ...] = ()
    barred: int = 0
    losses: int = 0
    violation: str = ''


Step = tuple[str, World]


def apply(register: Register, frame: Frame, variant: str) -> Register:
    """Return the register after a command; see claim_commands.py."""
    claim = register.claim
    if frame.kind == 'refuse' and claim is None:
        return refuse(register, frame, variant)
    if frame.kind == 'commit' and claim is None:
        assert frame.permit
        barred = frame.attempt <= register.refused
        if not barred:
            return register._replace(claim=Claim(frame.permit))
    if claim and claim.permit == frame.permit and not claim.outcome:
        if frame.kind == 'release' or frame.outcome == 'not-run':
            return free(register, variant)
        if frame.kind == 'record':
            return register._replace(claim=Claim(claim.permit, frame.outcome))
    return register


def refuse(register: Register, frame: Frame, variant: str) -> Register:
    """Bar every attempt opened so far."""
    if variant == 'read-refusal':
        return register
    if variant == 'kept-mark' and frame.attempt <= register.refused:
        return register
    return register._replace(refused=register.opened)


def free(register: Register, variant: str) -> Register:
    """Drop a claim that was never used."""
    refused = register.refused
    if variant in {'barred-by-release', 'kept-mark'}:
        assert register.claim
        refused = max(refused, register.claim.permit.attempt)
    return register._replace(claim=None, refused=refused)


def submit(world: World, frame: Frame, variant: str) -> World:
    """Apply a command; its frame may arrive again."""
    return world._replace(
        register=apply(world.register, frame, variant),
        frames=world.frames | {frame},
    )


def with_send(world: World, index: int, send: Send) -> World:
    """Return the world with one send changed."""
    sends = world.sends
    return world._replace(sends=(*sends[:index], send, *sends[index + 1 :]))


def hear(world: World, index: int, attempt: int) -> World:
    """Go on from a reply that shows the claim, or that none stands."""
    claim = world.register.claim
    first = world.sends[index].first or attempt
    send = Send('open', attempt, first=first)
    if claim:
        phase = 'done' if claim.outcome else 'follow'
        send = Send(phase, attempt, claim.permit, first)
    return with_send(world, index, send)


def answer_not_run(world: World, index: int, attempt: int) -> World:
    """Answer `not-run` and note which attempts it bars."""
    violation = 'not-run after an execution' if world.executions else ''
    world = world._replace(barred=world.register.opened, violation=violation)
    return with_send(world, index, Send('done', attempt))
