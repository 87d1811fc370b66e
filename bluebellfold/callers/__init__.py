"""Serve clients: datagrams at an address, QUIC flows and requests."""

from bluebellfold.callers.address import AddressTask
from bluebellfold.callers.invariants import read_caller_header
from bluebellfold.callers.messages import (
    AddressChanged,
    ChangeKeys,
    GetCounts,
    GetSuspicions,
    LeaveAddress,
    Route,
)
from bluebellfold.callers.routing import Router
from bluebellfold.callers.sockets import (
    LARGEST_DATAGRAM_BYTES,
    READS_PER_WAKEUP,
    bind_datagram_socket,
)

__all__ = (
    'AddressChanged',
    'AddressTask',
    'GetCounts',
    'GetSuspicions',
    'LARGEST_DATAGRAM_BYTES',
    'LeaveAddress',
    'READS_PER_WAKEUP',
    'ChangeKeys',
    'Route',
    'Router',
    'bind_datagram_socket',
    'read_caller_header',
)
