"""Encode routing tokens as encrypted QUIC connection ids."""

import hashlib
import hmac
import os
import socket
import struct

from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

from bluebellfold.core import Endpoint, Key, Record, Sentinel, read_only

TOKEN_BYTES = 20
RESET_TOKEN_BYTES = 16
_BLOCK_BYTES = 16
_BLOCK_END = 1 + _BLOCK_BYTES
_CHECK_PATTERN = b'\x00\x00\x00\x00'
# IPv4 address and port of the agent, address number, service number.
_FIELDS = struct.Struct('>4sHHH')
_FIELDS_BYTES = _FIELDS.size
_MAX_CACHED_TOKENS = 65_536
_NONCE_BYTES = 2
_SUFFIX_BYTES = TOKEN_BYTES - _BLOCK_END

NOT_A_TOKEN = Sentinel(
    name='not-a-token',
    reason='the length of the connection id is not that of a token',
)
UNKNOWN_KEY = Sentinel(
    name='unknown-key',
    reason='the token names a key that is not valid here',
)
FORGED_TOKEN = Sentinel(
    name='forged-token',
    reason='the check bits of the token do not match',
)


class Token(Record):
    """Identify the agent that owns a flow, its address and its service.

    ``address`` identifies the address that received the flow, by the number
    of its kind of work. ``service`` is the number of the agent's service.
    """

    __slots__ = ('_address', '_agent', '_service')

    address: int = read_only('_address')
    agent: Endpoint = read_only('_agent')
    service: int = read_only('_service')

    def __init__(self, *, agent: Endpoint, address: int, service: int) -> None:
        self._agent = agent
        self._address = address
        self._service = service


class TokenSealer:
    """Seal tokens with the first key, and open them with any key.

    >>> keys = (Key(number=1, secret=bytes(16)),)
    >>> sealer = TokenSealer(keys=keys)
    >>> agent = Endpoint(host='127.0.0.1', port=4433)
    >>> token = Token(agent=agent, address=2, service=1)
    >>> sealer.open(sealer.seal(token)) == token
    True
    >>> sealer.open(bytes(20))
    <unknown-key: the token names a key that is not valid here>
    """

    __slots__ = ('_cached_tokens', '_decryptors', '_encryptor', '_keys')

    def __init__(self, *, keys: tuple[Key, ...]) -> None:
        self._keys = keys
        self._cached_tokens: dict[bytes, Token] = {}
        self._encryptor = _build_cipher(keys[0]).encryptor()
        self._decryptors = {
            key.number: _build_cipher(key).decryptor().update for key in keys
        }

    @property
    def current_key_number(self) -> int:
        """Return the number of the key that seals new tokens."""
        return self._keys[0].number

    def seal(self, token: Token) -> bytes:
        """Return a connection id of TOKEN_BYTES bytes that holds the token.

        It consists of the key number, one encrypted block and random bytes.
        """
        fields = _FIELDS.pack(
            socket.inet_aton(token.agent.host),
            token.agent.port,
            token.address,
            token.service,
        )
        block = fields + os.urandom(_NONCE_BYTES) + _CHECK_PATTERN
        sealed = self._encryptor.update(block)
        return (
            bytes((self.current_key_number,))
            + sealed
            + os.urandom(_SUFFIX_BYTES)
        )

    def open(self, connection_id: bytes) -> Token | Sentinel:
        """Return the token, or a sentinel with the reason for the failure."""
        if len(connection_id) != TOKEN_BYTES:
            return NOT_A_TOKEN
        decrypt = self._decryptors.get(connection_id[0])
        if decrypt is None:
            return UNKNOWN_KEY
        block = decrypt(connection_id[1:_BLOCK_END])
        if not block.endswith(_CHECK_PATTERN):
            return FORGED_TOKEN
        # Tokens are cached because this runs for each datagram. There are few
        # distinct ones: those of one agent and address differ in nonces only.
        fields = block[:_FIELDS_BYTES]
        return self._cached_tokens.get(fields) or self._cache(fields)

    def reset_token(self, connection_id: bytes) -> bytes:
        """Return the stateless reset token of a connection id.

        It is derived from the key that sealed the id, so that any process
        with the keys can reset a flow whose agent is gone. For an unknown key
        it is random.
        """
        for key in self._keys:
            if key.number == connection_id[0]:
                return _compute_reset_token(key, connection_id)
        return os.urandom(RESET_TOKEN_BYTES)

    def _cache(self, fields: bytes) -> Token:
        if len(self._cached_tokens) >= _MAX_CACHED_TOKENS:
            self._cached_tokens.clear()
        token = _unpack_token(fields)
        self._cached_tokens[fields] = token
        return token


def _unpack_token(fields: bytes) -> Token:
    host, port, address, service = _FIELDS.unpack(fields)
    return Token(
        agent=Endpoint(host=socket.inet_ntoa(host), port=port),
        address=address,
        service=service,
    )


def _build_cipher(key: Key) -> Cipher[modes.ECB]:
    # A token is a single block with its own nonce and check bits, so ECB,
    # the plain block cipher, is sufficient.
    return Cipher(algorithms.AES(key.secret), modes.ECB())  # noqa: S305


def _compute_reset_token(key: Key, connection_id: bytes) -> bytes:
    digest = hmac.new(key.secret, connection_id, hashlib.sha256).digest()
    return digest[:RESET_TOKEN_BYTES]
