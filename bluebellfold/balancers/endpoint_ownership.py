"""Decide which member owns an endpoint that several rows name."""

from collections.abc import Iterable

from bluebellfold.core import Member


def endpoint_owners(members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the members whose endpoint no other member owns.

    The member with the highest incarnation owns an endpoint, as only one
    process can bind a socket. Without this, an agent of another service at
    the endpoint would reply to probes for the previous owner, which would
    then never become suspected.
    """
    known = tuple(members)
    # The highest incarnation at an endpoint sorts last and is kept.
    owners = {
        owner.endpoint: owner for owner in sorted(known, key=_ownership_order)
    }
    return tuple(
        member for member in known if owners[member.endpoint] is member
    )


def _ownership_order(member: Member) -> tuple[int, str]:
    # The name breaks ties between incarnations of the same millisecond, so
    # that every process chooses the same owner.
    return (member.incarnation, member.name)
