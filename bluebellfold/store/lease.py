"""Decide who holds a lease, without relying on synchronised clocks."""

from bluebellfold.core import Record, Sentinel, read_only

# The holder stops using a lease before it expires for other processes, which
# tolerates clocks that run at slightly different rates.
USABLE_FRACTION = 0.9

HELD = Sentinel(
    name='held',
    reason='another holder has the lease; try again after it expires',
)
LAPSED = Sentinel(
    name='lapsed',
    reason='the lease expired or was taken over; acquire it before writing',
)


class Lease(Record):
    """Describe a lease as it is stored in the platform.

    ``fencing_token`` grows with each new holder, ``renewals`` with each
    renewal by one holder. A duration of 0 marks a released lease.
    """

    __slots__ = ('_duration_seconds', '_fencing_token', '_holder', '_renewals')

    duration_seconds: float = read_only('_duration_seconds')
    fencing_token: int = read_only('_fencing_token')
    holder: str = read_only('_holder')
    renewals: int = read_only('_renewals')

    def __init__(
        self,
        *,
        holder: str,
        fencing_token: int,
        renewals: int,
        duration_seconds: float,
    ) -> None:
        self._holder = holder
        self._fencing_token = fencing_token
        self._renewals = renewals
        self._duration_seconds = duration_seconds


class LeaseObservation(Record):
    """Hold a lease and the reader's time at which it first saw this state."""

    __slots__ = ('_lease', '_observed_at')

    lease: Lease = read_only('_lease')
    observed_at: float = read_only('_observed_at')

    def __init__(self, *, lease: Lease, observed_at: float) -> None:
        self._lease = lease
        self._observed_at = observed_at


def observe(
    *,
    previous: LeaseObservation | None,
    lease: Lease | None,
    now: float,
) -> LeaseObservation | None:
    """Return the observation after a read at ``now``, in seconds."""
    if lease is None:
        return None
    if previous is not None and previous.lease == lease:
        return previous
    return LeaseObservation(lease=lease, observed_at=now)


def next_lease(
    *,
    observation: LeaseObservation | None,
    holder: str,
    duration_seconds: float,
    now: float,
) -> Lease | Sentinel:
    """Return the new or renewed lease to write, or HELD.

    ``holder`` is unique to one run of a process. Times are in seconds by
    the clock of this process.

    >>> first = next_lease(
    ...     observation=None, holder='a', duration_seconds=9, now=0
    ... )
    >>> seen = LeaseObservation(lease=first, observed_at=0)
    >>> next_lease(
    ...     observation=seen, holder='b', duration_seconds=9, now=8
    ... )
    <held: another holder has the lease; try again after it expires>
    >>> next_lease(
    ...     observation=seen, holder='b', duration_seconds=9, now=9
    ... ).fencing_token
    2
    """
    if observation is None:
        return Lease(
            holder=holder,
            fencing_token=1,
            renewals=0,
            duration_seconds=duration_seconds,
        )
    lease = observation.lease
    if lease.holder == holder:
        return lease.replace(
            renewals=lease.renewals + 1,
            duration_seconds=duration_seconds,
        )
    if now < observation.observed_at + lease.duration_seconds:
        return HELD
    return Lease(
        holder=holder,
        fencing_token=lease.fencing_token + 1,
        renewals=0,
        duration_seconds=duration_seconds,
    )


def is_usable(*, lease: Lease, requested_at: float, now: float) -> bool:
    """Return whether the holder may still act on its lease.

    ``requested_at`` is the holder's time before it sent the write, so that
    the lease ends for the holder before it ends for any other process.
    """
    return now < requested_at + lease.duration_seconds * USABLE_FRACTION
