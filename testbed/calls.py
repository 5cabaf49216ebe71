"""HTTP calls of the testbed's programs, tests and demo."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from http.client import HTTPException
from json import dumps, loads
from typing import Any, Final

from geventhttpclient import HTTPClient

TIMEOUT_SECONDS: Final = 30.0
BLOCK_BYTES: Final = 65536


@contextmanager
def closing_client(
    address: str, timeout_seconds: float
) -> Iterator[HTTPClient]:
    """Yield a client for ip:port; a broken answer is a ConnectionError."""
    host, _, port = address.partition(':')
    client = HTTPClient(
        host,
        int(port),
        connection_timeout=timeout_seconds,
        network_timeout=timeout_seconds,
    )
    try:
        yield client
    except HTTPException as error:
        raise ConnectionError(str(error)) from error
    finally:
        client.close()


def http_call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    headers: Mapping[str, str] | None = None,
    timeout_seconds: float = TIMEOUT_SECONDS,
) -> tuple[int, Any]:
    """Make one JSON call; return its status and decoded answer."""
    text = b'' if body is None else dumps(body).encode()
    with closing_client(address, timeout_seconds) as client:
        response = client.request(method, path, text, dict(headers or {}))
        return response.status_code, loads(response.read() or b'null')


def stream_events(
    address: str,
    path: str,
    body: object,
    timeout_seconds: float = TIMEOUT_SECONDS,
) -> Iterator[dict[str, Any]]:
    """Yield the server-sent events of a stream as they arrive."""
    with closing_client(address, timeout_seconds) as client:
        response = client.request('POST', path, dumps(body).encode())
        while line := response.readline(b'\n'):
            event = line.decode().strip().removeprefix('data: ')
            if event.startswith('{'):
                yield loads(event)
