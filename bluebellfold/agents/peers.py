"""Choose the agents with which an agent exchanges load reports."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from bluebellfold.core import LEFT, Endpoint, Member

RING_COUNT = 4
# An agent has two neighbours on each ring.
MAX_PEERS = 2 * RING_COUNT


def choose_peers(
    own: Endpoint, members: Iterable[Member]
) -> tuple[Member, ...]:
    """Return the peers of an agent, at most MAX_PEERS.

    The relation is symmetric: an agent is a peer of each of its peers. The
    members are ordered on several hash rings, and the peers of a member are
    its neighbours on each ring. A change of one member changes the peers of
    its neighbours only.
    """
    active = [member for member in members if member.state != LEFT]
    if len(active) <= MAX_PEERS + 1:
        return tuple(member for member in active if member.endpoint != own)
    peers: dict[Endpoint, Member] = {}
    for ring in range(RING_COUNT):
        for neighbour in _neighbours(own, active, ring):
            peers[neighbour.endpoint] = neighbour
    return tuple(peers.values())


def _neighbours(
    own: Endpoint, active: list[Member], ring: int
) -> tuple[Member, ...]:
    ordered = sorted(
        active,
        key=lambda member: xxh3_64_intdigest(
            str(member.endpoint).encode(), ring
        ),
    )
    for position, member in enumerate(ordered):
        if member.endpoint == own:
            following = ordered[(position + 1) % len(ordered)]
            return (ordered[position - 1], following)
    return ()
