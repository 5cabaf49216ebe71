"""Strict reading of the head of an HTTP request.

What two readers of one head could understand differently is refused, above all
where its body ends: what follows the body is taken for the next request of the
connection, so a body of the wrong length would let a request hide in another
one. The grammar is that of RFC 9110 and 9112, without what is obsolete there.
"""

from re import compile as compile_pattern
from typing import BinaryIO, Final, NamedTuple

Fields = list[tuple[str, str]]

OLD_VERSION: Final = 'HTTP/1.0'
# A body above this size cannot be meant; limits for callers are far below.
MAX_LENGTH: Final = 2**31
_MAX_LENGTH_DIGITS: Final = 18
_MAX_HEAD_BYTES: Final = 262_144
_LINE_END: Final = b'\r\n'
_TOKEN: Final = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_REQUEST_LINE: Final = compile_pattern(
    rf'({_TOKEN}) (/[!-~]*) (HTTP/1\.[01])\r\n'
)
_NAME: Final = compile_pattern(_TOKEN.encode())
_HOST: Final = compile_pattern(r"[A-Za-z0-9._~%!$&'()*+,;=:\[\]-]*")
# Set once, by the sender of a head itself.
_FRAMING_NAMES: Final = frozenset(
    ('host', 'content-length', 'transfer-encoding')
)
_CONTROL: Final = compile_pattern(rb'[\x00-\x08\x0a-\x1f\x7f]')


class MalformedRequestError(ValueError):
    """The request cannot be read in one way only."""


class RequestLine(NamedTuple):
    """The first line of a request; the target is a path with its query."""

    method: str
    target: str
    version: str


class BodyFraming(NamedTuple):
    """Where a body ends: after a length, or with its last chunk."""

    length: int
    is_chunked: bool


def read_request_line(line: str) -> RequestLine:
    """Split a request line; raises `MalformedRequestError`."""
    found = _REQUEST_LINE.fullmatch(line)
    if found is None:
        raise MalformedRequestError('the request line is malformed')
    return RequestLine(*found.groups())


def read_fields(rfile: BinaryIO) -> Fields:
    """Read header or trailer lines; raises `MalformedRequestError`."""
    fields: Fields = []
    left_bytes = _MAX_HEAD_BYTES
    while True:
        line = rfile.readline(left_bytes)
        if line == _LINE_END:
            return fields
        fields.append(_split_field(line))
        left_bytes -= len(line)


def body_framing(version: str, fields: Fields) -> BodyFraming:
    """Return where the body ends; raises `MalformedRequestError`."""
    _check_host(version, field_values(fields, 'host'))
    lengths = field_values(fields, 'content-length')
    codings = field_values(fields, 'transfer-encoding')
    if len(lengths) + len(codings) > 1:
        raise MalformedRequestError('the body has two lengths')
    if codings:
        if version == OLD_VERSION or codings[0].lower() != 'chunked':
            raise MalformedRequestError('the transfer coding is not chunked')
        return BodyFraming(0, is_chunked=True)
    return BodyFraming(_read_length(lengths), is_chunked=False)


def closes_connection(version: str, fields: Fields) -> bool:
    """Return whether the caller wants no other request on the connection."""
    options = {
        option.strip(' \t').lower()
        for text in field_values(fields, 'connection')
        for option in text.split(',')
    }
    if version == OLD_VERSION:
        return 'keep-alive' not in options
    return 'close' in options


def is_sound_head(method: str, target: str, host: str, fields: Fields) -> bool:
    """Return whether a head of our own can be read in one way only.

    The fields are those besides the host and the length of the body.
    """
    line = f'{method} {target} HTTP/1.1\r\n'
    if not _REQUEST_LINE.fullmatch(line) or not _HOST.fullmatch(host):
        return False
    return all(_is_sound_field(*field) for field in fields)


def field_values(fields: Fields, name: str) -> list[str]:
    """Return the texts of all fields of a name, given in lower case."""
    return [text for known, text in fields if known.lower() == name]


def _split_field(line: bytes) -> tuple[str, str]:
    name, colon, text = line.removesuffix(_LINE_END).partition(b':')
    is_field = colon and line.endswith(_LINE_END) and _NAME.fullmatch(name)
    if not is_field or _CONTROL.search(text):
        raise MalformedRequestError('a header line is malformed')
    return name.decode('latin-1'), text.strip(b' \t').decode('latin-1')


def _is_sound_field(name: str, text: str) -> bool:
    try:
        name_bytes, text_bytes = name.encode('latin-1'), text.encode('latin-1')
    except UnicodeEncodeError:
        return False
    is_name = _NAME.fullmatch(name_bytes) and name.lower() not in _FRAMING_NAMES
    return bool(is_name) and not _CONTROL.search(text_bytes)


def _check_host(version: str, hosts: list[str]) -> None:
    """Raise `MalformedRequestError` unless there is exactly one host."""
    is_missing = not hosts and version != OLD_VERSION
    if is_missing or len(hosts) > 1:
        raise MalformedRequestError('the request has not exactly one host')
    if hosts and not _HOST.fullmatch(hosts[0]):
        raise MalformedRequestError('the host is malformed')


def _read_length(lengths: list[str]) -> int:
    if not lengths:
        return 0
    text = lengths[0]
    # `isdigit` alone is true of digits of other scripts, too.
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > _MAX_LENGTH_DIGITS:
        raise MalformedRequestError('the length of the body is malformed')
    return int(text)
