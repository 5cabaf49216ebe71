"""Steps on paths that the routes of an entry do not know."""

from behave import then, when
from behave.runner import Context
from msgspec.json import decode, encode

from testbed.customer_entry import customer_document
from trestle_entry.direct.replies import DirectReply
from trestle_platform.manifest import read_table

LIMIT_SECONDS = 10.0


@when('version 2 arrives, which has a route at "{prefix}"')
def step_new_route(context: Context, prefix: str) -> None:
    """Put a table with one more route in force, and confirm it."""
    document = decode(customer_document(2))
    added = {**document['routes'][0], 'name': 'new', 'pathPrefix': prefix}
    document['routes'].append(added)
    context.entry.context.table = read_table(encode(document))
    context.entry.confirm()


def reply_of(context: Context) -> DirectReply:
    """Return the answer to the call."""
    reply: DirectReply = context.called.get(timeout=LIMIT_SECONDS)
    return reply


@then('it is answered 200 by the new route')
def step_served(context: Context) -> None:
    """Check that a back end got it."""
    assert reply_of(context).status == 200
    assert len(context.entry.replica.ran) == 1


@then('it is answered 404 as the newest routes say')
def step_denied(context: Context) -> None:
    """Check that it was denied and ran nowhere."""
    assert reply_of(context).status == 404
    assert not context.entry.replica.ran


@then('it is answered 503 with a time to come back')
def step_refused(context: Context) -> None:
    """Check that it was refused as not run."""
    reply = reply_of(context)
    names = {name.lower() for name, _ in reply.headers}
    assert reply.status == 503, reply
    assert 'retry-after' in names, reply
    assert context.entry.counted('denied_paths', 'unconfirmed') == 1
