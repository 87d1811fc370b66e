"""Own the datagram socket of an agent and seal its messages."""

import asyncio
import socket
from collections.abc import Callable, Iterator

from bluebellfold.agents import EnvelopeCodec
from bluebellfold.callers.sockets import (
    MAX_DATAGRAM_BYTES,
    READS_PER_WAKEUP,
    bind_datagram_socket,
)
from bluebellfold.core import (
    Endpoint,
    Key,
    Message,
    Record,
    Sentinel,
    read_only,
)


class ReceivedMessage(Record):
    """Hold a message, or the reason why it is not valid, and its source."""

    __slots__ = ('_message', '_source')

    message: Message | Sentinel = read_only('_message')
    source: Endpoint = read_only('_source')

    def __init__(
        self,
        *,
        message: Message | Sentinel,
        source: Endpoint,
    ) -> None:
        self._message = message
        self._source = source


class EnvelopeSocket:
    """Receive and send sealed messages without blocking."""

    __slots__ = ('_codec', '_endpoint', '_socket')

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        keys: tuple[Key, ...],
    ) -> None:
        self._endpoint = endpoint
        self._codec = EnvelopeCodec(keys=keys)
        self._socket: socket.socket | None = None

    def open(self, on_readable: Callable[[], None]) -> None:
        """Bind the socket and call ``on_readable`` when data arrives."""
        self._socket = bind_datagram_socket(self._endpoint)
        asyncio.get_running_loop().add_reader(self._socket, on_readable)

    def close(self) -> None:
        """Close the socket."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def update_keys(self, keys: tuple[Key, ...]) -> None:
        """Replace the keys."""
        self._codec = EnvelopeCodec(keys=keys)

    def receive(self) -> Iterator[ReceivedMessage]:
        """Yield received messages, at most READS_PER_WAKEUP."""
        for _ in range(READS_PER_WAKEUP):
            try:
                datagram, source = self._socket.recvfrom(
                    MAX_DATAGRAM_BYTES,
                )
            except OSError:
                return
            yield ReceivedMessage(
                message=self._codec.decode(datagram),
                source=Endpoint(host=source[0], port=source[1]),
            )

    def send(self, message: Message, target: Endpoint) -> bool:
        """Send a message and tell whether the kernel accepted it."""
        try:
            self._socket.sendto(
                self._codec.encode(message),
                (target.host, target.port),
            )
        except OSError:
            return False
        return True
