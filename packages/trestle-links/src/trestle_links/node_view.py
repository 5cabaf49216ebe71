"""What a node holds of the control state, fed by deltas.

Deltas come from any control host, and a host may lag behind another that
the node followed before. Two rules keep the view from going back:

* a named set is taken only with a higher version, whole or not at all;
* a list is changed only by deltas above the log index that it has reached.

Deltas of one host come in log order, and a stamp follows every delta up to
its index, so a delta at or below the reached index is already part of the
view and may be skipped.
"""

from msgspec.json import decode

from trestle_core.digests import content_digest
from trestle_core.logs import part_logger
from trestle_core.namedset import NamedSet
from trestle_core.namedset_check import check_set
from trestle_links.direct_messages import (
    Backend,
    BackendsDelta,
    DocumentDelta,
)
from trestle_links.set_patch import patched_set
from trestle_links.watch_messages import (
    ContentDelta,
    EndpointInfo,
    EndpointsDelta,
    SetDelta,
    SetPatch,
)

_log = part_logger('watch')


class NodeView:
    """The named set, endpoints and crash-causing contents that a node knows."""

    def __init__(self) -> None:
        """Hold nothing: version 0 stands for no set."""
        self.set_version = 0
        self.set_digest = ''
        self.set_content = b''
        self.set_log_index = 0
        self.named_set: NamedSet | None = None
        self.endpoints: dict[str, EndpointInfo] = {}
        self.suspects: set[str] = set()
        self.quarantined: set[str] = set()
        self.endpoints_index = 0
        self.contents_index = 0
        self.document_version = 0
        self.document = b''
        self.backends: list[Backend] = []
        self.backends_index = 0

    @property
    def holds_configuration(self) -> bool:
        """Tell whether a named set or a route document is held."""
        return self.named_set is not None or self.document_version > 0

    def endpoints_of(self, target: str) -> list[EndpointInfo]:
        """Return the serving endpoints of a pool or service."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.target == target and endpoint.serving
        ]

    def take_set(self, delta: SetDelta) -> bool:
        """Take a set if its version is higher and its content is whole."""
        if delta.version <= self.set_version:
            return False
        named_set = _parse_set(delta)
        if named_set is None:
            return False
        self.named_set = named_set
        self.set_version = delta.version
        self.set_digest = delta.digest
        self.set_content = delta.content
        self.set_log_index = delta.log_index
        return True

    def take_patch(self, patch: SetPatch) -> bool:
        """Take a patch of the set at hand; another one has to be fetched."""
        if patch.base_version != self.set_version:
            return False
        patched = patched_set(self.set_content, patch)
        return patched is not None and self.take_set(patched)

    def take_endpoints(self, delta: EndpointsDelta) -> bool:
        """Take changed endpoints above the reached log index."""
        if not _is_news(delta, self.endpoints_index):
            return False
        self.endpoints_index = delta.log_index
        if delta.whole:
            self.endpoints.clear()
        for endpoint in delta.endpoints:
            self.endpoints[endpoint.host] = endpoint
        return True

    def take_contents(self, delta: ContentDelta) -> bool:
        """Take changed suspects and quarantines above the reached index."""
        if not _is_news(delta, self.contents_index):
            return False
        self.contents_index = delta.log_index
        if delta.whole:
            self.suspects.clear()
            self.quarantined.clear()
        self.quarantined.difference_update(delta.cleared)
        self.quarantined.update(delta.quarantined)
        self.suspects.difference_update(delta.cleared, delta.quarantined)
        self.suspects.update(delta.suspects)
        return True

    def take_document(self, delta: DocumentDelta) -> bool:
        """Take a route document if its version is higher."""
        if delta.version <= self.document_version:
            return False
        self.document_version = delta.version
        self.document = delta.content
        return True

    def take_backends(self, delta: BackendsDelta) -> bool:
        """Take a list of back ends unless it is older than the one held."""
        if delta.log_index < self.backends_index:
            return False
        self.backends_index = delta.log_index
        self.backends = delta.backends
        return True

    def reach(self, log_index: int) -> None:
        """Note that every delta up to an index was delivered."""
        self.endpoints_index = max(self.endpoints_index, log_index)
        self.contents_index = max(self.contents_index, log_index)


def _is_news(delta: EndpointsDelta | ContentDelta, reached: int) -> bool:
    # The whole list that opens a stream may restate the reached index.
    if delta.whole:
        return delta.log_index >= reached
    return delta.log_index > reached


def _parse_set(delta: SetDelta) -> NamedSet | None:
    if content_digest(delta.content) != delta.digest:
        _log.error('Set version {} has another digest.', delta.version)
        return None
    try:
        raw = decode(delta.content)
    except ValueError as error:
        _log.error('Set version {} is not JSON: {}.', delta.version, error)
        return None
    checked = check_set(raw)
    for finding in checked.errors:
        _log.error('Set version {}: {}.', delta.version, finding)
    return checked.named_set
