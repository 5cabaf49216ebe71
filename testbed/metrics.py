"""Reads counters from a process's metrics page."""

from testbed.calls import closing_client

_TIMEOUT_SECONDS = 10.0
_PREFIX = 'kingcuptrestle_'


def read_metrics(address: str) -> dict[str, float]:
    """Return every series of a process by its name with labels."""
    with closing_client(address, _TIMEOUT_SECONDS) as client:
        page = bytes(client.get('/metrics').read()).decode()
    lines = [line.rpartition(' ') for line in page.splitlines() if line]
    return {
        name.removeprefix(_PREFIX): float(value) for name, _, value in lines
    }


def read_counter(address: str, name: str, label: str = '') -> float:
    """Return one counter; 0 when it was never counted."""
    labels = f'{{code="{label}"}}' if label else ''
    return read_metrics(address).get(f'{name}_total{labels}', 0)
