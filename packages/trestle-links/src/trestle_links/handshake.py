"""Mutual proof of the shared key at the start of a connection.

Each side proves the key over both nonces with HMAC-SHA256, so neither proof
can be replayed on another connection. Frames after the handshake are not
authenticated: the links run on the operators' own network.
"""

from hashlib import sha256
from hmac import compare_digest
from hmac import digest as hmac_digest
from pathlib import Path
from secrets import token_bytes
from typing import Final, TypeVar

from gevent import Timeout
from gevent.socket import socket

from trestle_core.errorcodes import BAD_HANDSHAKE
from trestle_core.errors import TrestleError
from trestle_links.codec import FrameReader, encode_frame
from trestle_links.link_messages import Challenge, Hello, Welcome

HANDSHAKE_SECONDS: Final = 5.0
_NONCE_BYTES: Final = 32
_MIN_KEY_BYTES: Final = 16
_READ_BYTES: Final = 4096
_CONTROL_CHANNEL: Final = 0
_DIALLER: Final = b'dialler'
_LISTENER: Final = b'listener'

Expected = TypeVar('Expected')


class BadHandshakeError(TrestleError):
    """The peer did not prove the shared key."""

    def __init__(self, reason: str) -> None:
        """Keep the reason for the log."""
        super().__init__(BAD_HANDSHAKE, reason)


def read_key(path: str) -> bytes:
    """Read the shared key; raises `ValueError` when it is too short."""
    key = Path(path).read_bytes().strip()
    if len(key) < _MIN_KEY_BYTES:
        raise ValueError(f'the key in {path} is under {_MIN_KEY_BYTES} bytes')
    return key


def prove_as_dialler(
    sock: socket,
    key: bytes,
    name: str,
    seconds: float = HANDSHAKE_SECONDS,
) -> str:
    """Prove the key and check the listener's proof; return its name.

    Raises `BadHandshakeError`, `OSError`, or `gevent.Timeout`.
    """
    with Timeout(seconds):
        challenge = _read_one(sock, Challenge)
        nonce = token_bytes(_NONCE_BYTES)
        proof = _proof(key, _DIALLER, challenge.nonce, nonce, name)
        sock.sendall(encode_frame(_CONTROL_CHANNEL, Hello(name, nonce, proof)))
        welcome = _read_one(sock, Welcome)
    expected = _proof(key, _LISTENER, challenge.nonce, nonce, welcome.name)
    if not compare_digest(expected, welcome.proof):
        raise BadHandshakeError('the listener does not hold the key')
    return welcome.name


def prove_as_listener(sock: socket, key: bytes, name: str) -> str:
    """Check the dialler's proof and prove the key; return its name.

    Raises `BadHandshakeError`, `OSError`, or `gevent.Timeout`.
    """
    nonce = token_bytes(_NONCE_BYTES)
    with Timeout(HANDSHAKE_SECONDS):
        sock.sendall(encode_frame(_CONTROL_CHANNEL, Challenge(nonce)))
        hello = _read_one(sock, Hello)
        expected = _proof(key, _DIALLER, nonce, hello.nonce, hello.name)
        if not compare_digest(expected, hello.proof):
            raise BadHandshakeError('the dialler does not hold the key')
        proof = _proof(key, _LISTENER, nonce, hello.nonce, name)
        sock.sendall(encode_frame(_CONTROL_CHANNEL, Welcome(name, proof)))
    return hello.name


def _proof(
    key: bytes,
    side: bytes,
    listener_nonce: bytes,
    dialler_nonce: bytes,
    name: str,
) -> bytes:
    parts = (side, listener_nonce, dialler_nonce, name.encode())
    return hmac_digest(key, b'\n'.join(parts), sha256)


def _read_one(sock: socket, expected: type[Expected]) -> Expected:
    # The sides take turns, so a read never holds more than one frame.
    reader = FrameReader()
    while True:
        received = sock.recv(_READ_BYTES)
        if not received:
            raise BadHandshakeError('the peer closed the connection')
        for frame in reader.feed(received):
            if isinstance(frame.body, expected):
                return frame.body
            raise BadHandshakeError('unexpected frame in the handshake')
