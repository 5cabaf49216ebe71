"""Finds out whether a back end that broke off an answer has crashed.

A back end that crashed refuses connections until it has started again. One
that accepts a connection broke off the answer for another reason, and the
connection is kept for the next request.
"""

from typing import Final

from gevent import sleep, spawn

from trestle_core.logs import part_logger
from trestle_entry.direct.backend_exchange import (
    CONNECT_SECONDS,
    NotSentError,
)
from trestle_entry.direct.connection_pool import connect
from trestle_entry.direct.direct_context import DirectContext
from trestle_links.direct_messages import Backend

# A process that is ending may still accept connections for a moment.
_PAUSES_SECONDS: Final = (0.01, 0.2)

_log = part_logger('crashes')


def probe_after_break(context: DirectContext, instance: str) -> None:
    """Connect to a back end in a separate greenlet, once at a time."""
    backend = context.fleet.backends.get(instance)
    if backend and instance not in context.probed:
        context.probed.add(instance)
        spawn(_probe, context, backend)


def _probe(context: DirectContext, backend: Backend) -> None:
    try:
        for pause in _PAUSES_SECONDS:
            sleep(pause)
            _connect(context, backend)
    except NotSentError as error:
        context.note_unreachable(
            backend.instance, str(error), is_refused=error.is_refused
        )
        context.crash_guard.note_down(backend.instance)
    else:
        _log.info('{} broke off an answer and runs.', backend.instance)
    finally:
        context.probed.discard(backend.instance)


def _connect(context: DirectContext, backend: Backend) -> None:
    """Connect and keep the connection; raises `NotSentError`."""
    context.metrics.count('crash_probes')
    connection = connect(backend.address, backend.instance, CONNECT_SECONDS)
    context.pool.release(connection, 0)
