"""Serve clients: datagrams at an address, QUIC flows and requests."""

from bluebellfold.callers.address import AddressTask
from bluebellfold.callers.invariants import parse_packet_header
from bluebellfold.callers.messages import (
    AddressChanged,
    AnnounceLeaving,
    GetCounts,
    GetSuspicions,
    Route,
    UpdateKeys,
)
from bluebellfold.callers.routing import Router
from bluebellfold.callers.sockets import (
    MAX_DATAGRAM_BYTES,
    READS_PER_WAKEUP,
    bind_datagram_socket,
)

__all__ = (
    'AddressChanged',
    'AddressTask',
    'GetCounts',
    'GetSuspicions',
    'MAX_DATAGRAM_BYTES',
    'AnnounceLeaving',
    'READS_PER_WAKEUP',
    'UpdateKeys',
    'Route',
    'Router',
    'bind_datagram_socket',
    'parse_packet_header',
)
