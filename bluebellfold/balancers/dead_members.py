"""Decide which members are presumed dead and should be removed."""

from collections.abc import Iterable

from bluebellfold.agents import Suspicion
from bluebellfold.core import LEFT, Member

PRESUMED_DEAD_SECONDS = 300.0


def find_presumed_dead(
    members: Iterable[Member],
    suspicions: Iterable[Suspicion],
    *,
    now: float,
) -> tuple[Member, ...]:
    """Return the members that were suspected for PRESUMED_DEAD_SECONDS.

    A member is suspected while it does not reply to probes. Return none if
    more than half of the members are suspected: it is then more likely that
    the balancer itself is partitioned from the network.
    """
    present = tuple(member for member in members if member.state != LEFT)
    # If the failure detectors of several addresses suspect an agent, the
    # latest suspicion is used.
    ordered = sorted(suspicions, key=_suspected_since)
    suspected_since = {
        suspicion.endpoint: suspicion.since for suspicion in ordered
    }
    suspected = [
        member for member in present if member.endpoint in suspected_since
    ]
    if len(suspected) * 2 > len(present):
        return ()
    return tuple(
        member
        for member in suspected
        if now - suspected_since[member.endpoint] >= PRESUMED_DEAD_SECONDS
    )


def tombstone(member: Member) -> Member:
    """Return a row that marks the member as left on its behalf.

    A member that is still running supersedes it with a newer row.
    """
    return member.replace(state=LEFT, sequence=member.sequence + 1)


def _suspected_since(suspicion: Suspicion) -> float:
    return suspicion.since
