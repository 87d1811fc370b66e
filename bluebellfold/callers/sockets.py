"""Open datagram sockets."""

import socket

from bluebellfold.core import BluebellfoldError, Endpoint

MAX_DATAGRAM_BYTES = 2048
READS_PER_WAKEUP = 64
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
