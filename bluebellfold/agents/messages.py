"""Define the datagrams that agents and balancers exchange."""

from bluebellfold.core import Endpoint, Load, Message, read_only


class ClientDatagram(Message):
    """Carry one datagram of a client to an agent.

    ``address`` identifies the address that received the flow, by the number
    of its kind of work. ``candidates`` is set only on a first flight: the
    agents that may accept the flow, its primary first. ``hops`` counts the
    agents that forwarded it, ``offered_fill`` is the fill of the primary that
    forwarded it, and ``via`` is the balancer's socket that received it from
    the client.
    """

    __slots__ = (
        '_address',
        '_candidates',
        '_client',
        '_hops',
        '_offered_fill',
        '_payload',
        '_via',
    )

    address: int = read_only('_address')
    client: Endpoint = read_only('_client')
    candidates: tuple[Endpoint, ...] = read_only('_candidates')
    hops: int = read_only('_hops')
    offered_fill: float = read_only('_offered_fill')
    payload: bytes = read_only('_payload')
    via: Endpoint | None = read_only('_via')

    def __init__(
        self,
        *,
        address: int,
        client: Endpoint,
        payload: bytes,
        candidates: tuple[Endpoint, ...] = (),
        hops: int = 0,
        offered_fill: float = 0,
        via: Endpoint | None = None,
    ) -> None:
        self._address = address
        self._client = client
        self._payload = payload
        self._candidates = candidates
        self._hops = hops
        self._offered_fill = offered_fill
        self._via = via


class ReplyDatagram(Message):
    """Carry one datagram of an agent to a client, through a balancer."""

    __slots__ = ('_address', '_client', '_payload')

    address: int = read_only('_address')
    client: Endpoint = read_only('_client')
    payload: bytes = read_only('_payload')

    def __init__(
        self,
        *,
        address: int,
        client: Endpoint,
        payload: bytes,
    ) -> None:
        self._address = address
        self._client = client
        self._payload = payload


class Probe(Message):
    """Ask an agent to confirm that it is alive."""

    __slots__ = ()


class ProbeReply(Message):
    """Confirm to the sender of a probe that the agent is alive."""

    __slots__ = ()


class BalancerLeaving(Message):
    """Ask an agent to stop sending replies to the sender's socket."""

    __slots__ = ()


class FlowAccepted(Message):
    """Confirm to the primary of a flow that the sender accepted the flow."""

    __slots__ = ('_payload',)

    payload: bytes = read_only('_payload')

    def __init__(self, *, payload: bytes) -> None:
        self._payload = payload

    @property
    def flow_key(self) -> bytes:
        """Return the initial connection id chosen by the client."""
        return self._payload


class LoadReport(Message):
    """Report the load of the sender to another agent of the service."""

    __slots__ = ('_load',)

    load: Load = read_only('_load')

    def __init__(self, *, load: Load) -> None:
        self._load = load
