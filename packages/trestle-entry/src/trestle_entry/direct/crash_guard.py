"""Refuses requests under which back ends crash before they reach many of them.

An answer that breaks off is no crash yet: connections are reset and answers
spoiled for other reasons. Only when the back end cannot be reached shortly
afterwards, by this entry or another, it has crashed, and the traits of the
requests that it broke off become suspects (`crash_evidence`). Entries exchange
what they saw, so that a block applies to all of them.
"""

from collections import Counter
from collections.abc import Callable
from hashlib import blake2b
from itertools import count
from math import inf
from secrets import token_hex
from time import monotonic
from typing import Final, NamedTuple

from trestle_core.logs import part_logger
from trestle_entry.direct.entry_reports import EntryReports
from trestle_links.crash_evidence import (
    PROVEN_SECONDS,
    Block,
    CrashEvidence,
)
from trestle_links.crash_messages import CrashNotice, ServedTrait, age_ms

# Time within which a back end is found down after it broke off an answer.
_CONFIRM_SECONDS: Final = 3.0
_MAX_SERVED: Final = 4000
_MAX_PARTS: Final = 64
_DIGEST_BYTES: Final = 8
_INCARNATION_BYTES: Final = 4

_log = part_logger('crashes')


class Interruption(NamedTuple):
    """A request that a back end broke off, and when."""

    content: str
    parts: list[str]
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

    def note_interrupted(
        self, instance: str, content: str, parts: list[str]
    ) -> None:
        """Record that a back end broke off its answer to a request."""
        now = monotonic()
        recent = [
            interruption
            for interruption in self.interruptions.get(instance, [])
            if now - interruption.at < _CONFIRM_SECONDS
        ]
        recent.append(Interruption(content, parts[-_MAX_PARTS:], now))
        self.interruptions[instance] = recent

    def note_down(self, instance: str) -> None:
        """Record that a back end cannot be reached.

        If it has just broken off answers, it has crashed.
        """
        now = monotonic()
        notices = [
            CrashNotice(
                self._next_key(), instance, age_ms(now - at), content, parts
            )
            for content, parts, at in self.interruptions.pop(instance, [])
            if now - at < _CONFIRM_SECONDS
        ]
        for notice in notices:
            self.reports.note_crash(notice)
        self._record(notices, now)

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
        traits = (*part_traits, content_trait())
        self._vouch([ServedTrait(trait, 0) for trait in traits], now)

    def block_of(self, traits: Callable[[], list[str]]) -> Block | None:
        """Return the block that applies to a request, if there is any."""
        if not self.evidence.blocks:
            return None
        return self.evidence.block_of(traits(), monotonic())

    def take(
        self, notices: list[CrashNotice], served_traits: list[ServedTrait]
    ) -> None:
        """Record what entries, this one included, have told."""
        now = monotonic()
        self._record(notices, now)
        self._note_served(served_traits, now)

    def report_all(self) -> None:
        """Tell all that is known, to a leader that may be new."""
        now = monotonic()
        for notice in self.evidence.all_notices(now):
            self.reports.note_crash(notice)
        for served in self.evidence.all_served(now):
            self.reports.note_served(served)

    def keep_only(self, instances: set[str]) -> None:
        """Drop the interruptions by all other back ends."""
        for instance in set(self.interruptions) - instances:
            self.interruptions.pop(instance)

    def _next_key(self) -> str:
        return f'{self.incarnation}-{next(self.numbers)}'

    def _record(self, notices: list[CrashNotice], now: float) -> None:
        before = self.evidence.blocks
        new = self.evidence.record(notices, now)
        broken_off = Counter(notice.instance for notice in new)
        for instance, requests in broken_off.items():
            _log.info(
                '{} crashed and broke off {} requests.', instance, requests
            )
        self._log_changes(before, now)
        self._vouch(self._served_here(new, now), now)

    def _served_here(
        self, notices: list[CrashNotice], now: float
    ) -> list[ServedTrait]:
        """Return the suspected traits for which this entry can speak.

        Either they were served after the crash, or they are suspected again
        and no entry has told yet that it has served them.
        """
        evidence = self.evidence
        served = []
        for notice in notices:
            crashed_at = now - notice.age_seconds
            for trait in notice.traits:
                served_at = self.served_at.get(trait, -inf)
                told_at = evidence.served_at.get(trait, -inf)
                is_repeated = evidence.suspects.get(trait, 0) > 1
                is_untold = served_at - told_at > PROVEN_SECONDS / 2
                if served_at > crashed_at or (is_repeated and is_untold):
                    served.append(ServedTrait(trait, age_ms(now - served_at)))
        return served

    def _vouch(self, served_traits: list[ServedTrait], now: float) -> None:
        for served in self._note_served(served_traits, now):
            self.reports.note_served(served)

    def _note_served(
        self, served_traits: list[ServedTrait], now: float
    ) -> list[ServedTrait]:
        before = self.evidence.blocks
        new = self.evidence.note_served(served_traits, now)
        self._log_changes(before, now)
        return new

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
