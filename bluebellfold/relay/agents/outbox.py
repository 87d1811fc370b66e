"""Join small messages to one address into one datagram.

Load pattern: after the return of all machines, every packet of thousands of
flows is looked up at every agent, and each datagram costs several system calls
at both ends. Lookups and their replies are a few bytes each, so those that a
process sends in one turn of its event loop travel together.
"""

import struct
from collections.abc import Callable, Iterator

from bluebellfold.relay.agents.agent_entry import Address

# The type number of joined messages, apart from those of the codec.
JOINED = 0xFF
_LENGTH = struct.Struct('>H')
# With the heads of IP and UDP this stays below the usual limit of a link.
MAX_JOINED_BYTES = 1_200


class Outbox:
    """Hold encoded messages by address until they are sent.

    ``send`` sends a datagram, and returns whether it was accepted.
    """

    __slots__ = ('_messages', '_send', '_sizes')

    def __init__(self, *, send: Callable[[bytes, Address], bool]) -> None:
        self._send = send
        self._messages: dict[Address, list[bytes]] = {}
        self._sizes: dict[Address, int] = {}

    def add(self, encoded: bytes, address: Address) -> None:
        """Hold a message; send those before it if the datagram is full."""
        added_bytes = _LENGTH.size + len(encoded)
        size = self._sizes.get(address, 1) + added_bytes
        if size > MAX_JOINED_BYTES:
            self._send_joined(address)
            size = 1 + added_bytes
        self._messages.setdefault(address, []).append(encoded)
        self._sizes[address] = size

    def flush(self) -> int:
        """Send all messages, and return how many datagrams were refused."""
        return sum(
            not self._send_joined(address) for address in tuple(self._messages)
        )

    def _send_joined(self, address: Address) -> bool:
        messages = self._messages.pop(address, [])
        self._sizes.pop(address, None)
        if not messages:
            return True
        if len(messages) == 1:
            return self._send(messages[0], address)
        parts = [bytes((JOINED,))]
        for encoded in messages:
            parts.extend((_LENGTH.pack(len(encoded)), encoded))
        return self._send(b''.join(parts), address)


def split_datagram(datagram: bytes) -> Iterator[bytes]:
    """Yield the messages in a datagram, or the datagram itself.

    The last message of a datagram that was cut is cut as well.
    """
    if not datagram or datagram[0] != JOINED:
        yield datagram
        return
    start = 1
    while start < len(datagram):
        head = datagram[start : start + _LENGTH.size]
        start += _LENGTH.size
        length = int.from_bytes(head)
        yield datagram[start : start + length]
        start += length
