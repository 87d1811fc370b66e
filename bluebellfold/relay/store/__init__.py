"""Watch the configuration and the agents in the platform's store."""

from bluebellfold.relay.store.agents import (
    AGENTS_KIND,
    AgentRegistrar,
    AgentWatch,
    decode_agent,
    list_agents,
)
from bluebellfold.relay.store.configuration import ConfigurationWatch
from bluebellfold.relay.store.messages import (
    ConfirmObjects,
    DisconnectObjects,
    Relist,
    ReportObjects,
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
    'ConfirmObjects',
    'DisconnectObjects',
    'Relist',
    'ReportObjects',
    'SetBalancers',
    'SetRoutesFresh',
    'UpdateAgents',
    'UpdateRoutes',
    'decode_agent',
    'list_agents',
)
