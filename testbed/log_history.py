"""What clients of a log group saw, and whether a correct log allows it.

Registers only rise and lists only grow, so every command has an effect that
later reads must show, whatever the order of commands that overlap:

- A read shows every write that was acknowledged before it began, and every
  value that an earlier read showed.
- A read shows only values that were sent before it ended and not refused.
- Of any two reads of a list one is a prefix of the other.
- The log index of a command is higher than that of any command that was
  acknowledged before it was sent.

A local read counts as begun when its stamp says that it was the newest.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Literal, NamedTuple

from trestle_core.verdict import Verdict


class Operation(NamedTuple):
    """One call; times are in seconds by one clock.

    `value` is what was written, or what a read showed; an `append` writes
    one item, a read shows all of them, each with a space.
    """

    kind: Literal['raise', 'append', 'read']
    key: str
    value: str
    verdict: Verdict
    asked_at: float
    answered_at: float
    log_index: int = 0


class Floor:
    """The highest value that was answered before a time."""

    def __init__(self, answered: Iterable[tuple[float, int]]) -> None:
        """Take pairs of a time and a value, in any order."""
        self.times: list[float] = []
        self.highest: list[int] = []
        highest = 0
        for answered_at, value in sorted(answered):
            highest = max(highest, value)
            self.times.append(answered_at)
            self.highest.append(highest)

    def before(self, time: float) -> int:
        """Return the highest value answered before a time, or 0."""
        position = bisect_left(self.times, time)
        return self.highest[position - 1] if position else 0


def find_violations(history: list[Operation]) -> list[str]:
    """Return what a correct log would not have answered."""
    by_key: defaultdict[str, list[Operation]] = defaultdict(list)
    for operation in history:
        by_key[operation.key].append(operation)
    violations = list(_check_indexes(history))
    for operations in by_key.values():
        if any(one.kind == 'append' for one in operations):
            violations.extend(_check_list(operations))
        else:
            violations.extend(_check_register(operations))
    return violations


def _check_indexes(history: list[Operation]) -> Iterator[str]:
    ran = [one for one in _ran(history) if one.kind != 'read']
    indexes = Floor((one.answered_at, one.log_index) for one in ran)
    for write in ran:
        if write.log_index <= indexes.before(write.asked_at):
            yield f'index not above an earlier one: {write}'
    if len({write.log_index for write in ran}) < len(ran):
        yield 'one index for two commands'


def _check_register(operations: list[Operation]) -> Iterator[str]:
    floor = Floor(
        (one.answered_at, int(one.value or 0)) for one in _ran(operations)
    )
    sent_at = _sent_at(operations)
    for read in _reads(operations):
        if int(read.value or 0) < floor.before(read.asked_at):
            yield f'stale read or lost write: {read}'
        if read.value and not _was_sent(read.value, read, sent_at):
            yield f'invented or refused value: {read}'


def _check_list(operations: list[Operation]) -> Iterator[str]:
    reads = _reads(operations)
    longest = max((read.value for read in reads), key=len, default='')
    items = longest.split()
    places = {item: place for place, item in enumerate(items, 1)}
    if len(places) < len(items):
        yield f'an item twice: {longest}'
    sent_at = _sent_at(operations)
    appended = [one for one in _ran(operations) if one.kind == 'append']
    floor = Floor(
        [(one.answered_at, places.get(one.value, 0)) for one in appended]
        + [(read.answered_at, len(read.value.split())) for read in reads]
    )
    for read in reads:
        shown = read.value.split()
        if shown != items[: len(shown)]:
            yield f'not a prefix of {longest}: {read}'
        if len(shown) < floor.before(read.asked_at):
            yield f'stale read or lost item: {read}'
        if not all(_was_sent(item, read, sent_at) for item in shown):
            yield f'invented or refused item: {read}'
    yield from _check_order(appended, places, reads)


def _check_order(
    appended: list[Operation],
    places: dict[str, int],
    reads: list[Operation],
) -> Iterator[str]:
    last_read_at = max((read.asked_at for read in reads), default=0)
    for append in appended:
        lost = append.value not in places
        if lost and append.answered_at < last_read_at:
            yield f'lost item: {append}'
    by_index = sorted(
        (one.log_index, places[one.value])
        for one in appended
        if one.value in places
    )
    in_order = [place for _, place in by_index]
    if in_order != sorted(in_order):
        yield f'items not in the order of the log: {by_index}'


def _ran(operations: list[Operation]) -> list[Operation]:
    return [one for one in operations if one.verdict is Verdict.RAN]


def _reads(operations: list[Operation]) -> list[Operation]:
    return [one for one in _ran(operations) if one.kind == 'read']


def _sent_at(operations: list[Operation]) -> dict[str, float]:
    return {
        one.value: one.asked_at
        for one in operations
        if one.kind != 'read' and one.verdict is not Verdict.NOT_RUN
    }


def _was_sent(value: str, read: Operation, sent_at: dict[str, float]) -> bool:
    return value in sent_at and sent_at[value] < read.answered_at
