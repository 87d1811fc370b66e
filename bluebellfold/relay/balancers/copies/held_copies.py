"""Decide which copies of the store's state are held, used and passed on.

Load pattern: a balancer that starts without the store asks several others whose
copies differ in age. A copy never replaces a newer one, nor anything that the
store itself has answered, and expires when no store has confirmed it for long.

Methods take ``now`` in seconds of a monotonic clock.
"""

from collections.abc import Collection, Iterable, Mapping

from bluebellfold.core import Sentinel, StorePosition

# Bound of HARD-LOAD.md: a copy that its server last confirmed with the store
# longer ago is not used.
MAX_COPY_AGE_SECONDS = 30.0

STORE_HAS_ANSWERED = Sentinel(
    name='store-has-answered',
    reason='the store itself has answered since the start',
)
EXPIRED = Sentinel(
    name='expired',
    reason='the store last confirmed the copy too long ago',
)
OLDER = Sentinel(
    name='older',
    reason='a copy as of a newer position is held',
)
KNOWN = Sentinel(
    name='known',
    reason='a copy as of the same position is held',
)


class HeldCopy:
    """Hold the encoded objects of one kind, and when a store confirmed them.

    ``peer`` is the balancer that the copy was read from, empty for the store.
    """

    __slots__ = (
        '_confirmed_at',
        '_encoded',
        '_is_connected',
        '_kind',
        '_peer',
        '_position',
    )

    def __init__(
        self,
        *,
        kind: str,
        position: StorePosition,
        encoded: Mapping[str, bytes],
        confirmed_at: float,
        peer: str = '',
    ) -> None:
        self._kind = kind
        self._position = position
        self._encoded = dict(encoded)
        self._confirmed_at = confirmed_at
        self._peer = peer
        self._is_connected = not peer

    @property
    def kind(self) -> str:
        """Return the kind of the objects."""
        return self._kind

    @property
    def position(self) -> StorePosition:
        """Return the position of the store as of which the copy is known."""
        return self._position

    @property
    def peer(self) -> str:
        """Return the balancer that served the copy, empty for the store."""
        return self._peer

    @property
    def encoded_objects(self) -> Iterable[bytes]:
        """Return the encoded objects."""
        return self._encoded.values()

    def age_seconds(self, now: float) -> float:
        """Return the time since the store last confirmed the copy.

        A watch that waits on a working connection confirms its objects.
        """
        return 0 if self._is_connected else max(0, now - self._confirmed_at)

    def is_usable(self, now: float) -> bool:
        """Return whether the copy is young enough to be used."""
        return self.age_seconds(now) <= MAX_COPY_AGE_SECONDS

    def select(self, names: Collection[str]) -> dict[str, bytes]:
        """Return the encoded objects that have one of the names."""
        return {
            name: self._encoded[name] for name in names if name in self._encoded
        }

    def apply(self, latest: Mapping[str, bytes | None]) -> None:
        """Replace the changed objects, and remove those that are None."""
        for name, encoded in latest.items():
            if encoded is None:
                self._encoded.pop(name, None)
            else:
                self._encoded[name] = encoded

    def confirm(self, *, position: StorePosition, confirmed_at: float) -> None:
        """Record that the copy is known as of a position at that time."""
        self._position = max(self._position, position)
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        self._is_connected = not self._peer

    def disconnect(self, now: float, *, was_silent: bool) -> None:
        """Record the end of the connection that confirmed the copy.

        A silent connection has confirmed nothing since its last response.
        """
        if self._is_connected and not was_silent:
            self._confirmed_at = now
        self._is_connected = False


class HeldCopies:
    """Hold the copies of all kinds; the store goes before any balancer."""

    __slots__ = ('_by_kind',)

    def __init__(self) -> None:
        self._by_kind: dict[str, HeldCopy] = {}

    def find(self, kind: str) -> HeldCopy | None:
        """Return the copy of a kind, None if none is held."""
        return self._by_kind.get(kind)

    def usable(self, now: float) -> tuple[HeldCopy, ...]:
        """Return the copies that other balancers may use."""
        return tuple(
            copy for copy in self._by_kind.values() if copy.is_usable(now)
        )

    def missing(self, kinds: Iterable[str]) -> tuple[str, ...]:
        """Return the kinds that the store has not answered since the start."""
        return tuple(kind for kind in kinds if not self._is_answered(kind))

    def positions(self, kinds: Iterable[str]) -> dict[str, StorePosition]:
        """Return the positions of the copies of kinds that are held."""
        return {
            kind: self._by_kind[kind].position
            for kind in kinds
            if kind in self._by_kind
        }

    def covers(self, kinds: Iterable[str], now: float) -> bool:
        """Return whether a usable copy of each kind is held."""
        usable = {copy.kind for copy in self.usable(now)}
        return usable.issuperset(kinds)

    def hold(self, copy: HeldCopy) -> HeldCopy | None:
        """Hold a copy, and return the one that it replaces."""
        replaced = self._by_kind.get(copy.kind)
        self._by_kind[copy.kind] = copy
        return replaced

    def check(
        self,
        kind: str,
        *,
        position: StorePosition,
        confirmed_at: float,
        now: float,
    ) -> Sentinel | None:
        """Return why a balancer's copy is not taken, None if it is.

        The age of a known copy is updated.
        """
        held = self._by_kind.get(kind)
        if held is not None and not held.peer:
            return STORE_HAS_ANSWERED
        if now - confirmed_at > MAX_COPY_AGE_SECONDS:
            return EXPIRED
        if held is None or position > held.position:
            return None
        if position < held.position:
            return OLDER
        held.confirm(position=position, confirmed_at=confirmed_at)
        return KNOWN

    def _is_answered(self, kind: str) -> bool:
        copy = self._by_kind.get(kind)
        return copy is not None and not copy.peer
