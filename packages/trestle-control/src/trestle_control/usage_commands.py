"""Commands on the usage of customers.

What is reported of a window is fixed here first, so every holder of the duty
sends the same figures for it.
"""

from typing import Final

from trestle_control.audit import AuditTrail
from trestle_control.endpoint_commands import ACCEPTED
from trestle_control.state import ControlState
from trestle_links.fleet_messages import CommandReply
from trestle_links.usage_messages import ConfirmUsage, RecordUsage

# Windows that wait for a platform which cannot be reached; the oldest go first.
MAX_WAITING_WINDOWS: Final = 720


def record_usage(
    state: ControlState, command: RecordUsage, trail: AuditTrail
) -> CommandReply:
    """Fix the counts of a window, unless that is done."""
    if command.window <= state.usage_recorded:
        return ACCEPTED
    state.usage_recorded = command.window
    state.usage_waiting[command.window] = command.counts
    if len(state.usage_waiting) > MAX_WAITING_WINDOWS:
        lost = next(iter(state.usage_waiting))
        state.usage_waiting.pop(lost)
        trail.record(
            [f'usage-{lost}'],
            'usage given up',
            'the platform does not take reports',
            f'window {lost}',
        )
    return ACCEPTED


def confirm_usage(
    state: ControlState, command: ConfirmUsage, _trail: AuditTrail
) -> CommandReply:
    """Drop the counts of a window that the platform has accepted."""
    if state.usage_waiting.pop(command.window, None) is not None:
        state.usage_confirmed = max(state.usage_confirmed, command.window)
    return ACCEPTED
