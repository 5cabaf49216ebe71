"""Steps on manifests that cannot be used."""

from io import BytesIO
from typing import Any
from unittest.mock import Mock

from behave import then, when
from behave.runner import Context

from trestle_core.metrics import Metrics
from trestle_platform.operator_api import OperatorApi

SOUND = b"""{
    "version": 3,
    "routes": [{
        "name": "r", "host": "firm.example", "pathPrefix": "/a/",
        "kind": "safe", "timeoutMs": 3000, "service": "desk",
        "trafficSplit": [{"service": "desk", "weight": 1}]
    }],
    "services": [{"name": "desk", "engine": {"kvTokenBytes": 9}}],
    "limits": {"idleTimeoutMs": 15000},
    "note": "n"
}"""
DIGITS = b'9' * 300
NESTED = b'[' * 100_000 + b']' * 100_000
ODD_CUSTOMERS = {
    'customers that share a key': (
        b'{"name": "a", "apiKeys": ["k"]}, {"name": "b", "apiKeys": ["k"]}'
    ),
    'a customer without a name': b'{"name": "", "apiKeys": ["k"]}',
    'a customer whose name is a line': b'{"name": "a\\n", "apiKeys": ["k"]}',
    'two customers of one name': (
        b'{"name": "a", "apiKeys": ["k"]}, {"name": "a", "apiKeys": ["l"]}'
    ),
    'an empty key': b'{"name": "a", "apiKeys": ["k", ""]}',
    'a key that is a number': b'{"name": "a", "apiKeys": [7]}',
    'a customer without keys at all': b'{"name": "a"}',
}
# What is replaced in the sound manifest, and by what.
ODD = {
    'nothing odd': (b'"n"', b'"m"'),
    'nesting in an unknown field': (b'"n"', NESTED),
    'nesting at its top': (SOUND, NESTED),
    'a version of 64 bits': (b'"version": 3', b'"version": %d' % 2**63),
    'a version of 300 digits': (b'"version": 3', b'"version": ' + DIGITS),
    'a weight of 300 digits': (b'"weight": 1', b'"weight": ' + DIGITS),
    'a time limit of 300 digits': (b'3000', DIGITS),
    'a token size of 300 digits': (b': 9', b': 1' + b'0' * 300),
    'an idle time of 64 bits': (b'15000', b'%d' % 2**63),
    'half a surrogate pair in a name': (b'"r"', b'"\\ud800"'),
    'bytes that are no UTF-8 in a name': (b'"r"', b'"\xff"'),
    'bytes that are no UTF-8 elsewhere': (b'"n"', b'"\xff"'),
    'an unknown service beside a split': (
        b'"service": "desk",\n',
        b'"service": "x",\n',
    ),
    'control bytes in a name': (b'"r"', b'"\x01"'),
    'two documents': (SOUND, SOUND * 2),
    **{
        odd: (b'"note": "n"', b'"tenants": [%b]' % customers)
        for odd, customers in ODD_CUSTOMERS.items()
    },
}


@when('an operator sends a manifest with {odd}')
def step_send(context: Context, odd: str) -> None:
    """Send it to the operators' interface of one host."""
    replaced, replacement = ODD[odd]
    assert replaced in SOUND, replaced
    content = SOUND.replace(replaced, replacement)
    context.documents = Mock()
    context.documents.publish.return_value = 3
    api = OperatorApi('127.0.0.1:0', context.documents, Metrics())
    environ = {
        'PATH_INFO': '/config',
        'REQUEST_METHOD': 'PUT',
        'CONTENT_LENGTH': str(len(content)),
        'wsgi.input': BytesIO(content),
    }

    def start_response(status: str, _headers: Any) -> None:
        context.status = int(status[:3])

    api.handle_request(environ, start_response)


@then('it is answered {status:d} and not published')
def step_refused(context: Context, status: int) -> None:
    """Check the status, and that nothing was published."""
    assert context.status == status, context.status
    assert not context.documents.publish.called


@then('it is answered {status:d} and published')
def step_published(context: Context, status: int) -> None:
    """Check the status and that it was published."""
    assert context.status == status, context.status
    assert context.documents.publish.called
