"""Open datagram sockets."""

import socket

from bluebellfold.core import BluebellfoldError, Endpoint

# An envelope around a client datagram from a path with an MTU of 1500 bytes
# fits.
MAX_DATAGRAM_BYTES = 2048
# Limits how long one socket keeps the event loop from serving others.
READS_PER_WAKEUP = 64
# Holds the datagrams that arrive while the event loop is busy.
_BUFFER_BYTES = 4_194_304


class AddressInUseError(BluebellfoldError):
    """Report an endpoint that cannot be bound."""

    __slots__ = ()


def bind_datagram_socket(endpoint: Endpoint) -> socket.socket:
    """Return a bound, non-blocking UDP socket, or raise AddressInUseError."""
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    # The kernel silently caps both sizes at its limits.
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES)
    try:
        udp_socket.bind((endpoint.host, endpoint.port))
    except OSError as error:
        udp_socket.close()
        raise AddressInUseError(
            problem=f'cannot bind {endpoint}: {error.strerror}',
            remedy='free the port, or set another host or port',
        ) from error
    return udp_socket
