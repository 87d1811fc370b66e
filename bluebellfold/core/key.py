"""Define the keys that processes share."""

from bluebellfold.core.record import Record, read_only


class Key(Record):
    """Hold a secret of 16 bytes and its key number from 0 to 255."""

    __slots__ = ('_number', '_secret')

    number: int = read_only('_number')
    secret: bytes = read_only('_secret')

    def __init__(self, *, number: int, secret: bytes) -> None:
        self._number = number
        self._secret = secret

    def __repr__(self) -> str:
        """Show the number only, so that the secret is never logged."""
        return f'Key(number={self._number})'
