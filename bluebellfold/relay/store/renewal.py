"""Decide for how long a watch waits before it is renewed.

Load pattern: each balancer holds two watches, and a renewal of each is a priced
call that returns nothing. A renewal is needed to notice a connection that broke
without an error. Balancers tell each other through the agents which versions
they know, so that the first one to notice makes the others list anew: the more
of them there are, the longer each may wait. The waits are drawn, so that the
renewals of a fleet that started at one moment spread over time.
"""

from collections.abc import Callable

# Up to this number of balancers, each renews after the shortest wait.
FEW_BALANCERS = 12
# The longest wait that the store allows is 30 s.
MAX_WAIT_SECONDS = 28.0


def renewal_seconds(
    shortest_seconds: float, *, balancers: int, draw: Callable[[], float]
) -> float:
    """Return how long the next watch waits for a change.

    ``shortest_seconds`` is the wait of a few balancers. ``balancers`` is an
    estimate of their number. ``draw`` returns a random number in [0, 1).

    >>> renewal_seconds(5, balancers=6, draw=lambda: 0.5)
    5
    >>> renewal_seconds(5, balancers=24, draw=lambda: 0.5)
    7.5
    >>> renewal_seconds(10, balancers=600, draw=lambda: 0.999) < 28
    True
    """
    if balancers <= FEW_BALANCERS:
        return shortest_seconds
    longest = shortest_seconds * balancers / FEW_BALANCERS
    longest = min(longest, MAX_WAIT_SECONDS)
    return shortest_seconds + (longest - shortest_seconds) * draw()
