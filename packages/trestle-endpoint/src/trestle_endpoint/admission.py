"""Requests the admission of this incarnation from the control state."""

from collections.abc import Callable
from typing import Final

from gevent import sleep

from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_endpoint.admission_state import AdmissionState
from trestle_endpoint.suspect_contents import Submit
from trestle_links.fleet_messages import AdmitEndpoint, AdmitReply

_SUBMIT_TIMEOUT_SECONDS: Final = 3.0
_RETRY_SECONDS: Final = 0.3

AdmitHook = Callable[[AdmitReply], None]
RequestBuilder = Callable[[], AdmitEndpoint]

_log = part_logger('admission')


def admit_with_retries(
    submit: Submit,
    build_request: RequestBuilder,
    state: AdmissionState,
    on_admitted: AdmitHook,
) -> None:
    """Request admission until the control state admits this incarnation.

    A refused request is repeated, because an operator may restore a
    withdrawn host. A draining process stops requesting.
    """
    last_refusal = ''
    while not state.draining:
        reply = _request_admission(submit, build_request)
        if reply and reply.admitted:
            _log.info('Incarnation {} was admitted.', state.incarnation)
            state.admitted.set()
            on_admitted(reply)
            return
        if reply and reply.code != last_refusal:
            last_refusal = reply.code
            _log.warning('Admission was refused: {}.', last_refusal)
        sleep(_RETRY_SECONDS)


def _request_admission(
    submit: Submit, build_request: RequestBuilder
) -> AdmitReply | None:
    # The request is rebuilt for each attempt: the advertised address may be
    # read from a file that another process has not written yet.
    try:
        return submit(build_request(), AdmitReply, _SUBMIT_TIMEOUT_SECONDS)
    except (TrestleError, OSError, ValueError) as error:
        _log.warning('The admission request failed, retrying: {}.', error)
        return None
