"""Track the balancers that subscribe to load reports of this agent."""

from bluebellfold.relay.balancers.subscriptions import Subscriptions, tag_of

__all__ = ('Subscriptions', 'tag_of')
