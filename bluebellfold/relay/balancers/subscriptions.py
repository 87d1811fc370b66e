"""Track which balancers an agent sends load reports to."""

from bluebellfold.relay.agents import Address

# A balancer renews its subscription every 0.6 s: two renewals may be lost.
SUBSCRIPTION_SECONDS = 2.0
# Balancers whose offers are counted. At the design size there are 4,400, and
# others take their place in time. Limits memory to about 2 MB.
MAX_COUNTED_BALANCERS = 10_000
_COUNTER_MASK = 0xFFFFFFFF


class Subscription:
    """Hold when a balancer last subscribed, and the count of its offers."""

    __slots__ = ('_idle_seconds', '_offers_seen', '_once', '_renewed_at')

    def __init__(self) -> None:
        self._once = False
        self._renewed_at = float(0)
        self._idle_seconds = float(0)
        self._offers_seen = 0

    @property
    def renewed_at(self) -> float:
        """Return when the balancer last subscribed."""
        return self._renewed_at

    @property
    def idle_seconds(self) -> float:
        """Return after how many seconds idle flows may be removed."""
        return self._idle_seconds

    @property
    def offers_seen(self) -> int:
        """Return how many offers the balancer sent, lost ones included."""
        return self._offers_seen

    @property
    def is_followed(self) -> bool:
        """Return whether the balancer gets reports without asking."""
        return not self._once

    def renew(
        self, *, idle_seconds: float, offers_sent: int, once: bool, now: float
    ) -> None:
        """Renew the subscription; ``offers_sent`` includes lost offers."""
        self._renewed_at = now
        self._once = once
        self._idle_seconds = idle_seconds
        self._offers_seen = offers_sent

    def count_offer(self) -> None:
        """Count a received offer."""
        self._offers_seen = (self._offers_seen + 1) & _COUNTER_MASK


class Subscriptions:
    """Hold the subscriptions of balancers by address."""

    __slots__ = ('_by_address', '_max_counted', '_offers_received')

    def __init__(self, *, max_counted: int = MAX_COUNTED_BALANCERS) -> None:
        self._max_counted = max_counted
        self._by_address: dict[Address, Subscription] = {}
        # By balancer since the start of the agent, also while not subscribed.
        self._offers_received: dict[Address, int] = {}

    def __len__(self) -> int:
        """Return the number of balancers that get reports without asking."""
        return sum(
            subscription.is_followed
            for subscription in self._by_address.values()
        )

    @property
    def idle_seconds(self) -> float:
        """Return the longest idle time that a balancer sent, 0 if none."""
        return max(
            (
                subscription.idle_seconds
                for subscription in self._by_address.values()
            ),
            default=0,
        )

    def renew(
        self,
        address: Address,
        *,
        idle_seconds: float,
        offers_sent: int,
        now: float,
        once: bool = False,
    ) -> bool:
        """Add or renew a subscription, and return whether it is new.

        A balancer that asked ``once`` gets no report without asking again.
        """
        subscription = self._by_address.get(address)
        is_new = subscription is None
        if subscription is None:
            subscription = Subscription()
            self._by_address[address] = subscription
        subscription.renew(
            idle_seconds=idle_seconds,
            offers_sent=offers_sent,
            once=once,
            now=now,
        )
        return is_new

    def count_offer(self, address: Address) -> None:
        """Count a received offer of a balancer."""
        # The balancer with the latest offer comes last, and the first is
        # forgotten: its offers then count as sent to an earlier agent, so that
        # unknown flows are not presumed absent.
        received = self._offers_received.pop(address, 0)
        self._offers_received[address] = received + 1
        if len(self._offers_received) > self._max_counted:
            self._offers_received.pop(next(iter(self._offers_received)))
        subscription = self._by_address.get(address)
        if subscription is not None:
            subscription.count_offer()

    def offers_received(self, address: Address) -> int:
        """Return how many offers of a balancer this agent has received."""
        return self._offers_received.get(address, 0)

    def offer_count(self, address: Address) -> int | None:
        """Return a balancer's offer count, None if it isn't subscribed."""
        subscription = self._by_address.get(address)
        return None if subscription is None else subscription.offers_seen

    def find_by_tag(self, tag: int) -> Address | None:
        """Return the balancer with a packet tag, None if there is none."""
        for address in self._by_address:
            if balancer_tag(address) == tag:
                return address
        return None

    def offer_counts(self) -> list[tuple[Address, int]]:
        """Return each balancer that follows the agent, with its offer count."""
        return [
            (address, subscription.offers_seen)
            for address, subscription in self._by_address.items()
            if subscription.is_followed
        ]

    def expire(self, now: float) -> list[Address]:
        """Remove and return the balancers whose subscriptions expired."""
        expired = [
            address
            for address, subscription in self._by_address.items()
            if now - subscription.renewed_at > SUBSCRIPTION_SECONDS
        ]
        for address in expired:
            self._by_address.pop(address)
        return expired


def balancer_tag(address: Address) -> int:
    """Return the tag for a balancer's packets to upstreams: its IPv4 address.

    >>> hex(balancer_tag(('10.0.0.1', 7720)))
    '0xa000001'
    """
    return int.from_bytes(bytes(map(int, address[0].split('.'))))
