"""Settings of a process: one typed object, read and checked at the edge.

The settings file is JSON; its `role` picks one of the three types. Durations
and sizes carry their unit in the name. Unknown keys are refused. Every field
has a description, which `kingcuptrestle settings show` prints.

The types are `msgspec.Struct` and not `NamedTuple`, because a `NamedTuple`
cannot refuse unknown keys.
"""

from typing import Annotated, Any, Final, Literal

from msgspec import Meta, Struct

_PORT_PATTERN: Final = r'^(@.+|\d+\.\d+\.\d+\.\d+:\d+)$'

AddressText = Annotated[
    str,
    Meta(pattern=_PORT_PATTERN, description='ip:port, or @file that holds it'),
]
# At most every second request is sent twice.
MAX_HEDGE_SHARE: Final = 0.5

Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]
Name = Annotated[str, Meta(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$')]


DrainNotice = Annotated[
    Milliseconds,
    Meta(
        description='time at a stop for the balancer to see that the '
        'entry is not ready, while requests are still taken, ms',
    ),
]


class CommonSettings(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Fields that every role has."""

    host: Annotated[Name, Meta(description='name of this host')]
    zone: Annotated[Name, Meta(description='availability zone of this host')]
    key_file: Annotated[str, Meta(description='file with the shared key')]
    control: Annotated[
        list[AddressText],
        Meta(min_length=1, description='control hosts to use, in order'),
    ]
    listen: Annotated[
        AddressText, Meta(description='where peers connect; port 0 picks one')
    ] = '127.0.0.1:0'
    address_file: Annotated[
        str, Meta(description='file to write the bound peer address to')
    ] = ''
    advertise: Annotated[
        str,
        Meta(
            description='peer address told to others, ip:port or @file; '
            'empty for the bound one',
        ),
    ] = ''
    http_listen: Annotated[
        AddressText, Meta(description='where HTTP callers and probes connect')
    ] = '127.0.0.1:0'
    http_address_file: Annotated[
        str, Meta(description='file to write the bound HTTP address to')
    ] = ''
    log_style: Annotated[
        Literal['text', 'json'], Meta(description='log lines for people or not')
    ] = 'text'
    log_level: Annotated[
        Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'],
        Meta(description='lowest level that is written'),
    ] = 'INFO'
    drain_ms: Annotated[
        Milliseconds, Meta(description='longest wait for work at a stop, ms')
    ] = 60_000
    connect_ms: Annotated[
        Milliseconds,
        Meta(description='longest wait for a connection to a peer, ms'),
    ] = 2000
    stale_after_ms: Annotated[
        Milliseconds, Meta(description='age at which state is stale, ms')
    ] = 10_000
    stamp_every_ms: Annotated[
        Milliseconds, Meta(description='time between freshness asks, ms')
    ] = 1000


class EntrySettings(CommonSettings, frozen=True, tag='entry', tag_field='role'):
    """Settings of an entry process."""

    body_limit_bytes: Annotated[
        int, Meta(ge=1024, description='largest request body, bytes')
    ] = 8_388_608
    subset_size: Annotated[
        int, Meta(ge=1, le=64, description='endpoints of a pool to link to')
    ] = 16
    routing: Annotated[
        Literal[
            'permits', 'random', 'round-robin', 'least-load', 'two-choices'
        ],
        Meta(description='how an endpoint is chosen'),
    ] = 'permits'
    permit_timeout_ms: Annotated[
        Milliseconds, Meta(description='wait for an answer to a permit ask, ms')
    ] = 300
    max_inflight: Annotated[
        int, Meta(ge=1, description='requests in work at once')
    ] = 2000
    claim_timeout_ms: Annotated[
        Milliseconds, Meta(description='wait for a claim command, ms')
    ] = 3000
    dispatch_grace_ms: Annotated[
        Milliseconds,
        Meta(description='longest time from arrival to dispatch, ms'),
    ] = 30_000
    drain_notice_ms: DrainNotice = 3000


class DirectSettings(
    CommonSettings, frozen=True, tag='direct', tag_field='role'
):
    """Settings of an entry that reaches back ends itself."""

    ready_listen: Annotated[
        AddressText, Meta(description='where the balancer asks for readiness')
    ] = '127.0.0.1:0'
    metrics_listen: Annotated[
        str, Meta(description='ip:port of the metrics page; empty for none')
    ] = ''
    retry_share: Annotated[
        float, Meta(ge=0, description='further sends for each request')
    ] = 0.2
    hedge_share: Annotated[
        float,
        Meta(
            ge=0,
            le=MAX_HEDGE_SHARE,
            description='second sends to cut slow answers, for each request',
        ),
    ] = 0.0
    retry_extra: Annotated[
        int, Meta(ge=0, description='further sends of all entries together')
    ] = 50
    retry_window_ms: Annotated[
        Milliseconds, Meta(description='time that the retry limits span, ms')
    ] = 10_000
    body_memory_bytes: Annotated[
        int,
        Meta(ge=0, description='memory for bodies of requests; 0: no limit'),
    ] = 0
    first_start: Annotated[
        bool,
        Meta(description='the system starts for the first time, in this run'),
    ] = False
    drain_notice_ms: DrainNotice = 3000
    usage_window_ms: Annotated[
        int, Meta(ge=0, description='window of counted usage, ms; 0: none')
    ] = 5000


class MemberSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """A control host that belongs to the first configuration."""

    host: Annotated[Name, Meta(description='name of the control host')]
    address: Annotated[AddressText, Meta(description='its peer address')]
    votes: Annotated[
        bool, Meta(description='false: it only relays, as a learner for good')
    ] = True


class ControlSettings(
    CommonSettings, frozen=True, tag='control', tag_field='role'
):
    """Settings of a control process."""

    data_folder: Annotated[str, Meta(description='folder of the durable state')]
    members: Annotated[
        list[MemberSettings],
        Meta(description='control hosts, this one included'),
    ] = []
    seeds: Annotated[
        list[AddressText],
        Meta(description='peer addresses of the first hosts, for no members'),
    ] = []
    wanted_voters: Annotated[
        int,
        Meta(ge=0, description='voters to keep with seeds; 0 removes none'),
    ] = 0
    bootstrap: Annotated[
        bool,
        Meta(description='an empty data folder may form the first quorum'),
    ] = False
    heartbeat_ms: Annotated[
        Milliseconds, Meta(description='time between heartbeats, ms')
    ] = 100
    election_ms: Annotated[
        Milliseconds, Meta(description='shortest election timeout, ms')
    ] = 600
    segment_bytes: Annotated[
        int, Meta(ge=4096, description='size at which a segment is closed')
    ] = 8_388_608
    snapshot_entries: Annotated[
        int, Meta(ge=10, description='log entries between snapshots')
    ] = 5000
    host_list_url: Annotated[
        str, Meta(description="the platform's host list; empty for none")
    ] = ''
    host_list_every_ms: Annotated[
        Milliseconds, Meta(description='time between reads of the list, ms')
    ] = 1000
    answer_retention_ms: Annotated[
        int, Meta(ge=1000, description='how long outcomes are kept, ms')
    ] = 86_400_000
    answer_limit_bytes: Annotated[
        int, Meta(ge=1024, description='largest recorded answer, bytes')
    ] = 65_536
    lease_ms: Annotated[
        Milliseconds,
        Meta(description='time between acts of two holders of a duty, ms'),
    ] = 3000
    usage_window_ms: Annotated[
        int, Meta(ge=0, description='window of a usage report, ms; 0: none')
    ] = 0
    duty_calls_per_s: Annotated[
        float, Meta(gt=0, description='calls a second for a duty')
    ] = 10.0
    role_policy: Annotated[
        Literal['plan', 'never', 'threshold'],
        Meta(description='how engine roles are changed'),
    ] = 'plan'


class EndpointSettings(
    CommonSettings, frozen=True, tag='endpoint', tag_field='role'
):
    """Settings of the process beside an engine or a service."""

    target_kind: Annotated[
        Literal['engine', 'service'], Meta(description='what stands behind')
    ]
    target: Annotated[
        Name, Meta(description='engine pool or service that it belongs to')
    ]
    target_url: Annotated[
        AddressText, Meta(description='address of the engine or service')
    ]
    engine_role: Annotated[
        Literal['mixed', 'prefill', 'decode'],
        Meta(description='role of the engine when it starts'),
    ] = 'mixed'
    checks_fencing: Annotated[
        bool, Meta(description='the engine refuses old fencing numbers')
    ] = False
    permit_ttl_ms: Annotated[
        Milliseconds, Meta(description='life of an unused permit, ms')
    ] = 2000
    max_running: Annotated[
        int, Meta(ge=1, description='requests on the engine at once')
    ] = 32
    max_queued: Annotated[
        int, Meta(ge=0, description='permits granted beyond those running')
    ] = 64
    answer_buffer_bytes: Annotated[
        int, Meta(ge=1024, description='unacknowledged answer bytes kept')
    ] = 1_048_576
    order_timeout_ms: Annotated[
        Milliseconds, Meta(description='longest time of an engine order, ms')
    ] = 30_000
    load_every_ms: Annotated[
        Milliseconds, Meta(description='time between engine load reads, ms')
    ] = 250


Settings = EntrySettings | ControlSettings | EndpointSettings | DirectSettings

SETTINGS_TYPES: Final[dict[str, type[Any]]] = {
    'entry': EntrySettings,
    'control': ControlSettings,
    'endpoint': EndpointSettings,
    'direct': DirectSettings,
}
