"""Parts of a direct entry that run inside a test, without control hosts."""

from typing import Any

from trestle_core.metrics import Metrics
from trestle_core.settings import DirectSettings
from trestle_entry.direct.caller_server import CallerServer
from trestle_entry.direct.direct_context import DirectContext


def make_caller_server(wire: Any) -> CallerServer:
    """Return a callers' server on a free port, not started yet.

    It has no route table; `wire` decodes requests, and may be missing where
    none is decoded.
    """
    context = DirectContext(make_direct_settings(), wire, wire, Metrics())
    return CallerServer(context)


def make_direct_settings(**changes: Any) -> DirectSettings:
    """Return settings of an entry on a free port, without control hosts."""
    usual: dict[str, Any] = {
        'host': 'e1',
        'zone': 'z1',
        'key_file': '',
        'control': ['127.0.0.1:1'],
        'http_listen': '127.0.0.1:0',
    }
    return DirectSettings(**{**usual, **changes})
