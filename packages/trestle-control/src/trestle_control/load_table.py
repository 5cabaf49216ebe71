"""Loads of all entries, summed on the leader and pushed to every entry.

Each entry keeps a stream to the leader (`load_messages`). Its changes are
added to the sums as they arrive, and every few milliseconds what has changed
is packed once and sent to all. The pause between two pushes grows with the
number of entries, so that the leader's work does not.

The sums are kept in memory only. Entries notice that a leader is gone by the
loss of their stream, open another one, and tell the new leader all their
loads at once. An entry that is silent for seconds is dropped with its loads.
"""

from time import monotonic
from typing import Final

from gevent import sleep
from gevent.event import Event

from trestle_control.backend_notices import BackendNotices
from trestle_control.control_errors import NotLeaderError
from trestle_control.limit_table import LimitTable
from trestle_control.load_checks import (
    check_calls,
    check_loads,
    checked_streams,
)
from trestle_control.load_totals import LoadTotals
from trestle_control.placement_log import PlacementLog
from trestle_control.replica_api import ReplicaApi
from trestle_control.usage_table import UsageTable
from trestle_core.errorcodes import BAD_FRAME
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_links.agreed_clock import MedianClock
from trestle_links.codec import encode_message
from trestle_links.connection import Channel
from trestle_links.crash_evidence import CrashEvidence
from trestle_links.crash_messages import CrashNotice, ServedTrait
from trestle_links.engine_slowness import SlownessTable
from trestle_links.linear_fit import CallSums, LinearFit, prefill_fit
from trestle_links.link_server import Handlers
from trestle_links.load_messages import (
    FailureNotice,
    FitSums,
    FittedSpeed,
    FollowLoads,
    LoadChange,
    LoadDelta,
    LoadPush,
    ToldCalls,
)
from trestle_links.stream_messages import (
    FindStream,
    FoundStream,
)
from trestle_links.stream_origins import StreamOrigins

# An entry reports at least twice a second.
_SILENT_SECONDS: Final = 2.0
# Least time between two pushes, and what each entry adds to it.
_MIN_INTERVAL_SECONDS: Final = 0.02
_SECONDS_PER_ENTRY: Final = 0.0003
# Longest time between two pushes.
_MAX_INTERVAL_SECONDS: Final = 0.25
# An entry that has not taken so many bytes does not read.
_MAX_WAITING_BYTES: Final = 262_144
# A role change takes an engine about three seconds, and the list shows the
# new role a second later.
_ROLE_CHANGE_SECONDS: Final = 4.5
_MAX_FAILURES: Final = 200
# Change of a fitted line that is worth telling.
_SPEED_CHANGE: Final = 0.03

_log = part_logger('loads')


class Follower:
    """The stream to one entry; `applied` is its last change in the sums."""

    def __init__(self, opening: FollowLoads, channel: Channel) -> None:
        """Start with the loads that opened the stream."""
        self.host = opening.host
        self.process = f'{opening.host}/{opening.incarnation}'
        self.channel = channel
        self.applied = 0

    def push(self, packed: bytes) -> None:
        """Send a push, or end the stream of an entry that does not read."""
        if self.channel.connection.waiting_bytes > _MAX_WAITING_BYTES:
            _log.warning('{} does not read its loads.', self.host)
            self.channel.close()
            return
        self.channel.send(LoadPush(self.applied, packed))


