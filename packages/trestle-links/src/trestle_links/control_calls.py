"""Calls to any control host, with failover.

Every command of the control state is safe to send again, so a call whose
answer was lost goes to the next host:

* claim commands name an attempt and a permit, and an attempt claims once; a
  second `OpenAttempt` takes another number and the first is never used;
* `PublishSet` names a version and a digest, and the state keeps both;
* `AdmitEndpoint` names an incarnation, orders and reports a fencing number
  or an equal outstanding order, crashes a crash id;
* withdrawals, restorations and releases state the wanted result.

Invariant: the verdict `not-run` is given only when no attempt of the call
can have been proposed.
"""

from itertools import count
from time import monotonic
from typing import Final, TypeVar

from gevent import sleep

from trestle_core.errorcodes import (
    CALL_TIMEOUT,
    COMMIT_UNKNOWN,
    CONTROL_UNREACHABLE,
    DRAINING,
    LINK_DOWN,
    NO_QUORUM,
    NOT_LEADER,
    ErrorCode,
)
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_links.codec import Message
from trestle_links.link import Identity, LinkPool

_RETRIED: Final[frozenset[ErrorCode]] = frozenset(
    (
        LINK_DOWN,
        CALL_TIMEOUT,
        NOT_LEADER,
        COMMIT_UNKNOWN,
        NO_QUORUM,
        CONTROL_UNREACHABLE,
        DRAINING,
    )
)
_SHORTEST_TRY_SECONDS: Final = 0.5
_ROUND_PAUSE_SECONDS: Final = 0.1

Reply = TypeVar('Reply')


class ControlCaller:
    """Links to the control hosts and the host that answered last."""

    def __init__(self, addresses: list[str], me: Identity) -> None:
        """Dial nothing yet; `addresses` are tried in order."""
        self.addresses = addresses
        self.metrics = me.metrics
        self.links = LinkPool(me)
        self.preferred = 0

    def call(
        self,
        command: Message,
        reply_type: type[Reply],
        timeout_seconds: float,
    ) -> Reply:
        """Send to one host after another until one replies.

        Raises `TrestleError`: a host's refusal, or `control-unreachable`
        with the verdict `may-have-run` once any try may have been proposed.
        """
        deadline = monotonic() + timeout_seconds
        share = max(
            timeout_seconds / len(self.addresses), _SHORTEST_TRY_SECONDS
        )
        verdict = Verdict.NOT_RUN
        for tries in count(1):
            left_seconds = deadline - monotonic()
            if left_seconds <= 0:
                break
            try:
                return self._call_preferred(
                    command, reply_type, min(left_seconds, share)
                )
            except TrestleError as error:
                verdict = _verdict_after(error, verdict)
            if tries % len(self.addresses) == 0:
                sleep(_ROUND_PAUSE_SECONDS)
        raise TrestleError(CONTROL_UNREACHABLE, verdict=verdict)

    def close(self) -> None:
        """Close every link."""
        self.links.close()

    def _call_preferred(
        self,
        command: Message,
        reply_type: type[Reply],
        timeout_seconds: float,
    ) -> Reply:
        preferred = self.preferred
        address = self.addresses[preferred]
        try:
            return self.links.link_to(address).call(
                command, reply_type, timeout_seconds
            )
        except TrestleError as error:
            self.metrics.count('control_call_failures', error.code.code)
            if error.code is CALL_TIMEOUT:
                # The connection may be cut without a sign.
                self.links.forget(address)
            # Another greenlet may have moved on already.
            if self.preferred == preferred:
                self.preferred = (preferred + 1) % len(self.addresses)
            raise


def _verdict_after(error: TrestleError, verdict: Verdict) -> Verdict:
    if error.verdict is not Verdict.NOT_RUN:
        verdict = Verdict.MAY_HAVE_RUN
    if error.code in _RETRIED:
        return verdict
    if verdict is error.verdict:
        raise error
    # The refusal holds for the last try only.
    raise TrestleError(CONTROL_UNREACHABLE, error.message, verdict) from error
