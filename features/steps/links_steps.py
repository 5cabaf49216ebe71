"""Steps on links: keys and malformed frames."""

from behave import then, when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from testbed.metrics import read_counter
from testbed.processes import poll_until
from trestle_core.errors import TrestleError
from trestle_core.metrics import Metrics
from trestle_links.claim_messages import (
    Claim,
    ClaimKey,
    ClaimReply,
    CommitClaim,
    OpenAttempt,
)
from trestle_links.codec import (
    BadFrameError,
    FrameReader,
    decode_message,
    encode_frame,
)
from trestle_links.handshake import read_key
from trestle_links.link import Identity, Link
from trestle_links.permit_messages import Permit
from trestle_links.watch_messages import ReadState, StateReply

EXAMPLES = 2000
CALL_SECONDS = 5.0
LIMIT_SECONDS = 10.0
# A byte that msgpack never uses.
NO_FRAME = b'\xc1' * 8
CLAIM_KEY = ClaimKey('ledger', 'mill', 'a')
PERMIT = Permit('ledger-1', 'incarnation', 7)
MESSAGES = (
    OpenAttempt(CLAIM_KEY, 'digest', 'request'),
    CommitClaim(CLAIM_KEY, 3, PERMIT, '127.0.0.1:1', 'request'),
    ClaimReply(True, Claim(3, PERMIT, '127.0.0.1:1', None)),
)


@st.composite
def damaged_frames(draw: st.DrawFn) -> bytes:
    """Draw a valid frame with one byte changed and perhaps cut."""
    packed = bytearray(encode_frame(1, draw(st.sampled_from(MESSAGES))))
    place = draw(st.integers(0, len(packed) - 1))
    packed[place] = draw(st.integers(0, 255))
    return bytes(packed[: draw(st.integers(place, len(packed)))])


def check_bytes(received: bytes) -> None:
    """Decode bytes; anything but a frame or `BadFrameError` fails."""
    for decode in (lambda raw: list(FrameReader().feed(raw)), decode_message):
        try:
            decode(received)
        except BadFrameError:
            continue


def link_with(context: Context, host: str, key: bytes) -> Link:
    """Return a link of a peer that holds a key."""
    me = Identity('stranger', key, Metrics.empty())
    address = context.bookings.cluster.address_file(host)
    link = Link.to_address(f'@{address}', me)
    context.add_cleanup(link.close)
    return link


def ask(link: Link) -> str:
    """Ask for the status; return the code of the failure, if any."""
    try:
        link.call(ReadState('status', ''), StateReply, CALL_SECONDS)
    except TrestleError as error:
        return error.code.code
    return ''


@then('random bytes and damaged frames give frames or "bad-frame"')
def step_bytes(context: Context) -> None:
    received = st.one_of(st.binary(max_size=200), damaged_frames())
    check = settings(max_examples=EXAMPLES, database=None, deadline=None)(
        for_any(received)(check_bytes)
    )
    check()


@when('a peer with another key asks "{host}"')
def step_other_key(context: Context, host: str) -> None:
    context.code = ask(link_with(context, host, b'another key' * 3))


@then('it is refused')
def step_refused(context: Context) -> None:
    assert context.code in {'bad-handshake', 'link-down'}, context.code


@when('a peer with the key sends bytes that are no frame to "{host}"')
def step_no_frame(context: Context, host: str) -> None:
    key = read_key(str(context.bookings.cluster.key_file))
    context.link = link_with(context, host, key)
    assert not ask(context.link)
    context.connection = context.link.connection
    context.connection.send(NO_FRAME)


@then('its connection is closed')
def step_closed(context: Context) -> None:
    assert context.connection.lost.wait(LIMIT_SECONDS)


@then('"{host}" counts {count:d} of "{series}" with "{label}"')
def step_counts(
    context: Context, host: str, count: int, series: str, label: str
) -> None:
    count_labelled(context, host, count, series, label)


@then('"{host}" counts {count:d} of "{series}" with ""')
def step_counts_plain(
    context: Context, host: str, count: int, series: str
) -> None:
    count_labelled(context, host, count, series, '')


def count_labelled(
    context: Context, host: str, count: int, series: str, label: str
) -> None:
    """Wait until a counter of a process has a value."""
    address = context.bookings.cluster.http_address(host)
    poll_until(
        lambda: read_counter(address, series, label) == count,
        LIMIT_SECONDS,
        f'{series} of {host}',
    )
