"""Commands on holds of suspects, contents that ran on crashed engines."""

from typing import NamedTuple

from trestle_links.codec import message


@message(78)
class HoldSuspect(NamedTuple):
    """An endpoint process asks to be the only one that runs a suspect."""

    content: str
    endpoint: str
    incarnation: str


@message(79)
class DropSuspect(NamedTuple):
    """The holder of a suspect runs it no longer, and no crash came of it."""

    content: str
    endpoint: str
    incarnation: str
