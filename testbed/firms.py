"""Small systems of the two firms, as layouts for `Cluster`."""

from json import dumps, loads
from pathlib import Path
from shutil import copytree
from typing import Final

from testbed.cluster import Cluster, Endpoint, Layout
from testbed.processes import ROOT

MEDENA_ZONES: Final = ('plovdiv-a', 'plovdiv-b', 'asenovgrad', 'pazardzhik')
MEDENA_SET: Final = ROOT / 'examples' / 'medena' / 'set'
READER: Final = 'certificate-reader'
DESK: Final = 'order-desk'


def medena_layout(
    readers: int,
    desks: int,
    engine_options: tuple[str, ...] = (),
    **layout: object,
) -> Layout:
    """Return a layout of Medena's services, spread over its zones."""
    model = (f'--model={READER}', '--version=1', *engine_options)
    endpoints = [
        Endpoint(f'reader-{number}', _zone(number), READER, model)
        for number in range(1, readers + 1)
    ]
    endpoints.extend(
        Endpoint(f'desk-{number}', _zone(number), DESK, kind='service')
        for number in range(1, desks + 1)
    )
    return Layout(MEDENA_ZONES, tuple(endpoints), **layout)  # type: ignore[arg-type]


def with_roles(layout: Layout, roles: tuple[str, ...]) -> Layout:
    """Return the layout with roles given to its engines in turn."""
    settings = dict(layout.settings)
    endpoints = list(layout.endpoints)
    for number, role in enumerate(roles):
        engine = endpoints[number]
        options = (*engine.options, f'--role={role}')
        endpoints[number] = engine._replace(options=options)
        settings[engine.host] = {'engine_role': role}
    return layout._replace(endpoints=tuple(endpoints), settings=settings)


def medena_set_with_plan(folder: Path, **fields: object) -> Path:
    """Copy Medena's set with other fields in its plan; return its folder."""
    target = folder / 'set'
    copytree(MEDENA_SET, target)
    path = target / 'plans.json'
    plans = loads(path.read_text(encoding='utf-8'))
    for plan in plans['plans'].values():
        plan.update(fields)
    path.write_text(dumps(plans), encoding='utf-8')
    return target


def medena_set_with_version(folder: Path, version: str) -> Path:
    """Copy Medena's set with another model version; return its folder."""
    target = folder / f'set-version-{version}'
    copytree(MEDENA_SET, target, dirs_exist_ok=True)
    path = target / 'pools.json'
    pools = loads(path.read_text(encoding='utf-8'))
    for pool in pools['pools'].values():
        pool['version'] = version
    path.write_text(dumps(pools), encoding='utf-8')
    return target


def publish_when_ready(cluster: Cluster, folder: Path = MEDENA_SET) -> None:
    """Publish a set once the control group answers; wait for every node."""
    cluster.wait_ready(cluster.control_hosts)
    published = cluster.operate('publish', str(folder), '--wait')
    assert published.returncode == 0, published.stdout + published.stderr
    cluster.wait_ready()


def _zone(number: int) -> str:
    return MEDENA_ZONES[number % len(MEDENA_ZONES)]
