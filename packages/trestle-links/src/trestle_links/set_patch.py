"""Changes between two versions of the named set, object by object.

A node that holds the version before gets only the objects that changed. It
makes the new content itself and takes it only if the digest is right, so a
patch can never put another set in force than the published one.
"""

from typing import Any

from msgspec.json import decode

from trestle_core.digests import canonical_json, content_digest
from trestle_links.watch_messages import ObjectChange, SetDelta, SetPatch


def set_patch(before: SetDelta, after: SetDelta) -> SetPatch | None:
    """Return the patch, or None when only the whole set would do."""
    patch = SetPatch(
        version=after.version,
        digest=after.digest,
        base_version=before.version,
        changes=_changes(decode(before.content), decode(after.content)),
        log_index=after.log_index,
    )
    # A set that was not published in canonical form cannot be made anew.
    if patched_set(before.content, patch) is None:
        return None
    return patch


def patched_set(content: bytes, patch: SetPatch) -> SetDelta | None:
    """Return the set that a patch makes, or None if its digest is wrong."""
    objects = decode(content)
    for change in patch.changes:
        section = objects.setdefault(change.section, {})
        if change.content:
            section[change.name] = decode(change.content)
        else:
            section.pop(change.name, None)
    patched = canonical_json(objects)
    if content_digest(patched) != patch.digest:
        return None
    return SetDelta(patch.version, patch.digest, patched, patch.log_index)


def _changes(
    before: dict[str, dict[str, Any]],
    after: dict[str, dict[str, Any]],
) -> list[ObjectChange]:
    changes: list[ObjectChange] = []
    for section in (*after, *(name for name in before if name not in after)):
        old = before.get(section, {})
        new = after.get(section, {})
        changes.extend(
            ObjectChange(section, name, canonical_json(new[name]))
            for name in new
            if name not in old or old[name] != new[name]
        )
        changes.extend(
            ObjectChange(section, name, b'') for name in old if name not in new
        )
    return changes
