"""Send and receive UDP datagrams without blocking."""

import socket
from collections.abc import Iterator

from bluebellfold.core.site import Endpoint

# The longest message, an offer with its packet, has at most 1490 bytes.
MAX_DATAGRAM_BYTES = 2048
# The limit lets other tasks run while datagrams keep arriving.
MAX_DATAGRAMS_PER_RECEIVE = 64
# Datagrams that follow each other faster than this are read together.
BUSY_INTERVAL_SECONDS = 0.001
# Kernel buffer in each direction; it holds datagrams while the process is busy.
SOCKET_BUFFER_BYTES = 1_048_576

Address = tuple[str, int]


class DatagramSocket:
    """Own one UDP socket."""

    __slots__ = ('_received_at', '_socket')

    def __init__(
        self, *, endpoint: Endpoint | None, peer: Endpoint | None = None
    ) -> None:
        """Bind to an endpoint, or connect to a peer; raise OSError."""
        self._received_at = float(0)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(
                socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES
            )
        if endpoint is not None:
            self._socket.bind((endpoint.host, endpoint.port))
        if peer is not None:
            self._socket.connect((peer.host, peer.port))

    @property
    def address(self) -> Address:
        """Return the address that the socket is bound to."""
        return self._socket.getsockname()

    def fileno(self) -> int:
        """Return the file descriptor, for an event loop."""
        return self._socket.fileno()

    def receive(self, now: float) -> Iterator[tuple[bytes, Address]]:
        """Yield received datagrams, up to a limit, or raise OSError.

        A socket that wakes the process rarely has one datagram, and a second
        read would only tell that there is none. The event loop calls again
        at once if there is, and then all are read.
        """
        is_busy = now - self._received_at < BUSY_INTERVAL_SECONDS
        self._received_at = now
        for _ in range(MAX_DATAGRAMS_PER_RECEIVE if is_busy else 1):
            try:
                yield self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return

    def send_to(self, datagram: bytes, address: Address) -> bool:
        """Send a datagram, and return whether the kernel accepted it."""
        try:
            self._socket.sendto(datagram, address)
        except OSError:
            # A full buffer or an unreachable peer counts as packet loss.
            return False
        return True

    def send(self, datagram: bytes) -> None:
        """Send to the connected peer, or raise OSError."""
        self._socket.send(datagram)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
