"""Define the messages of the task that exchanges copies with balancers."""

from bluebellfold.core import Message, Reply, read_only


class ServeCopies(Message):
    """Ask for the encoded copies; the reply is None while there are none."""

    __slots__ = ('_reply',)

    reply: Reply = read_only('_reply')

    def __init__(self, *, reply: Reply) -> None:
        self._reply = reply


class TakeCopies(Message):
    """Take what another balancer served, in reply to a query sent at a time."""

    __slots__ = ('_asked_at', '_body', '_peer')

    asked_at: float = read_only('_asked_at')
    body: bytes = read_only('_body')
    peer: str = read_only('_peer')

    def __init__(self, *, peer: str, body: bytes, asked_at: float) -> None:
        self._peer = peer
        self._body = body
        self._asked_at = asked_at
