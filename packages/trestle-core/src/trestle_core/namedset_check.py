"""Checks of a named set as a whole.

Errors bar publication; warnings do not. Each finding names the path of the
object, as in `$.routes.verdicts.pool`.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from msgspec import ValidationError, convert
from msgspec.json import decode

from trestle_core.namedset import ModelRoute, NamedSet, ServiceRoute
from trestle_core.settings_load import Finding


class CheckedSet(NamedTuple):
    """The outcome of a check; `named_set` is None when there are errors."""

    named_set: NamedSet | None
    errors: list[Finding]
    warnings: list[Finding]


_SECTIONS = ('services', 'pools', 'routes', 'plans')


def load_set_folder(folder: str) -> tuple[dict[str, Any], list[Finding]]:
    """Merge the JSON files of a folder; a name may stand only once."""
    merged: dict[str, Any] = {section: {} for section in _SECTIONS}
    findings: list[Finding] = []
    paths = sorted(Path(folder).glob('*.json'))
    if not paths:
        findings.append(Finding(folder, 'no JSON files in the folder'))
    for path in paths:
        try:
            document = decode(path.read_bytes())
        except ValueError as error:
            findings.append(Finding(path.name, str(error)))
            continue
        findings.extend(_merge(path.name, document, merged))
    return merged, findings


def _merge(
    origin: str,
    document: Any,
    merged: dict[str, Any],
) -> Iterator[Finding]:
    if not isinstance(document, dict):
        yield Finding(origin, 'expected an object')
        return
    for section, objects in document.items():
        if section not in merged or not isinstance(objects, dict):
            yield Finding(f'{origin}.{section}', 'unknown section')
            continue
        for name, body in objects.items():
            if name in merged[section]:
                yield Finding(f'{origin}.{section}.{name}', 'named twice')
            merged[section][name] = body


def check_set(raw: Any) -> CheckedSet:
    """Check types, references, cycles and limits of a decoded set."""
    if not isinstance(raw, dict):
        return CheckedSet(None, [Finding('$', 'expected an object')], [])
    type_errors = [
        finding
        for section in _SECTIONS
        for finding in _type_errors(section, raw.get(section, {}))
    ]
    unknown = sorted(set(raw) - set(_SECTIONS))
    type_errors.extend(
        Finding(f'$.{key}', 'unknown section') for key in unknown
    )
    if type_errors:
        return CheckedSet(None, type_errors, [])
    named_set = convert(raw, NamedSet)
    errors = [*_reference_errors(named_set), *_limit_errors(named_set)]
    warnings = list(_unused(named_set))
    return CheckedSet(None if errors else named_set, errors, warnings)


def _type_errors(section: str, objects: Any) -> Iterator[Finding]:
    if not isinstance(objects, dict):
        yield Finding(f'$.{section}', 'expected an object')
        return
    for name, body in objects.items():
        try:
            convert({section: {name: body}}, NamedSet)
        except ValidationError as error:
            reason, _, place = str(error).partition(' - at `')
            detail = place.rstrip('`').rpartition('[...]')[2]
            yield Finding(f'$.{section}.{name}{detail}', reason)


def _reference_errors(named: NamedSet) -> Iterator[Finding]:
    for name, pool in named.pools.items():
        if pool.plan not in named.plans:
            yield _unknown(f'$.pools.{name}.plan', 'plan', pool.plan)
    for route_name, route in named.routes.items():
        path = f'$.routes.{route_name}'
        if isinstance(route, ServiceRoute):
            if route.service not in named.services:
                yield _unknown(f'{path}.service', 'service', route.service)
        else:
            yield from _model_route_errors(path, route_name, route, named)


def _model_route_errors(
    path: str,
    name: str,
    route: ModelRoute,
    named: NamedSet,
) -> Iterator[Finding]:
    pool = named.pools.get(route.pool)
    if pool is None:
        yield _unknown(f'{path}.pool', 'pool', route.pool)
    elif route.adapter and route.adapter not in pool.adapters:
        yield _unknown(f'{path}.adapter', 'adapter', route.adapter)
    if not route.fallback:
        return
    fallback = named.routes.get(route.fallback)
    if fallback is None:
        yield _unknown(f'{path}.fallback', 'route', route.fallback)
    elif not isinstance(fallback, ModelRoute):
        yield Finding(f'{path}.fallback', 'expected a model route')
    elif _has_cycle(name, named):
        yield Finding(f'{path}.fallback', 'the fallbacks form a cycle')


def _has_cycle(start: str, named: NamedSet) -> bool:
    seen = {start}
    route = named.routes[start]
    while isinstance(route, ModelRoute) and route.fallback in named.routes:
        if route.fallback in seen:
            return True
        seen.add(route.fallback)
        route = named.routes[route.fallback]
    return False


def _limit_errors(named: NamedSet) -> Iterator[Finding]:
    for name, service in named.services.items():
        if not service.operations:
            yield Finding(f'$.services.{name}.operations', 'no operation')
    for route_name, route in named.routes.items():
        if not isinstance(route, ModelRoute):
            continue
        path = f'$.routes.{route_name}'
        if route.first_token_ms > route.deadline_ms:
            yield Finding(f'{path}.first_token_ms', 'over deadline_ms')
        pool = named.pools.get(route.pool)
        if pool and route.max_prompt_tokens > pool.max_context_tokens:
            yield Finding(
                f'{path}.max_prompt_tokens', "over the pool's context"
            )


def _unused(named: NamedSet) -> Iterator[Finding]:
    plans = {pool.plan for pool in named.pools.values()}
    pools = set()
    services = set()
    for route in named.routes.values():
        if isinstance(route, ModelRoute):
            pools.add(route.pool)
        else:
            services.add(route.service)
    used = {'plans': plans, 'pools': pools, 'services': services}
    for section, names in used.items():
        for name in getattr(named, section):
            if name not in names:
                yield Finding(f'$.{section}.{name}', 'not used')


def _unknown(path: str, kind: str, name: str) -> Finding:
    return Finding(path, f'no {kind} is named {name}')
