"""Receive packets of clients, and choose the agent of each flow."""

from bluebellfold.relay.callers.front import CallerFront
from bluebellfold.relay.callers.messages import (
    AskReadiness,
    ChangeAgents,
    ChangeRoutes,
    Leave,
    MarkRoutes,
    ReadAnew,
)
from bluebellfold.relay.callers.relay import CallerRelay

__all__ = (
    'AskReadiness',
    'CallerFront',
    'CallerRelay',
    'ChangeAgents',
    'ChangeRoutes',
    'Leave',
    'MarkRoutes',
    'ReadAnew',
)
