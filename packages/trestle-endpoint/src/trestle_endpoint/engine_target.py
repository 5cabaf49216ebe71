"""The parts of an endpoint process beside a model engine."""

from typing import Final

from trestle_core.addresses import resolve_address
from trestle_endpoint.completions import Completions
from trestle_endpoint.endpoint_core import EndpointCore, Target
from trestle_endpoint.engine_adapter import engine_over_http
from trestle_endpoint.engine_interface import EngineAdapter
from trestle_endpoint.engine_load import EngineWatch
from trestle_endpoint.engine_run import EngineParts
from trestle_endpoint.order_gate import OrderGate
from trestle_endpoint.orders import (
    ConfirmAssignment,
    OrderParts,
    Orders,
)
from trestle_endpoint.prefix_cache import PrefixCache
from trestle_links.answer_messages import AnswerResume, DispatchCompletion
from trestle_links.fleet_messages import AdmitReply

_MS_PER_SECOND: Final = 1000


def engine_target(core: EndpointCore) -> Target:
    """Join the parts around the engine that the settings name."""
    target_url = core.settings.target_url
    engine = engine_over_http(lambda: resolve_address(target_url))
    watch = EngineWatch(
        core.settings.host, engine, core.contents.report_crash, core.metrics
    )
    cache = PrefixCache(core.metrics)
    parts = EngineParts(
        engine, watch, cache, core.places, core.estimate, core.metrics
    )
    completions = Completions(
        parts, core.permits, core.contents, core.settings.answer_buffer_bytes
    )

    def poll() -> None:
        watch.poll()
        core.state.target_up = watch.is_up
        if watch.is_up:
            _read_cache_events(engine, cache, watch)

    gate = OrderGate(core.settings.host, core.state, core.metrics)
    core.control.on_order.append(gate.offer)

    def is_quiet() -> bool:
        core.permits.expire()
        admitted = core.permits.outstanding or core.permits.used
        return not admitted and not watch.running

    def run(confirm: ConfirmAssignment) -> None:
        order_parts = OrderParts(
            engine=engine,
            state=core.state,
            submit=core.control.submit,
            confirm=confirm,
            is_quiet=is_quiet,
            refresh=poll,
            timeout_seconds=core.settings.order_timeout_ms / _MS_PER_SECOND,
            metrics=core.metrics,
        )
        Orders(order_parts, gate).run()

    def on_admitted(reply: AdmitReply) -> None:
        gate.admit(reply)
        watch.poll()

    return Target(
        handlers={
            DispatchCompletion: completions.dispatch,
            AnswerResume: completions.resume,
        },
        poll=poll,
        is_idle=lambda: not completions.deliveries and not gate.busy,
        matched_pieces=cache.matched_pieces,
        figures=lambda: _figures(core, watch),
        on_admitted=on_admitted,
        run=run,
    )


def _read_cache_events(
    engine: EngineAdapter, cache: PrefixCache, watch: EngineWatch
) -> None:
    try:
        told = engine.read_cache_events(cache.sequence)
    except OSError as error:
        watch.metrics.count('cache_event_failures', type(error).__name__)
        return
    cache.take_events(told)
    if watch.load and watch.load.cache_pieces_total:
        cache.trim(watch.load.cache_pieces_total)


def _figures(core: EndpointCore, watch: EngineWatch) -> dict[str, float]:
    load = watch.load
    return {
        'running': len(core.places.running),
        'waiting': len(core.places.waiting),
        'prefill_rate': core.estimate.prefill_rate,
        'decode_rate': core.estimate.decode_rate(),
        'run_seconds': core.estimate.run_seconds,
        'engine_running': load.running if load else 0,
        'engine_queued': load.queued if load else 0,
        'prefill_queue_tokens': load.prefill_queue_tokens if load else 0,
    }
