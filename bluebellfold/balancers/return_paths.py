"""Select the balancer through which an agent replies to clients."""

from bluebellfold.core import Endpoint

FRESH_SECONDS = 3.0
MAX_PATHS_PER_ADDRESS = 8


class ReturnPaths:
    """Rotate over the balancers that recently sent datagrams to an address.

    Any running balancer can forward replies, so a flow continues if the
    balancer that forwarded its packets fails. The state is bounded by the
    number of addresses, not of flows.

    >>> paths = ReturnPaths()
    >>> first = Endpoint(host='127.0.0.1', port=1)
    >>> second = Endpoint(host='127.0.0.1', port=2)
    >>> paths.record_datagram(7, first, now=0)
    >>> paths.record_datagram(7, second, now=2.5)
    >>> [paths.next_balancer(7, now=2.5).port for _ in range(3)]
    [1, 2, 1]
    >>> [paths.next_balancer(7, now=4).port for _ in range(2)]
    [2, 2]
    """

    __slots__ = ('_selections', '_received_at')

    def __init__(self) -> None:
        self._received_at: dict[int, dict[Endpoint, float]] = {}
        self._selections = 0

    def record_datagram(
        self, address: int, balancer: Endpoint, *, now: float
    ) -> None:
        """Record that the balancer sent a datagram; ``now`` is in seconds."""
        received_at = self._received_at.setdefault(address, {})
        received_at[balancer] = now
        if len(received_at) > MAX_PATHS_PER_ADDRESS:
            received_at.pop(min(received_at, key=received_at.__getitem__))

    def remove_balancer(self, balancer: Endpoint) -> None:
        """Stop replying through a balancer that is leaving."""
        for received_at in self._received_at.values():
            # The last balancer is kept: a path that may have failed is
            # better than no path.
            if len(received_at) > 1:
                received_at.pop(balancer, None)

    def next_balancer(self, address: int, *, now: float) -> Endpoint | None:
        """Return the next balancer in rotation, or None if there is none."""
        received_at = self._received_at.get(address)
        if not received_at:
            return None
        newest = max(received_at.values())
        # The newest balancer is always eligible, so that an idle address
        # keeps a return path until a client sends again.
        oldest_allowed = min(newest, now - FRESH_SECONDS)
        fresh = tuple(
            balancer
            for balancer, at in received_at.items()
            if at >= oldest_allowed
        )
        self._selections += 1
        return fresh[(self._selections - 1) % len(fresh)]
