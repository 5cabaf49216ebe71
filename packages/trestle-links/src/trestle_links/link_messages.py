"""Messages of every link; codes 1 to 9."""

from typing import NamedTuple

from trestle_core.verdict import Verdict
from trestle_links.codec import message


@message(1)
class ErrorReply(NamedTuple):
    """A failure at the peer, with a code of the registry."""

    code: str
    text: str
    verdict: Verdict


@message(2)
class Done(NamedTuple):
    """An empty reply."""


@message(3)
class Hello(NamedTuple):
    """The dialling side's name and its proof of the shared key."""

    name: str
    nonce: bytes
    proof: bytes


@message(4)
class Challenge(NamedTuple):
    """The listening side's nonce."""

    nonce: bytes


@message(5)
class Welcome(NamedTuple):
    """The listening side's name and its proof of the shared key."""

    name: str
    proof: bytes
