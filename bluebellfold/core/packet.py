"""Describe the packets of flows that are forwarded, not terminated."""

import socket

from bluebellfold.core.record import Record, read_only

# A flow key consists of the service's port and address, then the client's.

ADDRESS_BYTES = 6
PORT_BYTES = 2


class Packet(Record):
    """Describe one datagram between a client and an upstream.

    ``flow`` is the flow key, the same in both directions. ``opens`` marks the
    first packet of a client, ``accepts`` the upstream's reply to it.
    ``attempt`` counts the copies of an opening packet from 0. ``returned``
    marks a client's packet that the upstream sent back. ``tag`` is the number
    that the system added to a packet for an upstream.
    """

    __slots__ = (
        '_accepts',
        '_acknowledged',
        '_finishes',
        '_flow',
        '_opens',
        '_payload_bytes',
        '_raw',
        '_resets',
        '_returned',
        '_sequence',
        '_tag',
    )

    accepts: bool = read_only('_accepts')
    acknowledged: int = read_only('_acknowledged')
    finishes: bool = read_only('_finishes')
    flow: bytes = read_only('_flow')
    opens: bool = read_only('_opens')
    payload_bytes: int = read_only('_payload_bytes')
    raw: bytes = read_only('_raw')
    resets: bool = read_only('_resets')
    returned: bool = read_only('_returned')
    sequence: int = read_only('_sequence')
    tag: int = read_only('_tag')

    def __init__(
        self,
        *,
        flow: bytes,
        raw: bytes,
        sequence: int,
        acknowledged: int,
        payload_bytes: int = 0,
        opens: bool = False,
        accepts: bool = False,
        finishes: bool = False,
        resets: bool = False,
        returned: bool = False,
        tag: int = 0,
    ) -> None:
        self._flow = flow
        self._raw = raw
        self._sequence = sequence
        self._acknowledged = acknowledged
        self._payload_bytes = payload_bytes
        self._opens = opens
        self._accepts = accepts
        self._finishes = finishes
        self._resets = resets
        self._returned = returned
        self._tag = tag

    @property
    def attempt(self) -> int:
        """Return the number of this copy of an opening packet, from 0."""
        return self._acknowledged if self._opens else 0


def pack_address(host: str, port: int) -> bytes:
    """Return an address in the encoding of flow keys.

    >>> pack_address('10.0.0.1', 443).hex()
    '01bb0a000001'
    """
    return port.to_bytes(PORT_BYTES) + socket.inet_aton(host)


def service_address(flow: bytes) -> bytes:
    """Return the packed service address of a flow."""
    return flow[:ADDRESS_BYTES]


def client_host(flow: bytes) -> str:
    """Return the IP address of the client of a flow."""
    return socket.inet_ntoa(flow[ADDRESS_BYTES + PORT_BYTES :])


def format_flow(flow: bytes) -> str:
    """Return a flow key in the format of logs: client, then service.

    >>> flow = pack_address('10.0.0.1', 443) + pack_address('10.9.0.2', 5000)
    >>> format_flow(flow)
    '10.9.0.2:5000>10.0.0.1:443'
    """
    service = _format_address(flow[:ADDRESS_BYTES])
    client = _format_address(flow[ADDRESS_BYTES:])
    return f'{client}>{service}'


def _format_address(packed: bytes) -> str:
    port = int.from_bytes(packed[:PORT_BYTES])
    host = socket.inet_ntoa(packed[PORT_BYTES:])
    return f'{host}:{port}'
