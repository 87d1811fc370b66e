"""Map flows to their owners while their QUIC handshakes are in progress."""

from bluebellfold.core import Endpoint, Sentinel

# An entry expires after this time, confirmed or not.
HANDSHAKE_TIMEOUT_SECONDS = 10.0
# After this time an owner that has not confirmed the flow is replaced.
CONFIRM_TIMEOUT_SECONDS = 0.15
MAX_HANDSHAKES = 20_000

UNKNOWN_HANDSHAKE = Sentinel(
    name='not-remembered',
    reason='no handshake of this flow is in progress here',
)


class _Handshake:
    """Hold the owner of one flow and the time, in seconds, of its entry."""

    __slots__ = ('confirmed', 'owner', 'added_at')

    def __init__(
        self, *, owner: Endpoint, since: float, confirmed: bool
    ) -> None:
        self.owner = owner
        self.added_at = since
        self.confirmed = confirmed


class HandshakeTable:
    """Map flow keys to owners, with a limit on entries and on their age.

    It gives a retransmission, or a second datagram through another balancer,
    the same owner as the first datagram. An owner that does not confirm the
    flow within ``CONFIRM_TIMEOUT_SECONDS`` is no longer returned, so that
    another one is selected. Times are in seconds.
    """

    __slots__ = ('_handshakes', '_limit')

    def __init__(self, *, limit: int = MAX_HANDSHAKES) -> None:
        self._limit = limit
        # Ordered by insertion, and therefore by time.
        self._handshakes: dict[bytes, _Handshake] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._handshakes)

    def add(
        self,
        flow_key: bytes,
        owner: Endpoint,
        now: float,
        *,
        confirmed: bool = False,
    ) -> None:
        """Add or replace the owner of a flow.

        ``confirmed`` says that the owner is known to have the flow. At the
        limit the oldest entry is evicted.
        """
        self._expire(now)
        self._handshakes.pop(flow_key, None)
        if len(self._handshakes) >= self._limit:
            self._handshakes.pop(next(iter(self._handshakes)))
        self._handshakes[flow_key] = _Handshake(
            owner=owner, since=now, confirmed=confirmed
        )

    def confirm(self, flow_key: bytes, owner: Endpoint) -> None:
        """Mark the entry as confirmed by its owner."""
        handshake = self._handshakes.get(flow_key)
        if handshake is not None and handshake.owner == owner:
            handshake.confirmed = True

    def find_owner(self, flow_key: bytes, now: float) -> Endpoint | Sentinel:
        """Return the owner of the flow, or UNKNOWN_HANDSHAKE.

        An unconfirmed owner is returned until the confirmation times out.
        """
        self._expire(now)
        handshake = self._handshakes.get(flow_key)
        if handshake is None:
            return UNKNOWN_HANDSHAKE
        age_seconds = now - handshake.added_at
        if handshake.confirmed or age_seconds < CONFIRM_TIMEOUT_SECONDS:
            return handshake.owner
        return UNKNOWN_HANDSHAKE

    def remove(self, flow_key: bytes) -> None:
        """Remove a flow whose packets now carry a token."""
        self._handshakes.pop(flow_key, None)

    def _expire(self, now: float) -> None:
        while self._handshakes:
            oldest = next(iter(self._handshakes))
            if (
                now - self._handshakes[oldest].added_at
                < HANDSHAKE_TIMEOUT_SECONDS
            ):
                return
            self._handshakes.pop(oldest)
