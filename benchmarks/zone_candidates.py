"""Select among agents of different availability zones, as in KIP-708."""

from bluebellfold.agents import POLICIES, Candidate, SelectionQuery

ZONE_CANDIDATES = 'least-of-zones'


@POLICIES.add(ZONE_CANDIDATES)
def select_over_zones(query: SelectionQuery) -> Candidate:
    """Select the less loaded of the first candidate and one of another zone."""
    first = query.candidates[0]
    in_other_zones = [
        candidate
        for candidate in query.candidates
        if candidate.member.zone != first.member.zone and candidate.load
    ]
    if not in_other_zones:
        return first
    other = in_other_zones[int(query.draw * len(in_other_zones))]
    return other if other.fill < first.fill else first
