"""Watch the configuration and the agents in the platform's store."""

from bluebellfold.relay.store.agents import (
    AGENTS_KIND,
    AgentRegistrar,
    AgentWatch,
)
from bluebellfold.relay.store.configuration import ConfigurationWatch
from bluebellfold.relay.store.messages import (
    RegisterAgent,
    Relist,
    SetBalancers,
    SetRoutesFresh,
    UpdateAgents,
    UpdateRoutes,
)

__all__ = (
    'AGENTS_KIND',
    'AgentRegistrar',
    'AgentWatch',
    'ConfigurationWatch',
    'RegisterAgent',
    'Relist',
    'SetBalancers',
    'SetRoutesFresh',
    'UpdateAgents',
    'UpdateRoutes',
)
