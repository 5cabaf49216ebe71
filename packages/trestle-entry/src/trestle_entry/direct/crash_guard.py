"""Refuses requests under which back ends crash before they reach many of them.

An answer that breaks off is no crash yet: connections are reset and answers
spoiled for other reasons. Only when the back end cannot be reached shortly
afterwards, by this entry or another, it has crashed, and the traits of the
requests that it broke off become suspects (`crash_evidence`). Entries exchange
what they saw, so that a block applies to all of them.
"""

from collections.abc import Callable
from hashlib import blake2b
from itertools import count
from math import inf
from secrets import token_hex
from time import monotonic
from typing import Final, NamedTuple

from trestle_core.logs import part_logger
from trestle_entry.direct.entry_reports import EntryReports
from trestle_links.crash_evidence import Block, CrashEvidence
from trestle_links.crash_messages import ClearedTrait, CrashNotice, aged_by

# Time within which a back end is found down after it broke off an answer.
_CONFIRM_SECONDS: Final = 3.0
# Time for which a served request speaks for its traits.
_PROVEN_SECONDS: Final = 60.0
_MAX_SERVED: Final = 4000
_MAX_TRAITS: Final = 64
_DIGEST_BYTES: Final = 8
_INCARNATION_BYTES: Final = 4

_log = part_logger('crashes')


class Interruption(NamedTuple):
    """A request that a back end broke off, and when."""

    traits: list[str]
    at: float


class CrashGuard:
    """The evidence of crashes as this entry knows it, and its own part."""

    def __init__(self, host: str, reports: EntryReports) -> None:
        """Start without evidence; `host` names this entry in notices."""
        self.evidence = CrashEvidence()
        self.reports = reports
        # Answers that broke off; their back ends may have crashed.
        self.interruptions: dict[str, list[Interruption]] = {}
        # When a request with a trait was last served here, oldest first.
        self.served_at: dict[str, float] = {}
        self.incarnation = f'{host}-{token_hex(_INCARNATION_BYTES)}'
        self.numbers = count(1)

    def note_interrupted(self, instance: str, traits: list[str]) -> None:
        """Record that a back end broke off its answer to a request."""
        now = monotonic()
        recent = [
            interruption
            for interruption in self.interruptions.get(instance, [])
            if now - interruption.at < _CONFIRM_SECONDS
        ]
        recent.append(Interruption(traits[-_MAX_TRAITS:], now))
        self.interruptions[instance] = recent

    def note_down(self, instance: str) -> None:
        """Record that a back end cannot be reached.

        If it has just broken off answers, it has crashed.
        """
        now = monotonic()
        for interruption in self.interruptions.pop(instance, []):
            if now - interruption.at < _CONFIRM_SECONDS:
                notice = self._notice(instance, interruption, now)
                self._record(notice, now)
                self.reports.note_crash(notice)

    def note_served(
        self, part_traits: list[str], content_trait: Callable[[], str]
    ) -> None:
        """Record a complete answer; the content is hashed only if needed."""
        now = monotonic()
        for trait in part_traits:
            self.served_at.pop(trait, None)
            self.served_at[trait] = now
        while len(self.served_at) > _MAX_SERVED:
            self.served_at.pop(next(iter(self.served_at)))
        if not self.evidence.suspects:
            return
        for trait in (*part_traits, content_trait()):
            cleared = ClearedTrait(trait, 0)
            if self._clear(cleared, now):
                self.reports.note_cleared(cleared)

    def block_of(self, traits: Callable[[], list[str]]) -> Block | None:
        """Return the block that applies to a request, if there is any."""
        if not self.evidence.blocks:
            return None
        return self.evidence.block_of(traits(), monotonic())

    def take(
        self, notices: list[CrashNotice], cleared_traits: list[ClearedTrait]
    ) -> None:
        """Record what entries, this one included, have told."""
        now = monotonic()
        for notice in notices:
            self._record(notice, now)
        for cleared in cleared_traits:
            self._clear(cleared, now)

    def report_all(self) -> None:
        """Tell all that is known, to a leader that may be new."""
        now = monotonic()
        for notice in self.evidence.all_notices(now):
            self.reports.note_crash(notice)
        for cleared in self.evidence.all_cleared(now):
            self.reports.note_cleared(cleared)

    def _notice(
        self, instance: str, interruption: Interruption, now: float
    ) -> CrashNotice:
        proven = [
            trait
            for trait in interruption.traits
            if now - self.served_at.get(trait, -inf) < _PROVEN_SECONDS
        ]
        return CrashNotice(
            f'{self.incarnation}-{next(self.numbers)}',
            instance,
            aged_by(0, now - interruption.at),
            interruption.traits,
            proven,
        )

    def _record(self, notice: CrashNotice, now: float) -> None:
        before = self.evidence.blocks
        if not self.evidence.record(notice, now):
            return
        _log.info(
            '{} crashed {} ms ago under a request with {}.',
            notice.instance,
            notice.age_ms,
            ', '.join(notice.traits),
        )
        self._log_changes(before, now)
        self._clear_served(notice, now)

    def _clear_served(self, notice: CrashNotice, now: float) -> None:
        """Clear the traits of requests that were served since the crash."""
        crashed_at = now - notice.age_seconds
        for trait in notice.traits:
            served_at = self.served_at.get(trait, -inf)
            if served_at > crashed_at:
                cleared = ClearedTrait(trait, aged_by(0, now - served_at))
                if self._clear(cleared, now):
                    self.reports.note_cleared(cleared)

    def _clear(self, cleared: ClearedTrait, now: float) -> bool:
        before = self.evidence.blocks
        if not self.evidence.clear(cleared, now):
            return False
        _log.info('A request with {} was served.', cleared.trait)
        self._log_changes(before, now)
        return True

    def _log_changes(self, before: dict[str, Block], now: float) -> None:
        after = self.evidence.blocks
        for trait, block in after.items():
            if block != before.get(trait) and block.until > now:
                _log.warning(
                    'Requests with {} are refused for {:.0f} s: {} crashes, '
                    'the last one of {}.',
                    trait,
                    block.until - now,
                    block.crashes,
                    block.instance,
                )
        for trait in set(before) - set(after):
            _log.info('Requests with {} are not refused any more.', trait)


def part_trait(service: str, part_id: int) -> str:
    """Return the trait of the requests to a service with a prompt part."""
    return f'{service} part {part_id:x}'


def content_trait(service: str, method: str, target: str, body: bytes) -> str:
    """Return the trait of one request that is sent again."""
    hashed = blake2b(digest_size=_DIGEST_BYTES)
    hashed.update(f'{method} {target}\n'.encode('latin-1'))
    hashed.update(body)
    return f'{service} content {hashed.hexdigest()}'
