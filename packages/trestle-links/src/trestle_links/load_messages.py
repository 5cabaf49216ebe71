"""The stream of loads between an entry and the leader; codes 148 to 151.

An entry opens a channel with `FollowLoads` and then sends a `LoadChange` for
whatever changes. The leader adds up the loads of all entries and pushes the
same `LoadDelta` to each of them, so a push is packed once. Loads are absolute
figures: a later one replaces an earlier one.
"""

from typing import Final, NamedTuple

from trestle_links.codec import message
from trestle_links.crash_messages import CrashNotice, ServedTrait
from trestle_links.direct_messages import Boot, EngineMemory, Placement
from trestle_links.stream_messages import BegunStreams
from trestle_links.usage_messages import CustomerShare, CustomerUsage

# Larger figures are not loads; a message with them is malformed.
MAX_LOAD_FIGURE: Final = 1_000_000_000


class BackendLoad(NamedTuple):
    """Work at one back end.

    `running` counts requests and `kv_tokens` the tokens that they take in the
    KV cache. `prompts` counts those whose prefill has not finished, `tokens`
    the tokens of these that the engine has to prefill.
    """

    instance: str
    running: int = 0
    prompts: int = 0
    tokens: int = 0
    kv_tokens: int = 0

    @property
    def is_valid(self) -> bool:
        """Whether every figure is possible."""
        return all(0 <= figure <= MAX_LOAD_FIGURE for figure in self[1:])


class FailureNotice(NamedTuple):
    """The entry on `host` in `zone` could not reach a back end.

    `is_refused` tells that the back end's host refused the connection, so no
    process listens there; otherwise the link may be at fault.
    """

    instance: str
    host: str
    zone: str
    is_refused: bool


class NamedLimit(NamedTuple):
    """The rate limit that a back end names, in requests/s; None for none."""

    instance: str
    rate: float | None


class LeaveNotice(NamedTuple):
    """A back end has said that it leaves; `boot` is the start that said so."""

    instance: str
    boot: Boot


class CallCounts(NamedTuple):
    """Calls of a back end that declines some: the declined and the others."""

    instance: str
    declined: int
    accepted: int


class ToldCalls(NamedTuple):
    """What the entry on `host` told of its calls."""

    host: str
    calls: list[CallCounts]


class SendCount(NamedTuple):
    """Requests to a limited back end; negative if they were not sent."""

    instance: str
    requests: int


class FitSums(NamedTuple):
    """The prefills of a service since the last report of an entry.

    `calls` were made; `sums` are the fields of `linear_fit.CallSums`.
    """

    service: str
    calls: int
    sums: list[float]


class FittedSpeed(NamedTuple):
    """Engine time of a prefill at a service: `base_ms` and a time per token."""

    service: str
    base_ms: float
    ms_per_token: float


@message(148)
class FollowLoads(NamedTuple):
    """Open the stream; `loads` are all loads of the entry on `host`.

    `incarnation` tells its process from others of the host.
    """

    host: str
    loads: list[BackendLoad]
    incarnation: str = ''


@message(149)
class LoadChange(NamedTuple):
    """What changed at an entry since its last message.

    `number` counts the changes of a stream from 1. `transfer_slowness` has the
    ratios of actual to predicted times of KV transfers by engine. `streams` are
    those that engines are about to begin. `unix_ms` is the time of day of the
    entry's host, 0 if an earlier version of this system sent the change.
    """

    number: int
    loads: list[BackendLoad]
    placements: list[Placement]
    crashes: list[CrashNotice]
    served: list[ServedTrait]
    transfer_slowness: dict[str, float]
    fits: list[FitSums]
    failures: list[FailureNotice]
    limits: list[NamedLimit]
    sends: list[SendCount]
    streams: list[BegunStreams] = []
    leaving: list[LeaveNotice] = []
    usage: list[CustomerUsage] = []
    unix_ms: int = 0
    calls: list[CallCounts] = []


@message(151)
class LoadDelta(NamedTuple):
    """What changed over all entries.

    `loads` are sums over all entries, the receiving one included. `memories`
    replace what is known of an engine's cache, before the placements.
    `changing` lists the engines whose role is being changed. `sends` have those
    since the push before, of the receiving entry those up to `applied`.
    `unix_ms` is the true time, 0 if unknown, and `usage_recorded` the last
    window of usage that is recorded. `shares` are those of the customers with
    the most, None unless they have changed.
    """

    entries: int
    loads: list[BackendLoad]
    placements: list[Placement]
    memories: list[EngineMemory]
    crashes: list[CrashNotice]
    served: list[ServedTrait]
    changing: list[str]
    transfer_slowness: dict[str, float]
    speeds: list[FittedSpeed]
    failures: list[FailureNotice]
    limits: list[NamedLimit]
    sends: list[SendCount]
    leaving: list[LeaveNotice] = []
    unix_ms: int = 0
    usage_recorded: int = 0
    shares: list[CustomerShare] | None = None
    calls: list[ToldCalls] = []


@message(150)
class LoadPush(NamedTuple):
    """A packed `LoadDelta`, and the last change of the receiver in its sums."""

    applied: int
    packed: bytes
