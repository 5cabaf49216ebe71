"""The components of an endpoint process whose target is an engine."""

from typing import Final

from gevent import spawn

from trestle_core.addresses import resolve_address
from trestle_endpoint.completion_dispatch import CompletionDispatcher
from trestle_endpoint.endpoint_core import EndpointCore, Target
from trestle_endpoint.engine_adapter import engine_over_http
from trestle_endpoint.engine_interface import EngineAdapter
from trestle_endpoint.engine_monitor import EngineMonitor
from trestle_endpoint.engine_report import EngineReporter
from trestle_endpoint.engine_run import EngineRunParts
from trestle_endpoint.order_executor import (
    ConfirmAssignment,
    OrderExecutor,
    OrderParts,
)
from trestle_endpoint.order_gate import OrderGate
from trestle_endpoint.prefix_cache import PrefixCache
from trestle_links.answer_messages import AnswerResume, DispatchCompletion
from trestle_links.fleet_messages import AdmitReply

_MS_PER_SECOND: Final = 1000


def build_engine_target(core: EndpointCore) -> Target:
    """Create the components for the engine that the settings name."""
    target_url = core.settings.target_url
    engine = engine_over_http(lambda: resolve_address(target_url))
    monitor = EngineMonitor(
        core.settings.host, engine, core.contents.report_crash, core.metrics
    )
    cache = PrefixCache(core.metrics)
    parts = EngineRunParts(
        engine, monitor, cache, core.slots, core.estimate, core.metrics
    )
    dispatcher = CompletionDispatcher(
        parts, core.permits, core.contents, core.settings.answer_buffer_bytes
    )

    def poll() -> None:
        monitor.poll()
        core.state.is_target_up = monitor.is_up
        if monitor.is_up:
            _read_cache_events(engine, cache, monitor)

    gate = OrderGate(core.settings.host, core.state, core.metrics)
    core.control.on_order.append(gate.receive_order)

    reporter = EngineReporter(
        monitor,
        gate,
        core.control.submit,
        core.permits.incarnation,
        core.metrics,
    )

    def is_engine_idle() -> bool:
        core.permits.expire()
        admitted = core.permits.outstanding or core.permits.used
        return not admitted and not monitor.running

    def run(confirm: ConfirmAssignment) -> None:
        order_parts = OrderParts(
            engine=engine,
            state=core.state,
            submit=core.control.submit,
            confirm=confirm,
            is_engine_idle=is_engine_idle,
            refresh=poll,
            timeout_seconds=core.settings.order_timeout_ms / _MS_PER_SECOND,
            metrics=core.metrics,
        )
        spawn(reporter.run)
        OrderExecutor(order_parts, gate).run()

    def on_admitted(reply: AdmitReply) -> None:
        gate.apply_admission(reply)
        monitor.poll()

    return Target(
        handlers={
            DispatchCompletion: dispatcher.dispatch,
            AnswerResume: dispatcher.resume,
        },
        poll=poll,
        is_idle=lambda: not dispatcher.deliveries and not gate.has_open_order,
        matched_pieces=cache.matched_pieces,
        figures=lambda: _figures(core, monitor),
        on_admitted=on_admitted,
        run=run,
    )


def _read_cache_events(
    engine: EngineAdapter, cache: PrefixCache, monitor: EngineMonitor
) -> None:
    try:
        page = engine.read_cache_events(cache.sequence)
    except OSError as error:
        monitor.metrics.count('cache_event_failures', type(error).__name__)
        return
    cache.apply_events(page)
    if monitor.load and monitor.load.cache_pieces_total:
        cache.trim(monitor.load.cache_pieces_total)


def _figures(core: EndpointCore, monitor: EngineMonitor) -> dict[str, float]:
    load = monitor.load
    return {
        'running': len(core.slots.running),
        'waiting': len(core.slots.waiting),
        'prefill_rate': core.estimate.prefill_rate,
        'decode_rate': core.estimate.decode_rate(),
        'run_seconds': core.estimate.run_seconds,
        'engine_running': load.running if load else 0,
        'engine_queued': load.queued if load else 0,
        'prefill_queue_tokens': load.prefill_queue_tokens if load else 0,
    }
