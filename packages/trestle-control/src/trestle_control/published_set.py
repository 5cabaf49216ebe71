"""The published named set, decoded once per version."""

from collections.abc import Callable

from msgspec.json import decode

from trestle_control.state import ControlState
from trestle_core.namedset import NamedSet

ReadSet = Callable[[], NamedSet | None]


def published_set_reader(state: ControlState) -> ReadSet:
    """Return a function that returns the set in force, or None.

    A set is validated before it is published, so decoding cannot fail.
    """
    decoded: dict[int, NamedSet] = {}

    def read() -> NamedSet | None:
        version = state.set_version
        if not version:
            return None
        if version not in decoded:
            decoded.clear()
            decoded[version] = decode(state.set_content, type=NamedSet)
        return decoded[version]

    return read
