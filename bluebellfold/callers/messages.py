"""Define the messages to the tasks that serve clients."""

from bluebellfold.core import (
    Endpoint,
    Key,
    Kind,
    Member,
    Message,
    Reply,
    read_only,
)

NONE_DEPARTED: frozenset[Endpoint] = frozenset()


class AddressChanged(Message):
    """Update the kind of work of an address and the members that serve it.

    ``candidates`` is the number of agents to rank for a first flight.
    ``departed`` holds the endpoints of agents that have left.
    """

    __slots__ = ('_candidates', '_departed', '_kind', '_members', '_service')

    candidates: int = read_only('_candidates')
    departed: frozenset[Endpoint] = read_only('_departed')
    kind: Kind = read_only('_kind')
    members: tuple[Member, ...] = read_only('_members')
    service: int = read_only('_service')

    def __init__(
        self,
        *,
        kind: Kind,
        service: int,
        members: tuple[Member, ...],
        candidates: int,
        departed: frozenset[Endpoint] = NONE_DEPARTED,
    ) -> None:
        self._departed = departed
        self._kind = kind
        self._service = service
        self._members = members
        self._candidates = candidates


class GetCounts(Message):
    """Request the counts of a task, as a tuple of Count."""

    __slots__ = ('_reply',)

    reply: Reply = read_only('_reply')

    def __init__(self, *, reply: Reply) -> None:
        self._reply = reply


class UpdateKeys(Message):
    """Replace the keys; the first key of each tuple is used for sealing."""

    __slots__ = ('_envelope_keys', '_token_keys')

    envelope_keys: tuple[Key, ...] = read_only('_envelope_keys')
    token_keys: tuple[Key, ...] = read_only('_token_keys')

    def __init__(
        self,
        *,
        token_keys: tuple[Key, ...],
        envelope_keys: tuple[Key, ...],
    ) -> None:
        self._token_keys = token_keys
        self._envelope_keys = envelope_keys


class GetSuspicions(Message):
    """Request the suspected agents, as a tuple of Suspicion."""

    __slots__ = ('_reply',)

    reply: Reply = read_only('_reply')

    def __init__(self, *, reply: Reply) -> None:
        self._reply = reply


class AnnounceLeaving(Message):
    """Make the task of an address announce to agents that it is leaving."""

    __slots__ = ()


class Route(Message):
    """Hold the primary agent of a first flight, and all its candidates."""

    __slots__ = ('_agent', '_candidates')

    agent: Endpoint = read_only('_agent')
    candidates: tuple[Endpoint, ...] = read_only('_candidates')

    def __init__(
        self,
        *,
        agent: Endpoint,
        candidates: tuple[Endpoint, ...] = (),
    ) -> None:
        self._agent = agent
        self._candidates = candidates
