"""Exchange copies of the store's state with other balancers.

This front is apart from that of `relay.balancers`, so that agents don't load
it.
"""

from bluebellfold.relay.balancers.copies.actor import CopyActor

__all__ = ('CopyActor',)
