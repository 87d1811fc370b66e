"""Carry datagrams between the machines of the model."""

import random

from bluebellfold.model.timeline import Act, Timeline

# Half a round trip within an availability zone and between two, in seconds;
# the users' letter names 6 ms for a round trip between zones.
NEAR_SECONDS = 0.0005
FAR_SECONDS = 0.003
# Datagrams overtake each other by up to this share of the delay.
JITTER = 0.5


class Links:
    """Deliver datagrams late, out of order, twice or never.

    ``lost_share`` and ``doubled_share`` are of all datagrams.
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

    def carry(self, deliver: Act, *, near: bool) -> None:
        """Deliver a datagram after the delay of its way."""
        drawn = self._random.random()
        if drawn < self._lost_share:
            return
        self._carry_once(deliver, near=near)
        if drawn < self._lost_share + self._doubled_share:
            self._carry_once(deliver, near=near)

    def _carry_once(self, deliver: Act, *, near: bool) -> None:
        delay = NEAR_SECONDS if near else FAR_SECONDS
        jitter = delay * JITTER * self._random.random()
        self._timeline.after(delay + jitter, deliver)
