"""Define the messages that the client actor receives and sends."""

from bluebellfold.core import Message, Reply, read_only


class CheckReadiness(Message):
    """Ask whether the balancer can assign new flows to agents."""

    __slots__ = ('_reply',)

    reply: Reply = read_only('_reply')

    def __init__(self, *, reply: Reply) -> None:
        self._reply = reply


class LeaveRotation(Message):
    """Fail readiness checks, and stop once the fabric sends no more packets."""

    __slots__ = ()
