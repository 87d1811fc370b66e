"""Encode, decode and authenticate the datagrams of balancers and agents.

A datagram is one byte of key number, one byte of header length, the header,
a MAC and the payload. The MAC covers the header and the start of the payload;
QUIC protects the rest of the payload.
"""

import hashlib
import hmac

from bluebellfold.agents.headers import (
    FIXED_BYTES,
    decode_header,
    encode_client_header,
    encode_header,
)
from bluebellfold.core import Key, Message, Sentinel

MAC_BYTES = 12
# The part of the payload that the MAC covers.
_COVERED_PAYLOAD_BYTES = 32
# Key number and header length.
_PREFIX_BYTES = 2

TRUNCATED_ENVELOPE = Sentinel(
    name='truncated-envelope',
    reason='the datagram is shorter than its header and MAC',
)
WRONG_MAC = Sentinel(
    name='wrong-mac',
    reason='the MAC of the envelope matches no valid key',
)


class EnvelopeCodec:
    """Encode messages with the first key, and decode those of any key.

    >>> from bluebellfold.agents.messages import Probe
    >>> codec = EnvelopeCodec(keys=(Key(number=7, secret=bytes(16)),))
    >>> codec.decode(codec.encode(Probe()))
    Probe()
    >>> codec.decode(b'x')
    <truncated-envelope: the datagram is shorter than its header and MAC>
    """

    __slots__ = (
        '_current_hasher',
        '_current_key_number',
        '_fixed_prefix',
        '_hashers',
    )

    def __init__(self, *, keys: tuple[Key, ...]) -> None:
        self._hashers = {
            key.number: hashlib.blake2s(key=key.secret, digest_size=MAC_BYTES)
            for key in keys
        }
        self._current_key_number = keys[0].number
        self._current_hasher = self._hashers[self._current_key_number]
        self._fixed_prefix = bytes((self._current_key_number, FIXED_BYTES))

    def encode(self, message: Message) -> bytes:
        """Return the message as an authenticated datagram."""
        payload = getattr(message, 'payload', b'')
        return self._authenticate(encode_header(message), payload)

    def encode_forwarded(
        self,
        address: int,
        source: tuple[str, int],
        payload: bytes,
    ) -> bytes:
        """Return the encoded ClientDatagram of a packet that carries a token.

        The result is that of ``encode``, but no message object is created, to
        save time for each forwarded datagram.
        """
        header = encode_client_header(address, source)
        hasher = self._current_hasher.copy()
        hasher.update(header + payload[:_COVERED_PAYLOAD_BYTES])
        return b''.join(
            (self._fixed_prefix, header, hasher.digest(), payload),
        )

    def decode(self, datagram: bytes) -> Message | Sentinel:
        """Return the message, or a sentinel with the reason for the failure."""
        if len(datagram) < _PREFIX_BYTES + MAC_BYTES:
            return TRUNCATED_ENVELOPE
        header_end = _PREFIX_BYTES + datagram[1]
        payload_start = header_end + MAC_BYTES
        if len(datagram) < payload_start:
            return TRUNCATED_ENVELOPE
        header = datagram[_PREFIX_BYTES:header_end]
        payload = datagram[payload_start:]
        hasher = self._hashers.get(datagram[0])
        if hasher is None:
            return WRONG_MAC
        hasher = hasher.copy()
        hasher.update(header + payload[:_COVERED_PAYLOAD_BYTES])
        received_mac = datagram[header_end:payload_start]
        if not hmac.compare_digest(hasher.digest(), received_mac):
            return WRONG_MAC
        return decode_header(header, payload)

    def _authenticate(self, header: bytes, payload: bytes) -> bytes:
        hasher = self._current_hasher.copy()
        hasher.update(header + payload[:_COVERED_PAYLOAD_BYTES])
        prefix = bytes((self._current_key_number, len(header)))
        return b''.join((prefix, header, hasher.digest(), payload))
