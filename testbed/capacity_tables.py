"""What the tables of a node hold, and the frames that recur, in bytes."""

from collections.abc import Callable
from tracemalloc import get_traced_memory, start, stop
from typing import Final

from testbed.slopes import Point, Slope, fit
from trestle_control.registers import Register, RegisterTable
from trestle_core.verdict import Verdict
from trestle_entry.estimates import Estimates
from trestle_links.claim_messages import Claim, ClaimKey, Outcome
from trestle_links.codec import (
    decode_message,
    encode_frame,
    encode_message,
)
from trestle_links.node_view import NodeView
from trestle_links.permit_messages import Permit, PermitAsk, PermitGrant
from trestle_links.watch_messages import (
    EndpointInfo,
    EndpointsDelta,
    Stamp,
    StampAsk,
)

TABLE_SIZES: Final = (1000, 2000, 4000, 8000)


def measure_tables() -> list[Slope]:
    """Measure what the tables of a node hold, in this process."""
    return [
        fit('node memory of an endpoint', 'bytes', held_bytes(hold_endpoints)),
        fit('control memory of a register', 'bytes', held_bytes(hold_claims)),
        fit('entry memory of a prefix piece', 'bytes', held_bytes(hold_pieces)),
    ]


def held_bytes(hold: Callable[[int], object]) -> list[Point]:
    """Return the bytes that a function's result holds, by size."""
    points = []
    for size in TABLE_SIZES:
        start()
        held = hold(size)
        points.append(Point(size, get_traced_memory()[0]))
        stop()
        del held
    return points


def hold_endpoints(size: int) -> object:
    """Hold the view of a fleet, as decoded from a stream."""
    view = NodeView()
    for number in range(size):
        info = sample_endpoint()._replace(host=f'reader-{number}')
        delta = EndpointsDelta([info], whole=False, log_index=number + 1)
        decoded = decode_message(encode_message(delta))
        assert isinstance(decoded, EndpointsDelta)
        view.take_endpoints(decoded)
    return view


def hold_claims(size: int) -> object:
    """Hold registers of bookings that ran."""
    table = RegisterTable()
    for number in range(size):
        key = ClaimKey('order-desk', 'trader', f'key-{number}')
        permit = Permit('desk-1', '0123456789abcdef', number)
        outcome = Outcome(Verdict.RAN, 200, b'x' * 80)
        claim = Claim(1, permit, '10.0.0.1:7000', outcome)
        request = f'{number:032x}'
        table.write(key, Register('0' * 32, 1, 0, claim, [request], number))
    return table


def hold_pieces(size: int) -> object:
    """Hold who served which prompt pieces."""
    estimates = Estimates()
    for number in range(size):
        estimates.record_prompt('reader-1000', [f'{number:016x}'])
    return estimates


def message_sizes() -> dict[str, int]:
    """Return the bytes of the frames that recur."""
    figures = {f'figure-{name}': 1000.5 for name in range(8)}
    permit = Permit('reader-1000', '0123456789abcdef', 1_000_000)
    ask = PermitAsk(
        request_id='0' * 32,
        caller='trader',
        route='certificate-grades',
        target='certificate-reader',
        priority=0,
        prompt_tokens=16_000,
        output_tokens=256,
        pieces=['0123456789abcdef'] * 8,
        left_ms=10_000,
        set_version=1000,
    )
    return {
        'stamp ask': len(encode_frame(1, StampAsk(1000, 1000, figures))),
        'stamp': len(encode_frame(1, Stamp(1000, 1_000_000, 100, 1000))),
        'endpoint in a list': endpoint_bytes(sample_endpoint()),
        'permit ask': len(encode_frame(1, ask)),
        'permit grant': len(
            encode_frame(1, PermitGrant(permit, 100, 8, 8, 4, 1000))
        ),
    }


def sample_endpoint() -> EndpointInfo:
    """Return an endpoint as nodes hold it."""
    return EndpointInfo(
        'reader-1000',
        '0123456789abcdef',
        'plovdiv-a',
        '10.0.0.1:7000',
        'engine',
        'certificate-reader',
        'mixed',
        serving=True,
        cause='admitted',
    )


def endpoint_bytes(endpoint: EndpointInfo) -> int:
    """Return what one endpoint adds to a list of endpoints."""
    one = EndpointsDelta([endpoint], whole=True, log_index=1)
    two = EndpointsDelta([endpoint] * 2, whole=True, log_index=1)
    return len(encode_frame(1, two)) - len(encode_frame(1, one))
