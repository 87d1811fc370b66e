"""Receive packets of clients, and choose the agent of each flow."""

from bluebellfold.relay.callers.actor import ClientActor
from bluebellfold.relay.callers.messages import (
    CheckReadiness,
    LeaveRotation,
)
from bluebellfold.relay.callers.relay import ClientRelay

__all__ = (
    'CheckReadiness',
    'ClientActor',
    'ClientRelay',
    'LeaveRotation',
)
