"""Exchange member rows and configurations with balancers and agents."""

from bluebellfold.balancers.departed import DepartedEndpoints
from bluebellfold.balancers.departures import find_departed, tombstone
from bluebellfold.balancers.exchange import ExchangeTask
from bluebellfold.balancers.holders import current_holders
from bluebellfold.balancers.messages import (
    Announce,
    CarryConfiguration,
    GetMembers,
    MembersChanged,
    MergeMembers,
    ReceivedConfiguration,
    Subscribe,
)
from bluebellfold.balancers.returns import ReturnPaths
from bluebellfold.balancers.service import ExchangeService

__all__ = (
    'Announce',
    'CarryConfiguration',
    'DepartedEndpoints',
    'ExchangeService',
    'ExchangeTask',
    'GetMembers',
    'MembersChanged',
    'MergeMembers',
    'ReceivedConfiguration',
    'ReturnPaths',
    'Subscribe',
    'current_holders',
    'find_departed',
    'tombstone',
)
