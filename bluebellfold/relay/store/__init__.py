"""Watch the configuration, agents and evacuations in the platform's store."""

from bluebellfold.relay.store.agents import (
    AGENTS_KIND,
    AgentWatch,
    decode_agent,
    list_agents,
)
from bluebellfold.relay.store.configuration import ConfigurationWatch
from bluebellfold.relay.store.evacuations import EvacuationWatch
from bluebellfold.relay.store.messages import (
    DeregisterAgent,
    RegisterAgent,
    ConfirmObjects,
    DisconnectObjects,
    LearnEra,
    Relist,
    ReportObjects,
    SetBalancers,
    SetRoutesFresh,
    UpdateAgents,
    UpdateEvacuations,
    UpdateRoutes,
    VerifyRegistration,
)
from bluebellfold.relay.store.registrar import AgentRegistrar

__all__ = (
    'AGENTS_KIND',
    'AgentRegistrar',
    'AgentWatch',
    'ConfigurationWatch',
    'EvacuationWatch',
    'DeregisterAgent',
    'RegisterAgent',
    'ConfirmObjects',
    'DisconnectObjects',
    'LearnEra',
    'Relist',
    'ReportObjects',
    'SetBalancers',
    'SetRoutesFresh',
    'UpdateAgents',
    'UpdateEvacuations',
    'UpdateRoutes',
    'VerifyRegistration',
    'decode_agent',
    'list_agents',
)
