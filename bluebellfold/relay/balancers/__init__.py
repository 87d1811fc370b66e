"""Talk with balancers: who wants to be told the load of this agent."""

from bluebellfold.relay.balancers.subscriptions import Subscriptions, tag_of

__all__ = ('Subscriptions', 'tag_of')
