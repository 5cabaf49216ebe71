"""The published named set as objects, parsed once for each version."""

from collections.abc import Callable

from msgspec.json import decode

from trestle_control.state import ControlState
from trestle_core.namedset import NamedSet

ReadSet = Callable[[], NamedSet | None]


def published_set_reader(state: ControlState) -> ReadSet:
    """Return a function that gives the set in force, None before the first.

    The set was checked before it was published, so it decodes.
    """
    parsed: dict[int, NamedSet] = {}

    def read() -> NamedSet | None:
        version = state.set_version
        if not version:
            return None
        if version not in parsed:
            parsed.clear()
            parsed[version] = decode(state.set_content, type=NamedSet)
        return parsed[version]

    return read
