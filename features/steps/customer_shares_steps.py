"""Steps on the room that customers share."""

from collections import Counter
from random import Random
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from trestle_control.usage_table import UsageTable, fair_level
from trestle_core.customers import Customer
from trestle_entry.direct import customer_shares
from trestle_entry.direct.admission import Prediction, check_admission
from trestle_entry.direct.customer_shares import CustomerShares, room_part
from trestle_links.usage_messages import CustomerShare, CustomerUsage

SERVICE_MS = 10.0
POOL_RATE = 100.0
MANY = 20
TARGET_MS = 500.0
PATIENCE_MS = 4000.0
WINDOW_SECONDS = 5
# Seconds in which the shares are learned.
START_SECONDS = 5
MS = 1000
ZIPF = {f'c{rank}': 300 / 3.6 / rank**1.2 for rank in range(1, 81)}
LOADS = {
    'a crowd of 200 a second and a trickle of 2': {'crowd': 200, 'small': 2},
    'two crowds of 100 each and ten of 2': {
        'crowd1': 100,
        'crowd2': 100,
        **{f's{number}': 2 for number in range(10)},
    },
    '80 customers of very uneven size': ZIPF,
    'a crowd of 60 and a trickle of 2': {'crowd': 60, 'small': 2},
}


@given('a pool that serves 100 requests a second, and {load}')
def step_pool(context: Context, load: str) -> None:
    """Take the requests a second of each customer."""
    context.rates = LOADS[load]


@when('the load goes on for {seconds:d} seconds')
def step_load(context: Context, seconds: int) -> None:
    """Decide on every request by what the leader last told."""
    random = Random(1)
    usage, shares = UsageTable(), CustomerShares()
    context.asked, context.served = Counter(), Counter()
    began: Counter[tuple[int, str]] = Counter()
    refused: Counter[tuple[int, str]] = Counter()
    customers = list(context.rates)
    weights = list(context.rates.values())
    wait_ms = 0.0
    for now_ms in range(seconds * MS):
        wait_ms = max(0.0, wait_ms - 1)
        if now_ms % MS == 0:
            shares.follow(usage.shares())
        if random.random() * MS >= sum(weights):
            continue
        (name,) = random.choices(customers, weights)
        prediction = Prediction(
            wait_ms,
            SERVICE_MS,
            wait_ms + SERVICE_MS,
            TARGET_MS,
            PATIENCE_MS,
            shares.room_of(Customer(name)),
        )
        is_admitted = check_admission(prediction, 0.5) is None
        if now_ms >= START_SECONDS * MS:
            context.asked[name] += 1
            context.served[name] += is_admitted
        counted = now_ms // MS // WINDOW_SECONDS + 1, name
        if is_admitted:
            wait_ms += SERVICE_MS
            began[counted] += 1
        else:
            refused[counted] += 1
        told = CustomerUsage(*counted, began[counted], refused[counted])
        usage.note('e1/1', [told])
    context.measured_seconds = seconds - START_SECONDS


@then('the small customers are served at least {percent:d} in 100')
def step_small(context: Context, percent: int) -> None:
    """Look at those that ask for less than half of a share by need."""
    rates = [round(rate * MS) for rate in context.rates.values()]
    level = fair_level(rates, POOL_RATE * MS) / MS
    small = [n for n, rate in context.rates.items() if rate < level / 2]
    assert small, level
    served = sum(context.served[name] for name in small)
    asked = sum(context.asked[name] for name in small)
    assert served * 100 >= percent * asked, (served, asked)


@then('no customer is served less than a quarter as often as all')
def step_quarter(context: Context) -> None:
    """Compare the parts that are served, of crowds too."""
    overall = context.served.total() / context.asked.total()
    for name, asked in context.asked.items():
        # A customer with fewer requests may have had bad luck.
        if asked >= MANY:
            part = context.served[name] / asked
            assert part >= overall / 4, (name, part, overall)


@then('the pool serves at least {rate:d} requests a second')
def step_used(context: Context, rate: int) -> None:
    """Check that no room is left unused."""
    served = context.served.total() / context.measured_seconds
    assert served >= rate, served


@then('no request is refused')
def step_none_refused(context: Context) -> None:
    """Compare what was asked for and what was served."""
    assert context.asked == context.served


@given('an entry that was told that ana gets {ratio:d} times its share')
def step_told(context: Context, ratio: int) -> None:
    """Tell it once."""
    context.shares = CustomerShares()
    context.shares.follow([CustomerShare('ana', float(ratio))])


@then('ana may fill {ana:f} of the room, and bo {bo:f}')
def step_room(context: Context, ana: float, bo: float) -> None:
    """Check both parts."""
    rooms = [context.shares.room_of(Customer(name)) for name in ('ana', 'bo')]
    assert [round(room, 2) for room in rooms] == [ana, bo], rooms


@then(
    '{seconds:d} seconds later ana may fill {ana:f} of the room, and bo {bo:f}'
)
def step_later(context: Context, seconds: int, ana: float, bo: float) -> None:
    """Let the time pass."""
    later = context.shares.told_at + seconds
    with patch.object(customer_shares, 'monotonic', lambda: later):
        step_room(context, ana, bo)


@when('{count:d} customers have requests, each one more than the one before')
def step_many(context: Context, count: int) -> None:
    """Count them in one window."""
    context.usage = UsageTable()
    usage = [
        CustomerUsage(1, f'c{number}', number, number)
        for number in range(count)
    ]
    context.usage.note('e1/1', usage)


@then('entries are told of at most {count:d} of them')
def step_bounded(context: Context, count: int) -> None:
    """Check the message, and that nobody gets more than the whole room."""
    shares = context.usage.shares()
    assert 0 < len(shares) <= count, shares
    assert all(room_part(share.ratio) <= 1 for share in shares)
