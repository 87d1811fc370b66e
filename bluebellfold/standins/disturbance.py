"""Loss, duplication and reordering of the datagrams of a link."""

import random

from bluebellfold.core import Record, read_only


class Disturbance(Record):
    """Fractions of the datagrams that are lost, duplicated or reordered.

    A reordered datagram is delivered after the next one.
    """

    __slots__ = ('_double', '_hold', '_lose')

    double: float = read_only('_double')
    hold: float = read_only('_hold')
    lose: float = read_only('_lose')

    def __init__(
        self,
        *,
        lose: float = 0,
        double: float = 0,
        hold: float = 0,
    ) -> None:
        self._lose = lose
        self._double = double
        self._hold = hold


NO_FAULTS = Disturbance()


class FaultyLink:
    """One direction of a link, with faults drawn from a random generator.

    >>> link = FaultyLink(chooser=random.Random(1))
    >>> link.update_faults(Disturbance(hold=1))
    >>> link.transmit(b'first'), link.transmit(b'second')
    ((), (b'second', b'first'))
    """

    __slots__ = ('_chooser', '_faults', '_delayed')

    def __init__(self, *, chooser: random.Random) -> None:
        self._chooser = chooser
        self._faults = NO_FAULTS
        self._delayed: tuple[bytes, ...] = ()

    def update_faults(self, faults: Disturbance) -> None:
        """Apply these faults from now on."""
        self._faults = faults

    def transmit(self, datagram: bytes) -> tuple[bytes, ...]:
        """Return the datagrams that the link delivers when this one is sent."""
        if self._occurs(self._faults.lose):
            return ()
        copies = (datagram,)
        if self._occurs(self._faults.double):
            copies = (datagram, datagram)
        if not self._delayed and self._occurs(self._faults.hold):
            self._delayed = copies
            return ()
        delivered = (*copies, *self._delayed)
        self._delayed = ()
        return delivered

    def _occurs(self, probability: float) -> bool:
        # Without faults nothing is drawn from the generator, which keeps the
        # choice of balancers for a seed the same.
        return probability > 0 and self._chooser.random() < probability
