"""Lose, duplicate and reorder the datagrams of a link."""

import random

from bluebellfold.core import Record, read_only


class LinkFaults(Record):
    """Hold the fractions of datagrams to lose, duplicate and reorder.

    A reordered datagram is delivered after the next one.
    """

    __slots__ = ('_duplicate_rate', '_reorder_rate', '_loss_rate')

    duplicate_rate: float = read_only('_duplicate_rate')
    reorder_rate: float = read_only('_reorder_rate')
    loss_rate: float = read_only('_loss_rate')

    def __init__(
        self,
        *,
        loss_rate: float = 0,
        duplicate_rate: float = 0,
        reorder_rate: float = 0,
    ) -> None:
        self._loss_rate = loss_rate
        self._duplicate_rate = duplicate_rate
        self._reorder_rate = reorder_rate


NO_FAULTS = LinkFaults()


class FaultyLink:
    """Model one direction of a link, with random faults.

    >>> link = FaultyLink(rng=random.Random(1))
    >>> link.update_faults(LinkFaults(reorder_rate=1))
    >>> link.transmit(b'first'), link.transmit(b'second')
    ((), (b'second', b'first'))
    """

    __slots__ = ('_rng', '_faults', '_delayed')

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._faults = NO_FAULTS
        self._delayed: tuple[bytes, ...] = ()

    def update_faults(self, faults: LinkFaults) -> None:
        """Apply these faults from now on."""
        self._faults = faults

    def transmit(self, datagram: bytes) -> tuple[bytes, ...]:
        """Return the datagrams that the link delivers when this one is sent."""
        if self._occurs(self._faults.loss_rate):
            return ()
        copies = (datagram,)
        if self._occurs(self._faults.duplicate_rate):
            copies = (datagram, datagram)
        if not self._delayed and self._occurs(self._faults.reorder_rate):
            self._delayed = copies
            return ()
        delivered = (*copies, *self._delayed)
        self._delayed = ()
        return delivered

    def _occurs(self, probability: float) -> bool:
        # Without faults nothing is drawn from the generator, which keeps the
        # choice of balancers for a seed the same.
        return probability > 0 and self._rng.random() < probability
