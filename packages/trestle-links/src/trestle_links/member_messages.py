"""Operators' changes of the control hosts; codes 115 to 118."""

from typing import NamedTuple

from trestle_links.codec import message


@message(115)
class AddControlHost(NamedTuple):
    """Let a host join the group; its process becomes a learner, then voter.

    Again with another address it changes the address.
    """

    host: str
    address: str


@message(116)
class RemoveControlHost(NamedTuple):
    """Take a host out of the group; its process is not admitted again."""

    host: str


@message(117)
class ControlHosts(NamedTuple):
    """The hosts that may belong to the group, as committed at `log_index`."""

    log_index: int
    hosts: list[str]


@message(118)
class GroupStatusAsk(NamedTuple):
    """Ask any member for the status of the group as its leader sees it."""
