"""Remember which balancers an agent reports to."""

from bluebellfold.relay.agents import Address

# A balancer says hello every 0.6 s: three may be lost.
SUBSCRIPTION_SECONDS = 2.0
_COUNTER = 0xFFFFFFFF


class Subscription:
    """Hold when a balancer last said hello, and the offers it made."""

    __slots__ = ('_heard_at', '_idle_seconds', '_offers_seen')

    def __init__(self) -> None:
        self._heard_at = float(0)
        self._idle_seconds = float(0)
        self._offers_seen = 0

    @property
    def heard_at(self) -> float:
        """Return when the balancer last said hello."""
        return self._heard_at

    @property
    def idle_seconds(self) -> float:
        """Return after how long idle flows may be forgotten."""
        return self._idle_seconds

    @property
    def offers_seen(self) -> int:
        """Return how many offers of the balancer arrived or were lost."""
        return self._offers_seen

    def renew(
        self, *, idle_seconds: float, offers_sent: int, now: float
    ) -> None:
        """Take a hello, which tells of offers that were lost too."""
        self._heard_at = now
        self._idle_seconds = idle_seconds
        self._offers_seen = offers_sent

    def count_offer(self) -> None:
        """Count an offer that arrived."""
        self._offers_seen = (self._offers_seen + 1) & _COUNTER


class Subscriptions:
    """Hold the subscriptions of balancers by address."""

    __slots__ = ('_by_address',)

    def __init__(self) -> None:
        self._by_address: dict[Address, Subscription] = {}

    def __len__(self) -> int:
        """Return the number of balancers that are told."""
        return len(self._by_address)

    @property
    def idle_seconds(self) -> float:
        """Return the longest idle time that a balancer named, 0 if none."""
        return max(
            (known.idle_seconds for known in self._by_address.values()),
            default=0,
        )

    def renew(
        self,
        address: Address,
        *,
        idle_seconds: float,
        offers_sent: int,
        now: float,
    ) -> bool:
        """Take a hello, and tell whether the balancer is new."""
        known = self._by_address.get(address)
        is_new = known is None
        if known is None:
            known = Subscription()
            self._by_address[address] = known
        known.renew(idle_seconds=idle_seconds, offers_sent=offers_sent, now=now)
        return is_new

    def count_offer(self, address: Address) -> None:
        """Count an offer of a balancer."""
        known = self._by_address.get(address)
        if known is not None:
            known.count_offer()

    def offers_of(self, address: Address) -> int | None:
        """Return the number of a balancer's offers, None if it isn't told."""
        known = self._by_address.get(address)
        return None if known is None else known.offers_seen

    def find_tagged(self, tag: int) -> Address | None:
        """Return the balancer that marked a packet, None if it is gone."""
        for address in self._by_address:
            if tag_of(address) == tag:
                return address
        return None

    def offers_by_address(self) -> list[tuple[Address, int]]:
        """Return each balancer with the number of its offers."""
        return [
            (address, known.offers_seen)
            for address, known in self._by_address.items()
        ]

    def expire(self, now: float) -> list[Address]:
        """Remove and return the balancers that have gone silent."""
        silent = [
            address
            for address, known in self._by_address.items()
            if now - known.heard_at > SUBSCRIPTION_SECONDS
        ]
        for address in silent:
            self._by_address.pop(address)
        return silent


def tag_of(address: Address) -> int:
    """Return the number that marks packets which a balancer brought.

    >>> hex(tag_of(('10.0.0.1', 7720)))
    '0xa000001'
    """
    return int.from_bytes(bytes(map(int, address[0].split('.'))))
