"""The named set: services, engine pools, routes and plans.

Objects refer to each other by name. The set is checked and published as one
and is never changed in part. Types are structs that refuse unknown keys.
"""

from typing import Annotated

from msgspec import Meta, Struct, field

Milliseconds = Annotated[int, Meta(ge=1, le=86_400_000)]
Positive = Annotated[int, Meta(ge=1)]
NotNegative = Annotated[int, Meta(ge=0)]


class Operation(Struct, frozen=True, forbid_unknown_fields=True):
    """One call of a service; `idempotent` calls may be repeated."""

    idempotent: bool
    timeout_ms: Milliseconds = 5000


class Service(Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service beside the engines."""

    operations: dict[str, Operation]
    description: str = ''


class EnginePool(Struct, frozen=True, forbid_unknown_fields=True):
    """Engines that serve one model under one plan."""

    model: str
    version: str
    plan: str
    adapters: list[str] = field(default_factory=list)
    max_context_tokens: Positive = 131_072
    long_prompt_tokens: Positive = 8000
    long_prompts_per_engine: Positive = 2
    description: str = ''


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """How the engines of a pool are split between prefill and decode.

    `role_change_weight` multiplies the engine-seconds that a change costs;
    a higher weight makes changes rarer.
    """

    role_change_weight: Annotated[float, Meta(ge=0)] = 1.0
    horizon_ms: Milliseconds = 120_000
    dwell_ms: Milliseconds = 30_000
    min_prefill: NotNegative = 1
    min_decode: NotNegative = 1
    rollout_at_once: Positive = 1
    rollout_pause_ms: Milliseconds = 1000
    disaggregated: bool = False


class ModelRoute(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag='model',
    tag_field='kind',
):
    """A model name that callers use, and the limits of its requests."""

    pool: str
    priority: Annotated[int, Meta(ge=0, le=9)] = 5
    deadline_ms: Milliseconds = 30_000
    first_token_ms: Milliseconds = 10_000
    max_prompt_tokens: Positive = 65_536
    max_output_tokens: Positive = 4096
    caller_concurrency: Positive = 64
    retry_percent: Annotated[int, Meta(ge=0, le=100)] = 10
    adapter: str = ''
    fallback: str = ''


class ServiceRoute(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag='service',
    tag_field='kind',
):
    """A service that callers reach, and the limits of its calls."""

    service: str
    deadline_ms: Milliseconds = 10_000
    caller_concurrency: Positive = 64
    retry_percent: Annotated[int, Meta(ge=0, le=100)] = 10
    hedge_after_ms: NotNegative = 0


Route = ModelRoute | ServiceRoute


class NamedSet(Struct, frozen=True, forbid_unknown_fields=True):
    """All named objects."""

    services: dict[str, Service] = field(default_factory=dict)
    pools: dict[str, EnginePool] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    plans: dict[str, Plan] = field(default_factory=dict)
