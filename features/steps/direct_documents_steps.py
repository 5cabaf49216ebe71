"""Steps on route documents: the highest version, and the first one."""

from typing import Any

from behave import given, then, when
from behave.runner import Context
from msgspec.json import encode

from trestle_control.apply import ControlStateMachine
from trestle_core.metrics import Metrics
from trestle_core.route_table import DEFAULT_LIMITS, RouteTable
from trestle_core.settings import DirectSettings
from trestle_entry.direct.direct_app import follow_control
from trestle_entry.direct.direct_context import DirectContext
from trestle_links.codec import BadFrameError
from trestle_links.control_client import ControlClient
from trestle_links.direct_messages import DocumentDelta, PublishDocument
from trestle_links.link import Identity
from trestle_links.node_view import NodeView
from trestle_links.packed_document import pack_document, unpack_document
from trestle_links.watch_messages import Stamp


@given('an empty control state')
def step_state(context: Context) -> None:
    """Make a state machine."""
    context.machine = ControlStateMachine()


@when('versions 3, 7, 5 and again 7 with other content are published')
def step_publish(context: Context) -> None:
    """Apply the publications."""
    sent = [(3, b'three'), (7, b'seven'), (5, b'five'), (7, b'other')]
    context.replies = [
        context.machine.apply(index, PublishDocument(*document))
        for index, document in enumerate(sent, start=1)
    ]


@then('version 7 is in force with its first content')
def step_in_force(context: Context) -> None:
    """Check the state and a copy made from its snapshot."""
    copy = ControlStateMachine()
    copy.restore(context.machine.snapshot())
    for machine in (context.machine, copy):
        assert machine.state.document_version == 7
        assert machine.state.document == b'seven'


@then('each publication was acknowledged')
def step_acknowledged(context: Context) -> None:
    """Check that every reply names the version in force."""
    assert [reply.version for reply in context.replies] == [3, 7, 7, 7]


@given('a node that holds document 7')
def step_node(context: Context) -> None:
    """Make a node's view."""
    context.view = NodeView()
    assert context.view.take_document(DocumentDelta(7, b'seven', 4))


@when('another host sends document 5')
def step_older(context: Context) -> None:
    """Offer an older document from a host that lags."""
    context.taken = context.view.take_document(DocumentDelta(5, b'five', 9))


@then('the node still holds document 7')
def step_still(context: Context) -> None:
    """Check that nothing went back."""
    assert not context.taken
    assert context.view.document == b'seven'


@given('an entry that follows a control host which replays its log')
def step_follows(context: Context) -> None:
    """Join a context and a client that is connected to nothing."""
    settings = DirectSettings(
        host='e1', zone='z', key_file='', control=['127.0.0.1:1']
    )
    metrics = Metrics()
    context.client = ControlClient.from_config(
        settings, Identity('e1', b'', metrics), 'entry', [], metrics
    )
    wire: Any = None
    context.direct = DirectContext(settings, wire, wire, metrics)

    def read_table(content: bytes) -> RouteTable:
        return RouteTable(int(content), [], {}, DEFAULT_LIMITS)

    follow_control(context.direct, context.client, read_table)
    context.client.freshness.begin_stream()


@when('documents 3 and 9 come without a stamp')
def step_documents(context: Context) -> None:
    """Deliver what a replayed log gives first."""
    for version in (3, 9):
        deliver_document(context, version)


@when('document {version:d} comes without a stamp')
def step_one_document(context: Context, version: int) -> None:
    """Deliver a later document."""
    deliver_document(context, version)


def deliver_document(context: Context, version: int) -> None:
    """Deliver a document as the stream does."""
    delta = DocumentDelta(
        version, pack_document(str(version).encode()), version
    )
    context.client.takers[DocumentDelta](delta)


@when('a fresh stamp comes')
def step_stamp(context: Context) -> None:
    """Deliver a stamp that confirms the state."""
    context.client.freshness.note_ask(0)
    context.client.takers[Stamp](Stamp(0, 9, 0, 0))


@then('the entry holds no table')
def step_no_table(context: Context) -> None:
    """Check that nothing is served yet."""
    assert context.direct.table is None


@then('the entry holds table {version:d}')
def step_holds_table(context: Context, version: int) -> None:
    """Check the table in force."""
    assert context.direct.table.version == version


@given('a document of {count:d} routes')
def step_long_document(context: Context, count: int) -> None:
    """Make a document as operators write it."""
    routes = [
        {
            'name': f'r-{number}',
            'host': f'host{number % 7}.example',
            'pathPrefix': f'/path{number * 7919}/',
            'timeoutMs': 3000,
            'priority': 1,
            'service': f'service-{number % 5}',
            'maxAttempts': 2,
        }
        for number in range(count)
    ]
    context.content = encode({'version': 7, 'routes': routes})


@when('it is packed')
def step_pack(context: Context) -> None:
    """Pack the document."""
    context.packed = pack_document(context.content)


@then('it takes a tenth of its bytes')
def step_tenth(context: Context) -> None:
    """Compare the sizes."""
    assert len(context.packed) * 10 < len(context.content)


@then('unpacked it is byte for byte the same')
def step_same(context: Context) -> None:
    """Unpack the document."""
    assert unpack_document(context.packed) == context.content


@then('its packed form cut, doubled or foreign is refused')
def step_foreign(context: Context) -> None:
    """Unpack what no control host sends."""
    packed = pack_document(context.content)
    for foreign in (
        packed[:-5],
        packed * 2,
        packed[1:],
        b'GET / HTTP/1.1',
        b'',
    ):
        refused = False
        try:
            unpack_document(foreign)
        except BadFrameError:
            refused = True
        assert refused, foreign[:20]


@then('it is taken as it stands')
def step_plain(context: Context) -> None:
    """Unpack what was never packed."""
    assert unpack_document(context.content) == context.content
