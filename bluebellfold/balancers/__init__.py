"""Exchange member rows and configurations with balancers and agents."""

from bluebellfold.balancers.dead_members import find_presumed_dead, tombstone
from bluebellfold.balancers.departed_endpoints import DepartedEndpoints
from bluebellfold.balancers.endpoint_ownership import endpoint_owners
from bluebellfold.balancers.exchange import ExchangeTask
from bluebellfold.balancers.messages import (
    Announce,
    ConfigurationReceived,
    GetMembers,
    MembersChanged,
    MergeMembers,
    PublishConfiguration,
    Subscribe,
)
from bluebellfold.balancers.return_paths import ReturnPaths
from bluebellfold.balancers.service import ExchangeService

__all__ = (
    'Announce',
    'PublishConfiguration',
    'DepartedEndpoints',
    'ExchangeService',
    'ExchangeTask',
    'GetMembers',
    'MembersChanged',
    'MergeMembers',
    'ConfigurationReceived',
    'ReturnPaths',
    'Subscribe',
    'endpoint_owners',
    'find_presumed_dead',
    'tombstone',
)
