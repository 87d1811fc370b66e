"""Parse the version-independent part of QUIC headers (RFC 8999)."""

from bluebellfold.core import Record, Sentinel, read_only

MAX_CONNECTION_ID_BYTES = 20
# RFC 9000 requires clients to pad datagrams with Initial packets to this size.
MIN_FIRST_FLIGHT_BYTES = 1200
_LONG_HEADER_BIT = 0x80
_ID_LENGTH_OFFSET = 5
_CONNECTION_ID_OFFSET = 6
# A short header does not state the length of its connection id. All ids that
# agents issue have the maximum length.
_SHORT_HEADER_ID_END = 1 + MAX_CONNECTION_ID_BYTES

TOO_SHORT = Sentinel(
    name='too-short',
    reason='the datagram ends within its connection ID',
)
NOT_QUIC = Sentinel(
    name='not-quic',
    reason='the datagram has no QUIC header',
)


class PacketHeader(Record):
    """Hold the header fields that routing needs.

    ``opens_flow`` is true for a datagram with a long header that is large
    enough to open a flow.
    """

    __slots__ = ('_connection_id', '_opens_flow')

    connection_id: bytes = read_only('_connection_id')
    opens_flow: bool = read_only('_opens_flow')

    def __init__(self, *, connection_id: bytes, opens_flow: bool) -> None:
        self._connection_id = connection_id
        self._opens_flow = opens_flow


def short_header_connection_id(datagram: bytes) -> bytes:
    """Return the connection id of a short header.

    It is empty if the datagram has a long header or is too short.
    """
    if len(datagram) < _SHORT_HEADER_ID_END or datagram[0] >= _LONG_HEADER_BIT:
        return b''
    return datagram[1:_SHORT_HEADER_ID_END]


def parse_packet_header(datagram: bytes) -> PacketHeader | Sentinel:
    """Return the header, or the reason why the datagram has none.

    >>> parse_packet_header(b'')
    <too-short: the datagram ends within its connection ID>
    >>> parse_packet_header(b'@' + bytes(30)).opens_flow
    False
    """
    size = len(datagram)
    if size < _SHORT_HEADER_ID_END:
        return TOO_SHORT
    if not datagram[0] & _LONG_HEADER_BIT:
        return PacketHeader(
            connection_id=datagram[1:_SHORT_HEADER_ID_END],
            opens_flow=False,
        )
    length = datagram[_ID_LENGTH_OFFSET]
    if length > MAX_CONNECTION_ID_BYTES:
        return NOT_QUIC
    end = _CONNECTION_ID_OFFSET + length
    if end >= size:
        return TOO_SHORT
    return PacketHeader(
        connection_id=datagram[_CONNECTION_ID_OFFSET:end],
        opens_flow=size >= MIN_FIRST_FLIGHT_BYTES,
    )
