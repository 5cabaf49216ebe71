"""What endpoint processes tell of their engines; code 74."""

from typing import NamedTuple

from trestle_links.codec import message


@message(74)
class ReportEngine(NamedTuple):
    """An endpoint process tells what its engine is after a start.

    `loaded` holds `KIND NAME` of the model and of each adapter. `fencing` is
    the last order that the process knew when it read the engine.
    """

    host: str
    incarnation: str
    engine_incarnation: str
    role: str
    loaded: list[str]
    fencing: int