class LoadTable:
    """The streams of the entries and what is summed over them."""

    def __init__(self, replica: ReplicaApi) -> None:
        """Start without entries."""
        self.replica = replica
        self.followers: dict[str, Follower] = {}
        self.totals = LoadTotals()
        self.placements = PlacementLog()
        self.transfer_slowness = SlownessTable()
        self.changed_slowness: set[str] = set()
        self.crashes = CrashEvidence()
        self.new_crashes: list[CrashNotice] = []
        self.new_served: list[ServedTrait] = []
        self.limits = LimitTable()
        self.streams = StreamOrigins()
        self.new_failures: list[FailureNotice] = []
        self.new_calls: list[ToldCalls] = []
        self.fits: dict[str, LinearFit] = {}
        self.told_speeds: dict[str, FittedSpeed] = {}
        # Time of the last role order by engine.
        self.changing_since: dict[str, float] = {}
        self.changed = Event()
        self.notices = BackendNotices(self.changed)
        self.usage = UsageTable()
        self.clock = MedianClock()

    def handlers(self) -> Handlers:
        """Return the link handlers."""
        return {FollowLoads: self.follow, FindStream: self.find_stream}

    def run(self) -> None:
        """Push what has changed until the greenlet is killed."""
        while True:
            self.changed.wait(_MAX_INTERVAL_SECONDS)
            self.changed.clear()
            self.push()
            sleep(
                _MIN_INTERVAL_SECONDS + len(self.followers) * _SECONDS_PER_ENTRY
            )

    def follow(self, opening: FollowLoads, channel: Channel) -> None:
        """Serve the stream of an entry until it ends.

        Raises `NotLeaderError` unless this host leads, and `TrestleError` for
        impossible figures.
        """
        if not self.replica.is_leader:
            raise NotLeaderError(self.replica.leader_address)
        check_loads(opening.loads)
        self._drop(opening.host)
        follower = Follower(opening, channel)
        self.followers[opening.host] = follower
        self.totals.apply(opening.host, opening.loads)
        self.changed.set()
        try:
            follower.push(encode_message(self._complete_delta()))
            self._take_changes(follower)
        except TrestleError as error:
            _log.info('The loads of {} ended: {}.', opening.host, error.message)
            raise
        finally:
            if self.followers.get(opening.host) is follower:
                self._drop(opening.host)
            channel.close()

    def find_stream(
        self, request: FindStream, _channel: Channel
    ) -> FoundStream:
        """Tell who began a stream.

        Raises `NotLeaderError` where another host may know.
        """
        origin = self.streams.find(request.key, monotonic())
        if origin is None and not self.replica.is_leader:
            raise NotLeaderError(self.replica.leader_address)
        return FoundStream(origin)

    def push(self) -> None:
        """Send what has changed since the last push to every entry."""
        if not self.replica.is_leader:
            for host in list(self.followers):
                self._end_stream(host)
            return
        packed = encode_message(self._changed_delta())
        for follower in list(self.followers.values()):
            try:
                follower.push(packed)
            except TrestleError as error:
                _log.debug('{} lost its loads: {}.', follower.host, error)

    def record(self, follower: Follower, change: LoadChange) -> None:
        """Add a change of an entry; raises `TrestleError` if impossible."""
        check_loads(change.loads)
        host = follower.host
        follower.applied = change.number
        self.totals.apply(host, change.loads)
        self.placements.record_report(change.placements)
        for instance, slowness in change.transfer_slowness.items():
            self.transfer_slowness.note(instance, slowness)
            self.changed_slowness.add(instance)
        self._record_crashes(change)
        self.limits.record(change.limits, change.sends)
        self._record_failures(host, change)
        self.notices.note_leaving(change.leaving, f'{host} tells')
        for begun in change.streams:
            self.streams.note_begun(checked_streams(begun), monotonic())
        self.usage.note(follower.process, change.usage)
        if change.unix_ms:
            self.clock.note(host, change.unix_ms)
        for fit_sums in change.fits:
            self._pool(fit_sums)

    def running_requests(self) -> dict[str, int]:
        """Return the running requests by back end, over all entries."""
        return self.totals.running()

    def _record_failures(self, host: str, change: LoadChange) -> None:
        self.new_failures.extend(change.failures)
        if change.calls:
            check_calls(change.calls)
            self.new_calls.append(ToldCalls(host, change.calls))

    def _record_crashes(self, change: LoadChange) -> None:
        now = monotonic()
        self.new_crashes.extend(self.crashes.record(change.crashes, now))
        self.new_served.extend(self.crashes.note_served(change.served, now))

    def _take_changes(self, follower: Follower) -> None:
        while True:
            change = follower.channel.receive(_SILENT_SECONDS)
            if not isinstance(change, LoadChange):
                return
            self.record(follower, change)
            self.changed.set()

    def _drop(self, host: str) -> None:
        if self.followers.pop(host, None):
            self.totals.drop(host)
            self.clock.drop(host)
            self.changed.set()

    def _end_stream(self, host: str) -> None:
        channel = self.followers[host].channel
        self._drop(host)
        try:
            channel.close()
        except TrestleError as error:
            _log.debug('The stream to {} was lost: {}.', host, error)

    def _pool(self, fit_sums: FitSums) -> None:
        sums = CallSums.from_list(fit_sums.sums)
        if sums is None or fit_sums.calls < 0:
            raise TrestleError(BAD_FRAME, 'the sums of a fit are not sums')
        fit = self.fits.setdefault(fit_sums.service, prefill_fit())
        fit.pool(fit_sums.calls, sums)

    def _changed_delta(self) -> LoadDelta:
        crashes = self.new_crashes
        self.new_crashes = []
        served = self.new_served
        self.new_served = []
        failures = self.new_failures[:_MAX_FAILURES]
        self.new_failures = []
        calls = self.new_calls[:_MAX_FAILURES]
        self.new_calls = []
        changed_slowness = {
            instance: round(self.transfer_slowness.slowness_of(instance), 2)
            for instance in self.changed_slowness
        }
        self.changed_slowness.clear()
        return LoadDelta(
            entries=len(self.followers),
            loads=self.totals.take_changed(),
            placements=self.placements.take_changes(),
            memories=self.placements.take_memories(),
            crashes=crashes,
            served=served,
            changing=self._changing(),
            transfer_slowness=changed_slowness,
            speeds=self._changed_speeds(),
            failures=failures,
            limits=self.limits.take_changed(),
            sends=self.limits.take_sends(),
            leaving=self.notices.take_news(),
            unix_ms=self.clock.unix_ms(),
            usage_recorded=self.usage.recorded,
            shares=self.usage.take_shares(monotonic()),
            calls=calls,
        )

    def _complete_delta(self) -> LoadDelta:
        now = monotonic()
        return LoadDelta(
            entries=len(self.followers),
            loads=self.totals.all_totals(),
            placements=[],
            memories=self.placements.all_memories(),
            crashes=self.crashes.all_notices(now),
            served=self.crashes.all_served(now),
            changing=self._changing(),
            transfer_slowness=self.transfer_slowness.figures(),
            speeds=list(self.told_speeds.values()),
            failures=[],
            limits=self.limits.all_limits(),
            sends=[],
            leaving=self.notices.leaving.notices(),
            unix_ms=self.clock.unix_ms(),
            usage_recorded=self.usage.recorded,
            shares=self.usage.shares(),
        )

    def _changed_speeds(self) -> list[FittedSpeed]:
        changed = []
        for service, fit in self.fits.items():
            told = self.told_speeds.get(service)
            if told is None or _differs(told, fit):
                speed = FittedSpeed(service, *fit.line)
                self.told_speeds[service] = speed
                changed.append(speed)
        return changed

    def _changing(self) -> list[str]:
        now = monotonic()
        self.changing_since = {
            instance: changed_at
            for instance, changed_at in self.changing_since.items()
            if now - changed_at < _ROLE_CHANGE_SECONDS
        }
        return list(self.changing_since)


def _differs(told: FittedSpeed, fit: LinearFit) -> bool:
    """Return whether a line has moved since it was told."""
    base, slope = fit.line
    return (
        abs(base - told.base_ms) > told.base_ms * _SPEED_CHANGE
        or abs(slope - told.ms_per_token) > told.ms_per_token * _SPEED_CHANGE
    )
