"""Simulate the network links between the machines of the model."""

import random

from bluebellfold.model.timeline import Callback, Timeline

# One-way delays within an availability zone and between two zones. A round trip
# between zones takes 6 ms on the platform.
SAME_ZONE_DELAY_SECONDS = 0.0005
CROSS_ZONE_DELAY_SECONDS = 0.003
# Random delay of up to this share is added, so datagrams arrive out of order.
JITTER_SHARE = 0.5


class Links:
    """Delay, reorder, duplicate and lose datagrams.

    ``lost_share`` and ``doubled_share`` are shares of all datagrams.
    """

    __slots__ = ('_doubled_share', '_lost_share', '_random', '_timeline')

    def __init__(
        self,
        *,
        timeline: Timeline,
        randomness: random.Random,
        lost_share: float,
        doubled_share: float,
    ) -> None:
        self._timeline = timeline
        self._random = randomness
        self._lost_share = lost_share
        self._doubled_share = doubled_share

    def send(self, deliver: Callback, *, same_zone: bool) -> None:
        """Send a datagram: call ``deliver`` after the delay of the link."""
        drawn = self._random.random()
        if drawn < self._lost_share:
            return
        self._schedule_delivery(deliver, same_zone=same_zone)
        if drawn < self._lost_share + self._doubled_share:
            self._schedule_delivery(deliver, same_zone=same_zone)

    def _schedule_delivery(self, deliver: Callback, *, same_zone: bool) -> None:
        delay = (
            SAME_ZONE_DELAY_SECONDS if same_zone else CROSS_ZONE_DELAY_SECONDS
        )
        jitter = delay * JITTER_SHARE * self._random.random()
        self._timeline.call_later(delay + jitter, deliver)
