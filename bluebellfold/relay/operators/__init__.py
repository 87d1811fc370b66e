"""Load the settings of the relay's processes and explain their logs."""

from bluebellfold.relay.operators.explain import (
    Explanation,
    NothingFoundError,
)
from bluebellfold.relay.operators.settings import (
    AGENT_SPEC,
    BALANCER_SPEC,
    PACKAGE,
    AgentSettings,
    BalancerSettings,
    RelayProcess,
    load_agent,
    load_balancer,
)

__all__ = (
    'AGENT_SPEC',
    'BALANCER_SPEC',
    'PACKAGE',
    'AgentSettings',
    'BalancerSettings',
    'Explanation',
    'NothingFoundError',
    'RelayProcess',
    'load_agent',
    'load_balancer',
)
