"""Try candidates that are spread over availability zones, as in KIP-708."""

from bluebellfold.agents import POLICIES, Candidate, SelectionQuery

ZONE_CANDIDATES = 'least-of-zones'


@POLICIES.add(ZONE_CANDIDATES)
def place_over_zones(question: SelectionQuery) -> Candidate:
    """Choose the less loaded of the home and one agent of another zone."""
    first = question.candidates[0]
    elsewhere = [
        candidate
        for candidate in question.candidates
        if candidate.member.zone != first.member.zone and candidate.load
    ]
    if not elsewhere:
        return first
    other = elsewhere[int(question.draw * len(elsewhere))]
    return other if other.fill < first.fill else first
