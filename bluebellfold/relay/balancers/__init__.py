"""Track the balancers that subscribe to load reports of this agent."""

from bluebellfold.relay.balancers.subscriptions import (
    Subscriptions,
    balancer_tag,
)

__all__ = ('Subscriptions', 'balancer_tag')
